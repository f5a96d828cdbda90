import { randomUUID } from 'node:crypto';
import { runPeriodically, type Clock } from '@bulrushspar/clock';
import { ABSENT, type ObjectStore } from '@bulrushspar/store';

/** Record of one change made by the system or an operator. */
export interface AuditRecord {
  /** ISO 8601 time. */
  readonly at: string;
  /** Host that recorded the change. */
  readonly host: string;
  /** Team that made the change, or `system`. */
  readonly author: string;
  /** Kind of change, such as `replica.decided`. */
  readonly action: string;
  /** Object that was changed. */
  readonly subject: string;
  readonly detail: string;
}

/** Records changes without blocking the caller. */
export interface AuditTrail {
  /** Adds a record to those pending; the author defaults to `system`. */
  record(entry: Pick<AuditRecord, 'action' | 'subject' | 'detail'> & { author?: string }): void;
  /** Writes the pending records to the store; on failure they stay pending. */
  flush(): Promise<void>;
  /** @returns at most `limit` records of all hosts, the newest first */
  read(limit: number): Promise<readonly AuditRecord[]>;
  /** Stops the periodic writes; pending records are not written. */
  stop(): void;
}

/** Options of {@link createAuditTrail}. */
export interface AuditTrailOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly host: string;
  /** Interval between writes of pending records, in milliseconds. */
  readonly flushIntervalMilliseconds?: number;
  /** Maximum number of pending records while the store is unavailable; the oldest are dropped. */
  readonly maxPendingRecords?: number;
  /** Called after each failed write with the number of dropped records, which may be 0. */
  readonly onDropped?: (records: number) => void;
}

const AUDIT_KIND = 'audit';

/** Creates the audit trail of one host. Records go to the store in batches. */
export function createAuditTrail(options: AuditTrailOptions): AuditTrail {
  const {
    store,
    clock,
    host,
    flushIntervalMilliseconds = 1000,
    maxPendingRecords = 5000,
  } = options;
  let pending: AuditRecord[] = [];
  let currentWrite: Promise<void> | undefined;

  const writePending = async (): Promise<void> => {
    const batch = pending;
    pending = [];
    const name = `${batch[0]!.at}-${host}-${randomUUID()}`;
    try {
      await store.write({ kind: AUDIT_KIND, name }, batch, ABSENT);
    } catch {
      // The failed write may have taken effect. Its records then appear twice, which readers can
      // recognize.
      const kept = [...batch, ...pending].slice(-maxPendingRecords);
      options.onDropped?.(batch.length + pending.length - kept.length);
      pending = kept;
    }
  };

  const flush = async (): Promise<void> => {
    await currentWrite;
    if (pending.length === 0) return;
    currentWrite = writePending();
    await currentWrite;
  };

  const stop = runPeriodically(clock, flushIntervalMilliseconds, () => {
    if (pending.length > 0) flush().catch(() => {});
  });

  return {
    record: ({ author = 'system', ...entry }) => {
      pending.push({ at: clock.now().toISOString(), host, author, ...entry });
    },
    flush,
    read: async (limit) => {
      const list = await store.list<readonly AuditRecord[]>(AUDIT_KIND);
      const records = list.objects.flatMap(({ value }) => value);
      return records.sort((a, b) => b.at.localeCompare(a.at)).slice(0, limit);
    },
    stop,
  };
}
