/** Measures how far the event loop of a host is behind, and refuses requests while it is. */
import type { Clock } from '@bulrushspar/clock';
import { createRefusal, REFUSAL, type Refusal } from '@bulrushspar/errors';
import type { Logger } from '@bulrushspar/logging';

/** The load of one host's event loop. */
export interface OverloadControl {
  /** @returns the time by which the event loop was late at the last measurement, in milliseconds */
  delayMilliseconds(): number;
  /** Whether events that have already happened, such as closed connections, may not be read yet. */
  isBehind(): boolean;
  /** Records that a connection was accepted. */
  recordConnection(): void;
  /**
   * Returns the longest time that input which is read now may have waited, in milliseconds; 0 unless the
   * host is behind.
   * @param isNewConnection the input is the first one of a connection that was accepted a short time ago
   */
  waitedMilliseconds(isNewConnection: boolean): number;
  /** @returns the refusal of a request that would be served too late; undefined if it may be served */
  findRefusal(): Refusal | undefined;
  /** @returns the fraction of requests that may be served, from 0 to 1 */
  admittedFraction(): number;
  stop(): void;
}

/** Options of {@link createOverloadControl}. */
export interface OverloadControlOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly random?: () => number;
  /** Runs an action in the next turn of the event loop, after its input; `setImmediate` by default. */
  readonly runInNextTurn?: (action: () => void) => void;
}

const INTERVAL_MILLISECONDS = 50;
/** Longer delays of the event loop reduce the admitted fraction. */
const MAX_DELAY_MILLISECONDS = 200;
/** Shorter delays increase the admitted fraction. */
const LOW_DELAY_MILLISECONDS = 100;
const DECREASE_FACTOR = 0.7;
const INCREASE = 0.05;
/** Some requests are always served, so that the host notices when their cost falls. */
const MIN_ADMITTED_FRACTION = 0.02;
/** Callers return over this time, so that they do not all return at once. */
const MIN_RETRY_SECONDS = 0.25;
const RETRY_SPREAD_SECONDS = 1;

/** Turns that are longer on average keep connections waiting, as one is accepted in each. */
const LONG_TURN_MILLISECONDS = 10;

/** Creates the control of one host, and starts to measure. */
export function createOverloadControl(options: OverloadControlOptions): OverloadControl {
  const { clock, logger, random = Math.random, runInNextTurn = setImmediate } = options;
  let delay = 0;
  /** Since when each turn has accepted a connection, so that more of them may be waiting. */
  let backlogSince: number | undefined;
  let backlogTurns = 0;
  let hasAccepted = false;
  let admitted = 1;
  let refusedCount = 0;
  let lateCount = 0;
  /** Times of the last three measurements; the event loop reads its input after each. */
  let measuredAt: readonly [number, number, number] = [
    clock.monotonic(),
    clock.monotonic(),
    clock.monotonic(),
  ];

  const watchBacklog = (): void => {
    if (!hasAccepted) {
      backlogSince = undefined;
      return;
    }
    hasAccepted = false;
    backlogTurns += 1;
    runInNextTurn(watchBacklog);
  };

  const backlogMilliseconds = (): number => {
    if (backlogSince === undefined) return 0;
    const milliseconds = clock.monotonic() - backlogSince;
    return milliseconds > LONG_TURN_MILLISECONDS * backlogTurns ? milliseconds : 0;
  };

  const adjust = (): void => {
    const before = admitted;
    delay = Math.max(delay, backlogMilliseconds());
    lateCount = delay > MAX_DELAY_MILLISECONDS ? lateCount + 1 : 0;
    // A single pause of the process, such as a garbage collection, is no overload.
    if (lateCount > 1) admitted = Math.max(MIN_ADMITTED_FRACTION, admitted * DECREASE_FACTOR);
    else if (delay < LOW_DELAY_MILLISECONDS) admitted = Math.min(1, admitted + INCREASE);
    if (before === 1 && admitted < 1) {
      refusedCount = 0;
      logger.warn('host is overloaded', { delayMilliseconds: Math.round(delay) });
    } else if (before < 1 && admitted === 1)
      logger.info('host is not overloaded any more', { refused: refusedCount });
  };

  let cancel = (): void => {};
  const schedule = (): void => {
    cancel = clock.after(INTERVAL_MILLISECONDS, () => {
      const now = clock.monotonic();
      const [last, previous] = measuredAt;
      measuredAt = [now, last, previous];
      delay = Math.max(0, now - last - INTERVAL_MILLISECONDS);
      adjust();
      schedule();
    });
  };
  schedule();

  return {
    delayMilliseconds: () => delay,
    isBehind: () =>
      Math.max(delay, clock.monotonic() - measuredAt[0] - INTERVAL_MILLISECONDS) >
      LOW_DELAY_MILLISECONDS,
    recordConnection: () => {
      hasAccepted = true;
      if (backlogSince !== undefined) return;
      backlogSince = clock.monotonic();
      backlogTurns = 0;
      // The first turn ends this one.
      runInNextTurn(() => runInNextTurn(watchBacklog));
    },
    waitedMilliseconds: (isNewConnection) => {
      const [, previous, oldest] = measuredAt;
      // The first input of a connection may have come before the connection was accepted.
      const since = isNewConnection ? oldest : previous;
      const intervals = isNewConnection ? 3 : 2;
      const sinceRead = clock.monotonic() - since - intervals * INTERVAL_MILLISECONDS;
      return Math.max(0, sinceRead, isNewConnection ? backlogMilliseconds() : 0);
    },
    findRefusal: () => {
      if (admitted === 1 || random() < admitted) return undefined;
      refusedCount += 1;
      return createRefusal({
        status: 503,
        code: REFUSAL.NO_CAPACITY,
        message: 'this host has more requests than it can serve in time',
        retryAfterSeconds: MIN_RETRY_SECONDS + random() * RETRY_SPREAD_SECONDS,
      });
    },
    admittedFraction: () => admitted,
    stop: () => cancel(),
  };
}
