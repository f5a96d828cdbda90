import type { FleetConfiguration, ServerView } from '@bulrushspar/catalogue';
import { every, startSlowStopwatch, type Clock, type Stopwatch } from '@bulrushspar/clock';
import { createLease } from '@bulrushspar/lease';
import {
  createCommander,
  type Commander,
  type Demand,
  type EngineControl,
  type Outlook,
} from '@bulrushspar/loading';
import type { Logger } from '@bulrushspar/logging';
import type { Incarnation, ObjectStore } from '@bulrushspar/store';
import type { LeaseOfHost, OrderLease } from './messages.js';

/** The duty of giving orders to the servers, which one host has at a time. */
export interface OrderDuty {
  readonly commander: Commander;
  /** What this host tells the others about its lease. */
  describe(): OrderLease | undefined;
  /** Takes what a host says about its lease. @param age milliseconds since it said so */
  hear(host: string, lease: OrderLease | undefined, age?: number): void;
  /** The newest lease that this host knows of, its own included. */
  newest(): LeaseOfHost | undefined;
  /** The host that gives the orders, this one included, as far as is known. */
  leader(): string | undefined;
  setServers(servers: ServerView): void;
  run(signal: AbortSignal): Promise<void>;
}

/** Options of {@link createOrderDuty}. */
export interface OrderDutyOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly self: Incarnation;
  readonly control: EngineControl;
  readonly demand: Demand;
  readonly configuration: () => FleetConfiguration | undefined;
  /** Requests of all hosts that run on a server, by model. */
  readonly running: (server: string) => ReadonlyMap<string, number>;
  /** Called with when models will be ready, and the hosts that wait for them. */
  readonly onOutlook: (outlook: readonly Outlook[], hosts: readonly string[]) => void;
  /** Called before a server is told to unload a model. */
  readonly onUnloading: (server: string, model: string) => void;
  /** Pause between the last order of one host and the first one of another, in milliseconds. */
  readonly handoverMilliseconds: number;
  /** Place of this host among those that contend, so that not all do at once. */
  readonly rank: () => number;
  /** Tells whether the store answers other hosts that this one hears. */
  readonly othersReachStore: () => boolean;
}

/** Time for which one renewal lasts; short, since nobody loads models until it has passed. */
const TERM_MILLISECONDS = 2000;
/**
 * Time without a confirmed renewal after which a holder that others can replace gives up: two
 * renewals. Waiting for the end of the term would leave the servers without orders for longer.
 */
const UNCONFIRMED_MILLISECONDS = 1100;
/** Time without word from the giver of orders after which others contend. */
const SILENT_MILLISECONDS = 700;
const RANK_MILLISECONDS = 200;
/** Turns after which all hosts that are left contend together. */
const MOST_TURNS = 10;
const LOOK_MILLISECONDS = 100;

interface Heard extends OrderLease {
  readonly host: string;
  /** Since the host said so. */
  readonly since: Stopwatch;
  /** Since this host first heard that the lease is over. */
  readonly sinceOver?: Stopwatch;
}

