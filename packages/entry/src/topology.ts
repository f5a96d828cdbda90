import { startStopwatch, type Clock, type Stopwatch } from '@bulrushspar/clock';

/** What the place of a host in the fleet depends on. */
export interface HostPlace {
  readonly host: string;
  readonly failureDomain: string;
  /** Processor that the host has, in cores. */
  readonly cores: number;
}

/**
 * Which hosts of a fleet are linked. In a small fleet all are. In a larger one each host links to a
 * few hubs, which hear every host and tell the others the sums, so that links and messages grow
 * with the number of hosts and not with its square.
 */
export interface Topology {
  update(places: readonly HostPlace[]): void;
  noteLink(host: string, linked: boolean): void;
  /** Place of a host in the order that all hosts agree on; 0 is the best, and Infinity unknown. */
  rankOf(host: string): number;
  /** Hosts that are hubs now, as far as this one can tell. */
  hubs(): readonly string[];
  /** This host hears all others directly. */
  isHub(): boolean;
  /** Hosts to which this one keeps links. */
  wanted(): ReadonlySet<string>;
  /** A hub in this host's own failure domain, or any. */
  isNear(host: string): boolean;
  size(): number;
}

/** Options of {@link createTopology}. */
export interface TopologyOptions {
  readonly clock: Clock;
  readonly self: string;
  /** Largest fleet in which every host is linked to every other one. */
  readonly mostMeshed?: number;
  /** Time without a link after which another host takes a hub's place, in milliseconds. */
  readonly downMilliseconds?: number;
}

/** Fewest hubs of a fleet that is not meshed: one may fail while another is replaced. */
const LEAST_HUBS = 3;
/** Most hubs; each hears every host, so more of them cost more than they carry. */
const MOST_HUBS = 5;

const compareText = (a: string, b: string): number => Number(a > b) - Number(a < b);

/**
 * Orders hosts: the strongest first, and among equals in turn over the failure domains, so that the
 * first few never stand in one of them.
 */
export function rankHosts(places: readonly HostPlace[]): readonly string[] {
  const inDomain = new Map<string, number>();
  return [...places]
    .sort((a, b) => b.cores - a.cores || compareText(a.host, b.host))
    .map(({ host, failureDomain, cores }) => {
      const key = `${cores} ${failureDomain}`;
      const turn = inDomain.get(key) ?? 0;
      inDomain.set(key, turn + 1);
      return { host, failureDomain, cores, turn };
    })
    .sort(
      (a, b) =>
        b.cores - a.cores ||
        a.turn - b.turn ||
        compareText(a.failureDomain, b.failureDomain) ||
        compareText(a.host, b.host),
    )
    .map(({ host }) => host);
}

/** Creates the topology of a fleet of which only this host is known. */
export function createTopology(options: TopologyOptions): Topology {
  const { clock, self, mostMeshed = 16, downMilliseconds = 1500 } = options;
  let ranking: readonly string[] = [self];
  let ranks = new Map([[self, 0]]);
  let domains = new Map<string, string>();
  let hubCount = LEAST_HUBS;
  const linked = new Set<string>();
  /** Since when a link is missing that this host wants. */
  const missing = new Map<string, Stopwatch>();

  const isMeshed = (): boolean => ranking.length <= mostMeshed;

  const isDown = (host: string): boolean => {
    if (host === self || linked.has(host)) return false;
    return (missing.get(host)?.() ?? 0) > downMilliseconds;
  };

  /** The hubs, and the hosts before them in rank that are down. */
  const chooseHubs = () => {
    const hubs: string[] = [];
    const down: string[] = [];
    for (const host of ranking) {
      if (hubs.length >= hubCount) break;
      if (isDown(host)) down.push(host);
      else hubs.push(host);
    }
    return { hubs, down };
  };

  const hubs = (): readonly string[] => (isMeshed() ? ranking : chooseHubs().hubs);

  return {
    update: (places) => {
      const known = places.some(({ host }) => host === self)
        ? places
        : [...places, { host: self, failureDomain: domains.get(self) ?? '', cores: 0 }];
      ranking = rankHosts(known);
      ranks = new Map(ranking.map((host, rank) => [host, rank]));
      domains = new Map(known.map(({ host, failureDomain }) => [host, failureDomain]));
      hubCount = Math.min(MOST_HUBS, Math.max(LEAST_HUBS, new Set(domains.values()).size));
      [...missing.keys()].forEach((host) => {
        if (!ranks.has(host)) missing.delete(host);
      });
    },
    noteLink: (host, isLinked) => {
      missing.delete(host);
      if (isLinked) linked.add(host);
      else linked.delete(host);
    },
    rankOf: (host) => ranks.get(host) ?? Infinity,
    hubs,
    isHub: () => hubs().includes(self),
    wanted: () => {
      const chosen = isMeshed() ? { hubs: ranking, down: [] } : chooseHubs();
      // Hosts that are down are tried on, so that a hub that returns is found again.
      const wanted = new Set([...chosen.hubs, ...chosen.down].filter((host) => host !== self));
      wanted.forEach((host) => {
        if (!linked.has(host) && !missing.has(host)) missing.set(host, startStopwatch(clock));
      });
      return wanted;
    },
    isNear: (host) => domains.get(host) === domains.get(self),
    size: () => ranking.length,
  };
}
