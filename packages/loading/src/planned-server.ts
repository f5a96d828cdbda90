/** Converts the leader's record of a server to the planner's input. */
import type { EngineProfile } from '@bulrushspar/catalogue';
import type { Clock } from '@bulrushspar/clock';
import { unconfirmedMegabytes, type ServerState } from './book.js';
import { ORDER_OPERATION } from './engine.js';
import type { PlannedServer } from './plan-input.js';

/** Options of {@link toPlannedServer}. */
export interface PlannedServerOptions {
  readonly clock: Clock;
  readonly profile: EngineProfile;
  /** Requests of all hosts that run on a server, by model. */
  readonly running: (server: string) => ReadonlyMap<string, number>;
  /** Returns the model replacement whose orders are being sent to a server. */
  readonly replacement: (server: string) => ModelReplacement | undefined;
  /** Returns the milliseconds that the load of a server still takes, if known better than stated. */
  readonly remaining?: (state: ServerState) => number | undefined;
  /** Returns the milliseconds since the last request for a model; shows which models are unused. */
  readonly idleMilliseconds?: (model: string) => number;
}

/** A model to load and the models to evict for it. */
export interface ModelReplacement {
  readonly model: string;
  readonly victims: readonly string[];
}

/** Time for which a loaded model is not evicted, so that the requests that waited for it run. */
const EVICTION_GRACE_MILLISECONDS = 700;
/**
 * Time for which a loaded model that has had no request since is spared, so that callers which were
 * refused can return: they do so after the time of a load.
 */
const UNUSED_GRACE_MILLISECONDS = 15_000;
/**
 * Assumed remaining time of an earlier coordinator's load, whose start is unknown: half the
 * duration of a slow load.
 */
const FOREIGN_ORDER_REMAINING_MILLISECONDS = 3000;

/** Returns the models and adapters as they are after the pending order and the replacement. */
function modelsAfterReplacement(
  state: ServerState,
  replacement: ModelReplacement | undefined,
): Map<string, Set<string>> {
  const models = new Map(state.models);
  replacement?.victims.forEach((name) => models.delete(name));
  const request = state.pendingOrder?.request;
  if (request?.operation === ORDER_OPERATION.UNLOAD) models.delete(request.model);
  const loading = request?.operation === ORDER_OPERATION.LOAD ? request.model : replacement?.model;
  if (loading !== undefined && !models.has(loading)) models.set(loading, new Set());
  return models;
}

/** Converts the state of a server to the planner's input. */
export function toPlannedServer(state: ServerState, options: PlannedServerOptions): PlannedServer {
  const { clock, profile } = options;
  const now = clock.monotonic();
  const { pendingOrder, entry } = state;
  const running = options.running(entry.id);
  const replacement = options.replacement(entry.id);
  const { idleMilliseconds } = options;
  const isUnused = (name: string): boolean => {
    const age = now - (state.loadedAt.get(name) ?? -Infinity);
    return age < UNUSED_GRACE_MILLISECONDS && idleMilliseconds!(name) > age;
  };
  const statedRemaining = pendingOrder
    ? Math.max(1, pendingOrder.startedAt + pendingOrder.expectedMilliseconds - now)
    : 0;
  const remaining = options.remaining?.(state) ?? statedRemaining;
  return {
    id: entry.id,
    models: [...modelsAfterReplacement(state, replacement)].map(([name, adapters]) => ({
      name,
      adapters: adapters.size,
      running: running.get(name) ?? 0,
      // A model that is not resident yet is being loaded.
      recentlyLoaded:
        !state.models.has(name) ||
        now - (state.loadedAt.get(name) ?? -Infinity) < EVICTION_GRACE_MILLISECONDS,
      ...(idleMilliseconds ? { isUnused: isUnused(name) } : {}),
    })),
    unconfirmedMegabytes: unconfirmedMegabytes(state, profile),
    busyMilliseconds: Math.max(
      remaining,
      state.ordersPausedUntil - now,
      state.hasForeignOrder ? FOREIGN_ORDER_REMAINING_MILLISECONDS : 0,
    ),
    running: [...running.values()].reduce((sum, count) => sum + count, 0),
    inMemory: new Set(entry.inMemory),
    onDisk: new Set(entry.onDisk),
  };
}
