import { randomUUID } from 'node:crypto';
import { startSlowStopwatch, startStopwatch, type Clock, type Stopwatch } from '@bulrushspar/clock';
import {
  ABSENT,
  isSameIncarnation,
  SETTLED,
  settleWrite,
  type Incarnation,
  type ObjectStore,
  type StoredObject,
  type Version,
} from '@bulrushspar/store';

/** What the store holds of a lease. */
export interface LeaseRecord {
  /** Nobody where absent. */
  readonly holder?: Incarnation;
  /** Higher for each new holder. */
  readonly fencing: number;
  /** Host that had the duty before, where another one has it now. */
  readonly former?: string;
  /** Unique for each write. */
  readonly token: string;
}

/** A duty that one process has at a time. */
export interface Lease {
  /**
   * Tells whether this process has the duty at this very moment; to be asked right before each act.
   * @returns the fencing number of the act, or undefined
   */
  held(): number | undefined;
  /**
   * Fencing number if the duty is held and the handover from another host is over. To be asked
   * instead of held where the doers must not follow each other too closely.
   * @param object on which the duty is done, where each has a handover of its own
   */
  acts(object?: string): number | undefined;
  /** Milliseconds until the duty that is held may be acted on; 0 where it may be now. */
  actsIn(object?: string): number;
  /** Host that had the duty before this one; undefined where there was none. */
  former(): string | undefined;
  /** Milliseconds since the last renewal that the store has confirmed; infinite without the duty. */
  sinceRenewed(): number;
  /**
   * Ends the duty at once, without a word to the store, so that the process may tell the others.
   * It does not take the duty up again under the same fencing number.
   */
  abandon(): void;
  /** Contends and renews until the signal, then gives the lease back. */
  run(signal: AbortSignal): Promise<void>;
}

/** Options of {@link createLease}. */
export interface LeaseOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly name: string;
  readonly self: Incarnation;
  /** Tells whether this process contends; read anew at each turn. */
  readonly contends?: () => boolean;
  readonly onChange?: (held: boolean) => void;
  /** Tells whether the holder with a fencing number has said itself that its duty is over. */
  readonly isAbandoned?: (fencing: number) => boolean;
  /** Time for which one renewal lasts, in milliseconds. */
  readonly termMilliseconds?: number;
  /** Pause between the last act of one host and the first of another, in milliseconds. */
  readonly handoverMilliseconds?: number;
  /** Milliseconds since the last act of the former host, on an object or any, where it has told. */
  readonly sinceFormerAct?: (
    former: string,
    fencing: number,
    object: string | undefined,
  ) => number | undefined;
}

/** Kind of the lease records; named by duty. */
export const LEASE_KIND = 'lease';

const RENEWALS_PER_TERM = 4;
/** Terms for which a contender must see no renewal; more than one, for clocks that drift. */
const QUIET_TERMS = 1.25;

interface Sighting {
  readonly version: Version;
  readonly since: Stopwatch;
}

const FREE: LeaseRecord = { fencing: 0, token: '' };

/**
 * Creates a lease. Its holder measures from before each renewal and trusts whichever of its clocks
 * ran further; a contender measures from after it saw the last renewal, by the clock that never
 * jumps. So a holder that was paused knows that its term is over before anybody begins another.
 */
