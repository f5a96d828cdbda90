/** Plans the loads of one service from the state of its servers. */
import { acceptsRequests, type EngineProfile } from '@bulrushspar/catalogue';
import type { Clock } from '@bulrushspar/clock';
import type { Logger } from '@bulrushspar/logging';
import { findBackgroundNeeds } from './background.js';
import type { ServerState } from './book.js';
import type { ColdLoads } from './cold-loads.js';
import type { Coverage } from './coverage.js';
import type { DemandTracker } from './demand.js';
import { ORDER_OPERATION } from './engine.js';
import { createOverdueLoads } from './overdue.js';
import { planLoads } from './plan.js';
import type {
  BackgroundNeed,
  Outlook,
  PlannedLoad,
  PlannedServer,
  ReplicaNeed,
  Want,
} from './plan-input.js';
import { toPlannedServer } from './planned-server.js';
import { createPromises, listPromisedWants } from './promises.js';
import { findReplicaNeeds } from './replicas.js';

/** Plans and starts the loads of services. */
export interface ServicePlanner {
  /** Plans a service, starts what can start now, and estimates when the wanted models are ready. */
  plan(service: string, wants: readonly Want[]): readonly Outlook[];
  /** Records the estimates that the hosts are told. */
  recordTold(outlook: readonly Outlook[]): void;
  /** Whether more cold loads would have started in the last plans if more might run at once. */
  isMoreWanted(): boolean;
}

/** Options of {@link createServicePlanner}. */
export interface ServicePlannerOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly servers: ReadonlyMap<string, ServerState>;
  /** Loads whose orders are being sent, by server. */
  readonly startingLoads: ReadonlyMap<string, PlannedLoad>;
  readonly profile: (service: string) => EngineProfile | undefined;
  readonly demand: DemandTracker;
  readonly running: (server: string) => ReadonlyMap<string, number>;
  readonly isLimited: (server: string) => boolean;
  readonly millisecondsUntilOrders: (server: string) => number;
  readonly coldLoads: ColdLoads;
  readonly coverage: Coverage;
  /** See {@link LoadCoordinatorOptions.sharesCapacity}. */
  readonly sharesCapacity: boolean;
  readonly startLoad: (load: PlannedLoad) => void;
}

/**
 * Request rate, in credit per second, from which a model that is on no server is loaded again
 * before a request waits for it.
 */
const PRELOAD_CREDIT_PER_SECOND = 1;
/** Expected time until the next request for a popular model that is on no server. */
const PRELOAD_OBJECTIVE_MILLISECONDS = 500;
/** Interval of the background loads; finding them looks at all models and servers. */
const BACKGROUND_INTERVAL_MILLISECONDS = 200;
/** Time since the last request after which a promise to callers that were refused is dropped. */
const PROMISE_KEPT_MILLISECONDS = 20_000;
/** A model requested within this time is loaded elsewhere when its last server leaves. */
const RECENT_REQUEST_MILLISECONDS = 30_000;

/**
 * Time without a request after which a service counts as calm. Hosts that were restarted while requests
 * come receive states of other hosts within half of it.
 */
const CALM_MILLISECONDS = 1000;

/** State of a service during one plan. */
interface ServiceView {
  readonly engine: EngineProfile;
  readonly availableServers: readonly ServerState[];
  readonly plannedServers: readonly PlannedServer[];
  readonly loadsInProgress: ReadonlyMap<string, Outlook>;
  readonly isResident: (model: string) => boolean;
  readonly isMissing: (model: string) => boolean;
}

