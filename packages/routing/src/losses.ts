/** Which server processes were lost while they ran which prompt parts. */

/** Server processes, each with the time on the monotonic clock when it was lost. */
export type Losses = ReadonlyMap<string, number>;

/** Losses that were removed. */
export interface ClearedLosses {
  /** Parts of which any were removed. */
  readonly parts: readonly string[];
  /** Processes of which any were removed. */
  readonly processes: readonly string[];
}

/** Record of the losses of one host; a bounded number of parts, of which the oldest yield. */
export interface LossRecord {
  isEmpty(): boolean;
  /** @returns whether any process was lost while it ran the part */
  has(part: string): boolean;
  /** @returns the processes that were lost while they ran the part */
  lossesOf(part: string): Losses;
  /** @returns the parts for which the process was not recorded before */
  add(process: string, parts: readonly string[], at: number): readonly string[];
  /** Removes the losses of the parts up to a time, and those of the given processes at any time. */
  clear(parts: readonly string[], upTo: number, processes?: readonly string[]): ClearedLosses;
  /** Removes a process from all parts. */
  forget(process: string): void;
  /** @returns the parts for which the process is recorded */
  listParts(process: string): readonly string[];
  entries(): Iterable<readonly [part: string, losses: Losses]>;
}

const MAX_PARTS = 10_000;

/** Creates an empty record. */
export function createLossRecord(): LossRecord {
  const lossesByPart = new Map<string, Map<string, number>>();

  const removeOldest = (): void => {
    for (const oldest of lossesByPart.keys()) {
      if (lossesByPart.size <= MAX_PARTS) break;
      lossesByPart.delete(oldest);
    }
  };

  return {
    isEmpty: () => lossesByPart.size === 0,
    has: (part) => lossesByPart.has(part),
    lossesOf: (part) => lossesByPart.get(part) ?? new Map(),
    add: (process, parts, at) => {
      const added = parts.filter((part) => !lossesByPart.get(part)?.has(process));
      added.forEach((part) => {
        const losses = lossesByPart.get(part) ?? new Map<string, number>();
        lossesByPart.delete(part);
        lossesByPart.set(part, losses.set(process, at));
      });
      removeOldest();
      return added;
    },
    clear: (parts, upTo, processes = []) => {
      const clearedProcesses = new Set<string>();
      const clearedParts = parts.filter((part) => {
        const losses = lossesByPart.get(part);
        if (!losses) return false;
        const cleared = [...losses].filter(
          ([process, at]) => at <= upTo || processes.includes(process),
        );
        cleared.forEach(([process]) => {
          losses.delete(process);
          clearedProcesses.add(process);
        });
        if (losses.size === 0) lossesByPart.delete(part);
        return cleared.length > 0;
      });
      return { parts: clearedParts, processes: [...clearedProcesses] };
    },
    forget: (process) =>
      lossesByPart.forEach((losses, part) => {
        if (losses.delete(process) && losses.size === 0) lossesByPart.delete(part);
      }),
    listParts: (process) =>
      [...lossesByPart].flatMap(([part, losses]) => (losses.has(process) ? [part] : [])),
    entries: () => lossesByPart.entries(),
  };
}
