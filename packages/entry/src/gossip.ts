import type { WaitingCounts } from '@bulrushspar/admission';
import { startMonotonicStopwatch, type Clock, type Stopwatch } from '@bulrushspar/clock';
import type { DemandTracker } from '@bulrushspar/loading';
import { sendToAll, type Link } from '@bulrushspar/peer';
import type { SlownessExchange } from '@bulrushspar/serving';
import type { Incarnation } from '@bulrushspar/store';
import {
  MESSAGE,
  SUMMARY_RATE,
  type FleetSummary,
  type HostState,
  type RelayedState,
  type StatesMessage,
  type SummaryRate,
  type ViewDetails,
} from './messages.js';
import type { OrderLeadership } from './orders.js';
import type { Quotas } from './quotas.js';
import type { KindFollower } from './source.js';
import type { Topology } from './topology.js';
import {
  createRunningTotals,
  createWaitingTotals,
  sumCounts,
  type RunningRequests,
} from './totals.js';

/** Exchange of state between the hosts of a fleet. */
export interface Gossip {
  /** Sends the state to a newly linked host; it leaves out the credit of recent requests. */
  sendInitialState(link: Link): void;
  /** Sends the state to the hosts that need it now; a hub adds the states of its members. */
  sendState(links: readonly Link[]): void;
  /** Applies a host's state, and answers with a summary if that host needs one. */
  receiveState(link: Link, state: HostState): void;
  /** Applies the states that another hub passes on. */
  receiveStates(link: Link, states: StatesMessage): void;
  /** Applies the summary of a hub. */
  receiveSummary(link: Link, summary: FleetSummary): void;
  /** Counts a request that this host has received for a model. */
  recordRequest(model: string, credit: number): void;
  removeHost(host: string): void;
  /** Running requests of the other hosts on a server. */
  runningOnOtherHosts(server: string): number;
  /** Requests of the other hosts that wait for a place at a server, as last reported. */
  waitingOnOtherHosts(): WaitingCounts;
  /** Running requests of all hosts that report to this one on a server, by model. */
  runningByModel(server: string): ReadonlyMap<string, number>;
  /** Fraction of the fleet that reports to this host or its hubs, itself included; from 0 to 1. */
  linkedFraction(): number;
  /** Whether another host has reported that the store answers it. */
  canOthersReachStore(): boolean;
  /** Number of hosts with a better rank that watch a kind in the store. */
  countBetterRankedWatchers(kind: string): number;
  /** Whether a host has reported recently, to this host or to a hub. */
  hasReported(host: string): boolean;
  /** Whether a host receives summaries and broadcasts of other hosts through this one. */
  needsRelay(host: string): boolean;
  /** Hub through which this host receives the broadcasts of others; undefined for a hub. */
  primaryHub(): string | undefined;
}

/** Options of {@link createGossip}. */
export interface GossipOptions {
  readonly clock: Clock;
  readonly self: string;
  readonly incarnation: string;
  readonly topology: Topology;
  readonly quotas: Quotas;
  /** Demand of all hosts. */
  readonly demand: DemandTracker;
  /** Running requests of this host, by server and model. */
  readonly ownRunning: () => RunningRequests;
  /** Slowness of servers that hosts tell each other; absent if they do not share capacity. */
  readonly slowness?: SlownessExchange | undefined;
  /** Requests of this host that wait for a place at a server; none by default. */
  readonly ownWaiting?: () => WaitingCounts;
  readonly followers: () => readonly KindFollower[];
  readonly leadership: () => OrderLeadership;
  /** Called when no hub has passed on a state of a host without a link for some time. */
  readonly onExpired?: (host: string) => void;
}

/** Last message received from a host, and its age. */
interface Received<Body> {
  readonly body: Body;
  readonly since: Stopwatch;
}

/** Last state of a host. */
interface ReceivedState extends Received<HostState> {
  readonly incarnation: string;
  /** Whether it came over a link to the host itself. */
  readonly isDirect: boolean;
}

/** State of a member that the other hubs have not received yet. */
interface PendingState {
  readonly peer: Incarnation;
  readonly state: HostState;
  readonly since: Stopwatch;
}

/** Last summary received from a hub, and the process that sent it. */
interface ReceivedSummary extends Received<FleetSummary> {
  readonly hub: Incarnation;
}

