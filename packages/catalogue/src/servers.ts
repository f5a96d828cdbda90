import { startMonotonicStopwatch, type Clock, type Stopwatch } from '@bulrushspar/clock';

/** A model that a server has loaded, with its adapters. */
export interface ResidentModel {
  readonly name: string;
  readonly version: number;
  readonly adapters: readonly string[];
}

/** Entry that a server writes to the server list. */
export interface ServerEntry {
  readonly id: string;
  readonly service: string;
  readonly address: string;
  readonly failureDomain: string;
  readonly slots: number;
  /** Version of the server's software; what different versions write does not fit together. */
  readonly softwareVersion?: string | undefined;
  /** Draining: accepts no new requests and stops soon. */
  readonly leaving: boolean;
  /**
   * Milliseconds for which the server stays cold, as of the time when it wrote the entry; not a number
   * if the entry holds something else.
   */
  readonly coldMilliseconds?: number | undefined;
  /** Increases each time the server writes its entry. */
  readonly heartbeat?: number | undefined;
  /** Whether an operator has asked that nothing be sent to the servers of its failure domain. */
  readonly evacuated?: boolean;
  /** Unix time of the server's start, in milliseconds; distinguishes restarts with the same id. */
  readonly born: number;
  readonly models: readonly ResidentModel[];
  /** Models that the server can load from its main memory. */
  readonly inMemory: readonly string[];
  /** Models that the server can load from its disk. */
  readonly onDisk: readonly string[];
}

/** Notice that a server is leaving, from the server itself or from another host. */
export interface ServerDeparture {
  readonly id: string;
  /** Start of the server's process, as in its entry; a later process is not leaving. */
  readonly born: number;
}

/** Current servers by id, each with its newest entry. */
export type ServerView = ReadonlyMap<string, ServerEntry>;

/** Keeps the current servers, also while the server list is unavailable. */
export interface ServerDirectory {
  /**
   * Replaces the listed entries.
   * @param ageMilliseconds longest time since they changed; 0 by default
   */
  update(entries: ServerView, ageMilliseconds?: number): void;
  /** Records that an outage of the list has just ended, so that live servers may still be missing. */
  recordOutage(): void;
  /**
   * Records that the list has come back from an older copy: servers that were leaving stay so, and
   * live servers may still be missing.
   */
  recordRollback(): void;
  /**
   * Records that a server is leaving, whatever its listed entry says, until it starts anew.
   * @returns whether this was not known
   */
  recordLeaving(departure: ServerDeparture): boolean;
  /** Replaces the failure domains to whose servers nothing may be sent; these need not be known. */
  setEvacuatedDomains(domains: ReadonlySet<string>): void;
  current(): ServerView;
}

/** Options of {@link createServerDirectory}. */
export interface ServerDirectoryOptions {
  readonly clock: Clock;
  /** Called after each update of the servers. */
  readonly onChange?: (servers: ServerView, ageMilliseconds: number) => void;
  /**
   * Time after an outage during which missing entries are kept, since live servers still have to
   * register again, in milliseconds.
   */
  readonly outageGraceMilliseconds?: number;
}

/** Number of departures from which those of servers that are not listed any more are dropped. */
const MAX_DEPARTURES = 1000;

/** Whether new requests may be sent to a server, as far as its entry tells. */
export const acceptsRequests = ({
  leaving,
  evacuated,
}: Pick<ServerEntry, 'leaving' | 'evacuated'>): boolean => !leaving && evacuated !== true;

const isNotOlder = (entry: ServerEntry, known: ServerEntry | undefined): boolean =>
  known === undefined || entry.born >= known.born;

/** Creates an empty server directory. */
export function createServerDirectory(options: ServerDirectoryOptions): ServerDirectory {
  const { clock, onChange = () => {}, outageGraceMilliseconds = 2000 } = options;
  let servers = new Map<string, ServerEntry>();
  /** Whether the list has been read. */
  let hasRead = false;
  let listed: ServerView = new Map();
  let sinceOutage: Stopwatch | undefined;
  /** Newest process of each server that is known to be leaving: its start, by server. */
  const leavingBorn = new Map<string, number>();

  const applyDeparture = (entry: ServerEntry): ServerEntry =>
    !entry.leaving && entry.born <= (leavingBorn.get(entry.id) ?? -Infinity)
      ? { ...entry, leaving: true }
      : entry;

  let evacuatedDomains: ReadonlySet<string> = new Set();

  const applyEvacuation = (entry: ServerEntry): ServerEntry => {
    const evacuated = evacuatedDomains.has(entry.failureDomain);
    return evacuated === (entry.evacuated ?? false) ? entry : { ...entry, evacuated };
  };

  const applyMarks = (entry: ServerEntry): ServerEntry => applyEvacuation(applyDeparture(entry));

  const isWithinOutageGrace = (): boolean =>
    sinceOutage !== undefined && sinceOutage() < outageGraceMilliseconds;

  const mergeListed = (ageMilliseconds = 0): void => {
    // Users of the servers tell those that were listed at first from those that came later.
    if (!hasRead) return;
    const merged = new Map<string, ServerEntry>();
    listed.forEach((entry, id) => {
      const known = servers.get(id);
      merged.set(id, applyMarks(isNotOlder(entry, known) ? entry : known!));
    });
    if (isWithinOutageGrace()) {
      servers.forEach((entry, id) => {
        if (!merged.has(id)) merged.set(id, applyMarks(entry));
      });
    }
    if (leavingBorn.size > MAX_DEPARTURES) {
      leavingBorn.forEach((_born, id) => {
        if (!merged.has(id)) leavingBorn.delete(id);
      });
    }
    servers = merged;
    onChange(servers, ageMilliseconds);
  };

  const recordOutage = (): void => {
    sinceOutage = startMonotonicStopwatch(clock);
    clock.after(outageGraceMilliseconds + 1, () => mergeListed());
  };

  return {
    update: (entries, ageMilliseconds = 0) => {
      listed = new Map(entries);
      hasRead = true;
      mergeListed(ageMilliseconds);
    },
    recordOutage,
    recordRollback: () => {
      servers.forEach(({ id, born, leaving }) => {
        if (leaving) leavingBorn.set(id, Math.max(born, leavingBorn.get(id) ?? -Infinity));
      });
      recordOutage();
    },
    recordLeaving: ({ id, born }) => {
      if (born <= (leavingBorn.get(id) ?? -Infinity)) return false;
      leavingBorn.set(id, born);
      mergeListed();
      return true;
    },
    setEvacuatedDomains: (domains) => {
      evacuatedDomains = new Set(domains);
      mergeListed();
    },
    current: () => servers,
  };
}
