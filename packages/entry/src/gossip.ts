import { startSlowStopwatch, type Clock, type Stopwatch } from '@bulrushspar/clock';
import type { Demand } from '@bulrushspar/loading';
import type { Link } from '@bulrushspar/peer';
import type { Incarnation } from '@bulrushspar/store';
import {
  MESSAGE,
  SUMMARY_RATE,
  type FleetSummary,
  type HostState,
  type SummaryRate,
} from './messages.js';
import type { OrderDuty } from './orders.js';
import type { Quotas } from './quotas.js';
import type { Source } from './source.js';
import type { Topology } from './topology.js';
import { createRunningTotals, sumOf, type RunningRequests } from './totals.js';

/** Exchange of what the hosts of a fleet must know of each other. */
export interface Gossip {
  /** Tells one host, without counting it as told. */
  greet(link: Link): void;
  /** Tells all linked hosts. */
  tell(links: readonly Link[]): void;
  /** Takes the state of a host, and answers with a summary where that host needs one. */
  hear(link: Link, state: HostState): void;
  /** Takes the summary of a hub. */
  hearSummary(link: Link, summary: FleetSummary): void;
  /** Counts a request of this host for a model. */
  noteAsked(model: string, credit: number): void;
  forget(host: string): void;
  /** Requests of the other hosts that run on a server. */
  elsewhere(server: string): number;
  /** Requests of all hosts that run on a server, by model, as far as they have told this one. */
  running(server: string): ReadonlyMap<string, number>;
  /** Part of the fleet that this host hears, itself included; from 0 to 1. */
  heardPart(): number;
  /** Tells whether the store answers another host that this one hears. */
  othersReachStore(): boolean;
  /** Hosts with a better rank that watch a kind in the store. */
  watchersBefore(kind: string): number;
  /** Hosts that rely on this one to pass on what they and others say. */
  reliesOnThis(host: string): boolean;
}

/** Options of {@link createGossip}. */
export interface GossipOptions {
  readonly clock: Clock;
  readonly self: string;
  readonly topology: Topology;
  readonly quotas: Quotas;
  /** Demand over all hosts. */
  readonly demand: Demand;
  /** Requests of this host that run, by server and model. */
  readonly ownRunning: () => RunningRequests;
  readonly sources: () => readonly Source[];
  readonly duty: () => OrderDuty;
}

interface Told<Body> {
  readonly body: Body;
  readonly since: Stopwatch;
}

/** A summary and the process that sent it. */
interface ToldSummary extends Told<FleetSummary> {
  readonly hub: Incarnation;
}

/** Time after which what a host said no longer counts: several states. */
const FRESH_MILLISECONDS = 1000;
/** Time between summaries for hosts that count on another hub. */
const SELDOM_MILLISECONDS = 600;
/** Hosts that a hub may hear fewer than another one and still be preferred for being near. */
const FEWER_HOSTS = 2;

