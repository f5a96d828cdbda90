/** How often watchers ask the store, so that changes reach all hosts in time although the watchers lose it. */

/** Times of the watchers of one kind, in milliseconds. */
export interface WatchTimes {
  /** Longest wait of one watch. */
  readonly watchMilliseconds: number;
  /** Pause of a standby watcher after an answer with changes. */
  readonly standbyPauseMilliseconds: number;
  /** Time after an answer of the store for which a host counts as a watcher. */
  readonly validMilliseconds: number;
}

const MAX_WATCH_MILLISECONDS = 1000;
/** Bounds the calls to the store; times of less than 1.6 s cannot be kept. */
const MIN_BETWEEN_ANSWERS_MILLISECONDS = 150;
const MAX_STANDBY_PAUSE_MILLISECONDS = 1000;
/** Time that a slow store takes to answer. */
const ANSWER_MILLISECONDS = 300;
/** States reach the other hosts each 200 ms, in large fleets over two hubs. */
const STATES_MILLISECONDS = 600;
/** Interval of the checks whether a host must watch. */
export const CHECK_INTERVAL_MILLISECONDS = 100;
/** Time in which a host that begins to watch reads the objects. */
const READ_MILLISECONDS = 200;
/** Time by which the event loops of the hosts may be late in all. */
const DELAY_MILLISECONDS = 200;
/** Part of the time between two answers that a watch waits; the rest is the pause of a standby watcher. */
const WATCH_FRACTION = 2 / 3;
/** Longest time of kinds without a bound. */
const DEFAULT_STALENESS_MILLISECONDS = 3400;

/**
 * Computes the times of a kind whose changes must reach every host within a time. At worst a change is made
 * right after both watchers have received an answer, and they are cut off then: they count as watchers
 * for as long as their last answer is valid, the others learn from the next states that they do not, and read the
 * store at their next check.
 */
export function computeWatchTimes(
  stalenessMilliseconds = DEFAULT_STALENESS_MILLISECONDS,
): WatchTimes {
  const noticeMilliseconds =
    STATES_MILLISECONDS + CHECK_INTERVAL_MILLISECONDS + READ_MILLISECONDS + DELAY_MILLISECONDS;
  const betweenAnswers = Math.max(
    MIN_BETWEEN_ANSWERS_MILLISECONDS,
    stalenessMilliseconds - noticeMilliseconds - ANSWER_MILLISECONDS,
  );
  const watchMilliseconds = Math.min(
    MAX_WATCH_MILLISECONDS,
    Math.round(betweenAnswers * WATCH_FRACTION),
  );
  return {
    watchMilliseconds,
    standbyPauseMilliseconds: Math.min(
      MAX_STANDBY_PAUSE_MILLISECONDS,
      betweenAnswers - watchMilliseconds,
    ),
    validMilliseconds: betweenAnswers + ANSWER_MILLISECONDS,
  };
}
