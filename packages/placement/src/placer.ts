import type { Clock } from '@bulrushspar/clock';
import type { Configuration, Model } from '@bulrushspar/configuration';
import { createRefusal, REFUSAL, type Refusal } from '@bulrushspar/errors';
import { isStoreError, type ObjectStore } from '@bulrushspar/store';
import {
  isLoading,
  ORDER,
  findLoadedModel,
  type ServerView,
  type TargetRegistry,
} from '@bulrushspar/targets';
import { createPlacementStore } from './book.js';
import {
  choosePlacement,
  CHECKPOINT_SOURCE,
  checkpointSource,
  type EvictableModel,
  type Placement,
  type PlacementCandidate,
} from './decide.js';
import { createOrderExecutor, STALE_ORDER_WINDOW_MILLISECONDS } from './orders.js';
import {
  adapterReservationKey,
  modelGigabytes,
  REPLICA,
  reservedGigabytes,
  type MemoryRecord,
  type ReplicaDecision,
} from './records.js';
import type { TurnQueue, TurnRequest } from './turns.js';

/** Decides which servers hold which models, and has models and adapters loaded there. */
export interface Placer {
  /** Resolves once a server that accepts requests holds the model. Concurrent calls share a load. */
  ensureModel(request: TurnRequest): Promise<void>;
  /** Resolves once the server holds the adapter. */
  ensureAdapter(server: ServerView, model: string, adapter: string): Promise<void>;
  /**
   * Completes releases that another host left unfinished, and releases the replicas on leaving
   * servers that have no more requests.
   */
  sweep(): Promise<void>;
  /** Models whose loads this host waits for. */
  loading(): readonly string[];
}

/** A placement change made by this host. */
export interface PlacementEvent {
  readonly action: string;
  readonly model: string;
  readonly server: string;
}

/** Options of {@link createPlacer}. */
export interface PlacerOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly registry: TargetRegistry;
  readonly configuration: () => Configuration;
  /** Limits the concurrent transfers from the weight store. */
  readonly turns: TurnQueue;
  /** Milliseconds since this host last used a model; large if it never has. */
  readonly idleMilliseconds: (model: string) => number;
  readonly onEvent?: (event: PlacementEvent) => void;
  /** Time after which a load is abandoned, in milliseconds. */
  readonly loadTimeoutMilliseconds?: number;
  /** Pause between polls of a server's state while an order is executed, in milliseconds. */
  readonly pollMilliseconds?: number;
}

interface PendingPlacement {
  readonly server: string;
  readonly gigabytes: number;
}

const MIN_IDLE_BEFORE_EVICTION_MILLISECONDS = 2000;
const MAX_PLACEMENT_ATTEMPTS = 4;

const createNoCapacityRefusal = (
  model: string,
  reason = 'no server can free enough memory',
): Refusal =>
  createRefusal({
    status: 503,
    code: REFUSAL.NO_CAPACITY,
    message: `${model} cannot be placed now: ${reason}`,
    retryAfterSeconds: 2,
  });

const hasModel = (server: ServerView, model: string): boolean =>
  findLoadedModel(server, model) !== undefined;

const createStoreUnavailableRefusal = (name: string, cause: unknown): Refusal =>
  createRefusal({
    status: 503,
    code: REFUSAL.STORE_UNAVAILABLE,
    message: `the placement of ${name} could not be decided: the store is unreachable`,
    retryAfterSeconds: 2,
    cause,
  });

/** Memory that a replica of a model takes, in gigabytes. */
export const replicaGigabytes = ({ memory_gigabytes: weights, cache_gigabytes: cache }: Model) =>
  weights + cache;

const isUnloaded = (server: ServerView, model: string): boolean =>
  server.state !== undefined && !hasModel(server, model) && !isLoading(server, model);

