import { newScheduler, newTimeline } from '@most/scheduler';
import type { Scheduler, Timer } from '@most/types';

/** Cancels an action that has not run yet. */
export type Stop = () => void;

/** Source of time and timers, passed to all code that waits or measures time. */
export interface Clock {
  /** Wall-clock time; may jump in either direction. */
  now(): Date;
  /** Milliseconds since an arbitrary origin; never goes backwards. */
  monotonic(): number;
  /**
   * Resolves after a delay.
   * @param signal ends the delay early; the promise then resolves at once
   */
  delay(milliseconds: number, signal?: AbortSignal): Promise<void>;
  /**
   * Runs an action once after a delay.
   * @returns a function that cancels the action
   */
  after(milliseconds: number, action: () => void): Stop;
  /** Scheduler for streams that run on this clock. */
  readonly scheduler: Scheduler;
}

/** Creates a clock from the system time and timers. */
export function createSystemClock(): Clock {
  const timer: Timer = {
    now: () => performance.now(),
    setTimer: (callback, milliseconds) => setTimeout(callback, milliseconds),
    clearTimer: (handle) => clearTimeout(handle),
  };
  return createClock(timer, () => new Date());
}

/**
 * Creates a clock from a timer and a source of wall-clock time.
 * @param timer source of monotonic time and timers
 * @param now source of wall-clock time
 */
export function createClock(timer: Timer, now: () => Date): Clock {
  const delay = (milliseconds: number, signal?: AbortSignal): Promise<void> =>
    new Promise((resolve) => {
      if (signal?.aborted) {
        resolve();
        return;
      }
      let onAbort: () => void = () => {};
      const handle = timer.setTimer(() => {
        signal?.removeEventListener('abort', onAbort);
        resolve();
      }, milliseconds);
      onAbort = () => {
        timer.clearTimer(handle);
        resolve();
      };
      signal?.addEventListener('abort', onAbort, { once: true });
    });
  const after = (milliseconds: number, action: () => void): Stop => {
    const handle = timer.setTimer(action, milliseconds);
    return () => timer.clearTimer(handle);
  };
  return {
    now,
    after,
    monotonic: () => timer.now(),
    delay,
    scheduler: newScheduler(timer, newTimeline()),
  };
}