/** Creates the exchange of one host. */
export function createGossip(options: GossipOptions): Gossip {
  const { clock, self, topology, quotas, demand, ownRunning, sources, duty } = options;
  const states = new Map<string, Told<HostState>>();
  const summaries = new Map<string, ToldSummary>();
  const totals = createRunningTotals();
  const summarizedAt = new Map<string, number>();
  let asked: Record<string, number> = {};
  /** Hub that this host counts on; undefined while it hears all others itself. */
  let primary: string | undefined;

  const isFresh = ({ since }: Told<unknown>): boolean => since() < FRESH_MILLISECONDS;
  const freshSummaries = (): ToldSummary[] => [...summaries.values()].filter(isFresh);

  const choosePrimary = (): void => {
    if (topology.isHub()) {
      if (primary !== undefined) quotas.forgetTotals();
      primary = undefined;
      return;
    }
    const fresh = freshSummaries();
    const most = Math.max(0, ...fresh.map(({ body }) => body.hosts));
    const able = fresh.filter(({ body }) => body.hosts >= most - FEWER_HOSTS);
    if (able.some(({ hub }) => hub.host === primary && topology.isNear(hub.host))) return;
    const order = (host: string): number =>
      topology.rankOf(host) + (topology.isNear(host) ? 0 : topology.size());
    const [best] = able.map(({ hub }) => hub.host).sort((a, b) => order(a) - order(b));
    primary = best;
  };

  const summaryRate = (host: string): SummaryRate | undefined => {
    if (topology.isHub()) return undefined;
    return host === primary || primary === undefined ? SUMMARY_RATE.OFTEN : SUMMARY_RATE.SELDOM;
  };

  const watched = (): readonly string[] =>
    sources()
      .filter((source) => source.watches())
      .map(({ kind }) => kind);

  const seen = (): Record<string, number> =>
    Object.fromEntries(sources().map((source) => [source.kind, source.changedAt()]));

  const describe = (askedSince: HostState['asked']): HostState => ({
    taken: quotas.taken(),
    running: ownRunning(),
    asked: askedSince,
    orders: duty().describe(),
    seen: seen(),
    watches: watched(),
  });

  const send = (link: Link, state: HostState): void => {
    const rate = summaryRate(link.peer.host);
    link.send(MESSAGE.STATE, rate === undefined ? state : { ...state, summaries: rate });
  };

  const watchersOf = (kind: string): readonly string[] => {
    const names = new Set<string>();
    if (sources().some((source) => source.kind === kind && source.watches())) names.add(self);
    states.forEach((told, host) => {
      if (isFresh(told) && told.body.watches.includes(kind)) names.add(host);
    });
    freshSummaries().forEach(({ body }) => body.watchers[kind]?.forEach((host) => names.add(host)));
    return [...names];
  };

  const runningWithout = (receiver: string): Record<string, number> => {
    const sums = totals.without(receiver);
    Object.entries(ownRunning()).forEach(([server, models]) => {
      sums[server] = (sums[server] ?? 0) + sumOf(models);
    });
    return sums;
  };

  const describeFleet = (receiver: string): FleetSummary => ({
    hosts: states.size + 1,
    taken: quotas.totalsWithout(receiver),
    running: runningWithout(receiver),
    orders: duty().newest(),
    seen: seen(),
    watchers: Object.fromEntries(sources().map(({ kind }) => [kind, watchersOf(kind)])),
  });

  const reliesOnThis = (host: string): boolean => states.get(host)?.body.summaries !== undefined;

  const summarize = (link: Link, rate: SummaryRate): void => {
    const { host } = link.peer;
    const now = clock.monotonic();
    const pause = now - (summarizedAt.get(host) ?? -Infinity);
    if (rate === SUMMARY_RATE.SELDOM && pause < SELDOM_MILLISECONDS) return;
    summarizedAt.set(host, now);
    link.send(MESSAGE.SUMMARY, describeFleet(host));
  };

  return {
    greet: (link) => send(link, describe({})),
    tell: (links) => {
      choosePrimary();
      const state = describe(asked);
      asked = {};
      // A host that gets summaries learns nothing more from this host's own state.
      links.filter(({ peer }) => !reliesOnThis(peer.host)).forEach((link) => send(link, state));
    },
    hear: (link, state) => {
      const { peer } = link;
      quotas.hear(peer, state.taken, topology.isHub());
      states.set(peer.host, { body: state, since: startSlowStopwatch(clock) });
      totals.set(peer.host, state.running);
      Object.entries(state.asked).forEach(([model, credit]) => demand.note(model, credit));
      duty().hear(peer.host, state.orders);
      sources().forEach((source) => source.hear(link, state.seen[source.kind] ?? 0));
      if (state.summaries) summarize(link, state.summaries);
    },
    hearSummary: (link, summary) => {
      const { peer } = link;
      if (topology.isHub()) return;
      summaries.set(peer.host, { hub: peer, body: summary, since: startSlowStopwatch(clock) });
      choosePrimary();
      quotas.hearTotals(peer, summary.taken, peer.host === primary);
      if (summary.orders) duty().hear(summary.orders.host, summary.orders, summary.orders.age);
      sources().forEach((source) => source.hear(link, summary.seen[source.kind] ?? 0));
    },
    noteAsked: (model, credit) => {
      asked[model] = (asked[model] ?? 0) + credit;
      demand.note(model, credit);
    },
    forget: (host) => {
      states.delete(host);
      summaries.delete(host);
      summarizedAt.delete(host);
      totals.forget(host);
    },
    elsewhere: (server) => {
      if (primary === undefined) return totals.of(server);
      return summaries.get(primary)?.body.running[server] ?? 0;
    },
    running: (server) => {
      const sums = new Map(totals.byModel(server));
      Object.entries(ownRunning()[server] ?? {}).forEach(([model, count]) =>
        sums.set(model, (sums.get(model) ?? 0) + count),
      );
      return sums;
    },
    heardPart: () => {
      const heard = Math.max(states.size + 1, ...freshSummaries().map(({ body }) => body.hosts));
      return Math.min(1, heard / topology.size());
    },
    othersReachStore: () =>
      [...states.values()].some((told) => isFresh(told) && told.body.watches.length > 0) ||
      freshSummaries().some(({ body }) =>
        Object.values(body.watchers).some((hosts) => hosts.some((host) => host !== self)),
      ),
    watchersBefore: (kind) =>
      watchersOf(kind).filter((host) => topology.rankOf(host) < topology.rankOf(self)).length,
    reliesOnThis,
  };
}
