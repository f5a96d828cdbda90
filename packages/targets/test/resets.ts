/** Exchanges with a server that resets its connections behind an answer without a length. */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer as createHttpServer, type Server as HttpServer } from 'node:http';
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { openTunnel, serveTunnels } from '@bulrushspar/peer';
import { createTargetClient, exchange } from '@bulrushspar/targets';

interface ResetsWorld {
  server: Server;
  relay: HttpServer;
  /** Whether the next answer has a length and its connection is kept. */
  isKept: boolean;
  endedInOrder: number;
}

const LOOPBACK = '127.0.0.1';
const SECRET = 'secret';
const TIMEOUT_MILLISECONDS = 5000;
const PAUSE_MILLISECONDS = 5;
const UNMARKED = 'HTTP/1.1 200 OK\r\nX-Mark: 14\r\n\r\npart';
const WHOLE = 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok';

const createMarkedAnswer = (bytes: number): string =>
  `HTTP/1.1 200 OK\r\nContent-Length: ${bytes}\r\n\r\n${'a'.repeat(bytes)}`;

/** What a server does behind its answer. */
const WAYS: Readonly<Record<string, (socket: Socket) => void>> = {
  'resets the connection': (socket) => socket.resetAndDestroy(),
  'resets the connection 5 ms later': (socket) => {
    setTimeout(() => socket.resetAndDestroy(), PAUSE_MILLISECONDS);
  },
  'ends it, and resets it 5 ms later': (socket) => {
    socket.end();
    setTimeout(() => socket.resetAndDestroy(), PAUSE_MILLISECONDS);
  },
  'closes it with the request unread': (socket) => socket.destroy(),
  'ends it in order, and reads no more': (socket) => socket.end(),
  'ends it in order': (socket) => socket.end(() => socket.destroy()),
};

const portOf = (server: Server): number => (server.address() as AddressInfo).port;

const openSocket = async (port: number): Promise<Socket> => {
  const socket = connect(port, LOOPBACK);
  await once(socket, 'connect');
  return socket;
};

Given(
  /^a server that writes an answer (?:without a length|of (\d+) bytes with a length) and then (.+)$/,
  async function create(this: ResetsWorld, size: string | null, way: string) {
    const answer = size === null ? UNMARKED : createMarkedAnswer(Number(size));
    this.server = createServer({ allowHalfOpen: true }, (socket) => {
      socket.on('error', () => {});
      socket.on('data', () => {
        if (this.isKept) {
          socket.write(WHOLE);
          return;
        }
        socket.removeAllListeners('data');
        socket.pause();
        socket.write(answer, () => WAYS[way]!(socket));
      });
    });
    this.server.listen(0, LOOPBACK);
    await once(this.server, 'listening');
    this.relay = createHttpServer();
    serveTunnels(this.relay, {
      secrets: [SECRET],
      openTarget: () => openSocket(portOf(this.server)),
    });
    this.relay.listen(0, LOOPBACK);
    await once(this.relay, 'listening');
  },
);

After({ tags: '@resets' }, function close(this: ResetsWorld) {
  this.server.close();
  this.relay.closeAllConnections();
  this.relay.close();
});

/** @returns whether the exchange ended in order */
async function send(client: ReturnType<typeof createTargetClient>, bytes: number) {
  try {
    await exchange({
      dispatcher: client,
      call: { method: 'POST', path: '/', headers: {}, body: Buffer.alloc(bytes) },
      receiver: { onHead: () => {}, onData: () => {} },
      signal: AbortSignal.timeout(TIMEOUT_MILLISECONDS),
      silenceMilliseconds: TIMEOUT_MILLISECONDS,
    });
    return true;
  } catch {
    return false;
  }
}

function createClient({ server, relay }: ResetsWorld, connection: string) {
  const target = `${LOOPBACK}:${portOf(server)}`;
  const peer = { host: 'relay', address: LOOPBACK, port: portOf(relay) };
  const openSocketThroughPeer = () =>
    openTunnel({ peer, target, secret: SECRET, signal: AbortSignal.timeout(TIMEOUT_MILLISECONDS) });
  return createTargetClient({
    origin: `http://${target}`,
    connectTimeoutMilliseconds: TIMEOUT_MILLISECONDS,
    ...(connection.includes('passes on') ? { openSocket: openSocketThroughPeer } : {}),
  });
}

When(
  /^(\d+) requests of (\d+) bytes are sent over (a .+)$/,
  async function sendAll(this: ResetsWorld, count: string, bytes: string, connection: string) {
    this.endedInOrder = 0;
    /* eslint-disable no-await-in-loop -- one exchange at a time, so that each has the machine */
    for (let index = 0; index < Number(count); index += 1) {
      const client = createClient(this, connection);
      this.isKept = connection.includes('kept');
      if (this.isKept) assert(await send(client, 0), 'the exchange before failed');
      this.isKept = false;
      if (await send(client, Number(bytes))) this.endedInOrder += 1;
      await client.destroy();
    }
    /* eslint-enable no-await-in-loop */
  },
);

Then(/^(\d+) of the exchanges end in order$/, function check(this: ResetsWorld, number: string) {
  assert.equal(this.endedInOrder, Number(number));
});
