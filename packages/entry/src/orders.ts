import type { FleetConfiguration, ServerView } from '@bulrushspar/catalogue';
import {
  runPeriodically,
  startMonotonicStopwatch,
  type Clock,
  type Stopwatch,
} from '@bulrushspar/clock';
import { createLease } from '@bulrushspar/lease';
import {
  createLoadCoordinator,
  type ColdLoad,
  type LoadCoordinator,
  type DemandTracker,
  type EngineControl,
  type Outlook,
  type PlannedLoad,
} from '@bulrushspar/loading';
import type { Logger } from '@bulrushspar/logging';
import {
  createEraTracker,
  type EraTracker,
  type Incarnation,
  type ObjectStore,
} from '@bulrushspar/store';
import { createLeaseReports } from './lease-reports.js';
import type { ReportedLease, OrderLease } from './messages.js';

/** Leadership for the orders to the servers: one host at a time, the leader, sends them. */
export interface OrderLeadership {
  readonly commander: LoadCoordinator;
  /** This host's report on its lease; undefined if it has never held it. */
  describeLease(): OrderLease | undefined;
  /**
   * Applies a host's report on its lease.
   * @param age milliseconds since that host sent the report
   */
  receiveLease(host: string, lease: OrderLease | undefined, age?: number): void;
  /** The report with the highest fencing number, this host's own included. */
  newestLease(): ReportedLease | undefined;
  /** The current leader, if known; may be this host. */
  leader(): string | undefined;
  setServers(servers: ServerView): void;
  run(signal: AbortSignal): Promise<void>;
}

/** Options of {@link createOrderLeadership}. */
export interface OrderLeadershipOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly self: Incarnation;
  readonly control: EngineControl;
  readonly demand: DemandTracker;
  readonly configuration: () => FleetConfiguration | undefined;
  /** Running requests of all hosts on a server, by model. */
  readonly runningByModel: (server: string) => ReadonlyMap<string, number>;
  /** Called with the expected load times of wanted models, and the hosts that wait for them. */
  readonly onOutlook: (outlook: readonly Outlook[], hosts: readonly string[]) => void;
  /** Called before a server is ordered to unload a model. */
  readonly onUnloading: (server: string, model: string) => void;
  /** Minimum milliseconds between the last order of one leader and the first of the next. */
  readonly handoverMilliseconds: number;
  /** Era of the store, which the fencing numbers contain. */
  readonly eras?: EraTracker;
  /** The fleet starts for the first time, so that no lease can have been lost. */
  readonly isFirstStart?: boolean;
  /** Returns whether a server has limited its requests; it gets loads only if all servers have. */
  readonly isLimited?: (server: string) => boolean;
  /** Whether promised times are kept and all idle capacity is used; false by default. */
  readonly sharesCapacity?: boolean;
  /** Called for each load that this host decides. */
  readonly onLoadDecided?: (load: PlannedLoad) => void;
  /** Called when the learnt number of concurrent cold loads has changed. */
  readonly onColdLoadLimit?: (limit: number) => void;
  /** Rank of this host among the contenders, so that they do not all contend at once. */
  readonly contentionRank: () => number;
  /** Whether this host reaches servers, as far as it knows; true by default. */
  readonly reachesServers?: () => boolean;
  /** Whether other hosts have reported that the store answers them. */
  readonly canOthersReachStore: () => boolean;
}

/** Validity of one renewal; short, since after a failure no models are loaded until it expires. */
const TERM_MILLISECONDS = 2000;
/**
 * Time without a confirmed renewal after which a leader abandons the lease if another host can
 * reach the store; spans two renewals. Waiting for the end of the term would leave the servers
 * without orders for longer.
 */
const MAX_UNCONFIRMED_MILLISECONDS = 1100;
/** Time without a server in reach after which a leader abandons the lease. */
const MAX_UNREACHED_MILLISECONDS = 1000;
/** Time without a report from the leader after which other hosts contend. */
const LEADER_TIMEOUT_MILLISECONDS = 700;
/** Delay before contending, per rank. */
const RANK_DELAY_MILLISECONDS = 200;
/** Rank from which on all hosts contend after the same delay. */
const MAX_DELAYED_RANK = 10;
/** Interval of the checks for a confirmed renewal. */
const CHECK_INTERVAL_MILLISECONDS = 100;

