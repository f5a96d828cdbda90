/** Chooses the models that are evicted for a load, by what their loss costs. */
import type { EngineProfile, ModelProfile } from '@bulrushspar/catalogue';
import { overloadThreshold } from './overload.js';
import type { PlanInput, PlannedModel, PlannedServer } from './plan-input.js';

/** Costs of evictions within one plan. */
export interface EvictionCosts {
  /** Returns the credit lost per second if this replica is evicted. */
  loss(model: PlannedModel): number;
  /**
   * Finds the set of victims with the lowest total cost that frees enough memory.
   * @param models the models on the server, including those of loads planned before
   * @returns the victims, or undefined if no set of evictable models is large enough
   */
  chooseVictims(
    server: PlannedServer,
    models: readonly PlannedModel[],
    model: ModelProfile,
  ): readonly PlannedModel[] | undefined;
  /**
   * Like {@link chooseVictims}, for a load that no request waits for: evicts only what has far fewer
   * requests than the model, or none at all if `requestsPerSecond` is undefined.
   */
  chooseIdleVictims(
    server: PlannedServer,
    models: readonly PlannedModel[],
    model: ModelProfile,
    requestsPerSecond: number | undefined,
  ): readonly PlannedModel[] | undefined;
  /**
   * Like {@link chooseIdleVictims}, but evicts only models without requests that the server can load
   * again from its memory or disk, and whose only replica it is: further ones show that a model is busy.
   */
  chooseCopiedVictims(
    server: PlannedServer,
    models: readonly PlannedModel[],
    model: ModelProfile,
  ): readonly PlannedModel[] | undefined;
  /** Records a planned eviction, so that later ones do not count the replica. */
  recordEviction(model: string): void;
}

/** Share of a replica's credit that is lost with it if the others can take over its requests. */
const REDUNDANT_REPLICA_FACTOR = 0.1;
/**
 * Cost of an eviction apart from the victim's requests, in credit per second: the unload order and
 * its time.
 */
const EVICTION_BASE_COST = 0.02;
/** Cost of a victim with running requests, which delay the load, in credit per second. */
const DRAINING_VICTIM_COST = 0.5;
/** Cost of a victim that has not been used since it was loaded for requests, in credit per second. */
const UNUSED_VICTIM_COST = 1;
/** A model requested within this time is evicted after others with the same credit. */
const RECENCY_WINDOW_MILLISECONDS = 30_000;
/** Credit per second added to a model that was requested just now; falls to 0 over the window. */
const RECENCY_CREDIT_PER_SECOND = 0.1;
/**
 * Share of a model's request rate that its victims may have, if no request waits for the model. Models
 * with about the same rate would otherwise evict each other in turn.
 */
const MAX_VICTIM_RATE_SHARE = 0.5;

/** A model that may be evicted, and the cost of its loss. */
interface EvictionCandidate {
  readonly resident: PlannedModel;
  readonly freedMegabytes: number;
  readonly cost: number;
}

/** Memory in use on a server, and the models that may be evicted from it. */
interface ServerSummary {
  readonly usedMegabytes: number;
  readonly candidates: readonly EvictionCandidate[];
  /** Models that may be evicted for a load that no request waits for. */
  readonly idleCandidates: readonly EvictionCandidate[];
}

/** Returns the memory of a model and its adapters; an unknown model counts as a full server. */
function megabytesOf(profile: EngineProfile, { name, adapters }: PlannedModel): number {
  const model = profile.models.get(name);
  if (!model) return profile.weightsMegabytes;
  return model.megabytes + adapters * model.adapterMegabytes;
}

/** Searches the victims with the lowest total cost by branch and bound. */
function findCheapestVictims(
  candidates: readonly EvictionCandidate[],
  neededMegabytes: number,
  maxCost = Infinity,
): readonly PlannedModel[] | undefined {
  // Memory that the candidates from each index on can free together.
  const freeable = new Array<number>(candidates.length + 1).fill(0);
  for (let index = candidates.length - 1; index >= 0; index -= 1)
    freeable[index] = freeable[index + 1]! + candidates[index]!.freedMegabytes;
  let cheapestVictims: readonly PlannedModel[] | undefined;
  let lowestCost = maxCost;
  const chosen: PlannedModel[] = [];
  const searchVictims = (index: number, freedMegabytes: number, cost: number): void => {
    if (cost >= lowestCost) return;
    if (freedMegabytes >= neededMegabytes) {
      cheapestVictims = [...chosen];
      lowestCost = cost;
      return;
    }
    if (freedMegabytes + freeable[index]! < neededMegabytes) return;
    const next = candidates[index]!;
    chosen.push(next.resident);
    searchVictims(index + 1, freedMegabytes + next.freedMegabytes, cost + next.cost);
    chosen.pop();
    searchVictims(index + 1, freedMegabytes, cost);
  };
  searchVictims(0, 0, 0);
  return cheapestVictims;
}