/** Age at which a received state or summary becomes stale; spans several states. */
const MAX_REPORT_AGE_MILLISECONDS = 1000;
/** Interval of the states to the standby hub; the link to it is closed after two of them fail. */
const STANDBY_STATE_MILLISECONDS = 500;
/** Age at which a state that another hub has passed on is removed. */
const RELAYED_STATE_EXPIRY_MILLISECONDS = 1500;
/** Shortfall of hosts at which a hub is still preferred for being in the same failure domain. */
const NEAR_HUB_HOST_TOLERANCE = 2;

/** Adds up two counts, by name. */
const addCounts = (
  first: Readonly<Record<string, number>>,
  second: Readonly<Record<string, number>>,
): Record<string, number> => {
  const sums = { ...first };
  Object.entries(second).forEach(([name, count]) => {
    sums[name] = (sums[name] ?? 0) + count;
  });
  return sums;
};

/** Leaves out empty counts, as most messages have none. */
const describeWaiting = (waiting: WaitingCounts): { readonly waiting?: WaitingCounts } =>
  Object.keys(waiting).length > 0 ? { waiting } : {};

/** Creates the state exchange of one host. */
export function createGossip(options: GossipOptions): Gossip {
  const { clock, self, topology, quotas, demand, ownRunning, followers, leadership } = options;
  const { onExpired = () => {}, ownWaiting = () => ({}), slowness } = options;
  const states = new Map<string, ReceivedState>();
  /** States of the members since the last message to the other hubs, by host. */
  const pendingStates = new Map<string, PendingState>();
  const summaries = new Map<string, ReceivedSummary>();
  /** Process that each restarted host ran before; its last states may arrive late. */
  const formerIncarnations = new Map<string, string>();
  const totals = createRunningTotals();
  const waitingTotals = createWaitingTotals();
  const standbySentAt = new Map<string, number>();
  let sequence = 0;
  let requestedCredit: Record<string, number> = {};
  /** Hub whose summaries this host uses; undefined while this host is a hub itself. */
  let primaryHub: string | undefined;

  const isFresh = ({ since }: Received<unknown>): boolean => since() < MAX_REPORT_AGE_MILLISECONDS;
  const freshSummaries = (): ReceivedSummary[] => [...summaries.values()].filter(isFresh);

  /**
   * Counts the hosts that have reported recently, this one included. A process that was paused does
   * not know what the others have done since, although its links are still open.
   */
  const countReportingHosts = (): number => [...states.values()].filter(isFresh).length + 1;

  const choosePrimaryHub = (): void => {
    if (topology.isHub()) {
      if (primaryHub !== undefined) quotas.clearHubTotals();
      primaryHub = undefined;
      return;
    }
    const fresh = freshSummaries();
    const mostHosts = Math.max(0, ...fresh.map(({ body }) => body.hosts));
    const eligible = fresh.filter(({ body }) => body.hosts >= mostHosts - NEAR_HUB_HOST_TOLERANCE);
    const hosts = new Set(eligible.map(({ hub }) => hub.host));
    const preferred = topology.preferredHubs().find((host) => hosts.has(host));
    primaryHub = preferred ?? eligible[0]?.hub.host;
    const summary = primaryHub === undefined ? undefined : summaries.get(primaryHub);
    topology.setReportedUnreachable(summary?.body.unreachable ?? []);
  };

  const summaryRate = (host: string): SummaryRate | undefined => {
    if (topology.isHub()) return undefined;
    return host === primaryHub || primaryHub === undefined
      ? SUMMARY_RATE.OFTEN
      : SUMMARY_RATE.SELDOM;
  };

  const watchedKinds = (): readonly string[] =>
    followers()
      .filter((follower) => follower.isWatching())
      .map(({ kind }) => kind);

  const describeViews = (): ViewDetails =>
    Object.fromEntries(
      followers().map((follower) => {
        const { digest = '', rank = 0 } = follower.describe();
        return [follower.kind, [digest, rank] as const];
      }),
    );

  /** Compares what a linked host has of each kind with what this host has. */
  const compareViews = (
    link: Link,
    { seen, views = {} }: Pick<HostState, 'seen' | 'views'>,
  ): void =>
    followers().forEach((follower) => {
      const [digest, rank] = views[follower.kind] ?? [];
      follower.receiveSummary(link, { changedAt: seen[follower.kind] ?? 0, digest, rank });
    });

  const versionByKind = (): Record<string, number> =>
    Object.fromEntries(followers().map((follower) => [follower.kind, follower.changedAt()]));

  const buildState = (requested: HostState['asked']): HostState => {
    sequence += 1;
    return {
      sequence,
      taken: quotas.taken(),
      running: ownRunning(),
      slow: slowness?.list(false),
      asked: requested,
      ...describeWaiting(ownWaiting()),
      orders: leadership().describeLease(),
      seen: versionByKind(),
      views: describeViews(),
      watches: watchedKinds(),
    };
  };

  /** Sends the state to a hub of which this host is a member; the standby hub needs it seldom. */
  const sendToHub = (link: Link, state: HostState): void => {
    const { host } = link.peer;
    if (summaryRate(host) === SUMMARY_RATE.OFTEN) {
      link.send(MESSAGE.STATE, { ...state, summaries: SUMMARY_RATE.OFTEN });
      return;
    }
    const now = clock.monotonic();
    if (now - (standbySentAt.get(host) ?? -Infinity) < STANDBY_STATE_MILLISECONDS) return;
    standbySentAt.set(host, now);
    // The primary hub has passed on the credit of the requests.
    link.send(MESSAGE.STATE, { ...state, asked: {}, summaries: SUMMARY_RATE.SELDOM });
  };

  const takePendingStates = (own: HostState): StatesMessage => {
    const members = [...pendingStates.values()].map(({ peer, state, since }): RelayedState => ({
      ...peer,
      age: Math.round(since()),
      state,
    }));
    pendingStates.clear();
    return [{ host: self, incarnation: options.incarnation, age: 0, state: own }, ...members];
  };

  /** Removes the states of hosts of which neither a link nor another hub has reported recently. */
  const removeExpiredStates = (): void =>
    states.forEach(({ isDirect, since }, host) => {
      if (isDirect || since() <= RELAYED_STATE_EXPIRY_MILLISECONDS) return;
      removeHost(host);
      onExpired(host);
    });

  /** @returns false if a newer state of the host has arrived on another path */
  const applyState = (
    { host, incarnation }: Incarnation,
    state: HostState,
    age: number,
    isDirect: boolean,
  ): boolean => {
    // A host reports each request on one path only, so that no report is counted twice.
    Object.entries(state.asked).forEach(([model, credit]) => demand.recordRequests(model, credit));
    const known = states.get(host);
    if (formerIncarnations.get(host) === incarnation) return false;
    if (known?.incarnation === incarnation && known.body.sequence >= state.sequence) return false;
    if (known && known.incarnation !== incarnation) {
      // The link shows that the process is the current one of its host.
      if (known.isDirect && !isDirect) return false;
      formerIncarnations.set(host, known.incarnation);
    }
    const sinceReceived = startMonotonicStopwatch(clock);
    quotas.receiveTaken({ host, incarnation }, state.taken, topology.isHub());
    states.set(host, {
      body: state,
      incarnation,
      since: () => age + sinceReceived(),
      isDirect: isDirect || (known?.isDirect ?? false),
    });
    totals.set(host, state.running);
    slowness?.receive(state.slow, age);
    waitingTotals.set(host, state.waiting ?? {});
    leadership().receiveLease(host, state.orders, age);
    return true;
  };

  const recordPendingState = (peer: Incarnation, state: HostState): void => {
    const asked = addCounts(pendingStates.get(peer.host)?.state.asked ?? {}, state.asked);
    const { summaries: _rate, ...relayed } = state;
    const since = startMonotonicStopwatch(clock);
    pendingStates.set(peer.host, { peer, state: { ...relayed, asked }, since });
  };

  const removeHost = (host: string): void => {
    states.delete(host);
    pendingStates.delete(host);
    summaries.delete(host);
    standbySentAt.delete(host);
    totals.remove(host);
    waitingTotals.remove(host);
  };

  const watchersOf = (kind: string): readonly string[] => {
    const names = new Set<string>();
    if (followers().some((follower) => follower.kind === kind && follower.isWatching()))
      names.add(self);
    states.forEach((received, host) => {
      if (isFresh(received) && received.body.watches.includes(kind)) names.add(host);
    });
    freshSummaries().forEach(({ body }) => body.watchers[kind]?.forEach((host) => names.add(host)));
    return [...names];
  };

  const runningExcept = (receiver: string): Record<string, number> => {
    const sums = totals.countsExcept(receiver);
    Object.entries(ownRunning()).forEach(([server, models]) => {
      sums[server] = (sums[server] ?? 0) + sumCounts(models);
    });
    return sums;
  };

  const buildSummary = (receiver: string): FleetSummary => ({
    hosts: countReportingHosts(),
    taken: quotas.totalsExcept(receiver),
    running: runningExcept(receiver),
    slow: slowness?.list(true),
    ...describeWaiting(addCounts(waitingTotals.countsExcept(receiver), ownWaiting())),
    orders: leadership().newestLease(),
    seen: versionByKind(),
    views: describeViews(),
    watchers: Object.fromEntries(followers().map(({ kind }) => [kind, watchersOf(kind)])),
    unreachable: topology.unreachablePeers(),
  });

  const needsRelay = (host: string): boolean =>
    states.get(host)?.body.summaries === SUMMARY_RATE.OFTEN;

  return {
    sendInitialState: (link) => {
      const rate = topology.isHub() ? undefined : summaryRate(link.peer.host);
      const state = buildState({});
      link.send(MESSAGE.STATE, rate === undefined ? state : { ...state, summaries: rate });
    },
    sendState: (links) => {
      choosePrimaryHub();
      removeExpiredStates();
      const state = buildState(requestedCredit);
      requestedCredit = {};
      if (!topology.isHub()) {
        // Links that are not needed any more receive nothing, so that they end after some time.
        const hubs = topology.peersToLink(leadership().leader() === self);
        links.filter(({ peer }) => hubs.has(peer.host)).forEach((link) => sendToHub(link, state));
        return;
      }
      const relayed = takePendingStates(state);
      // The summaries that the other hosts receive already include the state of this one.
      const receivers = new Set([...topology.hubs(), leadership().leader()]);
      const linksToInform = links.filter(({ peer }) => receivers.has(peer.host));
      if (topology.isMeshed()) sendToAll(linksToInform, MESSAGE.STATE, state);
      else sendToAll(linksToInform, MESSAGE.STATES, relayed);
    },
    receiveState: (link, state) => {
      const { peer } = link;
      if (applyState(peer, state, 0, true)) {
        compareViews(link, state);
        if (state.summaries === SUMMARY_RATE.OFTEN) recordPendingState(peer, state);
      }
      if (state.summaries) link.send(MESSAGE.SUMMARY, buildSummary(peer.host));
    },
    receiveStates: (link, relayed) =>
      relayed.forEach(({ age, state, ...origin }) => {
        const isOwn = origin.host === link.peer.host;
        if (origin.host === self || !applyState(origin, state, age, isOwn) || !isOwn) return;
        compareViews(link, state);
      }),
    receiveSummary: (link, summary) => {
      const { peer } = link;
      if (topology.isHub()) return;
      summaries.set(peer.host, { hub: peer, body: summary, since: startMonotonicStopwatch(clock) });
      slowness?.receive(summary.slow, 0);
      choosePrimaryHub();
      quotas.receiveHubTotals(peer, summary.taken, peer.host === primaryHub);
      if (summary.orders)
        leadership().receiveLease(summary.orders.host, summary.orders, summary.orders.age);
      compareViews(link, summary);
    },
    recordRequest: (model, credit) => {
      requestedCredit[model] = (requestedCredit[model] ?? 0) + credit;
      demand.recordRequests(model, credit);
    },
    removeHost,
    runningOnOtherHosts: (server) => {
      if (primaryHub === undefined) return totals.countOf(server);
      return summaries.get(primaryHub)?.body.running[server] ?? 0;
    },
    waitingOnOtherHosts: () => {
      if (primaryHub === undefined) return waitingTotals.countsExcept(self);
      const summary = summaries.get(primaryHub);
      return summary && isFresh(summary) ? (summary.body.waiting ?? {}) : {};
    },
    runningByModel: (server) => {
      const sums = new Map(totals.countsByModel(server));
      Object.entries(ownRunning()[server] ?? {}).forEach(([model, count]) =>
        sums.set(model, (sums.get(model) ?? 0) + count),
      );
      return sums;
    },
    linkedFraction: () => {
      const reachedHosts = Math.max(
        countReportingHosts(),
        ...freshSummaries().map(({ body }) => body.hosts),
      );
      return Math.min(1, reachedHosts / topology.size());
    },
    canOthersReachStore: () =>
      [...states.values()].some(
        (received) => isFresh(received) && received.body.watches.length > 0,
      ) ||
      freshSummaries().some(({ body }) =>
        Object.values(body.watchers).some((hosts) => hosts.some((host) => host !== self)),
      ),
    countBetterRankedWatchers: (kind) => {
      const ownRank = topology.rankOf(self);
      return watchersOf(kind).filter((host) => topology.rankOf(host) < ownRank).length;
    },
    hasReported: (host) => states.has(host),
    needsRelay,
    primaryHub: () => primaryHub,
  };
}
