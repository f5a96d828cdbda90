/** Limits on the requests that all hosts together send to a server: named ones, and those of cold servers. */
import type { ServerEntry, ServerView } from '@bulrushspar/catalogue';
import { startMonotonicStopwatch, type Clock, type Stopwatch } from '@bulrushspar/clock';
import { createSendSchedule, type Reservation, type ReservationRequest } from '@bulrushspar/shares';
import type { ColdServers } from './cold.js';

/** A server process, as far as its limit is concerned. */
export type LimitedServer = Pick<ServerEntry, 'id' | 'born'>;

/** Message between hosts about the limit of a server process. */
export interface LimitUpdate extends LimitedServer {
  /** Requests per second; absent if the server has answered without naming a limit. */
  readonly perSecond?: number | undefined;
  /**
   * Milliseconds since the answer that named the limit or, without one, since the request was sent
   * whose answer named none.
   */
  readonly age: number;
}

/** The limits that this host knows of. */
export interface ServerLimits {
  /** Records that a server has named a limit in an answer. */
  recordNamed(server: LimitedServer, perSecond: number): void;
  /**
   * Records that a server has run a request and named no limit in its answer. Only an answer to a
   * request that was sent after the limit was last named ends it, since answers can overtake each other.
   * @param sinceSent stopwatch started when that request was sent
   */
  recordUnlimited(server: LimitedServer, sinceSent: Stopwatch): void;
  /** Records how long a server that has accepted a request stays cold, by its answer. */
  readonly recordAnswer: ColdServers['recordAnswer'];
  /** Records that a connection to a server has failed, so that it may start again. */
  readonly recordUnreachable: ColdServers['recordUnreachable'];
  /**
   * Applies an update from another host.
   * @returns whether it changed anything, so that it must be relayed
   */
  applyUpdate(update: LimitUpdate): boolean;
  /** Drops the limits of the server processes that are not listed any more. */
  updateServers(servers: ServerView): void;
  /** @returns requests per second; undefined if the server has no limit */
  limitOf(server: string): number | undefined;
  /** Whether a server has named a limit, beside one that it has because it is cold. */
  isNamed(server: string): boolean;
  /** Whether a request to the server would, as far as is known, get a reservation within a time. */
  isFreeWithin(server: string, milliseconds: number): boolean;
  /** @returns the name of a server process in the schedule of the requests of all hosts */
  receiverOf(server: LimitedServer): string;
  /** @returns the time before which a request to the server would be refused a reservation */
  millisecondsUntilFree(server: string): number;
  /** Reserves a request to a server; a server without a limit grants it at once. */
  reserve(server: LimitedServer, maxMilliseconds: number): Promise<Reservation>;
  /** @returns all limits, for a host that was disconnected */
  listUpdates(): readonly LimitUpdate[];
}

/** Options of {@link createServerLimits}. */
export interface ServerLimitsOptions {
  readonly clock: Clock;
  /** @returns a number from 0 up to but not including 1 */
  readonly random?: () => number;
  /** @returns the number of hosts that share a limit while no host schedules them all */
  readonly countHosts?: () => number;
  /**
   * Reserves a request with the host that schedules the requests of all hosts; rejects if there is none
   * or it does not answer in time.
   */
  readonly requestReservation?: (request: ReservationRequest) => Promise<Reservation>;
  /** Called with each update that must be sent to the other hosts. */
  readonly onUpdate?: (update: LimitUpdate) => void;
  /** Servers that have a limit because they are cold. */
  readonly cold?: Pick<ColdServers, 'limitOf' | 'recordAnswer' | 'recordUnreachable'>;
}

/**
 * Lowest rate at which requests are sent to a server, even to one that takes none: only its answers
 * tell when its limit has ended.
 */
const MIN_PER_SECOND = 0.2;
/** A limit from which a server is never sent as much. */
const MAX_PER_SECOND = 1000;
/**
 * Longest wait for a place at a cold server. Another host may schedule after that time; the places of
 * both must stay within the tolerance, half of the limit in a second.
 */
const MAX_COLD_WAIT_MILLISECONDS = 500;
/** Time after a request for a reservation without an answer in which hosts keep to their shares. */
const UNANSWERED_MILLISECONDS = 500;
const NEVER_COLD = {
  limitOf: () => undefined,
  recordAnswer: () => {},
  recordUnreachable: () => {},
};
const AT_ONCE: Reservation = { isGranted: true, delayMilliseconds: 0 };

interface Limit {
  readonly born: number;
  perSecond: number;
  /** Time on the monotonic clock of the last answer that named the limit. */
  namedAt: number;
}

/** Returns the name of a server process in a schedule. */
const processKey = ({ id, born }: LimitedServer): string => `${id}/${born}`;

const rejectWithoutScheduler = (): Promise<Reservation> =>
  Promise.reject(new Error('no host schedules the requests of all hosts'));

