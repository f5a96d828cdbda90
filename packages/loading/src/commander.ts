import type { EngineProfile, ServerView } from '@bulrushspar/catalogue';
import { runPeriodically, type Clock, type Stop } from '@bulrushspar/clock';
import { errorMessage } from '@bulrushspar/errors';
import type { Logger } from '@bulrushspar/logging';
import { createAdapterLoader } from './adapters.js';
import {
  reconcileWithEntry,
  createServerState,
  resetServerState,
  applyEntry,
  type ColdLoad,
  type ServerState,
} from './book.js';
import { createModelReplacer } from './change.js';
import { createColdLoads } from './cold-loads.js';
import { createCoverage } from './coverage.js';
import type { DemandTracker } from './demand.js';
import type { EngineControl } from './engine.js';
import { createOrderSender } from './issue.js';
import type { Outlook, PlannedLoad, Want } from './plan-input.js';
import { createServicePlanner } from './service-plan.js';
import { createWantBook } from './wants.js';

/**
 * Coordinates the loads of all servers: plans them and sends the orders while this host holds the
 * lease for orders.
 */
export interface LoadCoordinator {
  /** Replaces the list of servers and applies their entries. */
  setServers(servers: ServerView): void;
  /** Replaces the wants of a host: the models that its requests wait for. */
  setWants(host: string, wants: readonly Want[]): void;
  /** Removes the wants of a host that has left. */
  removeHost(host: string): void;
  /**
   * Loads an adapter on a server on which its model is resident.
   * @returns whether the adapter is resident, or the server has accepted the order to load it
   */
  ensureAdapter(server: string, model: string, adapter: string): Promise<boolean>;
  /** The loads from the weight store that servers execute, as far as this host knows as the leader. */
  coldLoads(): readonly ColdLoad[];
  /** Stops the periodic planning. */
  stop(): void;
}

/** Options of {@link createLoadCoordinator}. */
export interface LoadCoordinatorOptions {
  readonly clock: Clock;
  readonly control: EngineControl;
  readonly logger: Logger;
  /** Name of this host, sent as the holder of the lease. */
  readonly holder: string;
  /** Returns the lease's fencing token while this host holds it, also during the handover. */
  readonly leaseFencing: () => number | undefined;
  /** Returns the fencing token if this host may send the server an order now. */
  readonly fencing: (server: string) => number | undefined;
  /** Returns the milliseconds until the handover ends and this host may send the server orders. */
  readonly millisecondsUntilOrders: (server: string) => number;
  readonly profile: (service: string) => EngineProfile | undefined;
  readonly demand: DemandTracker;
  /** Returns the number of running requests of all hosts on a server, by model. */
  readonly running: (server: string) => ReadonlyMap<string, number>;
  /**
   * Returns whether a server has limited its requests. It gets loads only if all servers have, and the
   * models that it holds are loaded on others as well.
   */
  readonly isLimited?: (server: string) => boolean;
  /**
   * Called after plans, with a minimum interval, with the estimates for the wanted models and the
   * names of the hosts whose requests wait for them.
   */
  readonly onOutlook?: (outlook: readonly Outlook[], hosts: readonly string[]) => void;
  /**
   * Whether promised times are kept and all idle capacity is used for models that no request waits
   * for. Otherwise only models without any copy are loaded then; false by default.
   */
  readonly sharesCapacity?: boolean;
  /** Returns the number of concurrent cold loads that the last leader has learnt, if it is known. */
  readonly learntColdLoadLimit?: () => number | undefined;
  /**
   * Returns the loads from the weight store that servers executed for the last leader; undefined if
   * this host was the last leader itself.
   */
  readonly formerColdLoads?: () => readonly ColdLoad[] | undefined;
  /** Called for each load that is decided. */
  readonly onLoadDecided?: (load: PlannedLoad) => void;
  /** Called when the learnt number of concurrent cold loads has changed. */
  readonly onColdLoadLimit?: (limit: number) => void;
  /** Called before the order to unload a model is sent. */
  readonly onUnloading?: (server: string, model: string) => void;
}

/** Interval between plans while no input changes. */
const PLAN_INTERVAL_MILLISECONDS = 100;
/** Minimum interval between plans; batches the wants that many hosts send. */
const MINIMUM_PLAN_INTERVAL_MILLISECONDS = 20;
/**
 * Share of the time that plans may take. A leader with an eighth of a core was so far behind with its
 * plans that it lost the lease.
 */