export function createLease(options: LeaseOptions): Lease {
  const { store, clock, name, self, contends = () => true, onChange = () => {} } = options;
  const { termMilliseconds = 8000, isAbandoned = () => false } = options;
  const { handoverMilliseconds = 0, sinceFormerAct = () => undefined } = options;
  const key = { kind: LEASE_KIND, name };
  const turnMilliseconds = termMilliseconds / RENEWALS_PER_TERM;
  let renewed:
    { readonly since: Stopwatch; readonly fencing: number; readonly version: Version } | undefined;
  let sighting: Sighting | undefined;
  let told = false;
  let formerHost: string | undefined;
  let formerFencing = 0;
  let abandoned: number | undefined;
  let sinceTaken: Stopwatch | undefined;
  /** Milliseconds for which the former term was certainly over when this one was taken. */
  let endedBefore = 0;

  const held = (): number | undefined =>
    renewed && renewed.since() < termMilliseconds ? renewed.fencing : undefined;

  /** Another host may have acted so lately that this one must wait. */
  const actsIn = (object?: string): number => {
    if (formerHost === undefined || formerHost === self.host || !sinceTaken) return 0;
    const formerAct = sinceFormerAct(formerHost, formerFencing, object) ?? 0;
    return Math.max(0, handoverMilliseconds - Math.max(formerAct, sinceTaken() + endedBefore));
  };

  const inHandover = (object?: string): boolean => actsIn(object) > 0;

  const tell = (): void => {
    const now = held() !== undefined;
    if (now !== told) onChange(now);
    told = now;
  };

  const isSelf = (holder: Incarnation | undefined): boolean => isSameIncarnation(holder, self);

  const write = async (expected: Version, record: Omit<LeaseRecord, 'token'>): Promise<void> => {
    const since = startStopwatch(clock);
    const value = { ...record, token: randomUUID() };
    const settled = await settleWrite<LeaseRecord>({
      store,
      clock,
      key,
      value,
      expected,
      isOurs: ({ token }) => token === value.token,
      withinMilliseconds: turnMilliseconds,
    });
    const resigned = record.fencing === abandoned;
    if (settled.outcome === SETTLED.WRITTEN && isSelf(record.holder) && !resigned) {
      renewed = { since, fencing: record.fencing, version: settled.version };
    }
    // Somebody else has written: whatever this process had is over.
    if (settled.outcome === SETTLED.CONFLICT) renewed = undefined;
  };

  /** Tells whether the holder has not renewed for longer than its term can last. */
  const isQuiet = (version: Version): boolean => {
    if (sighting?.version !== version) sighting = { version, since: startSlowStopwatch(clock) };
    return sighting.since() > termMilliseconds * QUIET_TERMS;
  };

  /** A process that is restarted during a handover must find out about it. */
  const renew = (version: Version, fencing: number): Promise<void> =>
    write(version, {
      holder: self,
      fencing,
      ...(inHandover() ? { former: formerHost } : {}),
    });

  const takeTurn = async (): Promise<void> => {
    if (renewed && held() !== undefined) {
      await renew(renewed.version, renewed.fencing);
      return;
    }
    const found: StoredObject<LeaseRecord> | undefined = await store.read<LeaseRecord>(key);
    const { version = ABSENT, value = FREE } = found ?? {};
    const { holder, fencing } = value;
    if (isSelf(holder) && fencing !== abandoned) {
      await renew(version, fencing);
      return;
    }
    renewed = undefined;
    const isOver = holder === undefined || holder.host === self.host || isAbandoned(fencing);
    const open = isOver || isQuiet(version);
    if (!open) return;
    const ownHost = holder?.host === self.host;
    formerHost = (ownHost ? value.former : undefined) ?? holder?.host ?? value.former;
    formerFencing = fencing;
    sinceTaken = startSlowStopwatch(clock);
    endedBefore = isOver ? 0 : sighting!.since() - termMilliseconds;
    await write(version, { holder: self, fencing: fencing + 1, former: formerHost });
  };

  const giveBack = async (): Promise<void> => {
    renewed = undefined;
    const found = await store.read<LeaseRecord>(key);
    if (!found || !isSelf(found.value.holder)) return;
    await write(found.version, { fencing: found.value.fencing, former: self.host });
  };

  return {
    held,
    acts: (object) => (inHandover(object) ? undefined : held()),
    actsIn,
    former: () => formerHost,
    sinceRenewed: () => renewed?.since() ?? Number.POSITIVE_INFINITY,
    abandon: () => {
      abandoned = renewed?.fencing ?? abandoned;
      renewed = undefined;
      tell();
    },
    run: async (signal) => {
      while (!signal.aborted) {
        // eslint-disable-next-line no-await-in-loop -- turns follow one another
        if (contends() || renewed) await takeTurn().catch(() => {});
        tell();
        // eslint-disable-next-line no-await-in-loop -- turns follow one another
        await clock.delay(turnMilliseconds, signal);
      }
      await giveBack().catch(() => {});
      tell();
    },
  };
}
