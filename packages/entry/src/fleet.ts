/** This host's place in its fleet: who is linked with whom, and how news reach all. */
import { every, startSlowStopwatch, type Clock, type Stopwatch } from '@bulrushspar/clock';
import { messageOf } from '@bulrushspar/errors';
import type { Logger } from '@bulrushspar/logging';
import type { Link, PeerHandlers } from '@bulrushspar/peer';
import type { Incarnation, ObjectStore, ObjectView } from '@bulrushspar/store';
import { HOST_KIND, hostsOf, type ListedPeer, type OwnRecord } from './group.js';
import { createFleetLinks, type FleetLinks } from './links.js';
import { createTopology, type Topology } from './topology.js';

/** The fleet as one host sees it. */
export interface Fleet {
  readonly topology: Topology;
  readonly links: FleetLinks;
  /** Takes the records of all hosts. */
  takeHosts(view: ObjectView<unknown>): void;
  /** Hosts that contend for a duty before this one, as far as it is linked with them. */
  rank(): number;
  /** Sends to all hosts; hubs pass it on to those that are not linked with this one. */
  broadcast(type: string, body: unknown): void;
  /** Passes what another host has broadcast on to the hosts that rely on this one. */
  passOn(type: string, body: unknown, from: string): void;
  stop(): void;
}

/** Options of {@link createFleet}. */
export interface FleetOptions {
  readonly self: Incarnation;
  readonly record: OwnRecord;
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly handlers: PeerHandlers;
  readonly onLink: (link: Link) => void;
  readonly onLost: (host: string) => void;
  /** The host that gives the orders; all others need a link to it. */
  readonly leader: () => string | undefined;
  readonly reliesOnThis: (host: string) => boolean;
}

/** Time between looks at which links are wanted. */
const LOOK_MILLISECONDS = 250;
/**
 * Time without a link after which the host that gives the orders removes a host's record: far
 * longer than a restart or a partition that hosts come back from.
 */
const GONE_MILLISECONDS = 30_000;
/** Time for which a host's own record may be missing from the view: several pulls. */
const UNLISTED_MILLISECONDS = 3000;

/** Creates the fleet of one host; it knows only this one at first. */
export function createFleet(options: FleetOptions): Fleet {
  const { self, record, store, clock, logger, leader, reliesOnThis } = options;
  const topology = createTopology({ clock, self: self.host });
  let peers: readonly ListedPeer[] = [];
  let versions = new Map<string, number>();
  /** Since when listed hosts have no link to this one. */
  const unlinked = new Map<string, Stopwatch>();
  let unlisted: Stopwatch | undefined;
  let connected = '';

  const links = createFleetLinks({
    self,
    record,
    store,
    clock,
    logger,
    handlers: options.handlers,
    // Between two hubs, and in a small fleet, the host whose name sorts first opens the link.
    dials: (host) =>
      topology.isHub() && topology.hubs().includes(host) ? host > self.host : !topology.isHub(),
    onLink: (link) => {
      topology.noteLink(link.peer.host, true);
      unlinked.delete(link.peer.host);
      options.onLink(link);
    },
    onLost: (host) => {
      topology.noteLink(host, false);
      options.onLost(host);
    },
  });

  const connect = (): void => {
    const wanted = new Set(topology.wanted());
    const first = leader();
    if (first !== undefined && first !== self.host && !topology.isHub()) wanted.add(first);
    const chosen = peers.filter(({ host }) => wanted.has(host));
    const key = `${topology.isHub()} ${chosen.map(({ host, address }) => `${host}@${address}`)} ${peers.length}`;
    if (key === connected) return;
    connected = key;
    links.connectTo(chosen, new Set(peers.map(({ host }) => host)));
  };

  /** Takes part again after a record was removed while this host was away for long. */
  const rejoin = (): void => {
    const isListed = versions.has(self.host);
    if (isListed || versions.size === 0) {
      unlisted = undefined;
      return;
    }
    unlisted ??= startSlowStopwatch(clock);
    if (unlisted() < UNLISTED_MILLISECONDS) return;
    unlisted = undefined;
    logger.info('record of this host is missing', { hosts: versions.size });
    links.join().catch((error: unknown) => {
      logger.warn('joining the group of hosts failed', { error: messageOf(error) });
    });
  };

  const removeGone = (): void => {
    if (leader() !== self.host || !topology.isHub()) {
      unlinked.clear();
      return;
    }
    peers.forEach(({ host }) => {
      if (host === self.host || links.to(host)) return;
      const since = unlinked.get(host) ?? startSlowStopwatch(clock);
      unlinked.set(host, since);
      if (since() < GONE_MILLISECONDS) return;
      unlinked.delete(host);
      logger.info('record of a host removed', { peer: host, unlinkedMilliseconds: since() });
      store.remove({ kind: HOST_KIND, name: host }, versions.get(host)!).catch((error: unknown) => {
        logger.warn('record of a host not removed', { peer: host, error: messageOf(error) });
      });
    });
  };

  const stop = every(clock, LOOK_MILLISECONDS, () => {
    connect();
    rejoin();
    removeGone();
  });

  return {
    topology,
    links,
    takeHosts: (view) => {
      peers = hostsOf(view);
      versions = new Map([...view.values()].map(({ name, version }) => [name, version]));
      [...unlinked.keys()].forEach((host) => {
        if (!versions.has(host)) unlinked.delete(host);
      });
      topology.update(peers);
      connect();
    },
    rank: () => {
      const own = topology.rankOf(self.host);
      const better = links.all().filter(({ peer }) => topology.rankOf(peer.host) < own).length;
      // A host that is not linked with all contends after the hubs, at a time of its own.
      return topology.isHub() ? better : Math.max(better, own);
    },
    broadcast: links.broadcast,
    passOn: (type, body, from) => {
      // What a hub sends reaches all hosts directly.
      if (topology.hubs().includes(from)) return;
      links
        .all()
        .filter(({ peer }) => peer.host !== from && reliesOnThis(peer.host))
        .forEach((link) => link.send(type, body));
    },
    stop,
  };
}
