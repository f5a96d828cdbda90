/** Random numbers from 0 up to but not including 1. */
export type Random = () => number;

/** What a choice between servers depends on. */
export interface Choice<Server> {
  readonly candidates: readonly Server[];
  /** Tells whether a server can take the request at all. */
  readonly isAble: (server: Server) => boolean;
  /** Tells whether a server failed lately, so that it is taken only where there is no other. */
  readonly isAvoided?: (server: Server) => boolean;
  /** Expected cost of the request there; the least is chosen. */
  readonly cost: (server: Server) => number;
  readonly random: Random;
  /**
   * Servers that are compared, chosen at random; all of them where it is left out. Comparing two
   * keeps hosts that share a lagging report from all choosing the same one.
   */
  readonly compared?: number;
}

/** @returns so many of the servers, in random order */
function sample<Server>(servers: readonly Server[], count: number, random: Random): Server[] {
  const left = [...servers];
  const chosen: Server[] = [];
  while (chosen.length < count && left.length > 0) {
    chosen.push(...left.splice(Math.floor(random() * left.length), 1));
  }
  return chosen;
}

/** Chooses the server with the least cost among those that can take the request. */
export function chooseServer<Server>(choice: Choice<Server>): Server | undefined {
  const { candidates, isAble, isAvoided = () => false, cost, random, compared } = choice;
  const able = candidates.filter(isAble);
  const trusted = able.filter((server) => !isAvoided(server));
  const usable = trusted.length > 0 ? trusted : able;
  const pool = compared === undefined ? usable : sample(usable, compared, random);
  let best: Server | undefined;
  let least = Infinity;
  pool.forEach((server) => {
    const expected = cost(server);
    if (expected < least) [best, least] = [server, expected];
  });
  return best;
}
