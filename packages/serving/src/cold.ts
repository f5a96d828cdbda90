/** Servers that are cold after their start: they accept few requests for a time. */
import type { ColdStart, ServerEntry, ServerView } from '@bulrushspar/catalogue';
import type { Clock, Stopwatch } from '@bulrushspar/clock';

/** Message between hosts about a server process that is cold. */
export interface ColdUpdate extends Pick<ServerEntry, 'id' | 'born'> {
  /** Milliseconds for which the server stays cold. */
  readonly coldMilliseconds: number;
}

/** The cold servers that this host knows of. */
export interface ColdServers {
  /** Replaces the listed servers, which tell in their entries how long they stay cold. */
  updateServers(servers: ServerView): void;
  /** Applies a change of the services, which decide whether servers can be cold. */
  updateServices(): void;
  /**
   * Records an answer of a server that has accepted the request.
   * @param coldMilliseconds time for which the server stays cold; absent if it has told none
   * @param sinceSent stopwatch started when the request was sent
   */
  recordAnswer(
    server: Pick<ServerEntry, 'id' | 'born'>,
    coldMilliseconds: number | undefined,
    sinceSent: Stopwatch,
  ): void;
  /**
   * Records that a connection to a server has failed: it may start again, and be cold, before its entry
   * tells. It counts as cold until its next answer.
   */
  recordUnreachable(server: Pick<ServerEntry, 'id' | 'born'>): void;
  /**
   * Applies an update from another host.
   * @returns whether it changed anything, so that it must be relayed
   */
  applyUpdate(update: ColdUpdate): boolean;
  /** @returns the requests per second that a server accepts while it is cold; undefined if it is not */
  limitOf(server: string): number | undefined;
  /** @returns the cold servers, for a host that was disconnected */
  listUpdates(): readonly ColdUpdate[];
}

/** Options of {@link createColdServers}. */
export interface ColdServersOptions {
  readonly clock: Clock;
  /** @returns undefined if the servers of the service are never cold */
  readonly coldStartOf: (service: string) => ColdStart | undefined;
  /** Called with each update that must be sent to the other hosts. */
  readonly onUpdate?: (update: ColdUpdate) => void;
  /** Called with each unusable time that a server tells. */
  readonly onInvalid?: (server: string, coldMilliseconds: number) => void;
}

/** A longer time than this many times the usual one is taken for an error of the server. */
const MAX_COLD_FACTOR = 10;
/** Other hosts are told again if a server stays cold for longer than they know by this much. */
const UPDATE_MILLISECONDS = 500;
/** Number of processes from which those that are not listed any more are forgotten. */
const MAX_PROCESSES = 1000;

interface KnownProcess {
  readonly born: number;
  readonly service: string;
  /** When this host first read the entry, on the monotonic clock. */
  readonly firstReadAt: number;
  /** Whether the process was listed already when this host first read the list. */
  readonly isOld: boolean;
  /** Whether it has been decided if the process was cold at first. */
  isJudged: boolean;
  /** What the last entry has told. */
  entry: Pick<ServerEntry, 'heartbeat' | 'coldMilliseconds'>;
  cold?: ColdState | undefined;
}

interface ColdState {
  /** Time on the monotonic clock until which the server is cold as far as it has told. */
  until: number;
  /** Time on the monotonic clock when it was last found to be cold for longer than known. */
  raisedAt: number;
}

/**
 * Creates the record of one host. A server whose time is over stays cold until an answer or an entry
 * shows that it is not, since it may warm up by requests alone.
 */
