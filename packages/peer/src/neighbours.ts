import { createHash } from 'node:crypto';

/** Largest fleet in which every node is linked with every other one (full mesh). */
export const MAX_FULL_MESH_HOSTS = 32;

const hashHostName = (host: string): string => createHash('sha256').update(host).digest('hex');

/**
 * Chooses the hosts to link with. Up to {@link MAX_FULL_MESH_HOSTS} hosts these are all others. In
 * a larger fleet they are the hosts at distances 1, 2, 4, 8, … in both directions on a ring sorted
 * by hashed name. Links for each host and steps until a message has reached every host then both
 * grow with the logarithm of the fleet size. The choice is symmetric: both ends choose each other.
 */
export function chooseNeighbours(hosts: readonly string[], self: string): readonly string[] {
  const others = hosts.filter((host) => host !== self);
  if (hosts.length <= MAX_FULL_MESH_HOSTS) return others;
  const ring = [...new Set([...others, self])]
    .map((host) => ({ host, hash: hashHostName(host) }))
    .sort((a, b) => (a.hash < b.hash ? -1 : 1))
    .map(({ host }) => host);
  const ownIndex = ring.indexOf(self);
  const neighbours = new Set<string>();
  for (let distance = 1; distance <= ring.length / 2; distance *= 2) {
    neighbours.add(ring[(ownIndex + distance) % ring.length]!);
    neighbours.add(ring[(ownIndex - distance + ring.length) % ring.length]!);
  }
  return [...neighbours];
}
