import { acceptsRequests, type EngineProfile, type ServerView } from '@bulrushspar/catalogue';
import { runPeriodically, type Clock, type Stop } from '@bulrushspar/clock';
import { errorMessage } from '@bulrushspar/errors';
import type { Logger } from '@bulrushspar/logging';
import { createAdapterLoader } from './adapters.js';
import {
  reconcileWithEntry,
  createServerState,
  resetServerState,
  applyEntry,
  toPlannedServer,
  type ServerState,
} from './book.js';
import { createModelReplacer, estimateLoad } from './change.js';
import type { DemandTracker } from './demand.js';
import { ORDER_OPERATION, type EngineControl } from './engine.js';
import { createOrderSender } from './issue.js';
import { planLoads, type PlannedLoad, type Want } from './plan.js';
import { findReplicaNeeds } from './replicas.js';

/** Estimate of when a model that requests wait for will be ready. */
export interface Outlook {
  readonly model: string;
  /** Absent if no server can load the model now. */
  readonly readyMilliseconds?: number;
  readonly server?: string;
}

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
  /** Called before the order to unload a model is sent. */
  readonly onUnloading?: (server: string, model: string) => void;
}

/** Interval between plans while no input changes. */
const PLAN_INTERVAL_MILLISECONDS = 100;
/** Minimum interval between plans; batches the wants that many hosts send. */
const MINIMUM_PLAN_INTERVAL_MILLISECONDS = 20;
/** Minimum interval between outlooks; the plans in between differ little. */
const OUTLOOK_INTERVAL_MILLISECONDS = 50;
/**
 * Request rate, in credit per second, from which a model that is on no server is loaded again
 * before a request waits for it.
 */
