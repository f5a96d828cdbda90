import type { Clock } from '@bulrushspar/clock';
import type { Configuration } from '@bulrushspar/configuration';
import { createFairQueue, type FairQueue } from '@bulrushspar/routing';
import { canServeModel, type TargetRegistry } from '@bulrushspar/targets';

/** The fair queue and the time of last use of each model. */
export interface ModelQueues {
  getQueue(model: string): FairQueue;
  /** Records that a model is in use now. */
  recordUse(model: string): void;
  /** @returns milliseconds since this host last used the model; 0 in use, infinite if never used */
  idleMilliseconds(model: string): number;
  getQueues(): ReadonlyMap<string, FairQueue>;
}

/** Options of {@link createModelQueues}. */
export interface ModelQueuesOptions {
  readonly clock: Clock;
  readonly registry: TargetRegistry;
  readonly getConfiguration: () => Configuration;
}

/** Creates the queues of all models, each at its first use. */
export function createModelQueues(options: ModelQueuesOptions): ModelQueues {
  const { clock, registry, getConfiguration } = options;
  const queues = new Map<string, FairQueue>();
  const lastUsedAtByModel = new Map<string, number>();

  const computeCapacity = (model: string): number => {
    const replicas = registry.servers().filter((server) => canServeModel(server, model)).length;
    const requestsPerReplica = getConfiguration().models[model]?.concurrent_requests ?? 1;
    return Math.max(1, replicas) * requestsPerReplica;
  };

  return {
    getQueue: (model) => {
      const found = queues.get(model);
      if (found) return found;
      const created = createFairQueue({ clock, getCapacity: () => computeCapacity(model) });
      queues.set(model, created);
      return created;
    },
    recordUse: (model) => lastUsedAtByModel.set(model, clock.monotonic()),
    idleMilliseconds: (model) => {
      if ((queues.get(model)?.countRunning() ?? 0) > 0) return 0;
      const lastUsedAt = lastUsedAtByModel.get(model);
      return lastUsedAt === undefined ? Number.POSITIVE_INFINITY : clock.monotonic() - lastUsedAt;
    },
    getQueues: () => queues,
  };
}
