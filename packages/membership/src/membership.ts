import { connect } from 'node:net';
import { every, startStopwatch, type Clock, type Stopwatch } from '@bulrushspar/clock';
import { chooseNeighbours, type Link, type PeerNetwork } from '@bulrushspar/peer';
import type { HostList, Incarnation, HostState, ListedHost } from '@bulrushspar/store';

/** What a node tells its neighbours about itself at each heartbeat. */
export interface Vitals {
  /** Generation of the configuration in force. */
  readonly generation: number;
  /** Digest of that configuration. */
  readonly digest: string;
  /** Milliseconds since the store is known to have confirmed it; negative where it never did. */
  readonly staleness: number;
}

/** Ways in which another host can be seen. */
export const SIGHT = {
  /** A link to it is alive. */
  LINKED: 'linked',
  /** Nothing listens there: the process has ended. */
  ENDED: 'ended',
  /** Neither a link nor a refusal. */
  SILENT: 'silent',
  /** Not one of the hosts that this one is linked with. */
  NOT_WATCHED: 'not watched',
} as const;

/** One of {@link SIGHT}. */
export type Sight = (typeof SIGHT)[keyof typeof SIGHT];

/** Another host as this one sees it. */
export interface MemberView {
  readonly host: string;
  readonly failureDomain: string;
  readonly listed: HostState;
  readonly sight: Sight;
  readonly incarnation?: string;
  readonly vitals?: Vitals;
}

/** Vitals of a neighbour, and the time since they were asked for. */
export interface HeardVitals {
  readonly link: Link;
  readonly vitals: Vitals;
  /** Began before the neighbour answered, so that it never makes its vitals look younger. */
  readonly sinceAsked: Stopwatch;
}

/** Knows the hosts of the fleet and which of them are alive. */
export interface Membership {
  /** Hosts of the last list that could be read. */
  listed(): readonly ListedHost[];
  members(): readonly MemberView[];
  /** Vitals of the neighbours that answered lately. */
  heard(): readonly HeardVitals[];
  /** Asks a new neighbour for its vitals without waiting for the next heartbeat. */
  greet(link: Link): void;
  /** This host and those linked with it are more than half of the listed ones. */
  linkedWithMajority(): boolean;
  /** Tells that a process has certainly ended, or that its host has left the list. */
  isGone(identity: Incarnation): boolean;
  stop(): void;
}

/** Options of {@link createMembership}. */
export interface MembershipOptions {
  readonly self: Incarnation;
  readonly hostList: HostList;
  readonly network: PeerNetwork;
  readonly clock: Clock;
  /** Called with the vitals of a neighbour. */
  readonly onVitals?: (heard: HeardVitals) => void;
  /** Time between heartbeats, in milliseconds. */
  readonly heartbeatMilliseconds?: number;
  /** Time between reads of the host list, in milliseconds. */
  readonly listMilliseconds?: number;
  /** Age at which vitals no longer count, in milliseconds. */
  readonly heardMilliseconds?: number;
}

/** Type of the message that asks a neighbour for its vitals. */
export const HEARTBEAT = 'heartbeat';

const PROBE_MILLISECONDS = 1000;

/** Tells whether a connection is refused, which only a host without the process does. */
function isRefused({ address, port }: ListedHost): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = connect({ host: address, port, timeout: PROBE_MILLISECONDS });
    const end = (refused: boolean): void => {
      socket.destroy();
      resolve(refused);
    };
    socket.once('connect', () => end(false));
    socket.once('timeout', () => end(false));
    socket.once('error', (error: NodeJS.ErrnoException) => end(error.code === 'ECONNREFUSED'));
  });
}

/** Creates the membership of one node and starts reading the host list. */
export function createMembership(options: MembershipOptions): Membership {
  const { self, hostList, network, clock, onVitals = () => {} } = options;
  const {
    heartbeatMilliseconds = 1000,
    listMilliseconds = 3000,
    heardMilliseconds = 3000,
  } = options;
  const lastHeard = new Map<string, HeardVitals>();
  const ended = new Set<string>();
  let hosts: readonly ListedHost[] = [];

  const neighbours = (): readonly ListedHost[] => {
    const names = hosts.map(({ name }) => name);
    const chosen = new Set(chooseNeighbours(names, self.host));
    return hosts.filter(({ name }) => chosen.has(name));
  };

  const probe = async (host: ListedHost): Promise<void> => {
    if (network.link(host.name)) ended.delete(host.name);
    else if (await isRefused(host)) ended.add(host.name);
    else ended.delete(host.name);
  };

  const readList = async (): Promise<void> => {
    hosts = await hostList.hosts();
    network.connectTo(neighbours().map(({ name, ...at }) => ({ host: name, ...at })));
  };

  const ask = async (link: Link): Promise<void> => {
    const sinceAsked = startStopwatch(clock);
    const vitals = await link.request<Vitals>(HEARTBEAT, {}, heardMilliseconds);
    const heard = { link, vitals, sinceAsked };
    lastHeard.set(link.peer.host, heard);
    onVitals(heard);
  };

  const stopList = every(clock, listMilliseconds, () => {
    readList().catch(() => {});
  });
  const stopHeartbeats = every(clock, heartbeatMilliseconds, () => {
    network.links().forEach((link) => {
      ask(link).catch(() => {});
    });
    neighbours()
      .filter(({ name }) => !network.link(name))
      .forEach((host) => {
        probe(host).catch(() => {});
      });
  });

  const sightOf = (name: string, watched: ReadonlySet<string>): Sight => {
    if (network.link(name)) return SIGHT.LINKED;
    if (ended.has(name)) return SIGHT.ENDED;
    return watched.has(name) ? SIGHT.SILENT : SIGHT.NOT_WATCHED;
  };

  return {
    listed: () => hosts,
    members: () => {
      const watched = new Set(neighbours().map(({ name }) => name));
      return hosts
        .filter(({ name }) => name !== self.host)
        .map(({ name, failureDomain, state }) => ({
          host: name,
          failureDomain,
          listed: state,
          sight: sightOf(name, watched),
          incarnation: network.link(name)?.peer.incarnation,
          vitals: lastHeard.get(name)?.vitals,
        }));
    },
    heard: () =>
      [...lastHeard.values()].filter(
        ({ link, sinceAsked }) =>
          network.link(link.peer.host) === link && sinceAsked() <= heardMilliseconds,
      ),
    greet: (link) => {
      ask(link).catch(() => {});
    },
    linkedWithMajority: () => {
      const reached = hosts.filter(({ name }) => name === self.host || network.link(name)).length;
      return reached * 2 > hosts.length && hosts.length > 0;
    },
    isGone: ({ host, incarnation }) => {
      if (host === self.host) return incarnation !== self.incarnation;
      const link = network.link(host);
      if (link) return link.peer.incarnation !== incarnation;
      const listed = hosts.some(({ name }) => name === host);
      return ended.has(host) || (hosts.length > 0 && !listed);
    },
    stop: () => {
      stopList();
      stopHeartbeats();
    },
  };
}