const PRELOAD_CREDIT_PER_SECOND = 1;
/** Expected time until the next request for a popular model that is on no server. */
const PRELOAD_OBJECTIVE_MILLISECONDS = 500;
/** Time before the end of the handover at which the servers' reports are requested. */
const STATE_REFRESH_LEAD_MILLISECONDS = 300;
/** Window over which the starts of cold loads are counted against their rate limit. */
const COLD_LOAD_WINDOW_MILLISECONDS = 5000;
/** Number of concurrent loads that the weight store serves at full speed. */
const MAX_CONCURRENT_COLD_LOADS = 4;
const MILLISECONDS_PER_SECOND = 1000;

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
  const serverStates = new Map<string, ServerState>();
  let latestServers: ServerView = new Map();
  const wantsByHost = new Map<string, { readonly at: number; readonly wants: readonly Want[] }>();
  /** Loads whose orders are being sent, by server. */
  const startingLoads = new Map<string, PlannedLoad>();
  const startingLoad = (server: string): PlannedLoad | undefined => startingLoads.get(server);
  let coldLoadStartTimes: number[] = [];
  let isPlanScheduled = false;
  let lastPlanAt = -Infinity;
  let lastOutlookAt = -Infinity;
  let lastFencing: number | undefined;

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

  const mergeWants = (): readonly Want[] => {
    const now = clock.monotonic();
    const merged = new Map<string, Want>();
    wantsByHost.forEach(({ at, wants }) =>
      wants.forEach((want) => {
        const mergedWant = merged.get(want.model);
        const objective = want.objectiveMilliseconds - (now - at);
        merged.set(want.model, {
          model: want.model,
          count: want.count + (mergedWant?.count ?? 0),
          credit: want.credit + (mergedWant?.credit ?? 0),
          objectiveMilliseconds: Math.min(objective, mergedWant?.objectiveMilliseconds ?? Infinity),
        });
      }),
    );
    return [...merged.values()];
  };

  /**
   * Returns how many cold loads (from the weight store) may start now, and after how many
   * milliseconds the next one may.
   */
  const coldLoadLimits = (engine: EngineProfile) => {
    const windowStart = clock.monotonic() - COLD_LOAD_WINDOW_MILLISECONDS;
    coldLoadStartTimes = coldLoadStartTimes.filter((at) => at > windowStart);
    const startsPerWindow =
      (engine.coldLoadsPerSecond * COLD_LOAD_WINDOW_MILLISECONDS) / MILLISECONDS_PER_SECOND;
    const remainingMilliseconds = [...serverStates.values()].flatMap(({ pendingOrder, entry }) => {
      if (pendingOrder?.request.operation !== ORDER_OPERATION.LOAD) return [];
      if (!estimateLoad(entry, engine, pendingOrder.request.model).cold) return [];
      return [
        Math.max(0, pendingOrder.startedAt + pendingOrder.expectedMilliseconds - clock.monotonic()),
      ];
    });
    const availableColdLoads = Math.min(
      Math.floor(startsPerWindow) - coldLoadStartTimes.length,
      MAX_CONCURRENT_COLD_LOADS - remainingMilliseconds.length,
    );
    const [coldWaitMilliseconds = COLD_LOAD_WINDOW_MILLISECONDS] = remainingMilliseconds.sort(
      (x, y) => x - y,
    );
    return {
      availableColdLoads,
      coldWaitMilliseconds,
      maxConcurrentColdLoads: MAX_CONCURRENT_COLD_LOADS,
    };
  };

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
    });
    if (load.cold) coldLoadStartTimes.push(clock.monotonic());
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

  const findCurrentReplicaNeeds = (
    availableServers: readonly ServerState[],
    { slots }: EngineProfile,
  ) =>
    findReplicaNeeds(
      availableServers.map(({ entry, models }) => ({
        slots,
        running: running(entry.id),
        models: [...models.keys()],
      })),
      (model) =>
        availableServers.some(
          ({ pendingOrder, entry }) =>
            pendingOrder?.request.model === model || startingLoads.get(entry.id)?.model === model,
        ),
    );

  /**
   * Returns wants for popular models that no request waits for, so that they are loaded again as
   * soon as their last server leaves.
   */
  const findModelsToPreload = (
    engine: EngineProfile,
    knownWants: readonly Want[],
  ): readonly Want[] => {
    const waitedModels = new Set(knownWants.map(({ model }) => model));
    return [...engine.models.keys()].flatMap((model) => {
      const rate = demand.creditPerSecond(model);
      if (rate < PRELOAD_CREDIT_PER_SECOND || waitedModels.has(model)) return [];
      return [
        { model, count: rate, credit: rate, objectiveMilliseconds: PRELOAD_OBJECTIVE_MILLISECONDS },
      ];
    });
  };

  const planService = (service: string, wants: readonly Want[]): Outlook[] => {
    const engine = profile(service)!;
    const remainingServers = [...serverStates.values()].filter(
      ({ entry }) => entry.service === service && acceptsRequests(entry),
    );
    const unlimitedServers = remainingServers.filter(({ entry }) => !isLimited(entry.id));
    const availableServers = unlimitedServers.length > 0 ? unlimitedServers : remainingServers;
    const knownWants = wants.filter(({ model }) => engine.models.has(model));
    const loadsInProgress = new Map<string, Outlook>();
    availableServers.forEach((state) => {
      const { entry } = state;
      const request = state.pendingOrder?.request;
      const starting = startingLoads.get(entry.id);
      if (starting) {
        const { model, readyMilliseconds } = starting;
        loadsInProgress.set(model, { model, readyMilliseconds, server: entry.id });
      }
      if (request?.operation !== ORDER_OPERATION.LOAD) return;
      const plannedServer = toPlannedServer(state, {
        clock,
        profile: engine,
        running,
        replacement: startingLoad,
      });
      loadsInProgress.set(request.model, {
        model: request.model,
        readyMilliseconds: plannedServer.busyMilliseconds,
        server: entry.id,
      });
    });
    const isResident = (model: string): boolean =>
      availableServers.some(({ models }) => models.has(model));
    const isMissing = (model: string): boolean => !isResident(model) && !loadsInProgress.has(model);
    const missingWants = [...knownWants, ...findModelsToPreload(engine, knownWants)].filter(
      ({ model }) => isMissing(model),
    );
    const servers = availableServers.map((state) => {
      const plannedServer = toPlannedServer(state, {
        clock,
        profile: engine,
        running,
        replacement: startingLoad,
      });
      const minimumBusyMilliseconds = Math.max(
        startingLoads.has(plannedServer.id) ? 1 : 0,
        millisecondsUntilOrders(plannedServer.id),
      );
      return {
        ...plannedServer,
        busyMilliseconds: Math.max(minimumBusyMilliseconds, plannedServer.busyMilliseconds),
      };
    });
    const loads = planLoads({
      profile: engine,
      servers,
      wants: missingWants,
      creditPerSecond: demand.creditPerSecond,
      idleMilliseconds: demand.idleMilliseconds,
      replicas: findCurrentReplicaNeeds(availableServers, engine),
      ...coldLoadLimits(engine),
    });
    loads.filter(({ startsNow }) => startsNow).forEach(startLoad);
    const loadByModel = new Map(loads.map((load) => [load.model, load]));
    return knownWants.map(({ model }) => {
      if (isResident(model)) return { model, readyMilliseconds: 0 };
      const { readyMilliseconds, server } = loadByModel.get(model) ?? {};
      return loadsInProgress.get(model) ?? { model, readyMilliseconds, server };
    });
  };

  const plan = (): void => {
    isPlanScheduled = false;
    lastPlanAt = clock.monotonic();
    const currentFencing = leaseFencing();
    if (currentFencing !== lastFencing) {
      applyServers();
      serverStates.forEach(resetServerState);
    }
    lastFencing = currentFencing;
    if (currentFencing === undefined) return;
    serverStates.forEach((state) => {
      reconcileWithEntry(state, clock);
      if (state.entry.evacuated) return;
      if (millisecondsUntilOrders(state.entry.id) < STATE_REFRESH_LEAD_MILLISECONDS)
        refreshState(state);
    });
    const wants = mergeWants();
    const services = new Set([...serverStates.values()].map(({ entry }) => entry.service));
    const configuredServices = [...services].filter((service) => profile(service) !== undefined);
    const outlook = configuredServices.flatMap((service) => planService(service, wants));
    if (outlook.length === 0 || clock.monotonic() - lastOutlookAt < OUTLOOK_INTERVAL_MILLISECONDS)
      return;
    lastOutlookAt = clock.monotonic();
    onOutlook(outlook, [...wantsByHost.keys()]);
  };

  /** Schedules a plan; changes within the minimum interval share one plan. */
  const schedulePlan = (): void => {
    if (isPlanScheduled) return;
    isPlanScheduled = true;
    const sinceLastPlan = clock.monotonic() - lastPlanAt;
    clock.after(Math.max(0, MINIMUM_PLAN_INTERVAL_MILLISECONDS - sinceLastPlan), plan);
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
      if (wants.length === 0) wantsByHost.delete(host);
      else wantsByHost.set(host, { at: clock.monotonic(), wants });
      if (leaseFencing() !== undefined) schedulePlan();
    },
    removeHost: (host) => {
      wantsByHost.delete(host);
    },
    ensureAdapter,
    stop: stopPlanTimer,
  };
}
