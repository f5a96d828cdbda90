import { createHash } from 'node:crypto';
import type { ServerView } from '@bulrushspar/targets';

/** Where a server can load a checkpoint from; lower values load faster. */
export const CHECKPOINT_SOURCE = { MEMORY: 0, DISK: 1, REMOTE: 2 } as const;

/** A server that a replica could be placed on. */
export interface PlacementCandidate {
  readonly server: ServerView;
  /** Reserved memory in gigabytes. */
  readonly reserved: number;
  /** Models that can be evicted, in the order of eviction. */
  readonly evictable: readonly EvictableModel[];
}

/** A model that can be evicted, and the memory that its eviction frees. */
export interface EvictableModel {
  readonly model: string;
  readonly gigabytes: number;
}

/** The server chosen for a replica, and the models to evict from it first. */
export interface Placement {
  readonly server: ServerView;
  readonly evict: readonly string[];
}

/** Returns the fastest {@link CHECKPOINT_SOURCE} of a model on a server. */
export function checkpointSource(server: ServerView, model: string): number {
  if (server.state?.cached.memory.includes(model)) return CHECKPOINT_SOURCE.MEMORY;
  if (server.state?.cached.disk.includes(model)) return CHECKPOINT_SOURCE.DISK;
  return CHECKPOINT_SOURCE.REMOTE;
}

function findPlacementOn(candidate: PlacementCandidate, gigabytes: number): Placement | undefined {
  const { server, reserved, evictable } = candidate;
  let free = (server.target.memory_gigabytes ?? 0) - reserved;
  const evict: string[] = [];
  for (let index = 0; free < gigabytes && index < evictable.length; index += 1) {
    const { model, gigabytes: freed } = evictable[index]!;
    evict.push(model);
    free += freed;
  }
  return free >= gigabytes ? { server, evict } : undefined;
}

/** Spreads models over otherwise equal servers, with the same result on every host. */
const tieBreakHash = (model: string, { name }: ServerView): string =>
  createHash('sha256').update(`${model}/${name}`).digest('hex');

const loadingCount = ({ state }: ServerView): number => state?.loading.length ?? 0;

/**
 * Chooses the server for a replica: the fewest evictions, then the fastest checkpoint source, then
 * the fewest loads in progress.
 * @param gigabytes memory that the replica takes
 * @returns undefined if no server can free enough memory
 */
export function choosePlacement(
  model: string,
  gigabytes: number,
  candidates: readonly PlacementCandidate[],
): Placement | undefined {
  const placements = candidates.flatMap((candidate) => findPlacementOn(candidate, gigabytes) ?? []);
  const [best] = placements.sort(
    (a, b) =>
      a.evict.length - b.evict.length ||
      checkpointSource(a.server, model) - checkpointSource(b.server, model) ||
      loadingCount(a.server) - loadingCount(b.server) ||
      tieBreakHash(model, a.server).localeCompare(tieBreakHash(model, b.server)),
  );
  return best;
}
