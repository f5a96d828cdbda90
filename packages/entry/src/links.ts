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
import { joinGroup, readSecret, type OwnRecord } from './group.js';

/** Links that open once the store has told the group's secret. */
export interface FleetLinks {
  all(): readonly Link[];
  to(host: string): Link | undefined;
  broadcast(type: string, body: unknown): void;
  /** Keeps links to these hosts, and those that other known hosts have opened. */
  connectTo(peers: readonly PeerAddress[], known: ReadonlySet<string>): void;
  /** Listens, and writes where; resolves once the others can find this host. */
  open(): Promise<void>;
  /** Writes again where this host listens. */
  join(): Promise<void>;
  close(): Promise<void>;
}

/** Options of {@link createFleetLinks}. */
export interface FleetLinksOptions {
  readonly self: Incarnation;
  readonly record: OwnRecord;
  /** Tells whether this host opens the link to another one, and not the other way round. */
  readonly dials: (host: string) => boolean;
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
  const { self, record, store, clock, logger, handlers, onLink, onLost } = options;
  let network: PeerNetwork | undefined;
  let wanted: readonly PeerAddress[] = [];
  let known: ReadonlySet<string> = new Set();
  const group = { store, clock, logger };

  const all = (): readonly Link[] => network?.links() ?? [];

  const connect = (): void =>
    network?.connectTo(wanted, { dials: options.dials, keeps: (host) => known.has(host) });

  const join = (): Promise<void> => joinGroup(group, self, record);

  return {
    all,
    to: (host) => network?.link(host),
    broadcast: (type, body) => all().forEach((link) => link.send(type, body)),
    connectTo: (peers, knownHosts) => {
      wanted = peers;
      known = knownHosts;
      connect();
    },
    open: async () => {
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
      await network.listen(record.address, record.port);
      connect();
      await join();
    },
    join,
    close: async () => {
      await network?.close();
    },
  };
}
