/** Plans which servers load which models. */
import type { ModelProfile } from '@bulrushspar/catalogue';
import { createColdQueue } from './cold-queue.js';
import { createEvictionCosts } from './evictions.js';
import {
  MIN_SERVING_MILLISECONDS,
  PROMISE_HORIZON_MILLISECONDS,
  type BackgroundNeed,
  type PlanInput,
  type PlannedLoad,
  type PlannedModel,
  type PlannedServer,
  type ReplicaNeed,
  type Want,
} from './plan-input.js';
import { compareUrgency, createPromiseOrder } from './urgency.js';

/** Time to evict a model without running requests. */
const UNLOAD_MILLISECONDS = 60;
/** Average time until the running requests of a victim end, before it can be unloaded. */
const DRAIN_MILLISECONDS = 1000;
/**
 * Delay that an eviction causes per request per second to the victim, in milliseconds. The victim
 * is back after about 1.3 s, and the requests that arrive meanwhile wait for that long.
 */
const EVICTION_DELAY_MILLISECONDS = 2000;
/** Time within which a replica should be ready, in milliseconds; ranks it among the wants. */
const REPLICA_OBJECTIVE_MILLISECONDS = 1000;
/** Delay that an unserved request is counted with, in milliseconds. */
const UNSERVED_DELAY_MILLISECONDS = 6000;
/** Delay that another replica saves each request that it takes over, in milliseconds. */
const REPLICA_SAVING_MILLISECONDS = 500;
/** Cost of each request that already runs on the server of a new replica, in milliseconds. */
const RUNNING_REQUEST_COST_MILLISECONDS = 100;

/** A server that can take a load, with the victims and the cost of doing so. */
interface Candidate {
  readonly server: PlannedServer;
  readonly victims: readonly PlannedModel[];
  readonly readyMilliseconds: number;
  readonly cost: number;
  readonly cold: boolean;
  /** Whether the load waits until the weight store can serve it. */
  readonly waitsForWeightStore: boolean;
}

/** Benefit of a load: the delay that it saves. */
interface LoadBenefit {
  /** Number of requests that it serves. */
  readonly count: number;
  /** Delay that it saves each of them, in milliseconds. */
  readonly savedMilliseconds: number;
  /** Requests per second of the model if only what has far fewer requests may be evicted for it. */
  readonly victimRate?: number;
}

/** State of a server, including the loads planned so far. */
interface Occupancy {
  /** Milliseconds until the server takes another order. */
  busyMilliseconds: number;
  models: readonly PlannedModel[];
  hasPlannedLoad: boolean;
}

/** Estimates the duration of a load by the nearest copy of the weights. */
function estimateLoad(server: PlannedServer, model: ModelProfile, coldSlowdown = 1) {
  if (server.inMemory.has(model.name))
    return { loadMilliseconds: model.memoryMilliseconds, cold: false };
  if (server.onDisk.has(model.name))
    return { loadMilliseconds: model.diskMilliseconds, cold: false };
  return { loadMilliseconds: model.coldMilliseconds * coldSlowdown, cold: true };
}

/**
 * Plans on which servers the wanted models are loaded and which models are evicted for them. In
 * order of urgency, each want takes the server with the lowest cost: the time until the model is
 * ready for its requests, plus the delay that the evictions cause.
 */
