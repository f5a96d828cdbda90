import { createHash } from 'node:crypto';
import { HOST_STATE, type ListedHost } from '@bulrushspar/store';

const hashRank = (role: string, host: string): string =>
  createHash('sha256').update(`${role}/${host}`).digest('hex');

/**
 * Returns whether a host is one of those assigned to a role, chosen by rendezvous hashing. All hosts
 * that read the same list get the same result, and different roles are assigned to different hosts.
 * @param self the host in question
 * @param assigneeCount number of hosts assigned to the role
 */
export function isAssignedRole(
  hosts: readonly ListedHost[],
  self: string,
  role: string,
  assigneeCount: number,
): boolean {
  const own = hashRank(role, self);
  const higherRanked = hosts.filter(
    ({ name, state }) => name !== self && state === HOST_STATE.LIVE && hashRank(role, name) < own,
  );
  return higherRanked.length < assigneeCount;
}
