/** Links of one host to all others of its fleet. */
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
import { joinGroup, readSecret } from './group.js';

/** Links that open once the store has told the group's secret. */
export interface FleetLinks {
  all(): readonly Link[];
  to(host: string): Link | undefined;
  broadcast(type: string, body: unknown): void;
  /** Keeps links to these hosts. */
  connectTo(peers: readonly PeerAddress[]): void;
  /** Listens, and writes where; resolves once the others can find this host. */
  open(): Promise<void>;
  close(): Promise<void>;
}

/** Options of {@link createFleetLinks}. */
export interface FleetLinksOptions {
  readonly self: Incarnation;
  readonly address: string;
  readonly port: number;
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly handlers: PeerHandlers;
  readonly onLink: (link: Link) => void;
  readonly onLost: (host: string) => void;
}

/** Silence after which a link counts as broken: several states of the other host. */
const LINK_SILENCE_MILLISECONDS = 1200;

/** Creates the links of one host; none is open at first. */
export function createFleetLinks(options: FleetLinksOptions): FleetLinks {
  const { self, address, port, store, clock, logger, handlers, onLink, onLost } = options;
  let network: PeerNetwork | undefined;
  let wanted: readonly PeerAddress[] = [];

  const all = (): readonly Link[] => network?.links() ?? [];

  return {
    all,
    to: (host) => network?.link(host),
    broadcast: (type, body) => all().forEach((link) => link.send(type, body)),
    connectTo: (peers) => {
      wanted = peers;
      network?.connectTo(peers);
    },
    open: async () => {
      const group = { store, clock, logger };
      const secret = await readSecret(group);
      network = createPeerNetwork({
        self,
        secrets: [secret],
        clock,
        handlers,
        silenceMilliseconds: LINK_SILENCE_MILLISECONDS,
        onLink: (link) => {
          logger.info('link opened', { peer: link.peer.host });
          onLink(link);
        },
        onLost: ({ host }) => {
          logger.warn('link lost', { peer: host });
          onLost(host);
        },
      });
      await network.listen(address, port);
      network.connectTo(wanted);
      await joinGroup(group, self, address, port);
    },
    close: async () => {
      await network?.close();
    },
  };
}
