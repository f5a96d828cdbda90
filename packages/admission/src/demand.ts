/** Waiting requests by server: those of this host and, as they tell it, those of the others. */
import type { WaitingGroup } from './waiting.js';

/** Waiting requests by rank. */
export type RankCounts = ReadonlyMap<number, number>;

/** A waiting request, as far as its demand is concerned. */
export interface WaitingRequest {
  readonly workspace: string;
  readonly rank: number;
  /** Ids of the servers that could run it. */
  readonly servers: readonly string[];
}

/** Sums the requests of ranks up to one, or below it. */
export function sumRanks(counts: RankCounts | undefined, rank: number, including: boolean): number {
  let sum = 0;
  counts?.forEach((count, other) => {
    if (other < rank || (including && other === rank)) sum += count;
  });
  return sum;
}

/**
 * Counts the waiting requests of the other hosts by server and rank. A request that several servers could
 * run counts in equal parts at each.
 * @param listServers returns the ids of the servers that can run the requests of a group
 */
export function countElsewhere(
  groups: readonly WaitingGroup[],
  listServers: (group: WaitingGroup) => readonly string[],
): ReadonlyMap<string, RankCounts> {
  const byServer = new Map<string, Map<number, number>>();
  groups.forEach((group) => {
    const servers = listServers(group);
    servers.forEach((server) => {
      const counts = byServer.get(server) ?? new Map<number, number>();
      byServer.set(server, counts);
      counts.set(group.rank, (counts.get(group.rank) ?? 0) + group.count / servers.length);
    });
  });
  return byServer;
}

/** Waiting requests of this host that come before a request at a server. */
export interface DemandAhead {
  readonly all: number;
  /** Those of lower rank. */
  readonly urgent: number;
}

/**
 * Counts the requests of this host that come before one at a server. Workspaces of the same rank take
 * turns, so that of each no more come before it than it has of its own workspace.
 */
export function countAhead<Request extends WaitingRequest>(
  request: Request,
  server: string,
  waiting: Iterable<Request>,
): DemandAhead {
  let urgent = 0;
  const sameRank = new Map<string, number>();
  let isBefore = true;
  let own = 0;
  for (const other of waiting) {
    if (other === request) isBefore = false;
    else if (other.servers.includes(server)) {
      const part = 1 / other.servers.length;
      if (other.rank < request.rank) urgent += part;
      else if (other.rank === request.rank) {
        if (other.workspace !== request.workspace)
          sameRank.set(other.workspace, (sameRank.get(other.workspace) ?? 0) + part);
        else if (isBefore) own += part;
      }
    }
  }
  let all = urgent + own;
  const mostOfOthers = own + 1 / Math.max(1, request.servers.length);
  sameRank.forEach((count) => {
    all += Math.min(count, mostOfOthers);
  });
  return { all, urgent };
}
