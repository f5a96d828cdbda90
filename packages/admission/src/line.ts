/** Waiting line that orders entries by rank and shares capacity fairly between workspaces. */

/** An entry of a {@link FairLine}. */
export interface LineEntry {
  readonly workspace: string;
  /** Share of the workspace relative to others while requests wait. */
  readonly weight: number;
}

/** Entries that wait, and what the workspaces have received. */
export interface FairLine<Entry extends LineEntry> {
  /** Counts a request of a workspace, waiting or running, until {@link FairLine.removeRequest}. */
  addRequest(workspace: string): void;
  removeRequest(workspace: string): void;
  /** Charges tokens to the workspace of an entry; negative to refund some. */
  charge(entry: Entry, tokens: number): void;
  add(entry: Entry): void;
  /** @returns whether the entry was waiting */
  remove(entry: Entry): boolean;
  has(entry: Entry): boolean;
  size(): number;
  /** Waiting entries in the order of their arrival. */
  entries(): Iterable<Entry>;
  /** Returns the waiting entry that comes first among those that match. */
  first(matches?: (entry: Entry) => boolean): Entry | undefined;
}

/**
 * Creates an empty line. Entries of a lower rank come first and, within a rank, those of the
 * workspace that received the fewest tokens relative to its weight.
 * @param rankOf returns the rank of an entry, which may change while it waits
 */
export function createFairLine<Entry extends LineEntry>(
  rankOf: (entry: Entry) => number,
): FairLine<Entry> {
  const waiting = new Set<Entry>();
  const weightedTokensByWorkspace = new Map<string, number>();
  const requestCountByWorkspace = new Map<string, number>();

  const getWeightedTokens = (workspace: string): number =>
    weightedTokensByWorkspace.get(workspace) ?? 0;

  const hasPrecedence = (a: Entry, b: Entry): boolean => {
    const rankDifference = rankOf(a) - rankOf(b);
    if (rankDifference !== 0) return rankDifference < 0;
    return getWeightedTokens(a.workspace) < getWeightedTokens(b.workspace);
  };

  return {
    // A workspace without other requests is raised to the lowest weighted tokens among the active
    // ones, so that its idle time earns it no credit.
    addRequest: (workspace) => {
      const requestCount = requestCountByWorkspace.get(workspace) ?? 0;
      if (requestCount === 0 && requestCountByWorkspace.size > 0) {
        const least = Math.min(...[...requestCountByWorkspace.keys()].map(getWeightedTokens));
        weightedTokensByWorkspace.set(workspace, Math.max(getWeightedTokens(workspace), least));
      }
      requestCountByWorkspace.set(workspace, requestCount + 1);
    },
    removeRequest: (workspace) => {
      const requestCount = (requestCountByWorkspace.get(workspace) ?? 1) - 1;
      if (requestCount > 0) requestCountByWorkspace.set(workspace, requestCount);
      else requestCountByWorkspace.delete(workspace);
    },
    charge: ({ workspace, weight }, tokens) => {
      weightedTokensByWorkspace.set(workspace, getWeightedTokens(workspace) + tokens / weight);
    },
    add: (entry) => {
      waiting.add(entry);
    },
    remove: (entry) => waiting.delete(entry),
    has: (entry) => waiting.has(entry),
    size: () => waiting.size,
    entries: () => waiting,
    first: (matches = () => true) => {
      let best: Entry | undefined;
      waiting.forEach((entry) => {
        if (matches(entry) && (!best || hasPrecedence(entry, best))) best = entry;
      });
      return best;
    },
  };
}
