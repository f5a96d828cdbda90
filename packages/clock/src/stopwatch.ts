import type { Clock } from './clock.js';

/** Returns the milliseconds since the stopwatch was started. */
export type Stopwatch = () => number;

/**
 * Starts a stopwatch that returns the longer of the elapsed monotonic and wall-clock times. It suits
 * what the caller itself holds, such as a lease: neither a suspended monotonic clock nor a wall
 * clock that is set back makes it appear younger than it is.
 */
export function startStopwatch(clock: Clock): Stopwatch {
  const startMonotonic = clock.monotonic();
  const startWall = clock.now().getTime();
  return () => Math.max(clock.monotonic() - startMonotonic, clock.now().getTime() - startWall);
}

/**
 * Starts a stopwatch that uses only the monotonic clock, so it never runs fast when the wall clock
 * is set forward. It suits what another host holds, such as a lease: the lease is then never
 * taken as expired too soon.
 */
export function startMonotonicStopwatch(clock: Clock): Stopwatch {
  const startMonotonic = clock.monotonic();
  return () => clock.monotonic() - startMonotonic;
}
