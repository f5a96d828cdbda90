import { randomUUID } from 'node:crypto';
import type { Clock } from '@bulrushspar/clock';
import {
  ABSENT,
  RETRIED_WRITE_OUTCOME,
  writeWithRetry,
  createStoreError,
  EFFECT,
  type ObjectKey,
  type ObjectStore,
} from '@bulrushspar/store';

interface TokenedRecord {
  readonly token: string;
}

/** Options of {@link createUpdater}. */
export interface UpdaterOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  /** Maximum time to determine the outcome of one write whose answers are lost, in milliseconds. */
  readonly writeTimeoutMilliseconds?: number;
}

/**
 * Changes a record by compare-and-swap and retries when another host changed it first.
 * @param initial value of a record that does not exist yet
 * @param change computes the next record from the present one; undefined leaves it unchanged
 * @returns the record as stored after the update
 */
export type Updater = <Value extends TokenedRecord>(
  key: ObjectKey,
  initial: Value,
  change: (present: Value) => Omit<Value, 'token'> | undefined,
) => Promise<Value>;

const MAX_UPDATE_ATTEMPTS = 30;

/** Creates an updater. It throws a StoreError when the outcome of a write stays unknown. */
export function createUpdater(options: UpdaterOptions): Updater {
  const { store, clock, writeTimeoutMilliseconds = 10_000 } = options;
  return async (key, initial, change) => {
    for (let attempt = 0; attempt < MAX_UPDATE_ATTEMPTS; attempt += 1) {
      // eslint-disable-next-line no-await-in-loop -- each attempt starts from the stored record
      const stored = await store.read<typeof initial>(key);
      const present = stored?.value ?? initial;
      const next = change(present);
      if (next === undefined) return present;
      const value = { ...next, token: randomUUID() } as typeof initial;
      // eslint-disable-next-line no-await-in-loop -- each attempt starts from the stored record
      const settled = await writeWithRetry({
        store,
        clock,
        key,
        value,
        expected: stored?.version ?? ABSENT,
        isOwnWrite: ({ token }) => token === value.token,
        timeoutMilliseconds: writeTimeoutMilliseconds,
      });
      if (settled.outcome === RETRIED_WRITE_OUTCOME.WRITTEN) return value;
      if (settled.outcome !== RETRIED_WRITE_OUTCOME.CONFLICT) break;
    }
    throw createStoreError(
      EFFECT.UNKNOWN,
      `record ${key.kind}/${key.name} could not be updated: other hosts kept changing it, or the store did not confirm the write`,
    );
  };
}
