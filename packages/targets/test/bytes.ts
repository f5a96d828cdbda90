/** Steps with servers that write bytes to a socket themselves. */
import assert from 'node:assert/strict';
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { After, Given, Then, When } from '@cucumber/cucumber';
import {
  createConnections,
  exchange,
  isExchangeError,
  type Connections,
  type FlowControl,
} from '@bulrushspar/targets';

interface BytesWorld {
  server: Server;
  /** Writes the answer to the first request of a connection. */
  answer: (socket: Socket) => void;
  ends: string;
  rawConnections: Connections;
  pauses: boolean;
  outcome: string;
  bodyBytes: number;
}

const LOOPBACK = '127.0.0.1';
const BODY_BYTES = 1000;
const END_AFTER_MILLISECONDS = 50;
const RESUME_AFTER_MILLISECONDS = 150;
const SILENCE_MILLISECONDS = 1000;

After('@bytes', async function close(this: BytesWorld) {
  await this.rawConnections.close();
  this.server.close();
});

async function startServer(world: BytesWorld): Promise<void> {
  const server = createServer((socket) => {
    socket.on('error', () => {});
    socket.once('data', () => world.answer(socket));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, LOOPBACK, resolve);
  });
  const { port } = server.address() as AddressInfo;
  const rawConnections = createConnections(`http://${LOOPBACK}:${port}`);
  Object.assign(world, { server, rawConnections });
}

Given(
  'a server that sends {string} with {string}',
  async function open(this: BytesWorld, header: string, other: string) {
    this.answer = (socket) => {
      socket.write(`HTTP/1.1 200 OK\r\n${header}\r\n${other}\r\n\r\n${'a'.repeat(BODY_BYTES)}`);
      setTimeout(() => {
        if (this.ends === 'resets') socket.resetAndDestroy();
        else socket.end();
      }, END_AFTER_MILLISECONDS);
    };
    await startServer(this);
  },
);

Given(
  /^it (closes|resets) while the receiver is (paused|reading)$/,
  function end(this: BytesWorld, ends: string, receiver: string) {
    this.ends = ends;
    this.pauses = receiver === 'paused';
  },
);

async function receive(world: BytesWorld, adapter: string): Promise<string> {
  const { rawConnections: connections, pauses } = world;
  const dispatcher =
    adapter === 'connection pool' ? connections.pool : connections.createSingleUseClient();
  let flow: FlowControl | undefined;
  try {
    await exchange({
      dispatcher,
      call: { method: 'GET', path: '/', headers: {} },
      receiver: {
        onHead: (_head, control) => {
          flow = control;
        },
        onData: (chunk) => {
          Object.assign(world, { bodyBytes: world.bodyBytes + chunk.length });
          if (!pauses) return;
          flow!.pause();
          setTimeout(flow!.resume, RESUME_AFTER_MILLISECONDS);
        },
      },
      signal: new AbortController().signal,
      silenceMilliseconds: SILENCE_MILLISECONDS,
    });
    return 'whole';
  } catch (error) {
    return isExchangeError(error) ? `${error.fault}, ${error.progress}` : (error as Error).message;
  } finally {
    if (dispatcher !== connections.pool) dispatcher.close().catch(() => {});
  }
}

When(
  /^its answer is received over the (connection pool|dedicated client)$/,
  async function request(this: BytesWorld, adapter: string) {
    this.bodyBytes = 0;
    this.outcome = await receive(this, adapter);
  },
);

Then(
  'the exchange ends as {string} with {int} bytes',
  function check(this: BytesWorld, outcome: string, bytes: number) {
    assert.deepEqual([this.outcome, this.bodyBytes], [outcome, bytes]);
  },
);