const MAX_PLAN_SHARE = 0.2;
/**
 * Most concurrent cold loads where idle capacity is not shared: a server with such a load takes no other
 * order for seconds, and small fleets have few servers for loads from disks.
 */
const MAX_CONCURRENT_COLD_LOADS = 4;
/** Minimum interval between outlooks; the plans in between differ little. */
const OUTLOOK_INTERVAL_MILLISECONDS = 50;
/** Time before the end of the handover at which the servers' reports are requested. */
const STATE_REFRESH_LEAD_MILLISECONDS = 300;
/** Creates the load coordinator of one host. It sends no order while it has no fencing token. */
export function createLoadCoordinator(options: LoadCoordinatorOptions): LoadCoordinator {
  const {
    clock,
    control,
    logger,
    leaseFencing,
    fencing,
    millisecondsUntilOrders,
    profile,
    demand,
    running,
  } = options;
  const { onOutlook = () => {}, onUnloading = () => {}, isLimited = () => false } = options;
  const { sharesCapacity = false, onColdLoadLimit = () => {} } = options;
  const { learntColdLoadLimit = () => undefined, onLoadDecided = () => {} } = options;
  const { formerColdLoads = () => undefined } = options;
  const serverStates = new Map<string, ServerState>();
  let latestServers: ServerView = new Map();
  const wantBook = createWantBook(clock);
  /** Loads whose orders are being sent, by server. */
  const startingLoads = new Map<string, PlannedLoad>();
  let isPlanScheduled = false;
  let lastPlanAt = -Infinity;
  let planMilliseconds = 0;
  let lastOutlookAt = -Infinity;
  let lastFencing: number | undefined;
  /** Cold loads at the end of this host's last term, by when they began. */
  let ownColdLoads: readonly (ColdLoad & { readonly startedAt: number })[] = [];

  const coldLoads = createColdLoads({
    clock,
    logger,
    servers: serverStates,
    startingLoads,
    profile,
    ...(sharesCapacity ? {} : { maxConcurrent: MAX_CONCURRENT_COLD_LOADS }),
    onLimit: onColdLoadLimit,
  });
  const coverage = createCoverage({ clock, logger });
  const servicePlanner = createServicePlanner({
    clock,
    logger,
    servers: serverStates,
    startingLoads,
    profile,
    demand,
    running,
    isLimited,
    millisecondsUntilOrders,
    coldLoads,
    coverage,
    sharesCapacity,
    startLoad: (load) => startLoad(load),
  });

  const { sendOrder, refreshState } = createOrderSender(options);
  const modelReplacer = createModelReplacer({
    clock,
    control,
    logger,
    sendOrder,
    profile,
    holdsLease: () => leaseFencing() !== undefined,
    onUnloading,
    onLoadFinished: () => schedulePlan(),
  });
  const adapters = createAdapterLoader({
    clock,
    sendOrder,
    isReplacingModels: ({ pendingOrder, entry }) =>
      pendingOrder !== undefined || startingLoads.has(entry.id),
  });

  const profileOf = (state: ServerState): EngineProfile | undefined => profile(state.entry.service);

  const startLoad = (load: PlannedLoad): void => {
    const state = serverStates.get(load.server);
    if (!state || startingLoads.has(load.server)) return;
    startingLoads.set(load.server, load);
    logger.info('load decided', {
      model: load.model,
      server: load.server,
      victims: load.victims.join(' '),
      readyMilliseconds: Math.round(load.readyMilliseconds),
      cold: load.cold,
      ...(load.isBackground === true ? { background: true } : {}),
    });
    onLoadDecided(load);
    if (load.cold) coldLoads.recordStart();
    modelReplacer
      .replace(state, load.victims, load.model)
      .catch((error: unknown) =>
        logger.error('load failed', { server: load.server, error: errorMessage(error) }),
      )
      .finally(() => {
        startingLoads.delete(load.server);
        schedulePlan();
      });
  };

  const rememberColdLoads = (): void => {
    const now = clock.monotonic();
    ownColdLoads = coldLoads
      .underWay()
      .map((load) => ({ ...load, startedAt: now - load.milliseconds }));
  };

  /** Continues with what the last leader knew of the weight store. */
  const beginTerm = (): void => {
    const now = clock.monotonic();
    coldLoads.restart(learntColdLoadLimit());
    coverage.restart();
    const ownLoads = ownColdLoads.map((load) => ({ ...load, milliseconds: now - load.startedAt }));
    const loads = formerColdLoads() ?? ownLoads;
    loads.forEach((load) => {
      const state = serverStates.get(load.server);
      if (state) modelReplacer.adopt(state, load);
    });
    logger.info('term of the leader begins', {
      coldLoadsUnderWay: loads.length,
      coldLoadLimit: learntColdLoadLimit(),
    });
  };

  const runPlan = (): void => {
    const currentFencing = leaseFencing();
    if (currentFencing !== lastFencing) {
      if (lastFencing !== undefined) rememberColdLoads();
      applyServers();
      serverStates.forEach(resetServerState);
      if (currentFencing !== undefined) beginTerm();
    }
    lastFencing = currentFencing;
    if (currentFencing === undefined) return;
    serverStates.forEach((state) => {
      reconcileWithEntry(state, clock);
      if (state.entry.evacuated) return;
      if (millisecondsUntilOrders(state.entry.id) < STATE_REFRESH_LEAD_MILLISECONDS)
        refreshState(state);
    });
    coldLoads.observe(servicePlanner.isMoreWanted());
    const wants = wantBook.merged();
    const services = new Set([...serverStates.values()].map(({ entry }) => entry.service));
    const configuredServices = [...services].filter((service) => profile(service) !== undefined);
    const outlook = configuredServices.flatMap((service) => servicePlanner.plan(service, wants));
    if (outlook.length === 0 || clock.monotonic() - lastOutlookAt < OUTLOOK_INTERVAL_MILLISECONDS)
      return;
    lastOutlookAt = clock.monotonic();
    servicePlanner.recordTold(outlook);
    onOutlook(outlook, wantBook.hosts());
  };

  const plan = (): void => {
    isPlanScheduled = false;
    lastPlanAt = clock.monotonic();
    runPlan();
    planMilliseconds = clock.monotonic() - lastPlanAt;
  };

  /** Minimum interval between plans; a host with little processor time plans less often. */
  const minimumPlanInterval = (): number =>
    Math.max(MINIMUM_PLAN_INTERVAL_MILLISECONDS, planMilliseconds / MAX_PLAN_SHARE);

  /** Schedules a plan; changes within the minimum interval share one plan. */
  const schedulePlan = (): void => {
    if (isPlanScheduled) return;
    isPlanScheduled = true;
    const sinceLastPlan = clock.monotonic() - lastPlanAt;
    clock.after(Math.max(0, minimumPlanInterval() - sinceLastPlan), plan);
  };

  const ensureAdapter = async (id: string, model: string, adapter: string): Promise<boolean> => {
    const state = serverStates.get(id);
    const engine = state && profileOf(state);
    if (!state || !engine || state.entry.evacuated || fencing(id) === undefined) return false;
    return adapters.ensureLoaded(state, engine, model, adapter);
  };

  const stopPlanTimer: Stop = runPeriodically(clock, PLAN_INTERVAL_MILLISECONDS, () => {
    if (leaseFencing() !== lastFencing || lastFencing !== undefined) schedulePlan();
  });

  /** Brings the server states in line with the current list of servers. */
  const applyServers = (): void => {
    [...serverStates.keys()].forEach((id) => {
      if (!latestServers.has(id)) serverStates.delete(id);
    });
    latestServers.forEach((entry, id) => {
      if (!profile(entry.service)) return;
      const state = serverStates.get(id);
      if (!state) serverStates.set(id, createServerState(entry));
      else applyEntry(state, entry, clock);
    });
  };

  return {
    setServers: (servers) => {
      latestServers = servers;
      // Other hosts than the leader give no orders; they apply the list when they take the lease.
      if (leaseFencing() === undefined) return;
      applyServers();
      schedulePlan();
    },
    setWants: (host, wants) => {
      wantBook.set(host, wants);
      if (leaseFencing() !== undefined) schedulePlan();
    },
    removeHost: wantBook.remove,
    ensureAdapter,
    coldLoads: coldLoads.underWay,
    stop: stopPlanTimer,
  };
}