/** Creates the placer of one host. It stores each decision before it sends any order. */
export function createPlacer(options: PlacerOptions): Placer {
  const { store, clock, registry, configuration, turns, idleMilliseconds } = options;
  const { loadTimeoutMilliseconds = 120_000, pollMilliseconds = 50, onEvent = () => {} } = options;
  const placementStore = createPlacementStore({ store, clock });
  const executeOrder = createOrderExecutor({
    clock,
    registry,
    timeoutMilliseconds: loadTimeoutMilliseconds,
    pollMilliseconds,
  });
  const loads = new Map<string, Promise<void>>();
  /** Placements chosen for the current loads of this host; their memory may not be reserved yet. */
  const pendingPlacements = new Map<string, PendingPlacement>();
  const adapterLoads = new Map<string, Promise<void>>();

  const unload = async (model: string, server: ServerView, fencing: number): Promise<void> => {
    // An engine that does not check fencing numbers would execute an order of the previous decision
    // that is still in flight.
    if (!server.target.checks_orders) await clock.delay(STALE_ORDER_WINDOW_MILLISECONDS);
    const unloaded = await executeOrder({
      server,
      order: { order: ORDER.UNLOAD, model, fencing },
      isDone: () => isUnloaded(server, model),
      isInProgress: () => false,
      isStillValid: async () => true,
    });
    if (!unloaded)
      throw createNoCapacityRefusal(model, `server ${server.name} did not unload it in time`);
  };

  /** Completes a release; any host may complete one that another host left unfinished. */
  const finishRelease = async (model: string, decision: ReplicaDecision): Promise<void> => {
    const server = registry.server(decision.server);
    if (server) await unload(model, server, decision.fencing);
    await placementStore.finishRelease(model, decision);
    onEvent({ action: 'replica.released', model, server: decision.server });
  };

  const release = async (model: string, server: string): Promise<void> => {
    const decision = await placementStore.startRelease(model, server);
    if (decision) await finishRelease(model, decision);
  };

  const listEvictableModels = (server: ServerView, memory: MemoryRecord): EvictableModel[] =>
    (server.state?.loaded ?? [])
      .filter(({ model, running, waiting }) => {
        const busy = running + waiting > 0;
        return !busy && idleMilliseconds(model) > MIN_IDLE_BEFORE_EVICTION_MILLISECONDS;
      })
      .filter(({ model }) => memory.reservations[model] !== undefined)
      .sort((a, b) => idleMilliseconds(b.model) - idleMilliseconds(a.model))
      .map(({ model }) => ({ model, gigabytes: modelGigabytes(memory, model) }));

  /** Memory in gigabytes that this host has chosen on a server but not yet reserved. */
  const pendingGigabytes = (server: string, { reservations }: MemoryRecord): number =>
    [...pendingPlacements]
      .filter(
        ([model, placement]) => placement.server === server && reservations[model] === undefined,
      )
      .reduce((sum, [, { gigabytes }]) => sum + gigabytes, 0);

  const createCandidate = (server: ServerView, memory: MemoryRecord): PlacementCandidate => {
    const reserved = reservedGigabytes(memory) + pendingGigabytes(server.name, memory);
    return { server, reserved, evictable: listEvictableModels(server, memory) };
  };

  const findPlacement = async (
    model: string,
    existingReplicas: readonly ReplicaDecision[],
  ): Promise<Placement | undefined> => {
    const modelSettings = configuration().models[model]!;
    const usable = registry.servers().filter(({ name, target, state }) => {
      const allowed = modelSettings.targets.length === 0 || modelSettings.targets.includes(name);
      const hasNoReplica = !existingReplicas.some(({ server }) => server === name);
      return allowed && hasNoReplica && !target.leaving && state !== undefined;
    });
    const memories = await Promise.all(usable.map(({ name }) => placementStore.readMemory(name)));
    const gigabytes = replicaGigabytes(modelSettings);
    // No await from here on, so that concurrent loads include each other's pending placements.
    pendingPlacements.delete(model);
    const candidates = usable.map((server, index) => createCandidate(server, memories[index]!));
    const placement = choosePlacement(model, gigabytes, candidates);
    if (placement) pendingPlacements.set(model, { server: placement.server.name, gigabytes });
    return placement;
  };

  /** Returns whether a replica's server reports its state and accepts requests. */
  const isServerAvailable = ({ server }: ReplicaDecision): boolean => {
    const view = registry.server(server);
    return view?.state !== undefined && !view.target.leaving;
  };

  const isUsable = (decision: ReplicaDecision): boolean =>
    decision.state === REPLICA.DECIDED && isServerAvailable(decision);

  /** Returns whether a replica's server is leaving and has no requests for the model. */
  const isDrained = (model: string, { server }: ReplicaDecision): boolean => {
    const view = registry.server(server);
    if (!view?.target.leaving || !view.state) return false;
    const report = findLoadedModel(view, model);
    return (report?.running ?? 0) + (report?.waiting ?? 0) === 0 && view.requestsInFlight === 0;
  };

  const describeNoPlacement = (): string => {
    const reporting = registry.servers().filter(({ state }) => state !== undefined);
    return `no server can free enough memory; ${reporting.length} of ${registry.servers().length} servers report`;
  };

  /** @returns the existing decision that can be executed, or a new one */
  const findOrDecideReplica = async (model: string): Promise<ReplicaDecision> => {
    const present = await placementStore.readReplicas(model);
    const existing = present.replicas.find(isUsable);
    if (existing) return existing;
    // Replicas on silent or leaving servers stay decided but do not count toward the maximum.
    const availableReplicas = present.replicas.filter(isServerAvailable);
    const limit = configuration().models[model]!.maximum_replicas;
    const placement =
      availableReplicas.length < limit ? await findPlacement(model, present.replicas) : undefined;
    if (!placement) throw createNoCapacityRefusal(model, describeNoPlacement());
    const { name } = placement.server;
    await Promise.all(placement.evict.map((other) => release(other, name)));
    const record = await placementStore.addReplica(model, present, name);
    const decision = record.replicas.find(isUsable);
    if (!decision) throw createNoCapacityRefusal(model);
    onEvent({ action: 'replica.decided', model, server: decision.server });
    return decision;
  };

  /** Decides a placement and reserves its memory; retries if another load reserved it first. */
  const decideAndReserve = async (model: string): Promise<ReplicaDecision> => {
    const gigabytes = replicaGigabytes(configuration().models[model]!);
    for (let attempt = 0; attempt < MAX_PLACEMENT_ATTEMPTS; attempt += 1) {
      /* eslint-disable no-await-in-loop -- attempts are sequential */
      const decision = await findOrDecideReplica(model);
      const { server, fencing } = decision;
      const reserved = await placementStore.reserveMemory(registry.server(server)!, model, {
        gigabytes,
        fencing,
      });
      if (reserved) return decision;
      await release(model, server);
      /* eslint-enable no-await-in-loop */
    }
    throw createNoCapacityRefusal(model);
  };

  /**
   * Fetches the servers' reports and returns whether one holds the model, since another host may
   * have had it loaded.
   */
  const isLoaded = async (model: string): Promise<boolean> => {
    await Promise.all(registry.servers().map(registry.refresh));
    return registry.servers().some((server) => !server.target.leaving && hasModel(server, model));
  };

  /** Returns whether a server can load the model without the weight store. */
  const isCachedOnServer = (model: string): boolean =>
    registry
      .servers()
      .some(
        (server) =>
          !server.target.leaving && checkpointSource(server, model) !== CHECKPOINT_SOURCE.REMOTE,
      );

  const load = async (model: string): Promise<void> => {
    if (await isLoaded(model)) return;
    if (!isCachedOnServer(model)) {
      await turns.acquire(model);
      if (await isLoaded(model)) return;
    }
    const { server: name, fencing } = await decideAndReserve(model);
    const server = registry.server(name)!;
    const loaded = await executeOrder({
      server,
      order: { order: ORDER.LOAD, model, fencing },
      isDone: () => hasModel(server, model),
      isInProgress: () => isLoading(server, model),
      isStillValid: () => placementStore.isDecided(model, name, fencing),
    });
    if (!loaded)
      throw createNoCapacityRefusal(
        model,
        `server ${name} did not load it in time, or the decision was withdrawn`,
      );
    onEvent({ action: 'replica.loaded', model, server: name });
  };

  const loadAdapter = async (server: ServerView, model: string, adapter: string) => {
    const gigabytes = configuration().adapters[adapter]!.memory_gigabytes;
    const { replicas } = await placementStore.readReplicas(model);
    const decision = replicas.find((other) => other.server === server.name);
    if (!decision) throw createNoCapacityRefusal(model);
    const { fencing } = decision;
    const reservationKey = adapterReservationKey(model, adapter);
    if (!(await placementStore.reserveMemory(server, reservationKey, { gigabytes, fencing })))
      throw createNoCapacityRefusal(adapter);
    const hasAdapter = (): boolean =>
      findLoadedModel(server, model)?.adapters.includes(adapter) ?? false;
    const loaded = await executeOrder({
      server,
      order: { order: ORDER.LOAD_ADAPTER, model, adapter, fencing },
      isDone: hasAdapter,
      isInProgress: () => false,
      isStillValid: () => placementStore.isDecided(model, server.name, fencing),
    });
    if (!loaded) throw createNoCapacityRefusal(adapter);
  };

  const joinOrStart = (
    inFlight: Map<string, Promise<void>>,
    name: string,
    work: () => Promise<void>,
  ): Promise<void> => {
    const existing = inFlight.get(name);
    if (existing) return existing;
    const started = work()
      .catch((error: unknown) => {
        throw isStoreError(error) ? createStoreUnavailableRefusal(name, error) : error;
      })
      .finally(() => inFlight.delete(name));
    inFlight.set(name, started);
    return started;
  };

  return {
    ensureModel: (request) => {
      const { name: model } = request;
      turns.register(request);
      const end = (): void => {
        pendingPlacements.delete(model);
        turns.release(model);
      };
      return joinOrStart(loads, model, () => load(model).finally(end));
    },
    ensureAdapter: (server, model, adapter) =>
      joinOrStart(adapterLoads, `${server.name}/${adapter}`, () =>
        loadAdapter(server, model, adapter),
      ),
    sweep: async () => {
      const decisions = await placementStore.listDecisions();
      const work = decisions.map(({ model, decision }) => {
        if (decision.state === REPLICA.RELEASING) return finishRelease(model, decision);
        return isDrained(model, decision) ? release(model, decision.server) : undefined;
      });
      await Promise.allSettled(work);
    },
    loading: () => [...loads.keys()],
  };
}
