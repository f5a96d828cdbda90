/** Which models need another copy, by the work that their servers have. */
import { crowdedRequests, type ReplicaNeed } from './plan.js';

/** A server with its running requests. */
export interface LoadedServer {
  readonly slots: number;
  /** Running requests by model. */
  readonly running: ReadonlyMap<string, number>;
  readonly models: readonly string[];
}

const totalOf = (server: LoadedServer): number =>
  [...server.running.values()].reduce((sum, count) => sum + count, 0);

const isCrowded = (server: LoadedServer): boolean => totalOf(server) >= crowdedRequests(server);

/**
 * Finds the models all of whose servers are crowded and that cause the most of it.
 * @param isLoading whether a copy of the model is on its way
 */
export function findReplicaNeeds(
  servers: readonly LoadedServer[],
  isLoading: (model: string) => boolean,
): readonly ReplicaNeed[] {
  const holders = new Map<string, LoadedServer[]>();
  servers.forEach((server) =>
    server.models.forEach((model) => {
      const known = holders.get(model);
      if (known) known.push(server);
      else holders.set(model, [server]);
    }),
  );
  const hottestOf = (server: LoadedServer): string | undefined =>
    [...server.running].sort(([, a], [, b]) => b - a)[0]?.[0];
  const hottest = new Set(servers.filter(isCrowded).flatMap((server) => hottestOf(server) ?? []));
  const crowds = (model: string): boolean =>
    hottest.has(model) && (holders.get(model) ?? []).every(isCrowded);
  return [...hottest]
    .filter(crowds)
    .filter((model) => !isLoading(model))
    .map((model) => {
      const copies = holders.get(model) ?? [];
      const running = copies.reduce((sum, { running: by }) => sum + (by.get(model) ?? 0), 0);
      return { model, count: running / (copies.length + 1) };
    })
    .sort((a, b) => b.count - a.count);
}
