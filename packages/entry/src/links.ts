/** Links from one host to other hosts of its fleet. */
import type { Socket } from 'node:net';
import type { Clock } from '@bulrushspar/clock';
import type { Logger } from '@bulrushspar/logging';
import {
  createPeerNetwork,
  type Link,
  type PeerAddress,
  type PeerHandlers,
  type PeerNetwork,
} from '@bulrushspar/peer';
import type { Incarnation, ObjectStore } from '@bulrushspar/store';
import { readSecret, registerHost, restoreSecret, type OwnRecord } from './group.js';

/** Links of one host; they open once the shared secret has been read from the store. */
export interface FleetLinks {
  all(): readonly Link[];
  linkTo(host: string): Link | undefined;
  /**
   * Sets the hosts to keep links to.
   * @param known hosts whose incoming links are kept as well
   */
  connectTo(peers: readonly PeerAddress[], known: ReadonlySet<string>): void;
  /** Listens for links and writes this host's record; resolves once the record is written. */
  open(): Promise<void>;
  /** Opens a connection to a server through another host; rejects if that one does not reach it. */
  openTunnel(peer: PeerAddress, target: string, signal: AbortSignal): Promise<Socket>;
  /** Writes this host's record again. */
  register(): Promise<void>;
  /** Writes the shared secret again if the store has lost it; accepts the store's one from now on. */
  restoreSecret(): Promise<void>;
  close(): Promise<void>;
}

/** Options of {@link createFleetLinks}. */
export interface FleetLinksOptions {
  readonly self: Incarnation;
  readonly record: OwnRecord;
  /** Whether this host, and not the other one, opens the link between the two. */
  readonly dials: (host: string) => boolean;
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly handlers: PeerHandlers;
  readonly onLink: (link: Link) => void;
  readonly onLost: (host: string) => void;
  /** Opens a connection that another host asks for. */
  readonly openTarget?: (target: string) => Promise<Socket>;
}

/** Time without a message after which a link is closed; spans several state messages. */
const LINK_TIMEOUT_MILLISECONDS = 1200;

/** Creates the links of one host; initially none is open. */
export function createFleetLinks(options: FleetLinksOptions): FleetLinks {
  const { self, record, store, clock, logger, handlers, onLink, onLost, openTarget } = options;
  let network: PeerNetwork | undefined;
  let wantedPeers: readonly PeerAddress[] = [];
  let keptHosts: ReadonlySet<string> = new Set();
  const storeOptions = { store, clock, logger };
  /** Accepted secrets; the first is the one that this host has started with. */
  const secrets: string[] = [];

  const all = (): readonly Link[] => network?.getLinks() ?? [];

  const connect = (): void =>
    network?.connectTo(wantedPeers, {
      shouldDial: options.dials,
      shouldKeep: (host) => keptHosts.has(host),
    });

  const register = (): Promise<void> => registerHost(storeOptions, self, record);

  return {
    all,
    linkTo: (host) => network?.getLink(host),
    connectTo: (peers, knownHosts) => {
      wantedPeers = peers;
      keptHosts = knownHosts;
      connect();
    },
    open: async () => {
      secrets.push(await readSecret(storeOptions));
      network = createPeerNetwork({
        self,
        secrets,
        clock,
        handlers,
        ...(openTarget ? { openTarget } : {}),
        silenceTimeoutMilliseconds: LINK_TIMEOUT_MILLISECONDS,
        onLinkOpened: (link) => {
          logger.info('link opened', { peer: link.peer.host });
          onLink(link);
        },
        onLinkLost: ({ host }) => {
          logger.warn('link lost', { peer: host });
          onLost(host);
        },
      });
      await network.listen(record.address, record.port);
      connect();
      await register();
    },
    openTunnel: (peer, target, signal) =>
      network
        ? network.openTunnel(peer, target, signal)
        : Promise.reject(new Error('the links of this host are not open yet')),
    register,
    restoreSecret: async () => {
      const [secret] = secrets;
      if (secret === undefined) return;
      const current = await restoreSecret(storeOptions, secret);
      if (!secrets.includes(current)) secrets.push(current);
    },
    close: async () => {
      await network?.close();
    },
  };
}
