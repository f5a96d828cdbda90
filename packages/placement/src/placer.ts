import type { Clock } from '@bulrushspar/clock';
import type { Configuration, Model } from '@bulrushspar/configuration';
import { createRefusal, REFUSAL, type Refusal } from '@bulrushspar/errors';
import { isStoreError, type ObjectStore } from '@bulrushspar/store';
import {
  isLoading,
  ORDER,
  reportOf,
  type ServerView,
  type TargetRegistry,
} from '@bulrushspar/targets';
import { createPlacementBook } from './book.js';
import {
  choosePlace,
  SOURCE,
  sourceOf,
  type EvictableModel,
  type Place,
  type PlaceCandidate,
} from './decide.js';
import { createCarryOut, ORDERS_OVER_MILLISECONDS } from './orders.js';
import {
  adapterItem,
  modelGigabytes,
  REPLICA,
  reservedGigabytes,
  type MemoryRecord,
  type ReplicaDecision,
} from './records.js';
import type { Turns, TurnWish } from './turns.js';

/** Brings models and adapters onto servers. */
export interface Placer {
  /** Resolves once a server that takes new work holds the model. Concurrent calls share one load. */
  ensureModel(wish: TurnWish): Promise<void>;
  /** Resolves once the server holds the adapter. */
  ensureAdapter(server: ServerView, model: string, adapter: string): Promise<void>;
  /** Continues releases that another host left unfinished, and empties leaving servers. */
  sweep(): Promise<void>;
  /** Loads that this host waits for. */
  loading(): readonly string[];
}

/** A change that the placer made. */
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
  /** Turns at the weight store. */
  readonly turns: Turns;
  /** Milliseconds since this host last used a model; large where it never did. */
  readonly idleMilliseconds: (model: string) => number;
  readonly onEvent?: (event: PlacementEvent) => void;
  /** Time after which a load is given up, in milliseconds. */
  readonly loadMilliseconds?: number;
  /** Pause between looks at a server that is loading, in milliseconds. */
  readonly pauseMilliseconds?: number;
}

interface ChosenPlace {
  readonly server: string;
  readonly gigabytes: number;
}

const NOT_EVICTED_WITHIN_MILLISECONDS = 2000;
const PLACE_TRIES = 4;

const noCapacity = (model: string, why = 'no server can make room'): Refusal =>
  createRefusal({
    status: 503,
    code: REFUSAL.NO_CAPACITY,
    message: `${model} cannot be placed now: ${why}`,
    retryAfterSeconds: 2,
  });

const holds = (server: ServerView, model: string): boolean => reportOf(server, model) !== undefined;

const undecided = (name: string, cause: unknown): Refusal =>
  createRefusal({
    status: 503,
    code: REFUSAL.STORE_UNAVAILABLE,
    message: `the place of ${name} could not be decided, because the store is away`,
    retryAfterSeconds: 2,
    cause,
  });

/** Gigabytes that a replica of a model takes. */
export const replicaGigabytes = ({ memory_gigabytes: weights, cache_gigabytes: cache }: Model) =>
  weights + cache;

const isGone = (server: ServerView, model: string): boolean =>
  server.state !== undefined && !holds(server, model) && !isLoading(server, model);