/** Creates the leadership of one host; it sends no orders until it runs and holds the lease. */
export function createOrderLeadership(options: OrderLeadershipOptions): OrderLeadership {
  const { store, clock, logger, self, demand, configuration, runningByModel } = options;
  const { onOutlook, onUnloading, handoverMilliseconds, contentionRank, canOthersReachStore } =
    options;
  const { isLimited, reachesServers = () => true } = options;
  const { sharesCapacity = false, onColdLoadLimit = () => {}, onLoadDecided } = options;
  const { eras = createEraTracker(), isFirstStart = false } = options;
  const reports = createLeaseReports(clock);
  let lastDescribed: OrderLease | undefined;
  let sinceOrder: Stopwatch | undefined;
  const sinceOrderAt = new Map<string, Stopwatch>();
  let serverIds: readonly string[] = [];
  let coldLoadLimit: number | undefined;
  /** Fencing numbers of this host's current or last term, and of the one before. */
  let ownFencing: number | undefined;
  let formerOwnFencing: number | undefined;
  /** Cold loads when this host was last the leader. */
  let lastColdLoads: { readonly loads: readonly ColdLoad[]; readonly since: Stopwatch } | undefined;

  const sinceStart = startMonotonicStopwatch(clock);

  /** Whether to leave the lease to the current leader or to hosts with a better rank. */
  const mustDefer = (): boolean => {
    const rankDelay = Math.min(contentionRank(), MAX_DELAYED_RANK) * RANK_DELAY_MILLISECONDS;
    const found = reports.newest();
    if (!found) return sinceStart() < rankDelay;
    if (found.sinceOver) return found.sinceOver() < rankDelay;
    return found.since() < LEADER_TIMEOUT_MILLISECONDS + rankDelay;
  };

  const lease = createLease({
    store,
    clock,
    name: 'orders',
    self,
    termMilliseconds: TERM_MILLISECONDS,
    handoverMilliseconds,
    currentEra: eras.current,
    mayHaveLostRecords: () => eras.current() > 0 && (eras.hasChanged() || !isFirstStart),
    mayHaveLostNumbers: () => eras.mayHaveBegunAnew() && !isFirstStart,
    isContender: () => reachesServers() && !mustDefer(),
    isAbandoned: (fencing) => {
      const found = reports.newest();
      return found !== undefined && found.over && found.fencing === fencing;
    },
    millisecondsSinceFormerAction: (host, fencing, server) => {
      const found = reports.of(host);
      if (!found?.over || found.fencing !== fencing) return undefined;
      const since = server === undefined ? found.sinceOrder : found.sinceOrderAt?.[server];
      return since === undefined ? Infinity : since + found.since();
    },
    onChange: (held) => {
      if (held) {
        formerOwnFencing = ownFencing;
        ownFencing = lease.currentFencing();
      }
      logger.info(held ? 'lease for orders taken' : 'lease for orders lost', {
        fencing: lease.currentFencing(),
        former: lease.formerHost(),
      });
    },
  });

  const control: EngineControl = {
    report: options.control.report,
    order: (server, order) => {
      sinceOrder = startMonotonicStopwatch(clock);
      sinceOrderAt.set(server.id, sinceOrder);
      return options.control.order(server, order);
    },
  };

  let sinceReached = startMonotonicStopwatch(clock);

  /** Returns why this host should leave the lease to another one; undefined if it should not. */
  const findReasonToAbandon = (): string | undefined => {
    if (sinceReached() > MAX_UNREACHED_MILLISECONDS) return 'this host reaches no server';
    const isUnconfirmed = lease.millisecondsSinceRenewal() >= MAX_UNCONFIRMED_MILLISECONDS;
    return isUnconfirmed && canOthersReachStore()
      ? 'the store answers other hosts, but not this one'
      : undefined;
  };

  const stopRenewalCheck = runPeriodically(clock, CHECK_INTERVAL_MILLISECONDS, () => {
    if (reachesServers()) sinceReached = startMonotonicStopwatch(clock);
    const fencing = lease.currentFencing();
    const why = fencing === undefined ? undefined : findReasonToAbandon();
    if (why === undefined) return;
    logger.warn('lease for orders given up', {
      why,
      fencing,
      sinceRenewed: lease.millisecondsSinceRenewal(),
    });
    lease.abandon();
  });

  /** Milliseconds since an order of this host or, within its handover, of the host before it. */
  const millisecondsSinceOrder = (server?: string): number => {
    const sinceOwn = server === undefined ? sinceOrder : sinceOrderAt.get(server);
    const handoverRemaining = lease.handoverRemainingMilliseconds(server);
    const sinceFormer = handoverRemaining > 0 ? handoverMilliseconds - handoverRemaining : Infinity;
    return Math.min(sinceOwn?.() ?? Infinity, sinceFormer);
  };

  /** Milliseconds since the last order, for servers within the handover time of the next leader. */
  const recentOrders = (): Record<string, number> => {
    const recent: Record<string, number> = {};
    new Set([...serverIds, ...sinceOrderAt.keys()]).forEach((server) => {
      const since = millisecondsSinceOrder(server);
      if (since < handoverMilliseconds) recent[server] = Math.round(since);
      else sinceOrderAt.delete(server);
    });
    return recent;
  };

  const ageColdLoads = (loads: readonly ColdLoad[], since: Stopwatch): readonly ColdLoad[] =>
    loads.map((load) => ({ ...load, milliseconds: load.milliseconds + Math.round(since()) }));

  /** The cold loads at the end of this host's last term, or now if it is the leader. */
  const describeColdLoads = (): Pick<OrderLease, 'coldLoads'> => {
    if (lease.currentFencing() !== undefined)
      lastColdLoads = { loads: commander.coldLoads(), since: startMonotonicStopwatch(clock) };
    if (!lastColdLoads || lastColdLoads.loads.length === 0) return {};
    return { coldLoads: ageColdLoads(lastColdLoads.loads, lastColdLoads.since) };
  };

  const describeTerm = (): OrderLease | undefined => {
    const fencing = lease.currentFencing();
    if (fencing !== undefined) lastDescribed = { fencing, over: false, coldLoadLimit };
    else if (lastDescribed && !lastDescribed.over) {
      // Other hosts take over once they receive this report, so a late answer of the store must not
      // renew the same term.
      lease.abandon();
      lastDescribed = { ...lastDescribed, over: true };
    }
    if (!lastDescribed?.over) {
      if (!lastDescribed || !sinceOrder) return lastDescribed;
      return { ...lastDescribed, sinceOrder: Math.round(sinceOrder()) };
    }
    const since = millisecondsSinceOrder();
    if (!Number.isFinite(since)) return lastDescribed;
    return { ...lastDescribed, sinceOrder: Math.round(since), sinceOrderAt: recentOrders() };
  };

  const describeLease = (): OrderLease | undefined => {
    const described = describeTerm();
    return described && { ...described, ...describeColdLoads() };
  };

  const formerColdLoads = (): readonly ColdLoad[] | undefined => {
    const found = reports.newest();
    if (!found || found.fencing < (formerOwnFencing ?? 0)) return undefined;
    return ageColdLoads(found.coldLoads ?? [], found.since);
  };

  const commander = createLoadCoordinator({
    clock,
    control,
    logger,
    holder: self.host,
    leaseFencing: lease.currentFencing,
    fencing: lease.fencingAfterHandover,
    millisecondsUntilOrders: lease.handoverRemainingMilliseconds,
    profile: (service) => configuration()?.services.get(service)?.engine,
    demand,
    running: runningByModel,
    ...(isLimited ? { isLimited } : {}),
    sharesCapacity,
    ...(onLoadDecided ? { onLoadDecided } : {}),
    learntColdLoadLimit: () => reports.newest()?.coldLoadLimit,
    formerColdLoads,
    onColdLoadLimit: (limit) => {
      coldLoadLimit = limit;
      onColdLoadLimit(limit);
    },
    onOutlook,
    onUnloading,
  });

  return {
    commander,
    describeLease,
    receiveLease: (host, report, age = 0) => {
      if (!report || host === self.host) return;
      reports.receive(host, report, age);
    },
    newestLease: () => {
      const own = describeLease();
      const found = reports.newest();
      if (own && own.fencing >= (found?.fencing ?? 0)) return { ...own, host: self.host, age: 0 };
      if (!found) return undefined;
      const { host, fencing, over, since } = found;
      const { sinceOrder: order, sinceOrderAt: orders } = found;
      const age = Math.round(since());
      return {
        host,
        fencing,
        over,
        sinceOrder: order,
        sinceOrderAt: orders,
        coldLoadLimit: found.coldLoadLimit,
        coldLoads: found.coldLoads,
        age,
      };
    },
    leader: () => {
      if (lease.currentFencing() !== undefined) return self.host;
      const found = reports.newest();
      return found && !found.over && found.since() < TERM_MILLISECONDS ? found.host : undefined;
    },
    setServers: (servers) => {
      serverIds = [...servers.keys()];
      commander.setServers(servers);
    },
    run: async (signal) => {
      await lease.run(signal);
      stopRenewalCheck();
      commander.stop();
    },
  };
}
