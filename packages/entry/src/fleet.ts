/** Membership of one host in its fleet: links to other hosts, and relayed broadcasts. */
import type { Socket } from 'node:net';
import {
  runPeriodically,
  startMonotonicStopwatch,
  type Clock,
  type Stopwatch,
} from '@bulrushspar/clock';
import { errorMessage } from '@bulrushspar/errors';
import type { Logger } from '@bulrushspar/logging';
import { sendToAll, type Link, type PeerHandlers } from '@bulrushspar/peer';
import type { Incarnation, ObjectStore, ObjectView } from '@bulrushspar/store';
import { HOST_KIND, parseHostRecords, type ListedPeer, type OwnRecord } from './group.js';
import { createFleetLinks, type FleetLinks } from './links.js';
import type { Relayed } from './messages.js';
import { createTopology, type Topology } from './topology.js';

/** Fleet as seen by one host. */
export interface Fleet {
  readonly topology: Topology;
  readonly links: FleetLinks;
  /** @returns the other hosts with a record */
  otherHosts(): readonly ListedPeer[];
  /** Replaces the records of all hosts. */
  updateHosts(view: ObjectView<unknown>): void;
  /** Keeps the hosts whose records the store has lost until they have written them again. */
  recordRollback(): void;
  /** Number of hosts that contend for the lease for orders before this one. */
  contentionRank(): number;
  /** Sends a message to all hosts; hubs relay it to hosts that are not linked to this one. */
  broadcast(type: string, body: unknown): void;
  /** Relays another host's broadcast to the members of this hub, and to the other hubs. */
  relay(type: string, body: Relayed, from: string): void;
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
  readonly random?: () => number;
  readonly onLink: (link: Link) => void;
  readonly onLost: (host: string) => void;
  /** The host that sends the orders; it needs the states of all others. */
  readonly leader: () => string | undefined;
  /** Whether a host has reported its state recently, to this host or to a hub. */
  readonly hasReported: (host: string) => boolean;
  /** Whether a host receives broadcasts through this one. */
  readonly needsRelay: (host: string) => boolean;
  /** Hub through which this host reaches the others; undefined for a hub. */
  readonly primaryHub: () => string | undefined;
  /** Opens a connection to a server that another host asks for. */
  readonly openTarget?: (target: string) => Promise<Socket>;
}

/** Interval of the checks for missing links, own record and hosts without reports. */
const CHECK_INTERVAL_MILLISECONDS = 250;
/**
 * Time without a report after which the leader removes a host's record; far longer than a restart or
 * a temporary partition.
 */
const RECORD_REMOVAL_MILLISECONDS = 30_000;
/** Time for which a host's own record may be missing from the view; spans several pulls. */
const MAX_UNLISTED_MILLISECONDS = 3000;

/** Time after a restoration of the store in which hosts write their records again. */
const ROLLBACK_GRACE_MILLISECONDS = 10_000;
/** Time over which hosts spread their calls after a restoration of the store. */
const RESTORATION_SPREAD_MILLISECONDS = 2000;

