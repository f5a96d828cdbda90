/**
 * Deepest nesting of a value that is read. Encoders of messages, snapshots and logs recurse into a
 * value, and end with a stack overflow at some thousand levels.
 */
const MAX_DEPTH = 100;

const isObject = (value: unknown): value is object => typeof value === 'object' && value !== null;

/**
 * Returns a value of the store, or null in place of one that is nested too deeply. Parsers accept such
 * a value, which another writer may have left.
 */
export function toReadableValue(value: unknown): unknown {
  let level = [value].filter(isObject);
  for (let depth = 1; level.length > 0; depth += 1) {
    if (depth > MAX_DEPTH) return null;
    level = level.flatMap((item) => Object.values(item).filter(isObject));
  }
  return value;
}
