import type { ConfigurationFollower } from '@bulrushspar/configuration';
import type { Readiness } from '@bulrushspar/gateway';
import { isRanked, type Membership } from '@bulrushspar/membership';
import type { ListedHost } from '@bulrushspar/store';

const MILLISECONDS_PER_SECOND = 1000;
const WATCHERS_PER_DOMAIN = 2;

/** Judges whether this host knows enough to admit requests. */
export interface Freshness {
  /**
   * Nobody among more than half of the fleet has reached the store lately. No change can then be
   * accepted, since whoever accepts one is linked with more than half as well.
   */
  storeDownForAll(): boolean;
  readiness(): Readiness;
}

/** Creates the judgement of one host. */
export function createFreshness(
  follower: ConfigurationFollower,
  membership: Membership,
): Freshness {
  const limitMilliseconds = (): number =>
    follower.current().configuration.hosts.freshness_seconds * MILLISECONDS_PER_SECOND;

  const storeDownForAll = (): boolean => {
    const outage = limitMilliseconds() / 2;
    const heard = membership.heard();
    const most = (heard.length + 1) * 2 > membership.listed().length;
    const away = ({ staleness }: { staleness: number }): boolean =>
      staleness < 0 || staleness > outage;
    return (
      membership.linkedWithMajority() &&
      most &&
      follower.staleness() > outage &&
      heard.every(({ vitals }) => away(vitals))
    );
  };

  return {
    storeDownForAll,
    readiness: () => {
      const { generation } = follower.current();
      if (generation === 0) return { ready: false, why: 'no configuration is known yet' };
      const limit = limitMilliseconds();
      if (follower.staleness() <= limit || storeDownForAll()) return { ready: true };
      const why = `generation ${generation} was not confirmed for ${limit} ms, by the store or a host`;
      return { ready: false, why };
    },
  };
}

/** Tells whether a host is one of the few of its failure domain that watch the store. */
export function isWatcher(hosts: readonly ListedHost[], self: string): boolean {
  const own = hosts.find(({ name }) => name === self);
  if (!own) return true;
  const neighbours = hosts.filter(({ failureDomain }) => failureDomain === own.failureDomain);
  return isRanked(neighbours, self, 'watcher', WATCHERS_PER_DOMAIN);
}
