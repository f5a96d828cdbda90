/** Input and output of the planner. */
import type { EngineProfile } from '@bulrushspar/catalogue';

/** A model that requests wait for, with what determines its urgency. */
export interface Want {
  readonly model: string;
  /** Number of waiting requests. */
  readonly count: number;
  /** Credit that the waiting requests are worth if they are served in time. */
  readonly credit: number;
  /** Milliseconds until the first of them misses its objective; negative if it has. */
  readonly objectiveMilliseconds: number;
  /** Milliseconds until the last of them must be answered; absent if it is unknown. */
  readonly remainingMilliseconds?: number;
}

/**
 * Longest expected time that is a promise to callers, in milliseconds. Callers have 15 to 20 s, so that
 * none of them waits longer, or returns after such a time.
 */
export const PROMISE_HORIZON_MILLISECONDS = 15_000;
/** Time that serving takes once the model is ready; at least this must remain after a wait. */
export const MIN_SERVING_MILLISECONDS = 800;

/** A model whose servers are overloaded, so that another replica is worth its cost. */
export interface ReplicaNeed {
  readonly model: string;
  /** Number of requests that another replica would take over. */
  readonly count: number;
}

/** A model on a server, as input of the planner. */
export interface PlannedModel {
  readonly name: string;
  /** Number of its adapters that are resident. */
  readonly adapters: number;
  /** Number of running requests, which delay its eviction. */
  readonly running: number;
  /** Whether it was loaded for requests that have not been served yet; it is not evicted then. */
  readonly recentlyLoaded: boolean;
  /** Whether it has had no request and little time for one since it was loaded. */
  readonly isUnused?: boolean;
}

/** A load that no request waits for, done with what would be idle otherwise. */
export interface BackgroundNeed {
  readonly model: string;
  /** Expected requests, which decide what may be evicted; if undefined, nothing may. */
  readonly requestsPerSecond?: number;
  /** Whether models without requests may be evicted that their server can load again itself. */
  readonly evictsCopied?: boolean;
  /** Number of places at the weight store that it leaves free; infinite to load no cold weights. */
  readonly placesKept: number;
}

/** A server as input of the planner, in its state after the replacement in progress. */
export interface PlannedServer {
  readonly id: string;
  readonly models: readonly PlannedModel[];
  /** Memory that loads with an unknown outcome may take, in megabytes. */
  readonly unconfirmedMegabytes: number;
  /** Milliseconds until the server takes another order; 0 if it takes one now. */
  readonly busyMilliseconds: number;
  /** Number of requests that run or wait on the server. */
  readonly running: number;
  /** Models that the server can load from its main memory. */
  readonly inMemory: ReadonlySet<string>;
  /** Models that the server can load from its disk. */
  readonly onDisk: ReadonlySet<string>;
}

/** Input of the planner. */
export interface PlanInput {
  readonly profile: EngineProfile;
  readonly servers: readonly PlannedServer[];
  readonly wants: readonly Want[];
  readonly replicas?: readonly ReplicaNeed[];
  /** Returns the credit lost per second while a model is on no server. */
  readonly creditPerSecond: (model: string) => number;
  /** Returns the milliseconds since the last request for a model. */
  readonly idleMilliseconds: (model: string) => number;
  /**
   * Number of cold loads (from the weight store) that may start now; negative if above the limit.
   */
  readonly availableColdLoads: number;
  /** Milliseconds until another cold load may start once these are used up. */
  readonly coldWaitMilliseconds?: number;
  /** Number of cold loads that the weight store serves concurrently. */
  readonly maxConcurrentColdLoads?: number;
  /**
   * Milliseconds until each place at the weight store is free. If present, cold loads queue for them
   * instead of being counted in rounds.
   */
  readonly coldPlaces?: readonly number[];
  /** Factor of the stated time that cold loads take; 1 by default. */
  readonly coldSlowdown?: number;
  /** When callers were first told a time, by model. If present, loads keep that order. */
  readonly promises?: ReadonlyMap<string, number>;
  /** Load that gets a place at the weight store before all wants. */
  readonly overdue?: BackgroundNeed;
  /** Loads for what is idle after the wants and replicas, in this order. */
  readonly background?: readonly BackgroundNeed[];
  /** Returns the requests per second for a model over tens of seconds. */
  readonly requestsPerSecond?: (model: string) => number;
}

/** A load that the planner has assigned to a server. */
export interface PlannedLoad {
  readonly model: string;
  readonly server: string;
  /** Models to evict for it, in this order. */
  readonly victims: readonly string[];
  /** Milliseconds until the model is ready. */
  readonly readyMilliseconds: number;
  /** Whether the weights come from the weight store. */
  readonly cold: boolean;
  /**
   * Whether the load can start now: the server has no order in progress and no earlier load in this
   * plan, and the load does not wait for the weight store.
   */
  readonly startsNow: boolean;
  /** Whether no request waits for it: it uses what is idle. */
  readonly isBackground?: boolean;
}

/** Estimate of when a model that requests wait for will be ready. */
export interface Outlook {
  readonly model: string;
  /** Absent if no server can load the model now. */
  readonly readyMilliseconds?: number;
  readonly server?: string;
}
