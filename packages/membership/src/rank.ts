import { createHash } from 'node:crypto';
import { HOST_STATE, type ListedHost } from '@bulrushspar/store';

const rankOf = (duty: string, host: string): string =>
  createHash('sha256').update(`${duty}/${host}`).digest('hex');

/**
 * Tells whether a host is one of the few that a duty falls to. All hosts that read the same list
 * agree, and another duty falls to others.
 * @param count hosts that share the duty
 */
export function isRanked(
  hosts: readonly ListedHost[],
  self: string,
  duty: string,
  count: number,
): boolean {
  const own = rankOf(duty, self);
  const before = hosts.filter(
    ({ name, state }) => name !== self && state === HOST_STATE.LIVE && rankOf(duty, name) < own,
  );
  return before.length < count;
}
