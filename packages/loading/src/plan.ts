import type { EngineProfile, ModelProfile } from '@bulrushspar/catalogue';

/** A model that requests wait for. */
export interface Want {
  readonly model: string;
  /** Requests that wait for it. */
  readonly count: number;
  /** Credit of the waiting requests if they are served in time. */
  readonly credit: number;
  /** Milliseconds until the first of them can no longer be served in time; may be negative. */
  readonly objectiveMilliseconds: number;
}

/** A model whose servers have so much work that another copy is worth its price. */
export interface ReplicaNeed {
  readonly model: string;
  /** Requests that another copy would take over. */
  readonly count: number;
}

/** A model on a server, as the planner sees it. */
export interface PlannedModel {
  readonly name: string;
  readonly adapters: number;
  /** Requests that run with it now, so that it cannot go at once. */
  readonly running: number;
  /** It was loaded for requests that have not been served yet. */
  readonly fresh: boolean;
}

/** A server, as the planner sees it: as it will be once the change under way is done. */
export interface PlannedServer {
  readonly id: string;
  readonly models: readonly PlannedModel[];
  /** Memory that orders with an unknown outcome may have taken, in megabytes. */
  readonly doubtfulMegabytes: number;
  /** Milliseconds until the order under way is done; 0 where there is none. */
  readonly busyMilliseconds: number;
  /** Requests that run or wait there. */
  readonly running: number;
  readonly inMemory: ReadonlySet<string>;
  readonly onDisk: ReadonlySet<string>;
}

/** What is known when a plan is made. */
export interface PlanInput {
  readonly profile: EngineProfile;
  readonly servers: readonly PlannedServer[];
  readonly wants: readonly Want[];
  readonly replicas?: readonly ReplicaNeed[];
  /** Credit lost each second while a model is on no server. */
  readonly creditPerSecond: (model: string) => number;
  readonly idleMilliseconds: (model: string) => number;
  /** Loads out of the weight store that may begin now. */
  readonly coldLoads: number;
  /** Milliseconds until another one may begin once these are used up. */
  readonly coldWaitMilliseconds?: number;
  /** Loads that the weight store serves at once. */
  readonly coldLoadsAtOnce?: number;
}

/** Where a model will be loaded, and when it will be ready. */
export interface PlannedLoad {
  readonly model: string;
  readonly server: string;
  /** Models that make way, in this order. */
  readonly victims: readonly string[];
  readonly readyMilliseconds: number;
  readonly cold: boolean;
  /** The server has no order under way and no earlier load in this plan. */
  readonly startsNow: boolean;
}

/** Time that a model without requests takes to make way. */
const UNLOAD_MILLISECONDS = 60;
/** Time that running requests take to end on average, before their model can make way. */
const IN_USE_MILLISECONDS = 1000;
/**
 * Delay that an eviction causes for each request a second to the victim, in milliseconds: about
 * 1.3 s until it is back, in which requests wait for that long.
 */
const EVICTION_MILLISECONDS = 2000;
/** Part of a copy's credit that is lost with it where the others can take its requests over. */
const SPARE_PART = 0.1;
/**
 * Part of a server's slots from which on its requests slow each other down noticeably: prompts are
 * read between the tokens of the others long before the slots are taken.
 */
const CROWDED_PART = 1 / 4;
/** Time until another copy must be there, in milliseconds; sorts it among the wants. */
const REPLICA_MILLISECONDS = 1000;
/** Delay that a request which is not served counts as, in milliseconds. */
const MISSED_MILLISECONDS = 6000;
/** Delay that another copy spares a request which it takes over, in milliseconds. */
const SPARED_MILLISECONDS = 500;
/** Cost of a request that already runs where another copy is placed, in milliseconds. */
const RUNNING_MILLISECONDS = 100;
/** What an eviction costs beside the requests to the victim: an order and its time. */
const UNLOAD_COST = 0.02;
/** Cost of a victim with running requests, which hold the load up. */
const IN_USE_COST = 0.5;
/** A model that was asked for this recently is kept before others with the same credit. */
const RECENT_MILLISECONDS = 30_000;
/** Requests a second that a model counts for besides which was asked for just now. */
const RECENT_CREDIT = 0.1;

interface Candidate {
  readonly server: PlannedServer;
  readonly victims: readonly PlannedModel[];
  readonly readyMilliseconds: number;
  readonly cost: number;
  readonly cold: boolean;
  /** Waits for a load out of the weight store to end. */
  readonly waits: boolean;
}