/** Creates the costs for one plan. */
export function createEvictionCosts(input: PlanInput): EvictionCosts {
  const { profile, servers, wants, creditPerSecond, idleMilliseconds } = input;
  const { requestsPerSecond: rateOf = () => 0 } = input;
  const replicaCounts = new Map<string, number>();
  const runningCounts = new Map<string, number>();
  servers.forEach(({ models }) =>
    models.forEach(({ name, running }) => {
      replicaCounts.set(name, (replicaCounts.get(name) ?? 0) + 1);
      runningCounts.set(name, (runningCounts.get(name) ?? 0) + running);
    }),
  );
  const threshold = overloadThreshold(profile);
  const wantedModels = new Set(wants.map(({ model }) => model));

  const isRedundant = (name: string): boolean => {
    const count = replicaCounts.get(name) ?? 1;
    return count > 1 && (runningCounts.get(name) ?? 0) / (count - 1) < threshold;
  };

  const loss = ({ name, isUnused }: PlannedModel): number => {
    const recency =
      Math.max(0, 1 - idleMilliseconds(name) / RECENCY_WINDOW_MILLISECONDS) *
      RECENCY_CREDIT_PER_SECOND;
    const creditPerReplica = creditPerSecond(name) / (replicaCounts.get(name) ?? 1);
    const lostCredit =
      (wantedModels.has(name) ? creditPerReplica * 2 + 1 : creditPerReplica) + recency;
    return (
      lostCredit * (isRedundant(name) ? REDUNDANT_REPLICA_FACTOR : 1) +
      (isUnused === true ? UNUSED_VICTIM_COST : 0)
    );
  };

  /** What the models of a server cost, until an eviction is planned: many wants look at each server. */
  const summaries = new Map<readonly PlannedModel[], ServerSummary>();

  const summarize = (models: readonly PlannedModel[]): ServerSummary => {
    const known = summaries.get(models);
    if (known) return known;
    const toCandidate = (resident: PlannedModel, cost: number): EvictionCandidate => ({
      resident,
      freedMegabytes: megabytesOf(profile, resident),
      cost,
    });
    const evictable = models.filter(({ recentlyLoaded }) => !recentlyLoaded);
    const summary = {
      usedMegabytes: models.reduce((sum, resident) => sum + megabytesOf(profile, resident), 0),
      candidates: evictable.map((resident) =>
        toCandidate(
          resident,
          loss(resident) + EVICTION_BASE_COST + (resident.running > 0 ? DRAINING_VICTIM_COST : 0),
        ),
      ),
      idleCandidates: evictable
        .filter(
          ({ name, isUnused, running }) =>
            isUnused !== true && running === 0 && !wantedModels.has(name),
        )
        .map((resident) =>
          toCandidate(resident, isRedundant(resident.name) ? 0 : rateOf(resident.name)),
        ),
    };
    summaries.set(models, summary);
    return summary;
  };

  return {
    loss,
    chooseVictims: ({ unconfirmedMegabytes }, models, { megabytes }) => {
      const { usedMegabytes, candidates } = summarize(models);
      const missing = usedMegabytes + unconfirmedMegabytes + megabytes - profile.weightsMegabytes;
      return missing <= 0 ? [] : findCheapestVictims(candidates, missing);
    },
    chooseIdleVictims: ({ unconfirmedMegabytes }, models, { megabytes }, requestsPerSecond) => {
      const { usedMegabytes, idleCandidates } = summarize(models);
      const missing = usedMegabytes + unconfirmedMegabytes + megabytes - profile.weightsMegabytes;
      if (missing <= 0) return [];
      if (requestsPerSecond === undefined) return undefined;
      const maxLoss = requestsPerSecond * MAX_VICTIM_RATE_SHARE;
      const candidates = idleCandidates.filter(({ cost }) => cost <= maxLoss);
      return findCheapestVictims(candidates, missing, maxLoss + Number.EPSILON);
    },
    chooseCopiedVictims: ({ onDisk, inMemory, unconfirmedMegabytes }, models, { megabytes }) => {
      const { usedMegabytes, idleCandidates } = summarize(models);
      const missing = usedMegabytes + unconfirmedMegabytes + megabytes - profile.weightsMegabytes;
      if (missing <= 0) return [];
      const candidates = idleCandidates.filter(
        ({ resident: { name } }) =>
          rateOf(name) === 0 &&
          replicaCounts.get(name) === 1 &&
          (onDisk.has(name) || inMemory.has(name)),
      );
      return findCheapestVictims(candidates, missing);
    },
    recordEviction: (name) => {
      replicaCounts.set(name, (replicaCounts.get(name) ?? 1) - 1);
      summaries.clear();
    },
  };
}
