/** Steps for connections that one node passes on for another. */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer as createHttpServer, type Server as HttpServer } from 'node:http';
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { openTunnel, serveTunnels } from '@bulrushspar/peer';

interface TunnelWorld {
  target: Server;
  relay: HttpServer;
  nodeSocket: Socket | undefined;
  serverSocket: Socket;
  /** Of the node that passes the connection on, to the server. */
  relaySocket: Socket;
  error: Error | undefined;
  receivedBytes: number;
}

const LOOPBACK = '127.0.0.1';
const SECRET = 'secret';

const portOf = (server: Server): number => (server.address() as AddressInfo).port;

Given('a node that passes connections to a server on', async function create(this: TunnelWorld) {
  this.target = createServer();
  this.target.on('connection', (socket) => {
    this.serverSocket = socket;
    socket.on('error', () => {});
  });
  this.target.listen(0, LOOPBACK);
  await once(this.target, 'listening');
  this.relay = createHttpServer();
  serveTunnels(this.relay, {
    secrets: [SECRET],
    openTarget: async (target) => {
      const port = portOf(this.target);
      if (target !== `${LOOPBACK}:${port}`) throw new Error('not listed');
      const socket = connect(port, LOOPBACK);
      await once(socket, 'connect');
      this.relaySocket = socket;
      return socket;
    },
  });
  this.relay.listen(0, LOOPBACK);
  await once(this.relay, 'listening');
});

async function open(world: TunnelWorld, target: string, secret = SECRET): Promise<void> {
  const changed = world;
  changed.receivedBytes = 0;
  changed.error = undefined;
  const peer = { host: 'relay', address: LOOPBACK, port: portOf(world.relay) };
  try {
    const signal = AbortSignal.timeout(2000);
    changed.nodeSocket = await openTunnel({ peer, target, secret, signal });
    changed.nodeSocket.on('error', (error) => {
      changed.error = error;
    });
    changed.nodeSocket.on('data', (chunk: Buffer) => {
      changed.receivedBytes += chunk.length;
    });
  } catch (error) {
    changed.error = error as Error;
  }
}

const targetAddress = ({ target }: TunnelWorld): string => `${LOOPBACK}:${portOf(target)}`;

When(
  /^another node with (the same|another) secret asks for a connection to (the server|an unlisted target)$/,
  async function ask(this: TunnelWorld, secret: string, target: string) {
    const address = target === 'the server' ? targetAddress(this) : '10.0.0.1:80';
    await open(this, address, secret === 'another' ? 'wrong' : SECRET);
  },
);

Given('a connection of another node to the server', async function ask(this: TunnelWorld) {
  await open(this, targetAddress(this));
});

Then(/^it is (open|refused)$/, function check(this: TunnelWorld, outcome: string) {
  assert.equal(this.nodeSocket ? 'open' : 'refused', outcome);
});

When(
  /^the (server|node|relay) (resets|ends) its connection$/,
  async function close(this: TunnelWorld, end: string, how: string) {
    const sockets = { server: this.serverSocket, node: this.nodeSocket!, relay: this.relaySocket };
    const socket = sockets[end as keyof typeof sockets];
    const other = end === 'node' ? this.serverSocket : this.nodeSocket!;
    other.resume();
    if (how === 'resets') socket.resetAndDestroy();
    else socket.end();
    await new Promise<void>((resolve) => {
      other.once('close', () => resolve());
    });
  },
);

Then(
  /^the (?:server|node) sees that the connection (was reset|has ended)$/,
  function check(this: TunnelWorld, result: string) {
    const code = (this.error as NodeJS.ErrnoException | undefined)?.code;
    assert.equal(code, result === 'was reset' ? 'ECONNRESET' : undefined);
  },
);

When(
  'the node sends {int} bytes, which the server sends back',
  async function send(this: TunnelWorld, count: number) {
    this.serverSocket.pipe(this.serverSocket);
    this.nodeSocket!.end(Buffer.alloc(count, 'a'));
    await once(this.nodeSocket!, 'close');
  },
);

Then('the node receives {int} bytes', function check(this: TunnelWorld, count: number) {
  assert.equal(this.receivedBytes, count);
});

After('@tunnel', function close(this: TunnelWorld) {
  this.nodeSocket?.destroy();
  this.serverSocket?.destroy();
  this.target.close();
  this.relay.close();
});
