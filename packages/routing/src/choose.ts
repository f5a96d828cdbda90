/** Random numbers from 0 up to but not including 1. */
export type Random = () => number;

/** Options of {@link chooseServer}. */
export interface ServerSelectionOptions<Server> {
  readonly candidates: readonly Server[];
  /** @returns whether a server can run the request at all */
  readonly isEligible: (server: Server) => boolean;
  /** @returns whether a server failed recently; it is chosen only if every eligible one did */
  readonly isAvoided?: (server: Server) => boolean;
  /** Expected cost of the request on a server; the server with the lowest cost is chosen. */
  readonly estimateCost: (server: Server) => number;
  readonly random: Random;
  /**
   * Number of randomly sampled servers whose costs are compared; all of them by default. Comparing
   * only two prevents hosts that use the same stale report from all choosing the same server.
   */
  readonly sampleSize?: number;
}

/** @returns `sampleSize` of the servers, or all if there are fewer, in random order */
function sampleServers<Server>(
  servers: readonly Server[],
  sampleSize: number,
  random: Random,
): Server[] {
  const remaining = [...servers];
  const sampled: Server[] = [];
  while (sampled.length < sampleSize && remaining.length > 0) {
    sampled.push(...remaining.splice(Math.floor(random() * remaining.length), 1));
  }
  return sampled;
}

/**
 * Chooses the eligible server with the lowest cost.
 * @returns undefined if no server is eligible
 */
export function chooseServer<Server>(options: ServerSelectionOptions<Server>): Server | undefined {
  const {
    candidates,
    isEligible,
    isAvoided = () => false,
    estimateCost,
    random,
    sampleSize,
  } = options;
  const eligible = candidates.filter(isEligible);
  const preferred = eligible.filter((server) => !isAvoided(server));
  const usable = preferred.length > 0 ? preferred : eligible;
  const compared = sampleSize === undefined ? usable : sampleServers(usable, sampleSize, random);
  let best: Server | undefined;
  let leastCost = Infinity;
  compared.forEach((server) => {
    const serverCost = estimateCost(server);
    if (serverCost < leastCost) [best, leastCost] = [server, serverCost];
  });
  return best;
}