/** What a load is worth. */
interface Weights {
  /** Requests that it serves. */
  readonly count: number;
  /** Delay that each of them counts without it, in milliseconds. */
  readonly missedMilliseconds: number;
}

interface Occupancy {
  /** Milliseconds until the server takes another order. */
  busyMilliseconds: number;
  models: readonly PlannedModel[];
  planned: boolean;
}

/** Running requests from which on a server is crowded. */
export function crowdedRequests({ slots }: Pick<EngineProfile, 'slots'>): number {
  return Math.max(2, slots * CROWDED_PART);
}

function megabytesOf(profile: EngineProfile, { name, adapters }: PlannedModel): number {
  const model = profile.models.get(name);
  if (!model) return profile.weightsMegabytes;
  return model.megabytes + adapters * model.adapterMegabytes;
}

function loadMilliseconds(server: PlannedServer, model: ModelProfile) {
  if (server.inMemory.has(model.name)) return { time: model.memoryMilliseconds, cold: false };
  if (server.onDisk.has(model.name)) return { time: model.diskMilliseconds, cold: false };
  return { time: model.coldMilliseconds, cold: true };
}

type Urgency = Pick<Want, 'count' | 'objectiveMilliseconds'>;

/** Requests that can still be served in time go first; among them the most pressing. */
function compareWants(a: Urgency, b: Urgency): number {
  const late = Number(a.objectiveMilliseconds < 0) - Number(b.objectiveMilliseconds < 0);
  if (late !== 0) return late;
  return a.objectiveMilliseconds / a.count - b.objectiveMilliseconds / b.count;
}

/**
 * Plans where the wanted models are loaded and what makes way for them. Each want takes the server
 * that has it ready soonest, counting what the evicted models are worth.
 */