export function createColdServers(options: ColdServersOptions): ColdServers {
  const { clock, coldStartOf, onUpdate = () => {}, onInvalid = () => {} } = options;
  const processes = new Map<string, KnownProcess>();
  /** The servers as listed last; undefined until this host has read the list. */
  let listed: ServerView | undefined;

  const isUsable = (id: string, { service }: KnownProcess, milliseconds: number): boolean => {
    const longest = (coldStartOf(service)?.milliseconds ?? 0) * MAX_COLD_FACTOR;
    if (milliseconds >= 0 && milliseconds <= longest) return true;
    onInvalid(id, milliseconds);
    return false;
  };

  /** @returns whether the other hosts must know: the server has become cold, or is for much longer */
  const raise = (known: KnownProcess, milliseconds: number, at: number): boolean => {
    const until = at + milliseconds;
    const knownUntil = known.cold?.until ?? -Infinity;
    if (until <= knownUntil) return false;
    Object.assign(known, { cold: { until, raisedAt: clock.monotonic() } satisfies ColdState });
    return until - knownUntil > UPDATE_MILLISECONDS;
  };

  /** Applies how long the process stays cold by the entry in which this host has first read of it. */
  const judge = (id: string, known: KnownProcess): void => {
    const { isOld, firstReadAt, service } = known;
    const usual = coldStartOf(service)!.milliseconds;
    const { coldMilliseconds: told } = known.entry;
    Object.assign(known, { isJudged: true });
    if (told !== undefined && isUsable(id, known, told)) {
      if (told > 0) raise(known, told, firstReadAt);
    } else if (!isOld) raise(known, usual, firstReadAt);
  };

  const applyNewEntry = (id: string, known: KnownProcess): void => {
    const { coldMilliseconds: told = 0 } = known.entry;
    if (!isUsable(id, known, told)) return;
    if (told > 0) raise(known, told, clock.monotonic());
    else if (known.cold && clock.monotonic() >= known.cold.until)
      Object.assign(known, { cold: undefined });
  };

  const updateProcess = (entry: ServerEntry): void => {
    const { id, born, service, heartbeat, coldMilliseconds } = entry;
    let known = processes.get(id);
    if (known && born < known.born) return;
    if (known?.born !== born) {
      const isOld = listed === undefined;
      const firstReadAt = clock.monotonic();
      known = { born, service, firstReadAt, isOld, isJudged: false, entry };
      processes.set(id, known);
    }
    const isRepeated =
      known.entry.heartbeat === heartbeat &&
      Object.is(known.entry.coldMilliseconds, coldMilliseconds);
    if (!coldStartOf(service)) return;
    if (!known.isJudged) judge(id, known);
    else if (!isRepeated) {
      known.entry = { heartbeat, coldMilliseconds };
      applyNewEntry(id, known);
    }
  };

  const getCold = (id: string): ColdState | undefined => processes.get(id)?.cold;

  return {
    updateServers: (servers) => {
      servers.forEach(updateProcess);
      listed = servers;
      if (processes.size <= MAX_PROCESSES) return;
      processes.forEach((_known, id) => {
        if (!servers.has(id)) processes.delete(id);
      });
    },
    updateServices: () => listed?.forEach(updateProcess),
    recordAnswer: ({ id, born }, coldMilliseconds, sinceSent) => {
      const known = processes.get(id);
      if (known?.born !== born || !coldStartOf(known.service)) return;
      const now = clock.monotonic();
      const sentAt = now - sinceSent();
      const { cold } = known;
      if (coldMilliseconds === undefined) {
        if (cold && sentAt >= cold.until) known.cold = undefined;
        return;
      }
      if (!isUsable(id, known, coldMilliseconds)) return;
      if (coldMilliseconds > 0 && raise(known, coldMilliseconds, now))
        onUpdate({ id, born, coldMilliseconds });
      // Answers overtake each other: only a request that was sent since then shows that it is less.
      if (!cold || sentAt < cold.raisedAt) return;
      if (coldMilliseconds === 0) known.cold = undefined;
      else known.cold!.until = now + coldMilliseconds;
    },
    recordUnreachable: ({ id, born }) => {
      const known = processes.get(id);
      if (known?.born !== born || known.cold || !coldStartOf(known.service)) return;
      raise(known, 0, clock.monotonic());
      onUpdate({ id, born, coldMilliseconds: 0 });
    },
    applyUpdate: ({ id, born, coldMilliseconds }) => {
      const known = processes.get(id);
      if (known?.born !== born || !coldStartOf(known.service)) return false;
      return raise(known, coldMilliseconds, clock.monotonic());
    },
    limitOf: (id) => getCold(id) && coldStartOf(processes.get(id)!.service)?.requestsPerSecond,
    listUpdates: () =>
      [...processes].flatMap(([id, { born, cold }]) => {
        const coldMilliseconds = Math.round((cold?.until ?? -Infinity) - clock.monotonic());
        return coldMilliseconds > 0 ? [{ id, born, coldMilliseconds }] : [];
      }),
  };
}