/** Creates the fleet; initially it contains only this host. */
export function createFleet(options: FleetOptions): Fleet {
  const { self, record, store, clock, logger, leader } = options;
  const { hasReported, needsRelay, primaryHub } = options;
  const topology = createTopology({ clock, self: self.host });
  let peers: readonly ListedPeer[] = [];
  let versionByHost = new Map<string, number>();
  /** Whether a list of the records has been received; it may be empty in a restored store. */
  let hasView = false;
  /** Time without a report, by listed host. */
  const unreportedSince = new Map<string, Stopwatch>();
  let sinceUnlisted: Stopwatch | undefined;
  let sinceRollback: Stopwatch | undefined;
  const { random = Math.random } = options;
  let connectedKey = '';

  const links = createFleetLinks({
    self,
    record,
    store,
    clock,
    logger,
    handlers: options.handlers,
    ...(options.openTarget ? { openTarget: options.openTarget } : {}),
    // Between two hubs, and in a full mesh, the host whose name sorts first opens the link.
    dials: (host) =>
      topology.isHub() && topology.hubs().includes(host) ? host > self.host : !topology.isHub(),
    onLink: (link) => {
      topology.setLinked(link.peer.host, true);
      options.onLink(link);
    },
    onLost: (host) => {
      topology.setLinked(host, false);
      options.onLost(host);
    },
  });

  const connect = (): void => {
    const wanted = topology.peersToLink(leader() === self.host);
    const chosen = peers.filter(({ host }) => wanted.has(host));
    const key = `${topology.isHub()} ${chosen.map(({ host, address }) => `${host}@${address}`)} ${peers.length}`;
    if (key === connectedKey) return;
    connectedKey = key;
    links.connectTo(chosen, new Set(peers.map(({ host }) => host)));
  };

  /** Writes the own record again if it was removed while this host was unreachable. */
  const registerIfUnlisted = (): void => {
    const isListed = versionByHost.has(self.host);
    if (isListed || !hasView) {
      sinceUnlisted = undefined;
      return;
    }
    sinceUnlisted ??= startMonotonicStopwatch(clock);
    if (sinceUnlisted() < MAX_UNLISTED_MILLISECONDS) return;
    sinceUnlisted = undefined;
    logger.info('record of this host is missing, writing it again', { hosts: versionByHost.size });
    links.register().catch((error: unknown) => {
      logger.warn('writing the record of this host failed', { error: errorMessage(error) });
    });
  };

  const removeUnreportedRecords = (): void => {
    if (leader() !== self.host) {
      unreportedSince.clear();
      return;
    }
    peers.forEach(({ host }) => {
      if (host === self.host || hasReported(host)) {
        unreportedSince.delete(host);
        return;
      }
      const since = unreportedSince.get(host) ?? startMonotonicStopwatch(clock);
      unreportedSince.set(host, since);
      if (since() < RECORD_REMOVAL_MILLISECONDS) return;
      unreportedSince.delete(host);
      logger.info('record of a host removed', {
        peer: host,
        unreportedMilliseconds: Math.round(since()),
      });
      store
        .remove({ kind: HOST_KIND, name: host }, versionByHost.get(host)!)
        .catch((error: unknown) => {
          logger.warn('removing the record of a host failed', {
            peer: host,
            error: errorMessage(error),
          });
        });
    });
  };

  const stop = runPeriodically(clock, CHECK_INTERVAL_MILLISECONDS, () => {
    connect();
    registerIfUnlisted();
    removeUnreportedRecords();
  });

  /** Returns the known hosts that are missing in a list of the store that has been restored. */
  const findLostPeers = (listed: readonly ListedPeer[]): readonly ListedPeer[] => {
    if (!sinceRollback || sinceRollback() > ROLLBACK_GRACE_MILLISECONDS) return [];
    const names = new Set(listed.map(({ host }) => host));
    return peers.filter(({ host }) => !names.has(host));
  };

  return {
    topology,
    links,
    otherHosts: () => peers.filter(({ host }) => host !== self.host),
    recordRollback: () => {
      sinceRollback = startMonotonicStopwatch(clock);
      clock.after(random() * RESTORATION_SPREAD_MILLISECONDS, () => {
        links.restoreSecret().catch((error: unknown) => {
          logger.warn('restoring the secret for links failed', { error: errorMessage(error) });
        });
      });
      clock.after(ROLLBACK_GRACE_MILLISECONDS + 1, () => {
        peers = peers.filter(({ host }) => versionByHost.has(host));
        topology.update(peers);
        connect();
      });
    },
    updateHosts: (view) => {
      hasView = true;
      const listed = parseHostRecords(view);
      peers = [...listed, ...findLostPeers(listed)];
      versionByHost = new Map([...view.values()].map(({ name, version }) => [name, version]));
      [...unreportedSince.keys()].forEach((host) => {
        if (!versionByHost.has(host)) unreportedSince.delete(host);
      });
      topology.update(peers);
      connect();
    },
    contentionRank: topology.rankForOrders,
    broadcast: (type, body) => {
      const primary = primaryHub();
      const hub = primary === undefined ? undefined : links.linkTo(primary);
      const all = links.all();
      const hubs = new Set(topology.hubs());
      if (hub) hub.send(type, body);
      else if (!topology.isHub()) sendToAll(all, type, body);
      else {
        // The other hosts receive it from their own hubs.
        const receivers = all.filter(({ peer }) => hubs.has(peer.host) || needsRelay(peer.host));
        sendToAll(receivers, type, body);
      }
    },
    relay: (type, body, from) => {
      const members = links.all().filter(({ peer }) => peer.host !== from && needsRelay(peer.host));
      sendToAll(members, type, body);
      // In a full mesh, and from a hub, a broadcast has reached all hubs.
      if (!topology.isHub() || body.isRelayed || topology.hubs().includes(from)) return;
      const hubs = new Set(topology.hubs());
      sendToAll(
        links.all().filter(({ peer }) => hubs.has(peer.host)),
        type,
        { ...body, isRelayed: true },
      );
    },
    stop,
  };
}
