import { randomUUID } from 'node:crypto';
import { every, type Clock } from '@bulrushspar/clock';
import { ABSENT, type ObjectStore } from '@bulrushspar/store';

/** One change made by the system or an operator. */
export interface AuditRecord {
  /** ISO 8601 time. */
  readonly at: string;
  /** Host that made it. */
  readonly host: string;
  /** Team or `system`. */
  readonly author: string;
  /** What was done, such as `replica.decided`. */
  readonly action: string;
  /** What it was done to. */
  readonly subject: string;
  readonly detail: string;
}

/** Records changes; never blocks the work that it records. */
export interface AuditTrail {
  record(entry: Pick<AuditRecord, 'action' | 'subject' | 'detail'> & { author?: string }): void;
  /** Writes what is pending until the store has taken it. */
  flush(): Promise<void>;
  /** @returns records of all hosts, the newest first */
  read(limit: number): Promise<readonly AuditRecord[]>;
  stop(): void;
}

/** Options of {@link createAuditTrail}. */
export interface AuditTrailOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly host: string;
  /** Time between writes of what is pending, in milliseconds. */
  readonly flushMilliseconds?: number;
  /** Records kept while the store is away; the oldest are dropped beyond. */
  readonly pendingRecords?: number;
  readonly onDropped?: (records: number) => void;
}

const KIND = 'audit';

/** Creates the audit trail of one host. Records go to the store in batches. */
export function createAuditTrail(options: AuditTrailOptions): AuditTrail {
  const { store, clock, host, flushMilliseconds = 1000, pendingRecords = 5000 } = options;
  let pending: AuditRecord[] = [];
  let writing: Promise<void> | undefined;

  const writePending = async (): Promise<void> => {
    const batch = pending;
    pending = [];
    const name = `${batch[0]!.at}-${host}-${randomUUID()}`;
    try {
      await store.write({ kind: KIND, name }, batch, ABSENT);
    } catch {
      // The batch may have been written; its records then appear twice, which a reader can see.
      const kept = [...batch, ...pending].slice(-pendingRecords);
      options.onDropped?.(batch.length + pending.length - kept.length);
      pending = kept;
    }
  };

  const flush = async (): Promise<void> => {
    await writing;
    if (pending.length === 0) return;
    writing = writePending();
    await writing;
  };

  const stop = every(clock, flushMilliseconds, () => {
    if (pending.length > 0) flush().catch(() => {});
  });

  return {
    record: ({ author = 'system', ...entry }) => {
      pending.push({ at: clock.now().toISOString(), host, author, ...entry });
    },
    flush,
    read: async (limit) => {
      const list = await store.list<readonly AuditRecord[]>(KIND);
      const records = list.objects.flatMap(({ value }) => value);
      return records.sort((a, b) => b.at.localeCompare(a.at)).slice(0, limit);
    },
    stop,
  };
}
