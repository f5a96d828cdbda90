import { createHash } from 'node:crypto';
import { startStopwatch, type Clock, type Stopwatch } from '@bulrushspar/clock';

/** Properties of a host that determine its rank in the fleet. */
export interface HostPlace {
  readonly host: string;
  readonly failureDomain: string;
  /** Processor that the host has, in cores. */
  readonly cores: number;
}

/**
 * Determines which hosts of a fleet are linked. A small fleet is a full mesh. In a larger one the
 * hubs are a full mesh, and each other host is a member of one hub and links to another one as its
 * standby. A hub passes the states of its members on to the other hubs and sends summaries of all
 * states back, so that the messages of a host do not grow with the fleet.
 */
export interface Topology {
  update(places: readonly HostPlace[]): void;
  setLinked(host: string, linked: boolean): void;
  /** Hosts to which this hub wants a link and has had none for some time. */
  unreachablePeers(): readonly string[];
  /** Sets the hosts that are unreachable according to the primary hub of this host. */
  setReportedUnreachable(hosts: readonly string[]): void;
  /** Rank of a host; hubs rank first, 0 is the best, Infinity an unknown host. */
  rankOf(host: string): number;
  /**
   * Rank of this host among those that contend for the lease for orders. Hosts that are not hubs
   * come first, since each of the two duties takes much of a host.
   */
  rankForOrders(): number;
  /** Current hubs, as seen by this host. */
  hubs(): readonly string[];
  /** Whether this host is a hub, which receives the states of all others. */
  isHub(): boolean;
  /** Whether every host is linked to every other one, so that all of them count as hubs. */
  isMeshed(): boolean;
  /** Hubs in the order in which this host prefers them: own failure domain first, spread evenly. */
  preferredHubs(): readonly string[];
  /**
   * Hosts to which this one opens and keeps links.
   * @param needsAllHubs whether this host needs the states of all hosts, although it is not a hub
   */
  peersToLink(needsAllHubs?: boolean): ReadonlySet<string>;
  /** Whether a host is in the failure domain of this one. */
  isInOwnFailureDomain(host: string): boolean;
  /** Number of hosts in the fleet, this one included. */
  size(): number;
}

/** Options of {@link createTopology}. */
export interface TopologyOptions {
  readonly clock: Clock;
  readonly self: string;
  /** Largest fleet that is a full mesh. */
  readonly maxMeshedHosts?: number;
  /** Time without a link after which a hub is replaced by another host, in milliseconds. */
  readonly downAfterMilliseconds?: number;
}

/** Minimum number of hubs of a partial mesh: one can fail while another is being replaced. */
const MIN_HUBS = 3;
/**
 * Number of hubs, in multiples of the square root of the fleet size. A hub exchanges messages with
 * its members and with the other hubs; the sum is smallest near the square root.
 */
const HUBS_PER_ROOT_HOST = 1 / 2;
/** Number of hosts that contend for the lease for orders before the hubs do. */
const HOSTS_BEFORE_HUBS = 3;
/** Number of hubs that a host other than a hub is linked to: its primary hub and a standby. */
const HUBS_PER_MEMBER = 2;
/**
 * Time for which the hubs are not checked for being unreachable again. They are asked for with each
 * message, and a hub is replaced only after a much longer time without a link.
 */
const HUBS_CHECK_MILLISECONDS = 50;

/** Hubs of a partial mesh. */
interface CachedHubs {
  /** Unreachable hosts, joined. */
  readonly key: string;
  /** Time on the monotonic clock at which the unreachable hosts were last determined. */
  readonly checkedAt: number;
  readonly hubs: readonly string[];
  readonly positions: ReadonlyMap<string, number>;
}

const compareText = (a: string, b: string): number => Number(a > b) - Number(a < b);

/**
 * Orders hosts by descending number of cores. Hosts with equally many cores alternate between the
 * failure domains, so that the first few are not all in the same one.
 */
