import { startStopwatch, type Clock } from '@bulrushspar/clock';
import {
  WRITE_OUTCOME,
  type ObjectKey,
  type ObjectStore,
  type Version,
  type WriteAnswer,
} from './store.js';
import { EFFECT, isStoreError } from './failure.js';

/** How a settled write ended. */
export const SETTLED = {
  WRITTEN: 'written',
  CONFLICT: 'conflict',
  /** Certainly without effect, now and later. */
  NOT_WRITTEN: 'not-written',
  /** It may have taken effect, or may still. */
  UNKNOWN: 'unknown',
} as const;

/** Result of {@link settleWrite}. */
export type Settled =
  | { readonly outcome: typeof SETTLED.WRITTEN; readonly version: Version }
  | {
      readonly outcome:
        typeof SETTLED.CONFLICT | typeof SETTLED.NOT_WRITTEN | typeof SETTLED.UNKNOWN;
    };

/** Options of {@link settleWrite}. */
export interface SettleOptions<Value> {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly key: ObjectKey;
  readonly value: Value;
  readonly expected: Version;
  /** Recognizes this very write when the object is read back. */
  readonly isOurs: (value: Value) => boolean;
  /** Time after which the outcome is given as it is known, in milliseconds. */
  readonly withinMilliseconds: number;
  /** Pause between tries, in milliseconds. */
  readonly pauseMilliseconds?: number;
}

type Attempt = WriteAnswer | { readonly outcome: 'unanswered'; readonly mayHaveEffect: boolean };

async function attemptWrite<Value>(options: SettleOptions<Value>): Promise<Attempt> {
  try {
    return await options.store.write(options.key, options.value, options.expected);
  } catch (error) {
    if (!isStoreError(error)) throw error;
    return { outcome: 'unanswered', mayHaveEffect: error.effect === EFFECT.UNKNOWN };
  }
}

/** After a conflict that may be with our own earlier try: whose is the stored value? */
async function readBack<Value>(options: SettleOptions<Value>): Promise<Settled | undefined> {
  try {
    const found = await options.store.read<Value>(options.key);
    if (found && options.isOurs(found.value)) {
      return { outcome: SETTLED.WRITTEN, version: found.version };
    }
    return { outcome: SETTLED.CONFLICT };
  } catch (error) {
    if (!isStoreError(error)) throw error;
    return undefined;
  }
}

/**
 * Makes one conditional write and finds out whether it took effect, through lost answers.
 * Repeating the same conditional write is idempotent: at most one of the tries can match the
 * expected version, and reading back tells whether it was ours.
 */
export async function settleWrite<Value>(options: SettleOptions<Value>): Promise<Settled> {
  const { clock, withinMilliseconds, pauseMilliseconds = 50 } = options;
  const elapsed = startStopwatch(clock);
  let mayHaveEffect = false;
  do {
    // eslint-disable-next-line no-await-in-loop -- tries follow one another
    const attempt = await attemptWrite(options);
    if (attempt.outcome === WRITE_OUTCOME.WRITTEN) return attempt;
    if (attempt.outcome === WRITE_OUTCOME.CONFLICT) {
      if (!mayHaveEffect) return { outcome: SETTLED.CONFLICT };
      // eslint-disable-next-line no-await-in-loop -- tries follow one another
      const settled = await readBack(options);
      if (settled) return settled;
    } else {
      mayHaveEffect ||= attempt.mayHaveEffect;
    }
    // eslint-disable-next-line no-await-in-loop -- tries follow one another
    await clock.delay(pauseMilliseconds);
  } while (elapsed() < withinMilliseconds);
  return { outcome: mayHaveEffect ? SETTLED.UNKNOWN : SETTLED.NOT_WRITTEN };
}