export function planLoads(input: PlanInput): readonly PlannedLoad[] {
  const { profile, servers, wants, replicas = [], overdue, background = [], promises } = input;
  const costs = createEvictionCosts(input);
  const coldQueue = createColdQueue(input);
  const { requestsPerSecond = () => 0 } = input;
  const reservedModels = new Set<string>();
  const occupancy = new Map<string, Occupancy>(
    servers.map((server) => [
      server.id,
      { busyMilliseconds: server.busyMilliseconds, models: server.models, hasPlannedLoad: false },
    ]),
  );
  const evaluateServer = (
    server: PlannedServer,
    model: ModelProfile,
    { count, savedMilliseconds, victimRate }: LoadBenefit,
  ): Candidate | undefined => {
    const { busyMilliseconds, models } = occupancy.get(server.id)!;
    const { loadMilliseconds, cold } = estimateLoad(server, model, input.coldSlowdown);
    const wait = cold ? coldQueue.waitFor(model) : 0;
    if (wait === Infinity) return undefined;
    const victims =
      victimRate === undefined
        ? costs.chooseVictims(server, models, model)
        : costs.chooseIdleVictims(server, models, model, victimRate);
    if (!victims) return undefined;
    const unloadMilliseconds = victims.reduce(
      (sum, { running }) => sum + UNLOAD_MILLISECONDS + (running > 0 ? DRAIN_MILLISECONDS : 0),
      0,
    );
    const readyMilliseconds =
      Math.max(busyMilliseconds, wait) + unloadMilliseconds + loadMilliseconds;
    const lostCreditPerSecond = victims.reduce((sum, victim) => sum + costs.loss(victim), 0);
    if (lostCreditPerSecond * EVICTION_DELAY_MILLISECONDS > count * savedMilliseconds)
      return undefined;
    return {
      server,
      victims,
      readyMilliseconds,
      cold,
      waitsForWeightStore: wait > 0,
      cost: readyMilliseconds * count + lostCreditPerSecond * EVICTION_DELAY_MILLISECONDS,
    };
  };

  const toLoad = (
    { server, victims, readyMilliseconds, cold }: Candidate,
    model: ModelProfile,
  ) => ({
    model: model.name,
    server: server.id,
    victims: victims.map(({ name }) => name),
    readyMilliseconds,
    cold,
  });

  const reserveServer = (candidate: Candidate, model: ModelProfile): PlannedLoad => {
    const state = occupancy.get(candidate.server.id)!;
    const startsNow =
      !state.hasPlannedLoad && state.busyMilliseconds === 0 && !candidate.waitsForWeightStore;
    if (candidate.cold) coldQueue.add(candidate.readyMilliseconds);
    // A load that waits for the weight store does not block its server for other loads meanwhile.
    if (!candidate.waitsForWeightStore) {
      // Later evictions of this plan must not count the replicas that this load evicts.
      candidate.victims.forEach(({ name }) => costs.recordEviction(name));
      state.hasPlannedLoad = true;
      state.busyMilliseconds = candidate.readyMilliseconds;
      state.models = [
        ...state.models.filter((resident) => !candidate.victims.includes(resident)),
        { name: model.name, adapters: 0, running: 1, recentlyLoaded: true },
      ];
    }
    reservedModels.add(model.name);
    return { ...toLoad(candidate, model), startsNow };
  };

  const findCheapest = (candidates: readonly Candidate[]): Candidate | undefined =>
    candidates.length === 0 ? undefined : candidates.reduce((a, b) => (b.cost < a.cost ? b : a));

  const findBest = (model: ModelProfile, benefit: LoadBenefit): Candidate | undefined =>
    findCheapest(servers.flatMap((server) => evaluateServer(server, model, benefit) ?? []));

  /**
   * Plans a load for a want whose requests end before the model can be ready. Its callers are told a time,
   * which is kept if it is near; otherwise the load waits until the model is the most wanted one.
   */
  const planLateWant = (want: Want, model: ModelProfile, best: Candidate): PlannedLoad[] => {
    const victimRate = requestsPerSecond(model.name);
    const benefit = { count: want.count, savedMilliseconds: UNSERVED_DELAY_MILLISECONDS };
    const candidate = findBest(model, { ...benefit, victimRate });
    if (candidate && candidate.readyMilliseconds <= PROMISE_HORIZON_MILLISECONDS)
      return [reserveServer(candidate, model)];
    const load = toLoad(candidate ?? best, model);
    const readyMilliseconds = Math.max(load.readyMilliseconds, PROMISE_HORIZON_MILLISECONDS + 1);
    return [{ ...load, readyMilliseconds, startsNow: false }];
  };

  const planWant = (want: Want): PlannedLoad[] => {
    const model = profile.models.get(want.model);
    if (!model || reservedModels.has(want.model)) return [];
    const { count, remainingMilliseconds = Infinity } = want;
    const best = findBest(model, { count, savedMilliseconds: UNSERVED_DELAY_MILLISECONDS });
    if (!best) return [];
    const isLate = best.readyMilliseconds + MIN_SERVING_MILLISECONDS > remainingMilliseconds;
    return promises && isLate ? planLateWant(want, model, best) : [reserveServer(best, model)];
  };

  /**
   * Plans a replica on a server without an order in progress, preferably one with few running
   * requests. Uses a cold load only if no server has the weights in memory or on disk.
   */
  const planReplica = ({ model: name, count }: ReplicaNeed): PlannedLoad[] => {
    const model = profile.models.get(name);
    if (!model) return [];
    const benefit = { count, savedMilliseconds: REPLICA_SAVING_MILLISECONDS };
    const idleServers = servers.filter(({ id, models }) => {
      const { hasPlannedLoad, busyMilliseconds } = occupancy.get(id)!;
      return (
        !hasPlannedLoad && busyMilliseconds === 0 && !models.some((held) => held.name === name)
      );
    });
    const candidates = idleServers.flatMap((server) => {
      const candidate = evaluateServer(server, model, benefit);
      if (!candidate || candidate.waitsForWeightStore) return [];
      return [
        {
          ...candidate,
          cost: candidate.cost + server.running * count * RUNNING_REQUEST_COST_MILLISECONDS,
        },
      ];
    });
    const warmCandidates = candidates.filter(({ cold }) => !cold);
    const best = findCheapest(warmCandidates.length > 0 ? warmCandidates : candidates);
    return best ? [reserveServer(best, model)] : [];
  };

  /** Plans a load that no request waits for, on a server without an order in progress. */
  const planBackground = (need: BackgroundNeed): PlannedLoad[] => {
    const model = profile.models.get(need.model);
    if (!model || reservedModels.has(need.model)) return [];
    const mayLoadCold = coldQueue.free() > need.placesKept;
    const candidates = servers.flatMap((server): Candidate[] => {
      const { hasPlannedLoad, busyMilliseconds, models } = occupancy.get(server.id)!;
      if (hasPlannedLoad || busyMilliseconds > 0) return [];
      const { loadMilliseconds, cold } = estimateLoad(server, model, input.coldSlowdown);
      if ((cold && !mayLoadCold) || models.some(({ name }) => name === model.name)) return [];
      const victims =
        need.evictsCopied === true
          ? costs.chooseCopiedVictims(server, models, model)
          : costs.chooseIdleVictims(server, models, model, need.requestsPerSecond);
      if (!victims) return [];
      const readyMilliseconds = victims.length * UNLOAD_MILLISECONDS + loadMilliseconds;
      const lost = victims.reduce((sum, victim) => sum + costs.loss(victim), 0);
      const cost =
        readyMilliseconds +
        lost * EVICTION_DELAY_MILLISECONDS +
        server.running * RUNNING_REQUEST_COST_MILLISECONDS;
      return [{ server, victims, readyMilliseconds, cold, waitsForWeightStore: false, cost }];
    });
    const best = findCheapest(candidates);
    return best ? [{ ...reserveServer(best, model), isBackground: true }] : [];
  };

  const tasks = [
    ...wants.map((want) => ({ ...want, plan: () => planWant(want) })),
    ...replicas.map((need) => ({
      ...need,
      objectiveMilliseconds: REPLICA_OBJECTIVE_MILLISECONDS,
      plan: () => planReplica(need),
    })),
  ];
  const compare = promises ? createPromiseOrder(promises) : compareUrgency;
  return [
    ...(overdue ? planBackground(overdue) : []),
    ...tasks.sort(compare).flatMap(({ plan }) => plan()),
    ...background.flatMap(planBackground),
  ];
}
