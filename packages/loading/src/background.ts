/** Finds loads that no request waits for: lasting demand, refills, and idle capacity. */
import type { EngineProfile } from '@bulrushspar/catalogue';
import type { DemandTracker } from './demand.js';
import type { BackgroundNeed, PlannedServer } from './plan-input.js';

/** Input of {@link findBackgroundNeeds}. */
export interface BackgroundInput {
  readonly profile: EngineProfile;
  readonly servers: readonly PlannedServer[];
  readonly demand: Pick<DemandTracker, 'requestsPerSecond' | 'idleMilliseconds'>;
  /** Returns whether no server holds or loads the model. */
  readonly isMissing: (model: string) => boolean;
  /** Number of cold loads that may run concurrently. */
  readonly coldLoadLimit: number;
  /** Whether no request has come for any model for some time. */
  readonly isCalm: boolean;
  /** Number of servers that load a model from the weight store. */
  readonly coldServers: number;
  /**
   * Whether only models of which no server has a copy are loaded, and on few servers: one with a cold load
   * takes no other order for seconds.
   */
  readonly onlyWithoutCopy?: boolean;
}

/**
 * Request rate from which an absent model counts as wanted: that of one request, 48 s after it, with a
 * decay over 30 s.
 */
const MIN_REQUESTS_PER_SECOND = 0.2 / 30;
/** Request rate for each replica from which free memory is used for another one. */
const REPLICA_REQUESTS_PER_SECOND = 0.5;
/** Number of needs of each kind in one plan, which bounds its duration. */
const MAX_NEEDS = 8;
/** Part of the places at the weight store that loads without any demand may use. */
const SPECULATIVE_SHARE = 0.5;
/** Part of the servers that may load models without a copy at a time, if no request waits for these. */
const MAX_COLD_SERVER_SHARE = 1 / 8;
/** Part of the servers that must have no order in progress for such loads to begin. */
const IDLE_SERVER_SHARE = 0.5;

/** Returns how many servers may load models without a copy, if no request waits for these. */
export function maxColdServers(servers: number): number {
  return Math.floor(servers * MAX_COLD_SERVER_SHARE);
}

/** Returns the memory that no model on a server takes, in megabytes. */
function freeMegabytes(
  { weightsMegabytes, models: profiles }: EngineProfile,
  { models, unconfirmedMegabytes }: PlannedServer,
): number {
  return models.reduce((free, { name, adapters }) => {
    const model = profiles.get(name);
    if (!model) return -Infinity;
    return free - model.megabytes - adapters * model.adapterMegabytes;
  }, weightsMegabytes - unconfirmedMegabytes);
}

/**
 * Finds the background loads of one plan, in the order in which they get what is idle:
 * absent models with recent requests, by requests per second of load time; while no requests come, models
 * of which no server has a copy, since these are many times farther away than all others; models that a
 * server with free memory has on its disk or in its main memory; models that no server holds.
 */
export function findBackgroundNeeds(input: BackgroundInput): readonly BackgroundNeed[] {
  const { profile, servers, demand, isMissing, coldLoadLimit, isCalm } = input;
  const { coldServers, onlyWithoutCopy = false } = input;
  const idleServers = servers.filter(({ busyMilliseconds }) => busyMilliseconds === 0);
  if (idleServers.length === 0) return [];
  const rateOf = new Map(
    [...profile.models.keys()].map((model) => [model, demand.requestsPerSecond(model)]),
  );
  const byRate = (a: string, b: string): number => rateOf.get(b)! - rateOf.get(a)!;
  const valueOf = (model: string): number =>
    rateOf.get(model)! / Math.max(1, profile.models.get(model)!.coldMilliseconds);

  const copied = new Set(servers.flatMap(({ inMemory, onDisk }) => [...inMemory, ...onDisk]));
  const missing = [...profile.models.keys()].filter(
    (model) => isMissing(model) && !(onlyWithoutCopy && copied.has(model)),
  );
  const demanded = missing.filter((model) => rateOf.get(model)! >= MIN_REQUESTS_PER_SECOND);
  const mayLoadDemanded = !onlyWithoutCopy || coldServers < maxColdServers(servers.length);
  const demandNeeds = (mayLoadDemanded ? demanded : [])
    .sort((a, b) => valueOf(b) - valueOf(a))
    .slice(0, MAX_NEEDS)
    .map((model) => ({ model, requestsPerSecond: rateOf.get(model)!, placesKept: 0 }));

  const placesKept = coldLoadLimit - Math.floor(coldLoadLimit * SPECULATIVE_SHARE);
  const uncopiedNeeds = (isCalm ? missing : [])
    .filter((model) => !copied.has(model))
    .slice(0, MAX_NEEDS)
    .map((model) => ({ model, evictsCopied: true, placesKept }));
  if (onlyWithoutCopy) return [...demandNeeds, ...uncopiedNeeds];

  const rooms = idleServers.map((server) => ({ server, free: freeMegabytes(profile, server) }));
  const hasRoom = (model: string): boolean =>
    rooms.some(({ free }) => free >= profile.models.get(model)!.megabytes);
  const replicaCounts = new Map<string, number>();
  servers.forEach(({ models }) =>
    models.forEach(({ name }) => replicaCounts.set(name, (replicaCounts.get(name) ?? 0) + 1)),
  );
  const nearbyModels = new Set(
    rooms.flatMap(({ server: { inMemory, onDisk, models }, free }) =>
      [...inMemory, ...onDisk].filter(
        (model) =>
          (profile.models.get(model)?.megabytes ?? Infinity) <= free &&
          !models.some(({ name }) => name === model),
      ),
    ),
  );
  const needsReplica = (model: string): boolean =>
    rateOf.get(model)! / (replicaCounts.get(model) ?? 0) >= REPLICA_REQUESTS_PER_SECOND;
  const refillNeeds = [...nearbyModels]
    .filter((model) => isMissing(model) || (replicaCounts.has(model) && needsReplica(model)))
    .sort((a, b) => Number(isMissing(b)) - Number(isMissing(a)) || byRate(a, b))
    .slice(0, MAX_NEEDS * idleServers.length)
    .map((model) => ({ model, placesKept: Infinity }));

  const maySpeculate = idleServers.length > servers.length * IDLE_SERVER_SHARE;
  const speculativeNeeds = (maySpeculate ? missing : [])
    .filter((model) => !nearbyModels.has(model) && hasRoom(model))
    .sort(byRate)
    .slice(0, MAX_NEEDS)
    .map((model) => ({ model, placesKept }));

  return [...demandNeeds, ...uncopiedNeeds, ...refillNeeds, ...speculativeNeeds];
}
