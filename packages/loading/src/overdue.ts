/** Loads of models that callers have asked for in vain for long. */
import { maxColdServers } from './background.js';
import type { ColdLoads } from './cold-loads.js';
import type { Coverage } from './coverage.js';
import type { DemandTracker } from './demand.js';
import type { BackgroundNeed } from './plan-input.js';

/** State of a service during one plan. */
export interface OverdueInput {
  readonly service: string;
  /** Number of its servers. */
  readonly servers: number;
  /** Returns whether a server loads the model. */
  readonly isLoading: (model: string) => boolean;
  /** Returns whether no server holds or loads the model. */
  readonly isMissing: (model: string) => boolean;
  /** Number of cold loads that may run concurrently. */
  readonly coldLoadLimit: number;
}

/**
 * Gives such models half of the places at the weight store. Models with more requests would otherwise keep
 * them out for as long as there are any.
 */
export interface OverdueLoads {
  /** Returns the load that gets the next place; undefined if none is due. */
  find(input: OverdueInput): BackgroundNeed | undefined;
  /** Records that the load of a model has begun. */
  recordStart(model: string): void;
}

/** Options of {@link createOverdueLoads}. */
export interface OverdueLoadsOptions {
  readonly coverage: Pick<Coverage, 'longestMissed'>;
  readonly coldLoads: Pick<ColdLoads, 'countServers'>;
  readonly demand: Pick<DemandTracker, 'requestsPerSecond'>;
}

/** Part of the places at the weight store for such models. */
const PLACES_SHARE = 0.5;

/** Creates the record of a leader that has begun no such load. */
export function createOverdueLoads(options: OverdueLoadsOptions): OverdueLoads {
  const { coverage, coldLoads, demand } = options;
  const started = new Set<string>();
  return {
    find: ({ service, servers, isLoading, isMissing, coldLoadLimit }) => {
      started.forEach((model) => {
        if (!isLoading(model)) started.delete(model);
      });
      const model = coverage.longestMissed(service);
      if (model === undefined || !isMissing(model)) return undefined;
      const places = Math.max(1, Math.floor(coldLoadLimit * PLACES_SHARE));
      const isFull = started.size >= places || coldLoads.countServers() >= maxColdServers(servers);
      if (isFull) return undefined;
      return { model, requestsPerSecond: demand.requestsPerSecond(model), placesKept: 0 };
    },
    recordStart: (model) => {
      started.add(model);
    },
  };
}