export function rankHosts(places: readonly HostPlace[]): readonly string[] {
  const hostsByDomain = new Map<string, number>();
  return [...places]
    .sort((a, b) => b.cores - a.cores || compareText(a.host, b.host))
    .map(({ host, failureDomain, cores }) => {
      const key = `${cores} ${failureDomain}`;
      const positionInDomain = hostsByDomain.get(key) ?? 0;
      hostsByDomain.set(key, positionInDomain + 1);
      return { host, failureDomain, cores, positionInDomain };
    })
    .sort(
      (a, b) =>
        b.cores - a.cores ||
        a.positionInDomain - b.positionInDomain ||
        compareText(a.failureDomain, b.failureDomain) ||
        compareText(a.host, b.host),
    )
    .map(({ host }) => host);
}

/** Chooses hubs of all failure domains in turn, each time the best-ranked one of its domain. */
function chooseByDomain(
  ranking: readonly string[],
  domainOf: (host: string) => string,
  count: number,
): readonly string[] {
  const hostsByDomain = new Map<string, string[]>();
  ranking.forEach((host) => {
    const hosts = hostsByDomain.get(domainOf(host));
    if (hosts) hosts.push(host);
    else hostsByDomain.set(domainOf(host), [host]);
  });
  const chosen: string[] = [];
  for (let round = 0; chosen.length < Math.min(count, ranking.length); round += 1) {
    const inRound = [...hostsByDomain.values()].flatMap((hosts) => hosts[round] ?? []);
    chosen.push(...inRound.slice(0, count - chosen.length));
  }
  return chosen;
}

/** Hash of two host names (rendezvous hashing); spreads hosts evenly over the hubs. */
const hashPair = (first: string, second: string): string =>
  createHash('sha256').update(`${first} ${second}`).digest('hex');