/** Creates the duty of one host; it gives no order until it runs and holds the lease. */
export function createOrderDuty(options: OrderDutyOptions): OrderDuty {
  const { store, clock, logger, self, demand, configuration, running } = options;
  const { onOutlook, onUnloading, handoverMilliseconds, rank, othersReachStore } = options;
  /** What each host last said of its lease. */
  const heard = new Map<string, Heard>();
  let told: OrderLease | undefined;
  let sinceOrder: Stopwatch | undefined;
  const sinceOrderAt = new Map<string, Stopwatch>();

  const newest = (): Heard | undefined => {
    let found: Heard | undefined;
    heard.forEach((one) => {
      if (!found || one.fencing > found.fencing) found = one;
    });
    return found;
  };

  const sinceStart = startSlowStopwatch(clock);

  /** Hosts with a better rank get time to contend first. */
  const othersLead = (): boolean => {
    const turn = Math.min(rank(), MOST_TURNS) * RANK_MILLISECONDS;
    const found = newest();
    if (!found) return sinceStart() < turn;
    if (found.sinceOver) return found.sinceOver() < turn;
    return found.since() < SILENT_MILLISECONDS + turn;
  };

  const lease = createLease({
    store,
    clock,
    name: 'orders',
    self,
    termMilliseconds: TERM_MILLISECONDS,
    handoverMilliseconds,
    contends: () => !othersLead(),
    isAbandoned: (fencing) => {
      const found = newest();
      return found !== undefined && found.over && found.fencing === fencing;
    },
    sinceFormerAct: (host, fencing, server) => {
      const found = heard.get(host);
      if (!found?.over || found.fencing !== fencing) return undefined;
      const since = server === undefined ? found.sinceOrder : found.sinceOrderAt?.[server];
      return since === undefined ? Infinity : since + found.since();
    },
    onChange: (held) => {
      logger.info(held ? 'lease for orders taken' : 'lease for orders lost', {
        fencing: lease.held(),
        former: lease.former(),
      });
    },
  });

  const control: EngineControl = {
    report: options.control.report,
    order: (server, order) => {
      sinceOrder = startSlowStopwatch(clock);
      sinceOrderAt.set(server.id, sinceOrder);
      return options.control.order(server, order);
    },
  };

  /** Gives up the duty where the store no longer answers this host but others. */
  const stopLook = every(clock, LOOK_MILLISECONDS, () => {
    const fencing = lease.held();
    if (fencing === undefined || lease.sinceRenewed() < UNCONFIRMED_MILLISECONDS) return;
    if (!othersReachStore()) return;
    logger.warn('lease for orders given up', { fencing, sinceRenewed: lease.sinceRenewed() });
    lease.abandon();
  });

  /** Servers that have had an order so lately that the next giver must wait with its own. */
  const recentOrders = (): Record<string, number> => {
    const recent: Record<string, number> = {};
    sinceOrderAt.forEach((since, server) => {
      if (since() < handoverMilliseconds) recent[server] = Math.round(since());
      else sinceOrderAt.delete(server);
    });
    return recent;
  };

  const describe = (): OrderLease | undefined => {
    const fencing = lease.held();
    if (fencing !== undefined) told = { fencing, over: false };
    else if (told && !told.over) {
      // Others take over as soon as they hear this: a late answer must not renew the same term.
      lease.abandon();
      told = { ...told, over: true };
    }
    if (!told || !sinceOrder) return told;
    const since = { ...told, sinceOrder: Math.round(sinceOrder()) };
    return told.over ? { ...since, sinceOrderAt: recentOrders() } : since;
  };

  const commander = createCommander({
    clock,
    control,
    logger,
    holder: self.host,
    term: lease.held,
    fencing: lease.acts,
    ordersIn: lease.actsIn,
    profile: (service) => configuration()?.services.get(service)?.engine,
    demand,
    running,
    onOutlook,
    onUnloading,
  });

  return {
    commander,
    describe,
    hear: (host, state, age = 0) => {
      if (!state || host === self.host) return;
      const sinceHeard = startSlowStopwatch(clock);
      const known = heard.get(host);
      // Several hubs tell the same: the youngest news counts.
      if (known && known.fencing >= state.fencing && known.since() < age) return;
      const { fencing, over } = state;
      const overBefore = known?.fencing === fencing ? known.sinceOver : undefined;
      heard.set(host, {
        host,
        fencing,
        over,
        sinceOrder: state.sinceOrder,
        sinceOrderAt: state.sinceOrderAt,
        since: () => age + sinceHeard(),
        sinceOver: over ? (overBefore ?? sinceHeard) : undefined,
      });
    },
    newest: () => {
      const own = describe();
      const found = newest();
      if (own && own.fencing >= (found?.fencing ?? 0)) return { ...own, host: self.host, age: 0 };
      if (!found) return undefined;
      const { host, fencing, over, since } = found;
      const { sinceOrder: order, sinceOrderAt: orders } = found;
      const age = Math.round(since());
      return { host, fencing, over, sinceOrder: order, sinceOrderAt: orders, age };
    },
    leader: () => {
      if (lease.held() !== undefined) return self.host;
      const found = newest();
      return found && !found.over && found.since() < TERM_MILLISECONDS ? found.host : undefined;
    },
    setServers: commander.setServers,
    run: async (signal) => {
      await lease.run(signal);
      stopLook();
      commander.stop();
    },
  };
}
