/** Order in which models get servers and places at the weight store. */
import type { Want } from './plan-input.js';

/** What determines the urgency of a load. */
export type Urgency = Pick<Want, 'model' | 'count' | 'objectiveMilliseconds'>;

/**
 * Orders wants by urgency: those that can still meet their objective first, then by the time left
 * per waiting request.
 */
export function compareUrgency(a: Urgency, b: Urgency): number {
  const lateDifference = Number(a.objectiveMilliseconds < 0) - Number(b.objectiveMilliseconds < 0);
  if (lateDifference !== 0) return lateDifference;
  return a.objectiveMilliseconds / a.count - b.objectiveMilliseconds / b.count;
}

/**
 * Creates the order that keeps promises: models whose callers were told a time come first, in the order
 * in which they were told; the others follow by urgency, and the late ones among them by the number of
 * their requests.
 * @param promises when callers were first told a time, by model
 */
export function createPromiseOrder(
  promises: ReadonlyMap<string, number>,
): (a: Urgency, b: Urgency) => number {
  return (a, b) => {
    const promisedA = promises.get(a.model) ?? Infinity;
    const promisedB = promises.get(b.model) ?? Infinity;
    if (promisedA !== promisedB) return promisedA - promisedB;
    if (a.objectiveMilliseconds < 0 && b.objectiveMilliseconds < 0) return b.count - a.count;
    return compareUrgency(a, b);
  };
}
