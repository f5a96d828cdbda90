/** Time: the clock interface, the system clock, a manual clock for tests, and stopwatches. */
export { createClock, createSystemClock, type Clock, type Stop } from './clock.js';
export { startMonotonicStopwatch, startStopwatch, type Stopwatch } from './stopwatch.js';
export { runPeriodically } from './every.js';
export { createPauseMonitor, type PauseMonitor, type PauseMonitorOptions } from './pause.js';
export { createManualClock, type ManualClock } from './manual.js';
