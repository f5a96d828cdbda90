/** Connections to servers that hosts open for each other. */
import type { Socket } from 'node:net';
import type { ServerEntry, ServerView } from '@bulrushspar/catalogue';
import { startMonotonicStopwatch, type Clock } from '@bulrushspar/clock';
import type { PeerAddress } from '@bulrushspar/peer';
import type { PassingHost } from '@bulrushspar/serving';

/** A host that can be asked for connections. */
export interface RelayHost extends PeerAddress {
  readonly failureDomain: string;
}

/** Opens connections to servers through other hosts, and for them. */
export interface ServerRelays {
  /** Opens a connection to a server through a host that reaches it; rejects if none was found. */
  openThroughHost(address: string, signal: AbortSignal): Promise<Socket>;
  /** Opens a connection for another host; rejects if the target is no server or is out of reach. */
  openForHost(target: string): Promise<Socket>;
  /** Records that another host is stopping: connections through it are not used for further requests. */
  recordStopping(host: string): void;
  /** Records that another host has started. */
  recordStarted(host: string): void;
  /** Whether a connection may be used for a further request. */
  isUsable(socket: Socket): boolean;
  /** @returns the host through which a connection leads; undefined if it is direct */
  findPassingHost(socket: Socket): PassingHost | undefined;
  /** @returns the connections that this host passes on for others */
  countRelayed(): number;
  /** Resets the connections that this host passes on, as it ends before they do. */
  resetRelayed(): void;
}

/** Options of {@link createServerRelays}. */
export interface ServerRelaysOptions {
  readonly clock: Clock;
  readonly random: () => number;
  readonly failureDomain: string;
  /** @returns the other hosts */
  readonly listHosts: () => readonly RelayHost[];
  readonly openTunnel: (host: PeerAddress, address: string, signal: AbortSignal) => Promise<Socket>;
  /** @returns the listed servers */
  readonly servers: () => ServerView;
  /** Whether nothing may be sent to a server; none is evacuated by default. */
  readonly isEvacuated?: (server: ServerEntry) => boolean;
  /** Opens a connection from this host itself. */
  readonly openDirect: (address: string, signal: AbortSignal) => Promise<Socket>;
  /** Whether this host reaches servers and is not about to end. */
  readonly canOpenForHosts: () => boolean;
  /** Called when connections may have become unusable. */
  readonly onUnusable?: () => void;
}

/** Number of hosts that are asked for one connection. */
const MAX_HOSTS_ASKED = 5;
/** Longest wait for a host; it answers within a few milliseconds. */
const HOST_TIMEOUT_MILLISECONDS = 250;
/** Longest wait of a host for the server; shorter, so that the asking host learns of it. */
const SERVER_TIMEOUT_MILLISECONDS = 200;
/** Time after which a host that was stopping has ended; longer than hosts are given to stop. */
const STOP_MILLISECONDS = 15_000;

/** Creates the relays of one host. */
export function createServerRelays(options: ServerRelaysOptions): ServerRelays {
  const { random, failureDomain, listHosts, openTunnel, servers } = options;
  const { clock, openDirect, canOpenForHosts, isEvacuated = () => false } = options;
  const { onUnusable = () => {} } = options;
  let lastHost: string | undefined;
  const relayed = new Set<Socket>();
  /** Time on the monotonic clock until which each host counts as stopping. */
  const stoppingUntil = new Map<string, number>();
  /** The host that each connection leads through. */
  const hostOfSocket = new WeakMap<Socket, PassingHost>();

  const isStopping = (host: string): boolean =>
    (stoppingUntil.get(host) ?? -Infinity) > clock.monotonic();

  /**
   * Lists the host that has helped last, and then one of each failure domain in turn, first of the own one: all
   * hosts of a failure domain may be cut off.
   */
  const rankHosts = (): readonly RelayHost[] => {
    const countByDomain = new Map<string, number>();
    const ranked = listHosts()
      .filter(({ host }) => !isStopping(host))
      .map((host) => ({ host, order: host.host === lastHost ? -1 : random() }))
      .sort((first, second) => first.order - second.order)
      .map(({ host, order }) => {
        const round = countByDomain.get(host.failureDomain) ?? 0;
        countByDomain.set(host.failureDomain, round + 1);
        const isOther = host.failureDomain === failureDomain ? 0 : 1;
        return { host, rank: order < 0 ? -1 : 2 * round + isOther + order / 2 };
      });
    return ranked.sort((first, second) => first.rank - second.rank).map(({ host }) => host);
  };

  return {
    openThroughHost: async (address, signal) => {
      let lastError: unknown = new Error('there is no other host');
      for (const host of rankHosts().slice(0, MAX_HOSTS_ASKED)) {
        if (signal.aborted) break;
        const limited = AbortSignal.any([signal, AbortSignal.timeout(HOST_TIMEOUT_MILLISECONDS)]);
        try {
          // eslint-disable-next-line no-await-in-loop -- hosts are asked one after another
          const socket = await openTunnel(host, address, limited);
          lastHost = host.host;
          hostOfSocket.set(socket, {
            host: host.host,
            sinceOpened: startMonotonicStopwatch(clock),
          });
          return socket;
        } catch (error) {
          if (lastHost === host.host) lastHost = undefined;
          lastError = error;
        }
      }
      throw lastError;
    },
    openForHost: async (target) => {
      if (!canOpenForHosts()) throw new Error('this host opens no connections for others now');
      const server = [...servers().values()].find(({ address }) => address === target);
      if (!server) throw new Error(`${target} is not the address of a listed server`);
      const requireServerInUse = (): void => {
        if (isEvacuated(server)) throw new Error(`${target} is in an evacuated failure domain`);
      };
      requireServerInUse();
      const socket = await openDirect(target, AbortSignal.timeout(SERVER_TIMEOUT_MILLISECONDS));
      try {
        requireServerInUse();
      } catch (error) {
        socket.destroy();
        throw error;
      }
      relayed.add(socket);
      socket.once('close', () => relayed.delete(socket));
      return socket;
    },
    recordStopping: (host) => {
      stoppingUntil.set(host, clock.monotonic() + STOP_MILLISECONDS);
      if (lastHost === host) lastHost = undefined;
      onUnusable();
    },
    recordStarted: (host) => {
      stoppingUntil.delete(host);
    },
    isUsable: (socket) => {
      const passingHost = hostOfSocket.get(socket);
      return passingHost === undefined || !isStopping(passingHost.host);
    },
    findPassingHost: (socket) => hostOfSocket.get(socket),
    countRelayed: () => relayed.size,
    resetRelayed: () => relayed.forEach((socket) => socket.resetAndDestroy()),
  };
}