/** Creates the record of one host, without limits. */
export function createServerLimits(options: ServerLimitsOptions): ServerLimits {
  const { clock, random = Math.random, countHosts = () => 1, onUpdate = () => {} } = options;
  const { requestReservation = rejectWithoutScheduler } = options;
  const { cold = NEVER_COLD } = options;
  const limits = new Map<string, Limit>();
  /** Time on the monotonic clock before which no place in the schedule of a process is free, by server. */
  const freeTimes = new Map<string, { readonly born: number; readonly at: number }>();
  /** Time on the monotonic clock before which the scheduling host is not asked. */
  let askAgainAt = -Infinity;
  let isOnOwnShare = false;
  /** This host's share of the limits while no host schedules the requests of all. */
  const ownSchedule = createSendSchedule({
    clock,
    // Hosts lose the scheduling host at the same time; their places are spread and stay so.
    isRegular: true,
    getFirstDelay: (intervalMilliseconds) => random() * intervalMilliseconds,
  });

  const reserveOwnShare = (request: ReservationRequest): Reservation =>
    ownSchedule.reserve({ ...request, perSecond: request.perSecond / Math.max(1, countHosts()) });

  const reserveRequest = async (request: ReservationRequest): Promise<Reservation> => {
    const askedAt = clock.monotonic();
    if (askedAt < askAgainAt) return reserveOwnShare(request);
    try {
      const reservation = await requestReservation(request);
      // The next place of this host's share says nothing of those of all hosts.
      if (isOnOwnShare) freeTimes.clear();
      isOnOwnShare = false;
      // What this host leaves of its share goes to the others, so that it cannot be used later.
      ownSchedule.forget(request.receiver);
      return reservation;
    } catch {
      isOnOwnShare = true;
      if (clock.monotonic() > askedAt) askAgainAt = clock.monotonic() + UNANSWERED_MILLISECONDS;
      return reserveOwnShare(request);
    }
  };

  /** @returns whether the limit is new or another one */
  const setLimit = ({ id, born }: LimitedServer, named: number, namedAt: number): boolean => {
    const perSecond = Math.max(MIN_PER_SECOND, named);
    const known = limits.get(id);
    if (known && known.born > born) return false;
    if (known?.born === born) {
      const isNewer = namedAt > known.namedAt;
      known.namedAt = Math.max(known.namedAt, namedAt);
      if (!isNewer || known.perSecond === perSecond) return false;
      known.perSecond = perSecond;
      return true;
    }
    limits.set(id, { born, perSecond, namedAt });
    return true;
  };

  /** @returns whether a limit ended */
  const endLimit = ({ id, born }: LimitedServer, sentAt: number): boolean => {
    const known = limits.get(id);
    if (known?.born !== born || known.namedAt > sentAt) return false;
    return limits.delete(id);
  };

  const limitOf = (id: string): number | undefined => {
    const named = limits.get(id)?.perSecond;
    const ofCold = cold.limitOf(id);
    return named === undefined || ofCold === undefined
      ? (named ?? ofCold)
      : Math.min(named, ofCold);
  };

  const millisecondsUntilFree = (id: string): number =>
    limitOf(id) === undefined
      ? 0
      : Math.max(0, (freeTimes.get(id)?.at ?? -Infinity) - clock.monotonic());

  const getMaxMilliseconds = (id: string, milliseconds: number): number =>
    cold.limitOf(id) === undefined
      ? milliseconds
      : Math.min(milliseconds, MAX_COLD_WAIT_MILLISECONDS);

  return {
    recordNamed: (server, perSecond) => {
      if (perSecond >= MAX_PER_SECOND) return;
      const { id, born } = server;
      if (setLimit(server, perSecond, clock.monotonic())) onUpdate({ id, born, perSecond, age: 0 });
    },
    recordUnlimited: (server, sinceSent) => {
      if (limits.size === 0) return;
      const age = sinceSent();
      const { id, born } = server;
      if (endLimit(server, clock.monotonic() - age)) onUpdate({ id, born, age });
    },
    recordAnswer: cold.recordAnswer,
    recordUnreachable: cold.recordUnreachable,
    applyUpdate: ({ perSecond, age, ...server }) => {
      const at = clock.monotonic() - age;
      return perSecond === undefined ? endLimit(server, at) : setLimit(server, perSecond, at);
    },
    updateServers: (servers) => {
      limits.forEach(({ born }, id) => {
        if (servers.get(id)?.born !== born) limits.delete(id);
      });
      freeTimes.forEach(({ born }, id) => {
        if (servers.get(id)?.born !== born) freeTimes.delete(id);
      });
    },
    limitOf,
    isNamed: (id) => limits.has(id),
    receiverOf: processKey,
    millisecondsUntilFree,
    isFreeWithin: (id, milliseconds) =>
      millisecondsUntilFree(id) <= getMaxMilliseconds(id, milliseconds),
    reserve: async (server, maxMilliseconds) => {
      const { id } = server;
      const perSecond = limitOf(id);
      if (perSecond === undefined) return AT_ONCE;
      const request = {
        receiver: processKey(server),
        perSecond,
        maxMilliseconds: getMaxMilliseconds(id, maxMilliseconds),
      };
      const sinceRequested = startMonotonicStopwatch(clock);
      const reservation = await reserveRequest(request);
      if (!reservation.isGranted) {
        const freeIn = reservation.delayMilliseconds - sinceRequested();
        const known = freeTimes.get(id)?.at ?? -Infinity;
        freeTimes.set(id, { born: server.born, at: Math.max(known, clock.monotonic() + freeIn) });
      }
      return reservation;
    },
    listUpdates: () =>
      [...limits].map(([id, { born, perSecond, namedAt }]) => ({
        id,
        born,
        perSecond,
        age: clock.monotonic() - namedAt,
      })),
  };
}
