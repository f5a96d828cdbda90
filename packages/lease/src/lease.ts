import { randomUUID } from 'node:crypto';
import {
  startMonotonicStopwatch,
  startStopwatch,
  type Clock,
  type Stopwatch,
} from '@bulrushspar/clock';
import {
  ABSENT,
  composeVersion,
  eraOf,
  isSameIncarnation,
  RETRIED_WRITE_OUTCOME,
  revisionOf,
  writeWithRetry,
  type Incarnation,
  type ObjectStore,
  type Version,
} from '@bulrushspar/store';
import { parseRecord, UNHELD, type LeaseRecord } from './record.js';

/** Exclusive right that one process holds at a time. */
export interface Lease {
  /**
   * Checks whether this process holds the lease now. Call it immediately before each protected
   * action.
   * @returns the fencing number of the current term, or undefined if the lease is not held
   */
  currentFencing(): number | undefined;
  /**
   * Like {@link Lease.currentFencing}, but undefined until the handover from another host has ended.
   * For actions that must be separated by a pause when the lease changes hosts.
   * @param object target of the action, if each object has a handover of its own
   * @returns the fencing number, or undefined
   */
  fencingAfterHandover(object?: string): number | undefined;
  /** Milliseconds until the handover ends; 0 if there is none. */
  handoverRemainingMilliseconds(object?: string): number;
  /** Host that held the lease before this one; undefined if there was none. */
  formerHost(): string | undefined;
  /** Milliseconds since the last confirmed renewal; Infinity while the lease is not held. */
  millisecondsSinceRenewal(): number;
  /**
   * Ends the term immediately without writing to the store, so that the process can announce it to
   * other hosts first. This process never holds the lease again under the same fencing number.
   */
  abandon(): void;
  /** Acquires and renews the lease until the signal aborts, then releases it. */
  run(signal: AbortSignal): Promise<void>;
}

/** Options of {@link createLease}. */
export interface LeaseOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly name: string;
  readonly self: Incarnation;
  /** Whether this process tries to acquire the lease; evaluated before each attempt. */
  readonly isContender?: () => boolean;
  readonly onChange?: (held: boolean) => void;
  /** Whether the holder with this fencing number has announced the end of its term. */
  readonly isAbandoned?: (fencing: number) => boolean;
  /** Validity of one renewal, in milliseconds. */
  readonly termMilliseconds?: number;
  /** The store's era; a record of an earlier era does not show who has held the lease since. */
  readonly currentEra?: () => number;
  /** Whether the store may have lost the record of a lease that a process still holds. */
  readonly mayHaveLostRecords?: () => boolean;
  /** Whether greater fencing numbers than those of the current era may have been given out. */
  readonly mayHaveLostNumbers?: () => boolean;
  /** Minimum milliseconds between the last action of one host and the first of the next. */
  readonly handoverMilliseconds?: number;
  /**
   * Milliseconds since the former host's last action on an object, or on any if the object is
   * undefined.
   * @returns undefined if that host has not reported it
   */
  readonly millisecondsSinceFormerAction?: (
    former: string,
    fencing: number,
    object: string | undefined,
  ) => number | undefined;
}

/** Kind of the lease records; the object name is the name of the lease. */
export const LEASE_KIND = 'lease';

const RENEWALS_PER_TERM = 4;
/** Terms without a renewal after which a lease has expired; more than 1, for clocks that drift. */
const EXPIRY_TERMS = 1.25;

/** Former host of a lease whose record the store may have lost. */
const UNKNOWN_HOST = '?';

/** Version of the lease record and the time since this process first read it. */
interface ObservedVersion {
  readonly version: Version;
  readonly era: number;
  readonly since: Stopwatch;
}

/**
 * Creates a lease. The holder measures its term from before it sends a renewal, by the greater
 * advance of the wall clock and the monotonic clock. A contender measures from after it has read
 * the last renewal, by the monotonic clock only. A holder that was paused therefore finds its term
 * expired before another process can start a new one.
 */
