import { startStopwatch, type Clock } from '@bulrushspar/clock';
import {
  WRITE_OUTCOME,
  type ObjectKey,
  type ObjectStore,
  type Version,
  type WriteAnswer,
} from './store.js';
import { EFFECT, isStoreError } from './failure.js';

/** Outcomes of {@link writeWithRetry}. */
export const RETRIED_WRITE_OUTCOME = {
  WRITTEN: 'written',
  CONFLICT: 'conflict',
  /** The write had no effect and can have none later. */
  NOT_WRITTEN: 'not-written',
  /** The write may have taken effect, or may do so later. */
  UNKNOWN: 'unknown',
} as const;

/** Result of {@link writeWithRetry}. */
export type RetriedWriteResult =
  | { readonly outcome: typeof RETRIED_WRITE_OUTCOME.WRITTEN; readonly version: Version }
  | {
      readonly outcome:
        | typeof RETRIED_WRITE_OUTCOME.CONFLICT
        | typeof RETRIED_WRITE_OUTCOME.NOT_WRITTEN
        | typeof RETRIED_WRITE_OUTCOME.UNKNOWN;
    };

/** Options of {@link writeWithRetry}. */
export interface RetriedWriteOptions<Value> {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly key: ObjectKey;
  readonly value: Value;
  readonly expected: Version;
  /** Returns whether a value that is read back was stored by this write. */
  readonly isOwnWrite: (value: Value) => boolean;
  /** Milliseconds after which retries end and the outcome known so far is returned. */
  readonly timeoutMilliseconds: number;
  /** Delay between attempts, in milliseconds; 50 by default. */
  readonly retryDelayMilliseconds?: number;
}

type WriteAttempt =
  WriteAnswer | { readonly outcome: 'unanswered'; readonly mayHaveEffect: boolean };

async function attemptWrite<Value>(options: RetriedWriteOptions<Value>): Promise<WriteAttempt> {
  try {
    return await options.store.write(options.key, options.value, options.expected);
  } catch (error) {
    if (!isStoreError(error)) throw error;
    return { outcome: 'unanswered', mayHaveEffect: error.effect === EFFECT.UNKNOWN };
  }
}

/**
 * Reads the object after a conflict that an earlier attempt of the same write may have caused.
 * @returns the outcome, or undefined if the store does not answer
 */
async function readBack<Value>(
  options: RetriedWriteOptions<Value>,
): Promise<RetriedWriteResult | undefined> {
  try {
    const found = await options.store.read<Value>(options.key);
    if (found && found.value !== null && options.isOwnWrite(found.value)) {
      return { outcome: RETRIED_WRITE_OUTCOME.WRITTEN, version: found.version };
    }
    return { outcome: RETRIED_WRITE_OUTCOME.CONFLICT };
  } catch (error) {
    if (!isStoreError(error)) throw error;
    return undefined;
  }
}

/**
 * Makes a conditional write and retries it when an answer is lost, until its outcome is known or
 * the timeout has passed. The retry is idempotent: at most one attempt can match the expected
 * version. After a conflict, reading the object back shows whether an earlier attempt was stored.
 */
export async function writeWithRetry<Value>(
  options: RetriedWriteOptions<Value>,
): Promise<RetriedWriteResult> {
  const { clock, timeoutMilliseconds, retryDelayMilliseconds = 50 } = options;
  const elapsed = startStopwatch(clock);
  let mayHaveEffect = false;
  do {
    // eslint-disable-next-line no-await-in-loop -- attempts run one after another
    const attempt = await attemptWrite(options);
    if (attempt.outcome === WRITE_OUTCOME.WRITTEN) return attempt;
    if (attempt.outcome === WRITE_OUTCOME.CONFLICT) {
      if (!mayHaveEffect) return { outcome: RETRIED_WRITE_OUTCOME.CONFLICT };
      // eslint-disable-next-line no-await-in-loop -- attempts run one after another
      const result = await readBack(options);
      if (result) return result;
    } else {
      mayHaveEffect ||= attempt.mayHaveEffect;
    }
    // eslint-disable-next-line no-await-in-loop -- attempts run one after another
    await clock.delay(retryDelayMilliseconds);
  } while (elapsed() < timeoutMilliseconds);
  return {
    outcome: mayHaveEffect ? RETRIED_WRITE_OUTCOME.UNKNOWN : RETRIED_WRITE_OUTCOME.NOT_WRITTEN,
  };
}
