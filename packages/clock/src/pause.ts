import type { Clock } from './clock.js';

/** Notices that this process stood still, so that what it reads next may have been sent long before. */
export interface PauseMonitor {
  /** To be called at intervals far below the shortest pause. */
  tick(): void;
  /** Whether the process stood still a short time ago. */
  hasPaused(): boolean;
}

/** Options of {@link createPauseMonitor}. */
export interface PauseMonitorOptions {
  readonly clock: Clock;
  /** Time without a tick that counts as a pause, in milliseconds; 500 by default. */
  readonly pauseMilliseconds?: number;
  /** Time after a pause in which what has arrived meanwhile is read, in milliseconds; 1000 by default. */
  readonly recoveryMilliseconds?: number;
}

/** Creates the monitor of one process, which has not stood still. */
export function createPauseMonitor(options: PauseMonitorOptions): PauseMonitor {
  const { clock, pauseMilliseconds = 500, recoveryMilliseconds = 1000 } = options;
  let tickedAt = clock.monotonic();
  let pausedUntil = -Infinity;

  const notice = (): void => {
    const now = clock.monotonic();
    if (now - tickedAt > pauseMilliseconds) pausedUntil = now;
  };

  return {
    tick: () => {
      notice();
      tickedAt = clock.monotonic();
    },
    hasPaused: () => {
      notice();
      return clock.monotonic() - pausedUntil < recoveryMilliseconds;
    },
  };
}
