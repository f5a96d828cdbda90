import { randomUUID } from 'node:crypto';
import type { Clock } from '@bulrushspar/clock';
import {
  ABSENT,
  SETTLED,
  settleWrite,
  createStoreError,
  EFFECT,
  type ObjectKey,
  type ObjectStore,
} from '@bulrushspar/store';

interface Tokened {
  readonly token: string;
}

/** Options of {@link createUpdater}. */
export interface UpdaterOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  /** Time given to one write whose answers are lost, in milliseconds. */
  readonly settleMilliseconds?: number;
}

/**
 * Changes a record by conditional updates.
 * @param change makes the next record from the present one; undefined leaves it as it is
 * @returns the record that is in force, once that is certain
 */
export type Updater = <Value extends Tokened>(
  key: ObjectKey,
  initial: Value,
  change: (present: Value) => Omit<Value, 'token'> | undefined,
) => Promise<Value>;

const CONTENDER_TRIES = 30;

/** Creates an updater. It throws a StoreError when the outcome cannot be made certain. */
export function createUpdater(options: UpdaterOptions): Updater {
  const { store, clock, settleMilliseconds = 10_000 } = options;
  return async (key, initial, change) => {
    for (let tries = 0; tries < CONTENDER_TRIES; tries += 1) {
      // eslint-disable-next-line no-await-in-loop -- each try starts from what the store holds now
      const found = await store.read<typeof initial>(key);
      const present = found?.value ?? initial;
      const next = change(present);
      if (next === undefined) return present;
      const value = { ...next, token: randomUUID() } as typeof initial;
      // eslint-disable-next-line no-await-in-loop -- each try starts from what the store holds now
      const settled = await settleWrite({
        store,
        clock,
        key,
        value,
        expected: found?.version ?? ABSENT,
        isOurs: ({ token }) => token === value.token,
        withinMilliseconds: settleMilliseconds,
      });
      if (settled.outcome === SETTLED.WRITTEN) return value;
      if (settled.outcome !== SETTLED.CONFLICT) break;
    }
    throw createStoreError(EFFECT.UNKNOWN, `${key.kind}/${key.name} could not be updated`);
  };
}
