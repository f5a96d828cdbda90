import { periodic } from '@most/core';
import type { Sink } from '@most/types';
import type { Clock, Stop } from './clock.js';

/**
 * Runs an action at once and then at a fixed period.
 * @param clock provides the scheduler
 * @param milliseconds period, in milliseconds
 * @param action must not throw
 * @returns a function that stops the repetition
 */
export function runPeriodically(clock: Clock, milliseconds: number, action: () => void): Stop {
  const sink: Sink<void> = {
    event: () => action(),
    end: () => {},
    error: (_time, error) => {
      throw error;
    },
  };
  const disposable = periodic(milliseconds).run(sink, clock.scheduler);
  return () => disposable.dispose();
}
