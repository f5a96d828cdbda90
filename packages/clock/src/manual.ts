import type { Timer } from '@most/types';
import { createClock, type Clock } from './clock.js';

/** Clock for tests, which advances only through its methods. */
export interface ManualClock extends Clock {
  /** Advances both clocks, runs due timers in order and drains microtasks after each. */
  advance(milliseconds: number): Promise<void>;
  /** Advances both clocks without running timers, as in a suspended process. */
  suspend(milliseconds: number): void;
  /** Shifts only the wall clock; `milliseconds` may be negative. */
  shiftWallClock(milliseconds: number): void;
}

interface PendingTimer {
  readonly due: number;
  readonly callback: () => unknown;
}

const START_EPOCH_MILLISECONDS = Date.UTC(2026, 0, 1);
const MICROTASK_TURNS_PER_TIMER = 20;

async function drainMicrotasks(): Promise<void> {
  for (let turn = 0; turn < MICROTASK_TURNS_PER_TIMER; turn += 1) {
    // eslint-disable-next-line no-await-in-loop -- each turn settles the promises that the previous turn created
    await Promise.resolve();
  }
}

/** Creates a clock for tests, starting at 2026-01-01T00:00:00Z. */
export function createManualClock(): ManualClock {
  let monotonic = 0;
  let wallOffset = START_EPOCH_MILLISECONDS;
  const timers = new Set<PendingTimer>();
  const timer: Timer = {
    now: () => monotonic,
    setTimer: (callback, milliseconds) => {
      const pending = { due: monotonic + milliseconds, callback };
      timers.add(pending);
      return pending;
    },
    clearTimer: (handle) => timers.delete(handle as PendingTimer),
  };
  const findNextDue = (limit: number): PendingTimer | undefined =>
    [...timers].filter(({ due }) => due <= limit).sort((a, b) => a.due - b.due)[0];
  const advance = async (milliseconds: number): Promise<void> => {
    const end = monotonic + milliseconds;
    await drainMicrotasks();
    for (let next = findNextDue(end); next; next = findNextDue(end)) {
      timers.delete(next);
      monotonic = Math.max(monotonic, next.due);
      next.callback();
      // eslint-disable-next-line no-await-in-loop -- timers run one after another
      await drainMicrotasks();
    }
    monotonic = end;
  };
  return {
    ...createClock(timer, () => new Date(wallOffset + monotonic)),
    advance,
    suspend: (milliseconds) => {
      monotonic += milliseconds;
    },
    shiftWallClock: (milliseconds) => {
      wallOffset += milliseconds;
    },
  };
}
