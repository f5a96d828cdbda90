/** Connections to servers that one node passes on for another, by the CONNECT method of HTTP. */
import { createHmac, timingSafeEqual } from 'node:crypto';
import { request as sendRequest, type IncomingMessage, type Server } from 'node:http';
import type { Socket } from 'node:net';
import { detectResets } from '@bulrushspar/targets';
import type { PeerAddress } from './network.js';

/** Options of {@link openTunnel}. */
export interface TunnelOptions {
  readonly peer: PeerAddress;
  /** Host and port of the server. */
  readonly target: string;
  /** Shared secret, known to the peer. */
  readonly secret: string;
  /** Ends the attempt. */
  readonly signal: AbortSignal;
}

/** Options of {@link serveTunnels}. */
export interface TunnelServerOptions {
  /** Accepted secrets. */
  readonly secrets: readonly string[];
  /** Opens a connection to a target; rejects if the target is not allowed or out of reach. */
  readonly openTarget: (target: string) => Promise<Socket>;
}

const OK = 200;
const FORBIDDEN = 'HTTP/1.1 403 Forbidden\r\n\r\n';
const ESTABLISHED = 'HTTP/1.1 200 Connection Established\r\n\r\n';
const BAD_GATEWAY = 'HTTP/1.1 502 Bad Gateway\r\n\r\n';
const SCHEME = 'Bulrushspar';
/** Bounds the connections that one node passes on for others. */
const MAX_TUNNELS = 512;

const computeProof = (secret: string, target: string): string =>
  createHmac('sha256', secret).update(`connect ${target}`).digest('hex');

/** Opens a connection to a target through a peer; rejects if the peer does not reach the target. */
export function openTunnel({ peer, target, secret, signal }: TunnelOptions): Promise<Socket> {
  return new Promise((resolve, reject) => {
    const request = sendRequest({
      host: peer.address,
      port: peer.port,
      method: 'CONNECT',
      path: target,
      headers: { 'proxy-authorization': `${SCHEME} ${computeProof(secret, target)}` },
      agent: false,
      signal,
    });
    request.on('error', reject);
    request.on('response', (response) => {
      response.resume();
      reject(new Error(`host ${peer.host} answered ${response.statusCode} to CONNECT`));
    });
    request.on('connect', (response, socket, head) => {
      if (response.statusCode !== OK) {
        socket.destroy();
        reject(new Error(`host ${peer.host} answered ${response.statusCode} to CONNECT`));
        return;
      }
      if (head.length > 0) socket.unshift(head);
      socket.setNoDelay(true);
      resolve(socket);
    });
    request.end();
  });
}

const isAuthorized = (request: IncomingMessage, secrets: readonly string[]): boolean => {
  const proof = Buffer.from(request.headers['proxy-authorization'] ?? '');
  return secrets.some((secret) => {
    const expected = Buffer.from(`${SCHEME} ${computeProof(secret, request.url ?? '')}`);
    return proof.length === expected.length && timingSafeEqual(proof, expected);
  });
};

/** Passes bytes on in both directions, and how each end closes its connection. */
function joinSockets(first: Socket, second: Socket): void {
  const joinOneWay = (from: Socket, to: Socket): void => {
    from.pipe(to);
    // An answer without a length that is reset must not look like a complete one.
    from.on('error', () => to.resetAndDestroy());
    from.on('close', () => {
      if (!from.readableEnded) to.resetAndDestroy();
    });
  };
  joinOneWay(first, second);
  joinOneWay(second, first);
}

/** Handles the CONNECT requests that a server receives from other nodes. */
export function serveTunnels(server: Server, { secrets, openTarget }: TunnelServerOptions): void {
  let tunnelCount = 0;
  server.on('connect', (request: IncomingMessage, socket: Socket, head: Buffer) => {
    socket.on('error', () => socket.destroy());
    if (!isAuthorized(request, secrets)) {
      socket.end(FORBIDDEN);
      return;
    }
    if (tunnelCount >= MAX_TUNNELS) {
      socket.end(BAD_GATEWAY);
      return;
    }
    tunnelCount += 1;
    socket.once('close', () => {
      tunnelCount -= 1;
    });
    openTarget(request.url!).then(
      (target) => {
        if (socket.destroyed) {
          target.destroy();
          return;
        }
        socket.setNoDelay(true);
        socket.write(ESTABLISHED);
        if (head.length > 0) target.write(head);
        detectResets(target);
        joinSockets(socket, target);
      },
      () => socket.end(BAD_GATEWAY),
    );
  });
}
