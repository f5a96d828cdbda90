import type { ConfigurationFollower } from '@bulrushspar/configuration';
import type { Readiness } from '@bulrushspar/gateway';
import { isAssignedRole, type Membership } from '@bulrushspar/membership';
import type { ListedHost } from '@bulrushspar/store';

const MILLISECONDS_PER_SECOND = 1000;
const WATCHERS_PER_FAILURE_DOMAIN = 2;

/** Decides whether this host's configuration is fresh enough to admit requests. */
export interface FreshnessMonitor {
  /**
   * Returns whether no host of a majority (this host and those with recent vitals) has had its
   * configuration confirmed by the store within half of the freshness limit. No change can be
   * accepted then: a host that accepts one must itself be linked with a majority, and two
   * majorities share at least one host.
   */
  isStoreUnreachableForAll(): boolean;
  /** Returns whether this host may admit requests, and if not, why. */
  getReadiness(): Readiness;
}

/** Creates the freshness monitor of one host. */
export function createFreshnessMonitor(
  follower: ConfigurationFollower,
  membership: Membership,
): FreshnessMonitor {
  const getLimitMilliseconds = (): number =>
    follower.current().configuration.hosts.freshness_seconds * MILLISECONDS_PER_SECOND;

  const isStoreUnreachableForAll = (): boolean => {
    const outageMilliseconds = getLimitMilliseconds() / 2;
    const heardVitals = membership.recentHeartbeats();
    const hasMajorityVitals = (heardVitals.length + 1) * 2 > membership.listed().length;
    const isStoreUnreachable = ({ staleness }: { staleness: number }): boolean =>
      staleness < 0 || staleness > outageMilliseconds;
    return (
      membership.isLinkedWithMajority() &&
      hasMajorityVitals &&
      follower.staleness() > outageMilliseconds &&
      heardVitals.every(({ report }) => isStoreUnreachable(report))
    );
  };

  return {
    isStoreUnreachableForAll,
    getReadiness: () => {
      const { generation } = follower.current();
      if (generation === 0) return { ready: false, why: 'no configuration has been received yet' };
      const limitMilliseconds = getLimitMilliseconds();
      if (follower.staleness() <= limitMilliseconds || isStoreUnreachableForAll())
        return { ready: true };
      const why = `generation ${generation} was not confirmed for ${limitMilliseconds} ms, by the store or a host`;
      return { ready: false, why };
    },
  };
}

/**
 * Returns whether a host is one of the {@link WATCHERS_PER_FAILURE_DOMAIN} hosts of its failure
 * domain that watch the store. A host that isn't listed yet watches it as well.
 */
export function isWatcher(hosts: readonly ListedHost[], self: string): boolean {
  const ownHost = hosts.find(({ name }) => name === self);
  if (!ownHost) return true;
  const domainHosts = hosts.filter(({ failureDomain }) => failureDomain === ownHost.failureDomain);
  return isAssignedRole(domainHosts, self, 'watcher', WATCHERS_PER_FAILURE_DOMAIN);
}