/** Creates the topology of a fleet; initially it contains only this host. */
export function createTopology(options: TopologyOptions): Topology {
  const { clock, self, maxMeshedHosts = 16, downAfterMilliseconds = 1500 } = options;
  let ranking: readonly string[] = [self];
  let rankByHost = new Map([[self, 0]]);
  let domainByHost = new Map<string, string>();
  let hubCount = MIN_HUBS;
  const linked = new Set<string>();
  const hashByHost = new Map<string, string>();
  let reportedUnreachable: readonly string[] = [];
  /** Time for which a wanted link has been missing, by host. */
  const unlinkedSince = new Map<string, Stopwatch>();

  const isMeshed = (): boolean => ranking.length <= maxMeshedHosts;

  const isUnreachable = (host: string): boolean => {
    if (host === self || linked.has(host)) return false;
    return (unlinkedSince.get(host)?.() ?? 0) > downAfterMilliseconds;
  };

  const isInOwnFailureDomain = (host: string): boolean =>
    domainByHost.get(host) === domainByHost.get(self);

  const chooseHubs = (candidates: readonly string[]): readonly string[] =>
    chooseByDomain(candidates, (host) => domainByHost.get(host) ?? '', hubCount);

  const unreachablePeers = (): readonly string[] => [...unlinkedSince.keys()].filter(isUnreachable);

  const isReportedOnly = (host: string): boolean => host !== self && !linked.has(host);

  /** Hubs as of the last change of the ranking or of the unreachable hosts. */
  let cached: CachedHubs | undefined;

  const findHubs = (): CachedHubs => {
    const now = clock.monotonic();
    if (cached && now - cached.checkedAt < HUBS_CHECK_MILLISECONDS) return cached;
    const unreachable = [...unreachablePeers(), ...reportedUnreachable.filter(isReportedOnly)];
    const key = unreachable.join(' ');
    if (cached?.key === key) {
      cached = { ...cached, checkedAt: now };
      return cached;
    }
    const candidates = ranking.filter((host) => !unreachable.includes(host));
    const hubsNow = chooseHubs(candidates);
    const positions = new Map(hubsNow.map((host, position) => [host, position]));
    cached = { key, checkedAt: now, hubs: hubsNow, positions };
    return cached;
  };

  const hubs = (): readonly string[] => (isMeshed() ? ranking : findHubs().hubs);
  const positionOf = (host: string): number | undefined =>
    (isMeshed() ? rankByHost : findHubs().positions).get(host);

  /** Has the hubs checked again at their next use. */
  const expireHubs = (): void => {
    if (cached) cached = { ...cached, checkedAt: -Infinity };
  };

  const hashOf = (host: string): string => {
    const hash = hashByHost.get(host) ?? hashPair(self, host);
    hashByHost.set(host, hash);
    return hash;
  };

  const sortByPreference = (hosts: readonly string[]): readonly string[] =>
    [...hosts].sort(
      (a, b) =>
        Number(isInOwnFailureDomain(b)) - Number(isInOwnFailureDomain(a)) ||
        compareText(hashOf(a), hashOf(b)),
    );

  const choosePeers = (needsAllHubs: boolean): readonly string[] => {
    if (isMeshed()) return ranking;
    const reachable = hubs();
    // Keeps connecting to the hubs that are unreachable, so that a recovered hub is linked again.
    const regular = chooseHubs(ranking);
    if (needsAllHubs || reachable.includes(self)) return [...reachable, ...regular];
    return [
      ...sortByPreference(reachable).slice(0, HUBS_PER_MEMBER),
      ...sortByPreference(regular).slice(0, HUBS_PER_MEMBER),
    ];
  };

  return {
    update: (places) => {
      const allPlaces = places.some(({ host }) => host === self)
        ? places
        : [...places, { host: self, failureDomain: domainByHost.get(self) ?? '', cores: 0 }];
      ranking = rankHosts(allPlaces);
      rankByHost = new Map(ranking.map((host, rank) => [host, rank]));
      domainByHost = new Map(allPlaces.map(({ host, failureDomain }) => [host, failureDomain]));
      hubCount = Math.max(
        MIN_HUBS,
        new Set(domainByHost.values()).size,
        Math.ceil(Math.sqrt(ranking.length) * HUBS_PER_ROOT_HOST),
      );
      cached = undefined;
      [...unlinkedSince.keys()].forEach((host) => {
        if (!rankByHost.has(host)) unlinkedSince.delete(host);
      });
    },
    setLinked: (host, isLinked) => {
      expireHubs();
      unlinkedSince.delete(host);
      if (isLinked) linked.add(host);
      else linked.delete(host);
    },
    unreachablePeers,
    setReportedUnreachable: (hosts) => {
      if (hosts.length > 0 || reportedUnreachable.length > 0) expireHubs();
      reportedUnreachable = hosts;
    },
    rankOf: (host) => positionOf(host) ?? hubs().length + (rankByHost.get(host) ?? Infinity),
    rankForOrders: () => {
      const all = hubs();
      const position = all.indexOf(self);
      if (isMeshed()) return all.slice(0, position).filter((host) => linked.has(host)).length;
      if (position >= 0) return HOSTS_BEFORE_HUBS + position;
      return ranking.filter((host) => !all.includes(host)).indexOf(self);
    },
    hubs,
    isHub: () => positionOf(self) !== undefined,
    isMeshed,
    preferredHubs: () => sortByPreference(hubs()),
    peersToLink: (needsAllHubs = false) => {
      const wanted = new Set(choosePeers(needsAllHubs).filter((host) => host !== self));
      wanted.forEach((host) => {
        if (!linked.has(host) && !unlinkedSince.has(host))
          unlinkedSince.set(host, startStopwatch(clock));
      });
      unlinkedSince.forEach((_since, host) => {
        if (!wanted.has(host)) unlinkedSince.delete(host);
      });
      return wanted;
    },
    isInOwnFailureDomain,
    size: () => ranking.length,
  };
}
