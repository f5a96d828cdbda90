import { connect } from 'node:net';
import { runPeriodically, startStopwatch, type Clock, type Stopwatch } from '@bulrushspar/clock';
import { chooseNeighbours, type Link, type PeerNetwork } from '@bulrushspar/peer';
import type { HostList, Incarnation, HostState, ListedHost } from '@bulrushspar/store';

/** State that a node reports to its neighbours in answer to each heartbeat. */
export interface HeartbeatReport {
  /** Generation of the configuration in force. */
  readonly generation: number;
  /** Digest of that configuration. */
  readonly digest: string;
  /** Milliseconds since the last known confirmation of it by the store; negative if there was none. */
  readonly staleness: number;
}

/** Reachability of another host, as observed by this one. */
export const REACHABILITY = {
  /** A link to it is open. */
  LINKED: 'linked',
  /** It refuses connections, so no process listens there any more. */
  ENDED: 'ended',
  /** There is no link, and it does not refuse connections either. */
  SILENT: 'silent',
  /** It is not a neighbour of this host, which therefore does not observe it. */
  NOT_WATCHED: 'not watched',
} as const;

/** One of {@link REACHABILITY}. */
export type Reachability = (typeof REACHABILITY)[keyof typeof REACHABILITY];

/** Another host as this one observes it. */
export interface MemberView {
  readonly host: string;
  readonly failureDomain: string;
  readonly listed: HostState;
  readonly sight: Reachability;
  readonly incarnation?: string;
  readonly report?: HeartbeatReport;
}

/** A neighbour's heartbeat report, and the time since it was requested. */
export interface ReceivedHeartbeat {
  readonly link: Link;
  readonly report: HeartbeatReport;
  /** Starts when the report is requested, so that it never understates the report's age. */
  readonly sinceRequest: Stopwatch;
}

/** Tracks the hosts of the fleet and their reachability. */
export interface Membership {
  /** Hosts in the last host list that was read successfully. */
  listed(): readonly ListedHost[];
  /** All listed hosts except this one. */
  members(): readonly MemberView[];
  /** Last reports of the linked neighbours, without those that are older than the maximum age. */
  recentHeartbeats(): readonly ReceivedHeartbeat[];
  /** Requests a report from a newly linked neighbour without waiting for the next heartbeat. */
  requestHeartbeat(link: Link): void;
  /** Returns whether this host and those linked with it are more than half of the listed hosts. */
  isLinkedWithMajority(): boolean;
  /** Returns whether a process has certainly ended or its host is no longer listed. */
  hasEnded(identity: Incarnation): boolean;
  stop(): void;
}

/** Options of {@link createMembership}. */
export interface MembershipOptions {
  readonly self: Incarnation;
  readonly hostList: HostList;
  readonly network: PeerNetwork;
  readonly clock: Clock;
  /** Called for each received heartbeat report. */
  readonly onHeartbeat?: (heartbeat: ReceivedHeartbeat) => void;
  /** Interval between heartbeats, in milliseconds. */
  readonly heartbeatIntervalMilliseconds?: number;
  /** Interval between reads of the host list, in milliseconds. */
  readonly listIntervalMilliseconds?: number;
  /** Maximum age of a report, and timeout of its request, in milliseconds. */
  readonly reportMaxAgeMilliseconds?: number;
}

/** Type of the message that requests a neighbour's report. */
export const HEARTBEAT = 'heartbeat';

const PROBE_TIMEOUT_MILLISECONDS = 1000;

/** Returns whether a host refuses the connection, which it does only if the process is not running. */
function isConnectionRefused({ address, port }: ListedHost): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = connect({ host: address, port, timeout: PROBE_TIMEOUT_MILLISECONDS });
    const finish = (refused: boolean): void => {
      socket.destroy();
      resolve(refused);
    };
    socket.once('connect', () => finish(false));
    socket.once('timeout', () => finish(false));
    socket.once('error', (error: NodeJS.ErrnoException) => finish(error.code === 'ECONNREFUSED'));
  });
}

/** Creates the membership of one node and starts to read the host list and to send heartbeats. */
export function createMembership(options: MembershipOptions): Membership {
  const { self, hostList, network, clock, onHeartbeat = () => {} } = options;
  const {
    heartbeatIntervalMilliseconds = 1000,
    listIntervalMilliseconds = 3000,
    reportMaxAgeMilliseconds = 3000,
  } = options;
  const lastHeartbeats = new Map<string, ReceivedHeartbeat>();
  const endedHosts = new Set<string>();
  let hosts: readonly ListedHost[] = [];

  const neighbours = (): readonly ListedHost[] => {
    const names = hosts.map(({ name }) => name);
    const chosen = new Set(chooseNeighbours(names, self.host));
    return hosts.filter(({ name }) => chosen.has(name));
  };

  const probeHost = async (host: ListedHost): Promise<void> => {
    if (network.getLink(host.name)) endedHosts.delete(host.name);
    else if (await isConnectionRefused(host)) endedHosts.add(host.name);
    else endedHosts.delete(host.name);
  };

  const refreshHostList = async (): Promise<void> => {
    hosts = await hostList.hosts();
    network.connectTo(neighbours().map(({ name, ...at }) => ({ host: name, ...at })));
  };

  const requestHeartbeat = async (link: Link): Promise<void> => {
    const sinceRequest = startStopwatch(clock);
    const report = await link.request<HeartbeatReport>(HEARTBEAT, {}, reportMaxAgeMilliseconds);
    const heartbeat = { link, report, sinceRequest };
    lastHeartbeats.set(link.peer.host, heartbeat);
    onHeartbeat(heartbeat);
  };

  const stopListRefresh = runPeriodically(clock, listIntervalMilliseconds, () => {
    refreshHostList().catch(() => {});
  });
  const stopHeartbeats = runPeriodically(clock, heartbeatIntervalMilliseconds, () => {
    network.getLinks().forEach((link) => {
      requestHeartbeat(link).catch(() => {});
    });
    neighbours()
      .filter(({ name }) => !network.getLink(name))
      .forEach((host) => {
        probeHost(host).catch(() => {});
      });
  });

  const reachabilityOf = (name: string, watched: ReadonlySet<string>): Reachability => {
    if (network.getLink(name)) return REACHABILITY.LINKED;
    if (endedHosts.has(name)) return REACHABILITY.ENDED;
    return watched.has(name) ? REACHABILITY.SILENT : REACHABILITY.NOT_WATCHED;
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
          sight: reachabilityOf(name, watched),
          incarnation: network.getLink(name)?.peer.incarnation,
          report: lastHeartbeats.get(name)?.report,
        }));
    },
    recentHeartbeats: () =>
      [...lastHeartbeats.values()].filter(
        ({ link, sinceRequest }) =>
          network.getLink(link.peer.host) === link && sinceRequest() <= reportMaxAgeMilliseconds,
      ),
    requestHeartbeat: (link) => {
      requestHeartbeat(link).catch(() => {});
    },
    isLinkedWithMajority: () => {
      const linkedCount = hosts.filter(
        ({ name }) => name === self.host || network.getLink(name),
      ).length;
      return linkedCount * 2 > hosts.length && hosts.length > 0;
    },
    hasEnded: ({ host, incarnation }) => {
      if (host === self.host) return incarnation !== self.incarnation;
      const link = network.getLink(host);
      if (link) return link.peer.incarnation !== incarnation;
      const listed = hosts.some(({ name }) => name === host);
      return endedHosts.has(host) || (hosts.length > 0 && !listed);
    },
    stop: () => {
      stopListRefresh();
      stopHeartbeats();
    },
  };
}
