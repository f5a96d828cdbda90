import { startSlowStopwatch, type Clock, type Stopwatch } from '@bulrushspar/clock';
import type { Demand } from '@bulrushspar/loading';
import type { Link } from '@bulrushspar/peer';
import type { ServerStates } from '@bulrushspar/serving';
import type { HostState } from './messages.js';
import type { OrderDuty } from './orders.js';
import type { Quotas } from './quotas.js';
import type { Source } from './source.js';

/** Exchange of what the hosts of a fleet must know of each other. */
export interface Gossip {
  /** What this host tells one other now; it does not count as told. */
  state(): HostState;
  /** What this host tells all others now. */
  nextState(): HostState;
  hear(link: Link, state: HostState): void;
  /** Counts a request of this host for a model. */
  noteAsked(model: string, credit: number): void;
  forget(host: string): void;
  /** Requests of all hosts that run on a server, by model. */
  running(server: string): ReadonlyMap<string, number>;
  /** Tells whether the store answers another host that this one hears. */
  othersReachStore(): boolean;
  /** Hosts with a better rank that watch a kind in the store. */
  watchersBefore(kind: string): number;
}

/** Options of {@link createGossip}. */
export interface GossipOptions {
  readonly clock: Clock;
  readonly self: string;
  readonly quotas: Quotas;
  readonly servers: ServerStates;
  /** Demand over all hosts. */
  readonly demand: Demand;
  readonly sources: () => readonly Source[];
  readonly duty: () => OrderDuty;
}

type Running = HostState['running'];

interface Watching {
  readonly kinds: readonly string[];
  readonly since: Stopwatch;
}

/** Time after which what a host said about its watches no longer counts: several states. */
const WATCHING_MILLISECONDS = 1000;

/** Creates the exchange of one host. */
export function createGossip(options: GossipOptions): Gossip {
  const { clock, self, quotas, servers, demand, sources, duty } = options;
  const watching = new Map<string, Watching>();
  const running = new Map<string, Running>();
  let asked: Record<string, number> = {};

  const ownRunning = (): Running => {
    const byServer: Record<string, Record<string, number>> = {};
    for (const { entry, outstanding, outstandingByModel } of servers.all()) {
      if (outstanding > 0) {
        const models = [...outstandingByModel].filter(([, count]) => count > 0);
        byServer[entry.id] = models.length > 0 ? Object.fromEntries(models) : { '': outstanding };
      }
    }
    return byServer;
  };

  const recount = (): void => {
    for (const state of servers.all()) {
      let elsewhere = 0;
      running.forEach((byServer) => {
        const models = byServer[state.entry.id];
        if (models) elsewhere += Object.values(models).reduce((sum, count) => sum + count, 0);
      });
      state.outstandingElsewhere = elsewhere;
    }
  };

  const describe = (askedSince: HostState['asked']): HostState => ({
    taken: quotas.taken(),
    running: ownRunning(),
    asked: askedSince,
    orders: duty().describe(),
    seen: Object.fromEntries(sources().map((source) => [source.kind, source.changedAt()])),
    watches: sources()
      .filter((source) => source.watches())
      .map(({ kind }) => kind),
  });

  return {
    state: () => describe({}),
    nextState: () => {
      const state = describe(asked);
      asked = {};
      return state;
    },
    hear: (link, state) => {
      const { peer } = link;
      quotas.hear(peer, state.taken);
      running.set(peer.host, state.running);
      recount();
      Object.entries(state.asked).forEach(([model, credit]) => demand.note(model, credit));
      duty().hear(peer.host, state.orders);
      watching.set(peer.host, { kinds: state.watches, since: startSlowStopwatch(clock) });
      sources().forEach((source) => source.hear(link, state.seen[source.kind] ?? 0));
    },
    noteAsked: (model, credit) => {
      asked[model] = (asked[model] ?? 0) + credit;
      demand.note(model, credit);
    },
    forget: (host) => {
      running.delete(host);
      watching.delete(host);
      recount();
    },
    othersReachStore: () =>
      [...watching.values()].some(
        ({ kinds, since }) => kinds.length > 0 && since() < WATCHING_MILLISECONDS,
      ),
    watchersBefore: (kind) =>
      [...watching].filter(
        ([host, { kinds, since }]) =>
          host < self && kinds.includes(kind) && since() < WATCHING_MILLISECONDS,
      ).length,
    running: (server) => {
      const counts = new Map(
        [...(servers.get(server)?.outstandingByModel ?? [])].filter(([, count]) => count > 0),
      );
      running.forEach((byServer) =>
        Object.entries(byServer[server] ?? {}).forEach(([model, count]) =>
          counts.set(model, (counts.get(model) ?? 0) + count),
        ),
      );
      return counts;
    },
  };
}
