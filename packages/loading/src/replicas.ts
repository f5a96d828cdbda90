/** Finds the models that need another replica, based on the load of their servers. */
import { overloadThreshold } from './overload.js';
import type { ReplicaNeed } from './plan-input.js';

/** Running requests and resident models of a server. */
export interface ServerLoad {
  readonly slots: number;
  /** Number of running requests by model. */
  readonly running: ReadonlyMap<string, number>;
  readonly models: readonly string[];
}

const countRunning = (server: ServerLoad): number =>
  [...server.running.values()].reduce((sum, count) => sum + count, 0);

const isOverloaded = (server: ServerLoad): boolean =>
  countRunning(server) >= overloadThreshold(server);

/**
 * Finds the models that need another replica: those whose servers are all overloaded, and that have
 * the most running requests on one of these servers.
 * @param isLoading whether a replica of the model is being loaded
 * @returns the needs, the one with the most requests to take over first
 */
export function findReplicaNeeds(
  servers: readonly ServerLoad[],
  isLoading: (model: string) => boolean,
): readonly ReplicaNeed[] {
  const serversByModel = new Map<string, ServerLoad[]>();
  servers.forEach((server) =>
    server.models.forEach((model) => {
      const modelServers = serversByModel.get(model);
      if (modelServers) modelServers.push(server);
      else serversByModel.set(model, [server]);
    }),
  );
  const findBusiestModel = (server: ServerLoad): string | undefined =>
    [...server.running].sort(([, a], [, b]) => b - a)[0]?.[0];
  const busiestModels = new Set(
    servers.filter(isOverloaded).flatMap((server) => findBusiestModel(server) ?? []),
  );
  const needsReplica = (model: string): boolean =>
    busiestModels.has(model) && (serversByModel.get(model) ?? []).every(isOverloaded);
  return [...busiestModels]
    .filter(needsReplica)
    .filter((model) => !isLoading(model))
    .map((model) => {
      const modelServers = serversByModel.get(model) ?? [];
      const running = modelServers.reduce(
        (sum, { running: runningByModel }) => sum + (runningByModel.get(model) ?? 0),
        0,
      );
      return { model, count: running / (modelServers.length + 1) };
    })
    .sort((a, b) => b.count - a.count);
}
