/** Replicated record of the requests that were running when a server crashed. */
import { startStopwatch, type Clock, type Stopwatch } from '@bulrushspar/clock';

/** Message between hosts about a suspected request. */
export interface SuspectUpdate {
  readonly fingerprint: string;
  /** A server that crashed while it ran the request; absent if the request was served since. */
  readonly crash?: CrashReport;
}

/** A server crash while a request was running. */
export interface CrashReport {
  readonly server: string;
  /** Milliseconds since the request was sent to the server, which was before the crash. */
  readonly sinceSent: number;
  /** Milliseconds since the crash was detected. */
  readonly age: number;
}

/** Counts the server crashes of each suspected request. */
export interface SuspectTracker {
  /** @returns whether no request is suspected, so that lookups can be skipped */
  isEmpty(): boolean;
  /** @returns the number of recent server crashes during the request that this host has recorded */
  countCrashes(fingerprint: string): number;
  /**
   * Records that a server crashed while it ran the request.
   * @param sinceSent stopwatch started when the request was sent to the server
   */
  recordCrash(fingerprint: string, server: string, sinceSent: Stopwatch): void;
  /** Removes the crashes of a request after it was served. */
  clear(fingerprint: string): void;
  /** Applies an update from another host. */
  applyUpdate(update: SuspectUpdate): void;
  /** @returns all recorded crashes, for a host that was disconnected */
  listUpdates(): readonly SuspectUpdate[];
}

/** Options of {@link createSuspectTracker}. */
export interface SuspectTrackerOptions {
  readonly clock: Clock;
  /** Called with each update that must be sent to the other hosts. */
  readonly onUpdate?: (news: SuspectUpdate) => void;
  /** Time for which a crash counts, in milliseconds; 10 minutes by default. */
  readonly retentionMilliseconds?: number;
}

interface Crash {
  readonly server: string;
  readonly age: Stopwatch;
  /** Time since the request was sent to the server. */
  readonly sinceSent: Stopwatch;
}

/** Creates the tracker of one host, without suspected requests. */
export function createSuspectTracker(options: SuspectTrackerOptions): SuspectTracker {
  const { clock, onUpdate = () => {}, retentionMilliseconds = 600_000 } = options;
  const crashesByFingerprint = new Map<string, readonly Crash[]>();

  const getRecentCrashes = (fingerprint: string): readonly Crash[] => {
    const recorded = crashesByFingerprint.get(fingerprint) ?? [];
    const recent = recorded.filter(({ age }) => age() <= retentionMilliseconds);
    if (recent.length === 0) crashesByFingerprint.delete(fingerprint);
    return recent;
  };

  /**
   * Adds a crash unless it is a duplicate. A crash of the same server that was recorded after this
   * request was sent is the same crash, because a suspected request is retried only after its crash
   * was recorded.
   * @returns whether the crash was added
   */
  const addCrash = (fingerprint: string, crash: Crash): boolean => {
    // Removes expired crashes of fingerprints that are no longer looked up.
    [...crashesByFingerprint.keys()].forEach(getRecentCrashes);
    const recentCrashes = getRecentCrashes(fingerprint);
    const { server, sinceSent } = crash;
    const isDuplicate = recentCrashes.some(
      (other) => other.server === server && other.age() <= sinceSent(),
    );
    if (isDuplicate) return false;
    crashesByFingerprint.set(fingerprint, [...recentCrashes, crash]);
    return true;
  };

  const createUpdate = (fingerprint: string, { server, age, sinceSent }: Crash): SuspectUpdate => ({
    fingerprint,
    crash: { server, age: age(), sinceSent: sinceSent() },
  });

  return {
    isEmpty: () => crashesByFingerprint.size === 0,
    countCrashes: (fingerprint) => getRecentCrashes(fingerprint).length,
    recordCrash: (fingerprint, server, sinceSent) => {
      const crash = { server, sinceSent, age: startStopwatch(clock) };
      if (addCrash(fingerprint, crash)) onUpdate(createUpdate(fingerprint, crash));
    },
    clear: (fingerprint) => {
      if (crashesByFingerprint.delete(fingerprint)) onUpdate({ fingerprint });
    },
    applyUpdate: ({ fingerprint, crash }) => {
      if (crash === undefined) {
        crashesByFingerprint.delete(fingerprint);
        return;
      }
      const sinceReceived = startStopwatch(clock);
      addCrash(fingerprint, {
        server: crash.server,
        age: () => crash.age + sinceReceived(),
        sinceSent: () => crash.sinceSent + sinceReceived(),
      });
    },
    listUpdates: () =>
      [...crashesByFingerprint.keys()].flatMap((fingerprint) =>
        getRecentCrashes(fingerprint).map((crash) => createUpdate(fingerprint, crash)),
      ),
  };
}