/** Creates the placer of one host. Decisions are kept in the store before any order goes out. */
export function createPlacer(options: PlacerOptions): Placer {
  const { store, clock, registry, configuration, turns, idleMilliseconds } = options;
  const { loadMilliseconds = 120_000, pauseMilliseconds = 50, onEvent = () => {} } = options;
  const book = createPlacementBook({ store, clock });
  const carryOut = createCarryOut({
    clock,
    registry,
    withinMilliseconds: loadMilliseconds,
    pauseMilliseconds,
  });
  const loads = new Map<string, Promise<void>>();
  /** Places that this host has chosen for its loads under way; their memory may not be reserved yet. */
  const chosen = new Map<string, ChosenPlace>();
  const adapterLoads = new Map<string, Promise<void>>();

  const unload = async (model: string, server: ServerView, fencing: number): Promise<void> => {
    // An engine that takes any order may still get one that was sent for the former decision.
    if (!server.target.checks_orders) await clock.delay(ORDERS_OVER_MILLISECONDS);
    const gone = await carryOut({
      server,
      order: { order: ORDER.UNLOAD, model, fencing },
      isDone: () => isGone(server, model),
      isUnderWay: () => false,
      isWanted: async () => true,
    });
    if (!gone) throw noCapacity(model, `${server.name} does not release it`);
  };

  /** Carries a release to its end; any host may continue one that another left unfinished. */
  const finishRelease = async (model: string, decision: ReplicaDecision): Promise<void> => {
    const server = registry.server(decision.server);
    if (server) await unload(model, server, decision.fencing);
    await book.finishRelease(model, decision);
    onEvent({ action: 'replica.released', model, server: decision.server });
  };

  const release = async (model: string, server: string): Promise<void> => {
    const decision = await book.startRelease(model, server);
    if (decision) await finishRelease(model, decision);
  };

  const evictableOn = (server: ServerView, memory: MemoryRecord): EvictableModel[] =>
    (server.state?.loaded ?? [])
      .filter(({ model, running, waiting }) => {
        const busy = running + waiting > 0;
        return !busy && idleMilliseconds(model) > NOT_EVICTED_WITHIN_MILLISECONDS;
      })
      .filter(({ model }) => memory.reservations[model] !== undefined)
      .sort((a, b) => idleMilliseconds(b.model) - idleMilliseconds(a.model))
      .map(({ model }) => ({ model, gigabytes: modelGigabytes(memory, model) }));

  /** Gigabytes that this host is about to reserve on a server. */
  const aboutToReserve = (server: string, { reservations }: MemoryRecord): number =>
    [...chosen]
      .filter(([model, place]) => place.server === server && reservations[model] === undefined)
      .reduce((sum, [, { gigabytes }]) => sum + gigabytes, 0);

  const candidateOf = (server: ServerView, memory: MemoryRecord): PlaceCandidate => {
    const reserved = reservedGigabytes(memory) + aboutToReserve(server.name, memory);
    return { server, reserved, evictable: evictableOn(server, memory) };
  };

  const findPlace = async (
    model: string,
    taken: readonly ReplicaDecision[],
  ): Promise<Place | undefined> => {
    const wanted = configuration().models[model]!;
    const usable = registry.servers().filter(({ name, target, state }) => {
      const allowed = wanted.targets.length === 0 || wanted.targets.includes(name);
      const free = !taken.some(({ server }) => server === name);
      return allowed && free && !target.leaving && state !== undefined;
    });
    const memories = await Promise.all(usable.map(({ name }) => book.readMemory(name)));
    const gigabytes = replicaGigabytes(wanted);
    // Nothing may be awaited from here on, so that loads at the same time see each other's choice.
    chosen.delete(model);
    const candidates = usable.map((server, index) => candidateOf(server, memories[index]!));
    const place = choosePlace(model, gigabytes, candidates);
    if (place) chosen.set(model, { server: place.server.name, gigabytes });
    return place;
  };

  /** Tells whether a replica's server reports and takes new work. */
  const isServing = ({ server }: ReplicaDecision): boolean => {
    const view = registry.server(server);
    return view?.state !== undefined && !view.target.leaving;
  };

  const isUsable = (decision: ReplicaDecision): boolean =>
    decision.state === REPLICA.DECIDED && isServing(decision);

  /** Tells whether a replica's server is leaving and runs nothing of the model. */
  const isDrained = (model: string, { server }: ReplicaDecision): boolean => {
    const view = registry.server(server);
    if (!view?.target.leaving || !view.state) return false;
    const report = reportOf(view, model);
    return (report?.running ?? 0) + (report?.waiting ?? 0) === 0 && view.outstanding === 0;
  };

  const whyNowhere = (): string => {
    const reporting = registry.servers().filter(({ state }) => state !== undefined);
    return `no server can make room; ${reporting.length} of ${registry.servers().length} report`;
  };

  /** @returns the decision to carry out, made now or found */
  const decide = async (model: string): Promise<ReplicaDecision> => {
    const present = await book.readReplicas(model);
    const existing = present.replicas.find(isUsable);
    if (existing) return existing;
    // Replicas on silent or leaving servers stay decided, and may be replaced beside the limit.
    const counted = present.replicas.filter(isServing);
    const limit = configuration().models[model]!.maximum_replicas;
    const place = counted.length < limit ? await findPlace(model, present.replicas) : undefined;
    if (!place) throw noCapacity(model, whyNowhere());
    const { name } = place.server;
    await Promise.all(place.evict.map((other) => release(other, name)));
    const record = await book.addReplica(model, present, name);
    const decision = record.replicas.find(isUsable);
    if (!decision) throw noCapacity(model);
    onEvent({ action: 'replica.decided', model, server: decision.server });
    return decision;
  };

  /** Decides a place and reserves its memory; another load may have been quicker. */
  const settlePlace = async (model: string): Promise<ReplicaDecision> => {
    const gigabytes = replicaGigabytes(configuration().models[model]!);
    for (let tries = 0; tries < PLACE_TRIES; tries += 1) {
      /* eslint-disable no-await-in-loop -- each try starts from what the last one left */
      const decision = await decide(model);
      const { server, fencing } = decision;
      const reserved = await book.reserve(registry.server(server)!, model, { gigabytes, fencing });
      if (reserved) return decision;
      await release(model, server);
      /* eslint-enable no-await-in-loop */
    }
    throw noCapacity(model);
  };

  /** Tells whether a server holds the model by its newest report, which another host may cause. */
  const isLoaded = async (model: string): Promise<boolean> => {
    await Promise.all(registry.servers().map(registry.refresh));
    return registry.servers().some((server) => !server.target.leaving && holds(server, model));
  };

  /** Tells whether a server can load the model without the weight store. */
  const isNear = (model: string): boolean =>
    registry
      .servers()
      .some((server) => !server.target.leaving && sourceOf(server, model) !== SOURCE.REMOTE);

  const load = async (model: string): Promise<void> => {
    if (await isLoaded(model)) return;
    if (!isNear(model)) {
      await turns.acquire(model);
      if (await isLoaded(model)) return;
    }
    const { server: name, fencing } = await settlePlace(model);
    const server = registry.server(name)!;
    const loaded = await carryOut({
      server,
      order: { order: ORDER.LOAD, model, fencing },
      isDone: () => holds(server, model),
      isUnderWay: () => isLoading(server, model),
      isWanted: () => book.isDecided(model, name, fencing),
    });
    if (!loaded) throw noCapacity(model, `${name} did not load it, or it was decided otherwise`);
    onEvent({ action: 'replica.loaded', model, server: name });
  };

  const loadAdapter = async (server: ServerView, model: string, adapter: string) => {
    const gigabytes = configuration().adapters[adapter]!.memory_gigabytes;
    const { replicas } = await book.readReplicas(model);
    const decision = replicas.find((other) => other.server === server.name);
    if (!decision) throw noCapacity(model);
    const { fencing } = decision;
    const item = adapterItem(model, adapter);
    if (!(await book.reserve(server, item, { gigabytes, fencing }))) throw noCapacity(adapter);
    const hasAdapter = (): boolean => reportOf(server, model)?.adapters.includes(adapter) ?? false;
    const loaded = await carryOut({
      server,
      order: { order: ORDER.LOAD_ADAPTER, model, adapter, fencing },
      isDone: hasAdapter,
      isUnderWay: () => false,
      isWanted: () => book.isDecided(model, server.name, fencing),
    });
    if (!loaded) throw noCapacity(adapter);
  };

  const share = (
    running: Map<string, Promise<void>>,
    name: string,
    work: () => Promise<void>,
  ): Promise<void> => {
    const found = running.get(name);
    if (found) return found;
    const started = work()
      .catch((error: unknown) => {
        throw isStoreError(error) ? undecided(name, error) : error;
      })
      .finally(() => running.delete(name));
    running.set(name, started);
    return started;
  };

  return {
    ensureModel: (wish) => {
      const { name: model } = wish;
      turns.want(wish);
      const end = (): void => {
        chosen.delete(model);
        turns.finish(model);
      };
      return share(loads, model, () => load(model).finally(end));
    },
    ensureAdapter: (server, model, adapter) =>
      share(adapterLoads, `${server.name}/${adapter}`, () => loadAdapter(server, model, adapter)),
    sweep: async () => {
      const decisions = await book.allDecisions();
      const work = decisions.map(({ model, decision }) => {
        if (decision.state === REPLICA.RELEASING) return finishRelease(model, decision);
        return isDrained(model, decision) ? release(model, decision.server) : undefined;
      });
      await Promise.allSettled(work);
    },
    loading: () => [...loads.keys()],
  };
}
