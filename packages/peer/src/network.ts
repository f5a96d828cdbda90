import { createServer, type Server } from 'node:http';
import type { Socket } from 'node:net';
import { WebSocket, WebSocketServer } from 'ws';
import type { Clock } from '@bulrushspar/clock';
import { boundInput, dropBody } from '@bulrushspar/routing';
import type { Incarnation } from '@bulrushspar/store';
import { createConnection, type Connection, type Traffic } from './connection.js';
import { ROLE, performHandshake, type Role } from './handshake.js';
import { createLink, type Link, type PeerHandlers } from './link.js';
import { openTunnel, serveTunnels } from './tunnel.js';

/** Address at which another node listens for links. */
export interface PeerAddress {
  readonly host: string;
  readonly address: string;
  readonly port: number;
}

/** Decides which links a node opens and which it keeps. */
export interface LinkPolicy {
  /** Whether this node dials the host; by default the host whose name sorts first dials. */
  readonly shouldDial?: (host: string) => boolean;
  /** Whether an open link to the host stays open; by default only links to the given peers do. */
  readonly shouldKeep?: (host: string) => boolean;
}

/** The links of one node to other nodes. */
export interface PeerNetwork {
  listen(address: string, port: number): Promise<void>;
  /** Maintains links to these peers and closes links that the policy rejects. */
  connectTo(peers: readonly PeerAddress[], policy?: LinkPolicy): void;
  getLinks(): readonly Link[];
  getLink(host: string): Link | undefined;
  /** Opens a connection to a target through a peer; rejects if the peer does not reach the target. */
  openTunnel(peer: PeerAddress, target: string, signal: AbortSignal): Promise<Socket>;
  readonly traffic: Readonly<Traffic>;
  close(): Promise<void>;
}

/** Options of {@link createPeerNetwork}. */
export interface PeerNetworkOptions {
  readonly self: Incarnation;
  /** Shared secrets for authentication; each is accepted, so that secrets can be rotated. */
  readonly secrets: readonly string[];
  readonly clock: Clock;
  readonly handlers: PeerHandlers;
  readonly onLinkOpened?: (link: Link) => void;
  readonly onLinkLost?: (peer: Incarnation) => void;
  /** Opens a connection that another node asks for; without it such requests are refused. */
  readonly openTarget?: (target: string) => Promise<Socket>;
  /** Called when the authentication of the other end fails; once until it next succeeds. */
  readonly onAuthenticationFailed?: (address: string) => void;
  /** Time without a message after which a link counts as broken, in milliseconds. */
  readonly silenceTimeoutMilliseconds?: number;
  /** Minimum delay between connection attempts, in milliseconds; random jitter at most doubles it. */
  readonly reconnectDelayMilliseconds?: number;
}

const MAX_MESSAGE_BYTES = 4_000_000;
const CONNECT_TIMEOUT_MILLISECONDS = 2000;
const UPGRADE_REQUIRED = 426;
/** Most bytes of the body of a request that is no upgrade, before its connection is closed. */
const MAX_BODY_BYTES = 4096;

const formatPeerUrl = ({ address, port }: PeerAddress): string =>
  address.includes(':') ? `ws://[${address}]:${port}` : `ws://${address}:${port}`;