export function createLease(options: LeaseOptions): Lease {
  const { store, clock, name, self, isContender = () => true, onChange = () => {} } = options;
  const { termMilliseconds = 8000, isAbandoned = () => false } = options;
  const { currentEra = () => 0, mayHaveLostRecords = () => false } = options;
  const { mayHaveLostNumbers = () => false } = options;
  const { handoverMilliseconds = 0, millisecondsSinceFormerAction = () => undefined } = options;
  const key = { kind: LEASE_KIND, name };
  const renewalIntervalMilliseconds = termMilliseconds / RENEWALS_PER_TERM;
  let lastRenewal:
    { readonly since: Stopwatch; readonly fencing: number; readonly version: Version } | undefined;
  let observed: ObservedVersion | undefined;
  let hasReadRecord = false;
  let reportedHeld = false;
  let formerHost: string | undefined;
  let formerFencing = 0;
  /** Fencing number of the current or last term of this process. */
  let termFencing: number | undefined;
  let abandonedFencing: number | undefined;
  let sinceAcquired: Stopwatch | undefined;
  /** Lower bound for the time between the end of the former term and this acquisition. */
  let expiredMilliseconds = 0;

  const isOfCurrentEra = (fencing: number): boolean => eraOf(fencing) === currentEra();

  const heldFencing = (): number | undefined =>
    lastRenewal && lastRenewal.since() < termMilliseconds && isOfCurrentEra(lastRenewal.fencing)
      ? lastRenewal.fencing
      : undefined;

  // The former host may have acted shortly before. Without its report, its last action is assumed
  // to be at the end of its term.
  const handoverRemainingMilliseconds = (object?: string): number => {
    if (formerHost === undefined || formerHost === self.host || !sinceAcquired) return 0;
    const formerActionMilliseconds =
      millisecondsSinceFormerAction(formerHost, formerFencing, object) ?? 0;
    return Math.max(
      0,
      handoverMilliseconds -
        Math.max(formerActionMilliseconds, sinceAcquired() + expiredMilliseconds),
    );
  };

  const isInHandover = (object?: string): boolean => handoverRemainingMilliseconds(object) > 0;

  const notifyIfChanged = (): void => {
    const isHeld = heldFencing() !== undefined;
    if (isHeld !== reportedHeld) onChange(isHeld);
    reportedHeld = isHeld;
  };

  const isSelf = (holder: Incarnation | undefined): boolean => isSameIncarnation(holder, self);

  const writeRecord = async (
    expected: Version,
    record: Omit<LeaseRecord, 'token'>,
  ): Promise<void> => {
    const since = startStopwatch(clock);
    const value = { ...record, token: randomUUID() };
    const settled = await writeWithRetry<LeaseRecord>({
      store,
      clock,
      key,
      value,
      expected,
      isOwnWrite: ({ token }) => token === value.token,
      timeoutMilliseconds: renewalIntervalMilliseconds,
    });
    const isAbandonedTerm = record.fencing === abandonedFencing;
    if (
      settled.outcome === RETRIED_WRITE_OUTCOME.WRITTEN &&
      isSelf(record.holder) &&
      eraOf(settled.version) === eraOf(record.fencing) &&
      !isAbandonedTerm
    ) {
      lastRenewal = { since, fencing: record.fencing, version: settled.version };
      termFencing = record.fencing;
    }
    // Another process has written the record, or this one by a renewal of which it does not know.
    if (settled.outcome === RETRIED_WRITE_OUTCOME.CONFLICT) lastRenewal = undefined;
  };

  /** Whether the record has not changed for longer than a term can last. */
  const isExpired = (version: Version): boolean => {
    const era = currentEra();
    if (observed?.version !== version || observed.era !== era)
      observed = { version, era, since: startMonotonicStopwatch(clock) };
    return observed.since() > termMilliseconds * EXPIRY_TERMS;
  };

  /**
   * Returns a fencing number above all that may have been given out, also under records that the
   * store has lost. Within an era, only one write can replace a version.
   * @param fencing undefined if the record cannot be read
   */
  const nextFencing = (fencing: number | undefined, replaced: Version): number => {
    const era = currentEra();
    if (era === 0 && fencing !== undefined) return fencing + 1;
    // Each new holder writes the record, so that no fencing number exceeds the version of one.
    if (fencing === undefined) return composeVersion(era, revisionOf(replaced)) + 1;
    return Math.max(fencing, composeVersion(era, revisionOf(replaced))) + 1;
  };

  /** Keeps the former host in the record, so that a restart during a handover continues it. */
  const renew = (version: Version, fencing: number): Promise<void> =>
    writeRecord(version, {
      holder: self,
      fencing,
      ...(isInHandover() ? { former: formerHost } : {}),
    });

  const renewOrAcquire = async (): Promise<void> => {
    if (lastRenewal && heldFencing() !== undefined) {
      await renew(lastRenewal.version, lastRenewal.fencing);
      return;
    }
    const found = await store.read<unknown>(key);
    const record = found && parseRecord(found.value);
    hasReadRecord ||= record !== undefined;
    // Without a record, nothing shows how far the fencing numbers have got.
    if (!hasReadRecord && mayHaveLostNumbers()) return;
    const version = found?.version ?? ABSENT;
    const { holder, fencing, former } = record ?? UNHELD;
    // A later record may have been lost or overwritten, with a holder whose term has not ended.
    const isLost = found ? !record || !isOfCurrentEra(fencing) : mayHaveLostRecords();
    if (isSelf(holder) && !isLost && fencing !== abandonedFencing) {
      await renew(version, fencing);
      return;
    }
    lastRenewal = undefined;
    const isTermOver =
      !isLost && (holder === undefined || holder.host === self.host || isAbandoned(fencing));
    const isAvailable = isTermOver || isExpired(version);
    if (!isAvailable) return;
    const wasOwnHost = holder?.host === self.host;
    formerHost = isLost
      ? UNKNOWN_HOST
      : ((wasOwnHost ? former : undefined) ?? holder?.host ?? former);
    formerFencing = fencing;
    sinceAcquired = startMonotonicStopwatch(clock);
    expiredMilliseconds = isTermOver ? 0 : observed!.since() - termMilliseconds;
    await writeRecord(version, {
      holder: self,
      fencing: nextFencing(found && !record ? undefined : fencing, version),
      former: formerHost,
    });
  };

  const release = async (): Promise<void> => {
    lastRenewal = undefined;
    const found = await store.read<unknown>(key);
    const record = found && parseRecord(found.value);
    if (!record || !isSelf(record.holder)) return;
    // A release within the handover must not shorten it for the next holder.
    const former = isInHandover() ? formerHost! : self.host;
    await writeRecord(found.version, { fencing: record.fencing, former });
  };

  return {
    currentFencing: heldFencing,
    fencingAfterHandover: (object) => (isInHandover(object) ? undefined : heldFencing()),
    handoverRemainingMilliseconds,
    formerHost: () => formerHost,
    millisecondsSinceRenewal: () => lastRenewal?.since() ?? Number.POSITIVE_INFINITY,
    abandon: () => {
      // The last renewal is not known any more after a conflict, though the record may be of this term.
      abandonedFencing = termFencing ?? abandonedFencing;
      lastRenewal = undefined;
      notifyIfChanged();
    },
    run: async (signal) => {
      while (!signal.aborted) {
        // eslint-disable-next-line no-await-in-loop -- attempts are sequential
        if (isContender() || lastRenewal) await renewOrAcquire().catch(() => {});
        notifyIfChanged();
        // eslint-disable-next-line no-await-in-loop -- attempts are sequential
        await clock.delay(renewalIntervalMilliseconds, signal);
      }
      await release().catch(() => {});
      notifyIfChanged();
    },
  };
}
