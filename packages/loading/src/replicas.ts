/** Which models need another copy, by the work that their servers have. */
import { crowdedRequests, leastCopies, type ReplicaNeed } from './plan.js';

/** A server with its running requests. */
export interface LoadedServer {
  readonly slots: number;
  /** Running requests by model. */
  readonly running: ReadonlyMap<string, number>;
  readonly models: readonly string[];
}

/** Part of the objective that first bytes may take on average before a model gets another copy. */
const LATE_PART = 0.5;

const totalOf = (server: LoadedServer): number =>
  [...server.running.values()].reduce((sum, count) => sum + count, 0);

const isCrowded = (server: LoadedServer): boolean => totalOf(server) >= crowdedRequests(server);

/** What is known of models beside where they run. */
export interface ModelSigns {
  /** A copy of the model is on its way, or has just come. */
  readonly isLoading?: (model: string) => boolean;
  /** Mean time until answers of a model begin, as a part of their objective. */
  readonly delayOf?: (model: string) => number;
  /** Requests a second. */
  readonly rateOf?: (model: string) => number;
}

/**
 * Finds the models that need another copy: those all of whose servers are crowded and that cause
 * the most of it, those whose answers begin late, and those that are asked for so often that the
 * end of their only server would keep many waiting.
 */
export function findReplicaNeeds(
  servers: readonly LoadedServer[],
  signs: ModelSigns = {},
): readonly ReplicaNeed[] {
  const { isLoading = () => false, delayOf = () => 0, rateOf = () => 0 } = signs;
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
  const needing = new Set([...hottest].filter(crowds));
  holders.forEach((copies, model) => {
    if (delayOf(model) > LATE_PART) needing.add(model);
    if (copies.length < leastCopies(rateOf(model))) needing.add(model);
  });
  return [...needing]
    .filter((model) => !isLoading(model))
    .map((model) => {
      const copies = holders.get(model) ?? [];
      const running = copies.reduce((sum, { running: by }) => sum + (by.get(model) ?? 0), 0);
      const taken = Math.max(running, rateOf(model)) / (copies.length + 1);
      return { model, count: taken };
    })
    .sort((a, b) => b.count - a.count);
}
