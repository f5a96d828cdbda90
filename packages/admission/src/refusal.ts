import { createRefusal, REFUSAL, type Refusal } from '@bulrushspar/errors';
import { REFUSAL_CAUSE, type RefusalCause } from './decide.js';

/** Options of {@link createFullRefusal}. */
export interface FullRefusalOptions {
  readonly service: string;
  readonly cause: RefusalCause;
  /** Time until capacity is expected. */
  readonly expectedMilliseconds: number;
  /** @returns a number from 0 up to but not including 1 */
  readonly random: () => number;
}

const MILLISECONDS_PER_SECOND = 1000;
/** Callers return from this fraction of the expected time on, over a time as long as it. */
const EARLIEST_RETURN_FRACTION = 0.75;
/** Shortest time after which callers return: what hosts know of each other is as old. */
const MIN_RETRY_SECONDS = 0.2;

const MESSAGES: Readonly<Record<RefusalCause, string>> = {
  [REFUSAL_CAUSE.TOO_LATE]: 'are full, and would not serve the request in time',
  [REFUSAL_CAUSE.WAITED]: 'were full for as long as the request could wait',
  [REFUSAL_CAUSE.TOO_MANY]: 'are full, and too many requests wait for them',
};

/** Creates the refusal of a request whose servers are full; callers return spread over time. */
export function createFullRefusal(options: FullRefusalOptions): Refusal {
  const { service, cause, expectedMilliseconds, random } = options;
  const expected = Number.isFinite(expectedMilliseconds) ? expectedMilliseconds : 0;
  const seconds = Math.max(MIN_RETRY_SECONDS, expected / MILLISECONDS_PER_SECOND);
  return createRefusal({
    status: 503,
    code: REFUSAL.NO_CAPACITY,
    message: `the servers of service "${service}" that could run the request ${MESSAGES[cause]}`,
    retryAfterSeconds: seconds * (EARLIEST_RETURN_FRACTION + random()),
  });
}