export function planLoads(input: PlanInput): readonly PlannedLoad[] {
  const { profile, servers, wants, replicas = [], creditPerSecond, idleMilliseconds } = input;
  const { coldWaitMilliseconds = Infinity, coldLoadsAtOnce = 1 } = input;
  const occupancy = new Map<string, Occupancy>(
    servers.map((server) => [
      server.id,
      { busyMilliseconds: server.busyMilliseconds, models: server.models, planned: false },
    ]),
  );
  const copies = new Map<string, number>();
  const runningOf = new Map<string, number>();
  servers.forEach(({ models }) =>
    models.forEach(({ name, running }) => {
      copies.set(name, (copies.get(name) ?? 0) + 1);
      runningOf.set(name, (runningOf.get(name) ?? 0) + running);
    }),
  );
  const crowded = crowdedRequests(profile);
  const wanted = new Set(wants.map(({ model }) => model));
  let { coldLoads } = input;

  /** Credit lost each second if this copy goes. */
  const worthOf = ({ name }: PlannedModel): number => {
    const recency = Math.max(0, 1 - idleMilliseconds(name) / RECENT_MILLISECONDS) * RECENT_CREDIT;
    const count = copies.get(name) ?? 1;
    const left = (runningOf.get(name) ?? 0) / Math.max(1, count - 1);
    const spare = count > 1 && left < crowded ? SPARE_PART : 1;
    const rate = creditPerSecond(name) / count;
    return ((wanted.has(name) ? rate * 2 + 1 : rate) + recency) * spare;
  };

  /** The models whose loss costs least among those that make enough room together. */
  const chooseVictims = (
    server: PlannedServer,
    model: ModelProfile,
  ): readonly PlannedModel[] | undefined => {
    const { models } = occupancy.get(server.id)!;
    const used = models.reduce((sum, resident) => sum + megabytesOf(profile, resident), 0);
    const missing = used + server.doubtfulMegabytes + model.megabytes - profile.weightsMegabytes;
    const removable = models
      .filter(({ fresh }) => !fresh)
      .map((resident) => ({
        resident,
        frees: megabytesOf(profile, resident),
        cost: worthOf(resident) + UNLOAD_COST + (resident.running > 0 ? IN_USE_COST : 0),
      }));
    let best: readonly PlannedModel[] | undefined;
    let least = Infinity;
    const search = (at: number, chosen: readonly PlannedModel[], frees: number, cost: number) => {
      if (cost >= least) return;
      if (frees >= missing) {
        best = chosen;
        least = cost;
        return;
      }
      const next = removable[at];
      if (!next) return;
      search(at + 1, [...chosen, next.resident], frees + next.frees, cost + next.cost);
      search(at + 1, chosen, frees, cost);
    };
    search(0, [], 0, 0);
    return best;
  };

  /** Time until a load out of the weight store may begin, behind those planned before. */
  const coldWait = ({ coldMilliseconds }: ModelProfile): number => {
    if (coldLoads >= 1) return 0;
    const roundsBefore = Math.floor(-coldLoads / coldLoadsAtOnce);
    return coldWaitMilliseconds + roundsBefore * coldMilliseconds;
  };

  const weigh = (
    server: PlannedServer,
    model: ModelProfile,
    { count, missedMilliseconds }: Weights,
  ): Candidate | undefined => {
    const { busyMilliseconds } = occupancy.get(server.id)!;
    const { time, cold } = loadMilliseconds(server, model);
    const wait = cold ? coldWait(model) : 0;
    if (wait === Infinity) return undefined;
    const victims = chooseVictims(server, model);
    if (!victims) return undefined;
    const unloading = victims.reduce(
      (sum, { running }) => sum + UNLOAD_MILLISECONDS + (running > 0 ? IN_USE_MILLISECONDS : 0),
      0,
    );
    const readyMilliseconds = Math.max(busyMilliseconds, wait) + unloading + time;
    const lost = victims.reduce((sum, victim) => sum + worthOf(victim), 0);
    if (lost * EVICTION_MILLISECONDS > count * missedMilliseconds) return undefined;
    return {
      server,
      victims,
      readyMilliseconds,
      cold,
      waits: wait > 0,
      cost: readyMilliseconds * count + lost * EVICTION_MILLISECONDS,
    };
  };

  const reserve = (best: Candidate, model: ModelProfile): PlannedLoad => {
    const state = occupancy.get(best.server.id)!;
    const startsNow = !state.planned && state.busyMilliseconds === 0 && !best.waits;
    if (best.cold) coldLoads -= 1;
    // A load that waits for the weight store leaves its server to others meanwhile.
    if (!best.waits) {
      // Another victim of this plan must not count on the copies that go with this one.
      best.victims.forEach(({ name }) => copies.set(name, (copies.get(name) ?? 1) - 1));
      state.planned = true;
      state.busyMilliseconds = best.readyMilliseconds;
      state.models = [
        ...state.models.filter((resident) => !best.victims.includes(resident)),
        { name: model.name, adapters: 0, running: 1, fresh: true },
      ];
    }
    return {
      model: model.name,
      server: best.server.id,
      victims: best.victims.map(({ name }) => name),
      readyMilliseconds: best.readyMilliseconds,
      cold: best.cold,
      startsNow,
    };
  };

  const cheapest = (candidates: readonly Candidate[]): Candidate | undefined =>
    candidates.length === 0 ? undefined : candidates.reduce((a, b) => (b.cost < a.cost ? b : a));

  const place = (want: Want): PlannedLoad[] => {
    const model = profile.models.get(want.model);
    if (!model) return [];
    const weights = { count: want.count, missedMilliseconds: MISSED_MILLISECONDS };
    const best = cheapest(servers.flatMap((server) => weigh(server, model, weights) ?? []));
    return best ? [reserve(best, model)] : [];
  };

  /** Another copy goes to a server that has little to do, out of the weight store only if it must. */
  const placeReplica = ({ model: name, count }: ReplicaNeed): PlannedLoad[] => {
    const model = profile.models.get(name);
    if (!model) return [];
    const weights = { count, missedMilliseconds: SPARED_MILLISECONDS };
    const free = servers.filter(({ id, models }) => {
      const { planned, busyMilliseconds } = occupancy.get(id)!;
      return !planned && busyMilliseconds === 0 && !models.some((held) => held.name === name);
    });
    const candidates = free.flatMap((server) => {
      const candidate = weigh(server, model, weights);
      if (!candidate || candidate.waits) return [];
      return [
        { ...candidate, cost: candidate.cost + server.running * count * RUNNING_MILLISECONDS },
      ];
    });
    const near = candidates.filter(({ cold }) => !cold);
    const best = cheapest(near.length > 0 ? near : candidates);
    return best ? [reserve(best, model)] : [];
  };

  const work = [
    ...wants.map((want) => ({ ...want, plan: () => place(want) })),
    ...replicas.map((need) => ({
      ...need,
      objectiveMilliseconds: REPLICA_MILLISECONDS,
      plan: () => placeReplica(need),
    })),
  ];
  return work.sort(compareWants).flatMap(({ plan }) => plan());
}
