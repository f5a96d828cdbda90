/** Records of leases in the store. */
import type { Incarnation } from '@bulrushspar/store';

/** Record of a lease in the store. */
export interface LeaseRecord {
  /** Process that holds the lease; absent while the lease is free. */
  readonly holder?: Incarnation;
  /** Increases with each new holder; contains the era in which the holder acquired the lease. */
  readonly fencing: number;
  /** Host that held the lease before the current holder, if that was another host. */
  readonly former?: string;
  /** Unique for each write, so that a process recognizes its own write when it reads back. */
  readonly token: string;
}

/** Record of a lease that has never been held. */
export const UNHELD: LeaseRecord = { fencing: 0, token: '' };

const isIncarnation = (value: unknown): value is Incarnation =>
  typeof (value as Incarnation | null)?.host === 'string' &&
  typeof (value as Incarnation).incarnation === 'string';

/** @returns undefined if another writer has left something else in the place of the record */
export function parseRecord(value: unknown): LeaseRecord | undefined {
  const { holder, fencing, former, token } = (value ?? {}) as Partial<LeaseRecord>;
  const isValid =
    Number.isSafeInteger(fencing) &&
    fencing! >= 0 &&
    typeof token === 'string' &&
    (holder === undefined || isIncarnation(holder)) &&
    (former === undefined || typeof former === 'string');
  return isValid ? (value as LeaseRecord) : undefined;
}