/** Creates the planner of one leader's services. */
export function createServicePlanner(options: ServicePlannerOptions): ServicePlanner {
  const { clock, servers, startingLoads, profile, demand, running, isLimited } = options;
  const { millisecondsUntilOrders, coldLoads, coverage, sharesCapacity, startLoad } = options;
  const overdueLoads = createOverdueLoads({ coverage, coldLoads, demand });
  const promises = createPromises();
  const backgroundAt = new Map<string, number>();
  /** Since when no request has come, by service; Infinity once one has. */
  const calmSince = new Map<string, number>();
  /** Services of which more cold loads would have started if more might run at once. */
  const servicesWantingMore = new Set<string>();

  const viewService = (service: string): ServiceView => {
    const engine = profile(service)!;
    const remainingServers = [...servers.values()].filter(
      ({ entry }) => entry.service === service && acceptsRequests(entry),
    );
    const unlimitedServers = remainingServers.filter(({ entry }) => !isLimited(entry.id));
    const availableServers = unlimitedServers.length > 0 ? unlimitedServers : remainingServers;
    const loadsInProgress = new Map<string, Outlook>();
    const plannedServers = availableServers.map((state) => {
      const { entry } = state;
      const request = state.pendingOrder?.request;
      const starting = startingLoads.get(entry.id);
      const plannedServer = toPlannedServer(state, {
        clock,
        profile: engine,
        running,
        replacement: (server) => startingLoads.get(server),
        remaining: coldLoads.remainingOn,
        ...(sharesCapacity ? { idleMilliseconds: demand.idleMilliseconds } : {}),
      });
      if (starting) {
        const { model, readyMilliseconds } = starting;
        loadsInProgress.set(model, { model, readyMilliseconds, server: entry.id });
      }
      if (request?.operation === ORDER_OPERATION.LOAD) {
        const { model } = request;
        const readyMilliseconds = plannedServer.busyMilliseconds;
        loadsInProgress.set(model, { model, readyMilliseconds, server: entry.id });
      }
      const minimumBusyMilliseconds = Math.max(
        starting ? 1 : 0,
        millisecondsUntilOrders(plannedServer.id),
      );
      return {
        ...plannedServer,
        busyMilliseconds: Math.max(minimumBusyMilliseconds, plannedServer.busyMilliseconds),
      };
    });
    const isResident = (model: string): boolean =>
      availableServers.some(({ models }) => models.has(model));
    const isMissing = (model: string): boolean => !isResident(model) && !loadsInProgress.has(model);
    return { engine, availableServers, plannedServers, loadsInProgress, isResident, isMissing };
  };

  const findCurrentReplicaNeeds = ({
    availableServers,
    engine: { slots },
  }: ServiceView): readonly ReplicaNeed[] =>
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

  /** Models on servers that are leaving or evacuated, if they have had requests recently. */
  const findLeavingModels = (service: string): ReadonlySet<string> =>
    new Set(
      [...servers.values()]
        .filter(({ entry }) => entry.service === service && !acceptsRequests(entry))
        .flatMap(({ models }) => [...models.keys()])
        .filter((model) => demand.idleMilliseconds(model) < RECENT_REQUEST_MILLISECONDS),
    );

  /**
   * Returns wants for popular models that no request waits for, so that they are loaded again as
   * soon as their last server leaves.
   */
  const findModelsToPreload = (
    service: string,
    engine: EngineProfile,
    knownWants: readonly Want[],
  ): readonly Want[] => {
    const waitedModels = new Set(knownWants.map(({ model }) => model));
    const leavingModels = sharesCapacity ? findLeavingModels(service) : new Set<string>();
    return [...engine.models.keys()].flatMap((model) => {
      const credit = demand.creditPerSecond(model);
      const rate = leavingModels.has(model) ? Math.max(1, credit) : credit;
      if (rate < PRELOAD_CREDIT_PER_SECOND || waitedModels.has(model)) return [];
      return [
        { model, count: rate, credit: rate, objectiveMilliseconds: PRELOAD_OBJECTIVE_MILLISECONDS },
      ];
    });
  };

  /** Whether no request for a model of a service has come since this host has planned its loads. */
  const isCalm = (service: string, engine: EngineProfile): boolean => {
    const now = clock.monotonic();
    const hasDemand = [...engine.models.keys()].some(
      (model) => demand.idleMilliseconds(model) !== Infinity,
    );
    if (hasDemand || !calmSince.has(service)) calmSince.set(service, hasDemand ? Infinity : now);
    return now - calmSince.get(service)! > CALM_MILLISECONDS;
  };

  /** Finds the loads that no request waits for; they are due less often than plans. */
  const findBackground = (
    service: string,
    { engine, plannedServers, isMissing }: ServiceView,
    coldLoadLimit: number,
  ): readonly BackgroundNeed[] => {
    const now = clock.monotonic();
    if (now - (backgroundAt.get(service) ?? -Infinity) < BACKGROUND_INTERVAL_MILLISECONDS)
      return [];
    backgroundAt.set(service, now);
    coverage.observe({ service, profile: engine, servers: plannedServers, demand, isMissing });
    return findBackgroundNeeds({
      profile: engine,
      servers: plannedServers,
      demand,
      isMissing,
      coldLoadLimit,
      isCalm: isCalm(service, engine),
      coldServers: coldLoads.countServers(),
      onlyWithoutCopy: !sharesCapacity,
    });
  };

  /** A promise stays open during the load, as the server of the load may be lost. */
  const isPromiseOpen = ({ engine, isResident }: ServiceView, wants: readonly Want[]) => {
    const waitedModels = new Set(wants.map(({ model }) => model));
    return (model: string): boolean =>
      !engine.models.has(model) ||
      (!isResident(model) &&
        (waitedModels.has(model) || demand.idleMilliseconds(model) < PROMISE_KEPT_MILLISECONDS));
  };

  const plan = (service: string, wants: readonly Want[]): readonly Outlook[] => {
    const view = viewService(service);
    const { engine, plannedServers, loadsInProgress, isResident, isMissing } = view;
    const knownWants = wants.filter(({ model }) => engine.models.has(model));
    if (sharesCapacity) promises.prune(isPromiseOpen(view, knownWants));
    const promisedWants = sharesCapacity
      ? listPromisedWants(promises.current(), knownWants).filter(({ model }) =>
          engine.models.has(model),
        )
      : [];
    const waitingWants = [...knownWants, ...promisedWants];
    const missingWants = [
      ...waitingWants,
      ...findModelsToPreload(service, engine, waitingWants),
    ].filter(({ model }) => isMissing(model));
    const limits = coldLoads.limits(engine);
    const coldLoadLimit = limits.maxConcurrentColdLoads ?? 1;
    const background = findBackground(service, view, coldLoadLimit);
    // Promises order the loads otherwise.
    const overdue = sharesCapacity
      ? undefined
      : overdueLoads.find({
          service,
          servers: plannedServers.length,
          isLoading: (model) => loadsInProgress.has(model),
          isMissing,
          coldLoadLimit,
        });
    const loads = planLoads({
      profile: engine,
      servers: plannedServers,
      wants: missingWants,
      creditPerSecond: demand.creditPerSecond,
      idleMilliseconds: demand.idleMilliseconds,
      replicas: findCurrentReplicaNeeds(view),
      requestsPerSecond: demand.requestsPerSecond,
      background,
      ...(overdue ? { overdue } : {}),
      ...limits,
      ...(sharesCapacity ? { promises: promises.current() } : {}),
    });
    const started = loads.filter(({ startsNow }) => startsNow);
    started.forEach(startLoad);
    if (overdue && started.some(({ model }) => model === overdue.model))
      overdueLoads.recordStart(overdue.model);
    const isFull = (limits.coldPlaces ?? []).every((at) => at > 0);
    const isDemanded = background.some((need) => need.requestsPerSecond !== undefined);
    const isQueued = loads.some(({ cold, startsNow }) => cold && !startsNow);
    // Plans without background needs tell nothing about them.
    const wasDemanded = servicesWantingMore.has(service) && background.length === 0;
    if (isQueued || (isFull && (isDemanded || wasDemanded))) servicesWantingMore.add(service);
    else servicesWantingMore.delete(service);
    // A load that starts replaces the late one that was planned for the same model.
    const loadByModel = new Map(
      [...loads.filter(({ startsNow }) => !startsNow), ...started].map((load) => [
        load.model,
        load,
      ]),
    );
    return knownWants.map(({ model }) => {
      if (isResident(model)) return { model, readyMilliseconds: 0 };
      const { readyMilliseconds, server } = loadByModel.get(model) ?? {};
      return loadsInProgress.get(model) ?? { model, readyMilliseconds, server };
    });
  };

  return {
    plan,
    recordTold: (outlook) => {
      if (sharesCapacity) promises.record(outlook, clock.monotonic());
    },
    isMoreWanted: () => servicesWantingMore.size > 0,
  };
}