/** Creates the peer network of one node. */
export function createPeerNetwork(options: PeerNetworkOptions): PeerNetwork {
  const { self, secrets, clock, handlers } = options;
  const {
    onLinkOpened = () => {},
    onLinkLost = () => {},
    onAuthenticationFailed = () => {},
    openTarget = () => Promise.reject(new Error('this node opens no connections for others')),
  } = options;
  const { silenceTimeoutMilliseconds = 3000, reconnectDelayMilliseconds = 250 } = options;
  const traffic: Traffic = { messages: 0, bytes: 0, dropped: 0 };
  const links = new Map<string, Link>();
  const dialControllers = new Map<string, AbortController>();
  const unauthenticatedRemotes = new Set<string>();
  let server: Server | undefined;
  let closed = false;

  /** Runs one connection from the handshake until it closes. */
  const runConnection = async (connection: Connection, role: Role, remote: string) => {
    const peer = await performHandshake(connection, role, self, secrets);
    if (!peer || closed) {
      connection.close();
      if (!closed && !unauthenticatedRemotes.has(remote)) onAuthenticationFailed(remote);
      unauthenticatedRemotes.add(remote);
      return;
    }
    const link = createLink({
      connection,
      peer,
      handlers,
      clock,
      silenceTimeoutMilliseconds,
    });
    unauthenticatedRemotes.delete(remote);
    links.get(peer.host)?.close();
    links.set(peer.host, link);
    onLinkOpened(link);
    await link.run();
    if (links.get(peer.host) !== link) return;
    links.delete(peer.host);
    onLinkLost(peer);
  };

  const connectOnce = async (peer: PeerAddress): Promise<void> => {
    const socket = new WebSocket(formatPeerUrl(peer), {
      handshakeTimeout: CONNECT_TIMEOUT_MILLISECONDS,
      maxPayload: MAX_MESSAGE_BYTES,
      perMessageDeflate: false,
    });
    // Attaches the message handler before the socket opens: the other end sends its hello at once.
    const connection = createConnection(socket, clock, traffic);
    await new Promise<void>((resolve, reject) => {
      socket.once('open', resolve);
      socket.once('error', reject);
    });
    await runConnection(connection, ROLE.DIALLER, peer.host);
  };

  /** Connects to one peer again and again until the signal is aborted. */
  const reconnectUntilAborted = async (peer: PeerAddress, signal: AbortSignal): Promise<void> => {
    while (!signal.aborted) {
      // eslint-disable-next-line no-await-in-loop -- one connection attempt at a time
      await connectOnce(peer).catch(() => {});
      // eslint-disable-next-line no-await-in-loop -- one connection attempt at a time
      await clock.delay(reconnectDelayMilliseconds * (1 + Math.random()), signal);
    }
  };

  const getPeerKey = (peer: PeerAddress): string => `${peer.host} ${formatPeerUrl(peer)}`;

  const startDialling = (peer: PeerAddress): void => {
    if (dialControllers.has(getPeerKey(peer))) return;
    const controller = new AbortController();
    dialControllers.set(getPeerKey(peer), controller);
    reconnectUntilAborted(peer, controller.signal).catch(() => {});
  };

  return {
    listen: (address, port) =>
      new Promise((resolve, reject) => {
        server = createServer((request, response) => {
          dropBody(request, MAX_BODY_BYTES);
          response.writeHead(UPGRADE_REQUIRED, { connection: 'close' }).end();
        });
        boundInput(server, { allowsUpgrades: true });
        serveTunnels(server, { secrets, openTarget });
        const webSocketServer = new WebSocketServer({
          server,
          maxPayload: MAX_MESSAGE_BYTES,
          perMessageDeflate: false,
        });
        server.once('listening', resolve);
        // The server of the WebSockets passes on the errors of its HTTP server.
        webSocketServer.once('error', reject);
        webSocketServer.on('connection', (socket, { socket: { remoteAddress = 'unknown' } }) => {
          const connection = createConnection(socket, clock, traffic);
          runConnection(connection, ROLE.LISTENER, remoteAddress).catch(() => socket.terminate());
        });
        server.listen(port, address);
      }),
    connectTo: (peers, policy = {}) => {
      const requestedHosts = new Set(peers.map(({ host }) => host));
      const {
        shouldDial = (host) => host > self.host,
        shouldKeep = (host) => requestedHosts.has(host),
      } = policy;
      const peersToDial = peers.filter(({ host }) => host !== self.host && shouldDial(host));
      const keysToDial = new Set(peersToDial.map(getPeerKey));
      [...dialControllers].forEach(([key, controller]) => {
        if (keysToDial.has(key)) return;
        controller.abort();
        dialControllers.delete(key);
      });
      links.forEach((link) => {
        if (!shouldKeep(link.peer.host)) link.close();
      });
      peersToDial.forEach(startDialling);
    },
    getLinks: () => [...links.values()],
    getLink: (host) => links.get(host),
    openTunnel: (peer, target, signal) => {
      const [secret] = secrets;
      if (secret === undefined) return Promise.reject(new Error('no shared secret is known'));
      return openTunnel({ peer, target, secret, signal });
    },
    traffic,
    close: async () => {
      closed = true;
      dialControllers.forEach((controller) => controller.abort());
      links.forEach((link) => link.close());
      await new Promise<void>((resolve) => {
        if (!server) {
          resolve();
          return;
        }
        server.close(() => resolve());
        server.closeAllConnections();
      });
    },
  };
}
