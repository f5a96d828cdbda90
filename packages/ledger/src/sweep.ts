import type { Clock } from '@bulrushspar/clock';
import type { ObjectStore } from '@bulrushspar/store';
import { CALL_KIND, type CallRecord } from './record.js';

/** Options of {@link sweepCalls}. */
export interface SweepOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  /** Called right before each removal; the sweep ends when it returns false. */
  readonly mayRemove: () => boolean;
}

/**
 * Removes expired call records.
 * @returns how many were removed
 */
export async function sweepCalls({ store, clock, mayRemove }: SweepOptions): Promise<number> {
  const { objects } = await store.list<CallRecord>(CALL_KIND);
  const now = clock.now().toISOString();
  const expired = objects.filter(({ value }) => value.expiresAt < now);
  let removed = 0;
  for (const { name, version } of expired) {
    if (!mayRemove()) break;
    // eslint-disable-next-line no-await-in-loop -- one removal at a time limits the load on the store
    await store.remove({ kind: CALL_KIND, name }, version);
    removed += 1;
  }
  return removed;
}
