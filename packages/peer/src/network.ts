import { WebSocket, WebSocketServer } from 'ws';
import type { Clock } from '@bulrushspar/clock';
import type { Incarnation } from '@bulrushspar/store';
import { createConnection, type Connection, type Traffic } from './connection.js';
import { ROLE, shakeHands, type Role } from './handshake.js';
import { createLink, type Link, type PeerHandlers } from './link.js';

/** Where another node listens for links. */
export interface PeerAddress {
  readonly host: string;
  readonly address: string;
  readonly port: number;
}

/** Which links a node opens and keeps. */
export interface LinkChoice {
  /** This node dials the host; by default the one whose host's name sorts first dials. */
  readonly dials?: (host: string) => boolean;
  /** Keeps a link that the other end has opened; by default those to the wanted nodes. */
  readonly keeps?: (host: string) => boolean;
}

/** Links to other nodes. */
export interface PeerNetwork {
  listen(address: string, port: number): Promise<void>;
  /** Keeps links to these nodes, and drops those to others unless they are kept. */
  connectTo(peers: readonly PeerAddress[], choice?: LinkChoice): void;
  links(): readonly Link[];
  link(host: string): Link | undefined;
  readonly traffic: Readonly<Traffic>;
  close(): Promise<void>;
}

/** Options of {@link createPeerNetwork}. */
export interface PeerNetworkOptions {
  readonly self: Incarnation;
  /** Secrets that prove a node; all are accepted. */
  readonly secrets: readonly string[];
  readonly clock: Clock;
  readonly handlers: PeerHandlers;
  readonly onLink?: (link: Link) => void;
  readonly onLost?: (peer: Incarnation) => void;
  /** Called when the other end could not prove itself, once until it can. */
  readonly onRejected?: (address: string) => void;
  /** Silence after which a link counts as broken, in milliseconds. */
  readonly silenceMilliseconds?: number;
  /** Pause between tries to connect, in milliseconds. */
  readonly pauseMilliseconds?: number;
}

const LARGEST_MESSAGE = 4_000_000;
const CONNECT_MILLISECONDS = 2000;

const urlOf = ({ address, port }: PeerAddress): string =>
  address.includes(':') ? `ws://[${address}]:${port}` : `ws://${address}:${port}`;

/** Creates the network of one node. */
export function createPeerNetwork(options: PeerNetworkOptions): PeerNetwork {
  const { self, secrets, clock, handlers } = options;
  const { onLink = () => {}, onLost = () => {}, onRejected = () => {} } = options;
  const { silenceMilliseconds = 3000, pauseMilliseconds = 250 } = options;
  const traffic: Traffic = { messages: 0, bytes: 0 };
  const links = new Map<string, Link>();
  const dialled = new Map<string, AbortController>();
  const rejected = new Set<string>();
  let server: WebSocketServer | undefined;
  let closed = false;

  /** One connection from its handshake to its end. */
  const runConnection = async (connection: Connection, role: Role, from: string) => {
    const peer = await shakeHands(connection, role, self, secrets);
    if (!peer || closed) {
      connection.close();
      if (!closed && !rejected.has(from)) onRejected(from);
      rejected.add(from);
      return;
    }
    const link = createLink({ connection, peer, handlers, clock, silenceMilliseconds });
    rejected.delete(from);
    links.get(peer.host)?.close();
    links.set(peer.host, link);
    onLink(link);
    await link.run();
    if (links.get(peer.host) !== link) return;
    links.delete(peer.host);
    onLost(peer);
  };

  const dialOnce = async (peer: PeerAddress): Promise<void> => {
    const socket = new WebSocket(urlOf(peer), {
      handshakeTimeout: CONNECT_MILLISECONDS,
      maxPayload: LARGEST_MESSAGE,
      perMessageDeflate: false,
    });
    // Listens before the socket opens: the other end speaks at once.
    const connection = createConnection(socket, clock, traffic);
    await new Promise<void>((resolve, reject) => {
      socket.once('open', resolve);
      socket.once('error', reject);
    });
    await runConnection(connection, ROLE.DIALLER, peer.host);
  };

  /** Keeps one peer connected until the signal. */
  const keepDialling = async (peer: PeerAddress, signal: AbortSignal): Promise<void> => {
    while (!signal.aborted) {
      // eslint-disable-next-line no-await-in-loop -- one connection after another
      await dialOnce(peer).catch(() => {});
      // eslint-disable-next-line no-await-in-loop -- one connection after another
      await clock.delay(pauseMilliseconds * (1 + Math.random()), signal);
    }
  };

  const keyOf = (peer: PeerAddress): string => `${peer.host} ${urlOf(peer)}`;

  const startDialling = (peer: PeerAddress): void => {
    if (dialled.has(keyOf(peer))) return;
    const controller = new AbortController();
    dialled.set(keyOf(peer), controller);
    keepDialling(peer, controller.signal).catch(() => {});
  };

  return {
    listen: (address, port) =>
      new Promise((resolve, reject) => {
        server = new WebSocketServer({
          host: address,
          port,
          maxPayload: LARGEST_MESSAGE,
          perMessageDeflate: false,
        });
        server.once('listening', resolve);
        server.once('error', reject);
        server.on('connection', (socket, { socket: { remoteAddress = 'unknown' } }) => {
          const connection = createConnection(socket, clock, traffic);
          runConnection(connection, ROLE.LISTENER, remoteAddress).catch(() => socket.terminate());
        });
      }),
    connectTo: (peers, choice = {}) => {
      const hosts = new Set(peers.map(({ host }) => host));
      const { dials = (host) => host > self.host, keeps = (host) => hosts.has(host) } = choice;
      const toDial = peers.filter(({ host }) => host !== self.host && dials(host));
      const wanted = new Set(toDial.map(keyOf));
      [...dialled].forEach(([key, controller]) => {
        if (wanted.has(key)) return;
        controller.abort();
        dialled.delete(key);
      });
      links.forEach((link) => {
        if (!keeps(link.peer.host)) link.close();
      });
      toDial.forEach(startDialling);
    },
    links: () => [...links.values()],
    link: (host) => links.get(host),
    traffic,
    close: async () => {
      closed = true;
      dialled.forEach((controller) => controller.abort());
      links.forEach((link) => link.close());
      await new Promise<void>((resolve) => {
        if (server) server.close(() => resolve());
        else resolve();
      });
    },
  };
}
