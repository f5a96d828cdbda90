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
  elapsedMilliseconds: number;
  sentBytes: number;
}

const LOOPBACK = '127.0.0.1';
const BODY_BYTES = 1000;
const END_AFTER_MILLISECONDS = 50;
const RESUME_AFTER_MILLISECONDS = 150;
const SILENCE_MILLISECONDS = 20_000;
const DEADLINE_MILLISECONDS = 3000;
const CLOSE_MILLISECONDS = 100;
const ENDLESS_CHUNK_BYTES = 65_536;

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

const unescape = (text: string): string => text.replaceAll('\\r', '\r').replaceAll('\\n', '\n');

Given(
  'a server that sends {string} and then {string} without end',
  async function open(this: BytesWorld, first: string, endless: string) {
    const repeated = unescape(endless);
    const chunk = repeated.repeat(Math.ceil(ENDLESS_CHUNK_BYTES / repeated.length));
    this.sentBytes = 0;
    this.answer = (socket) => {
      const sendMore = (): void => {
        let hasRoom = !socket.destroyed;
        while (hasRoom) {
          this.sentBytes += chunk.length;
          hasRoom = socket.write(chunk);
        }
      };
      socket.on('drain', sendMore);
      socket.write(unescape(first));
      sendMore();
    };
    await startServer(this);
  },
);

Then(
  'the exchange ends as {string} within {int} ms',
  function check(this: BytesWorld, outcome: string, milliseconds: number) {
    assert.equal(this.outcome, outcome);
    assert.ok(this.elapsedMilliseconds <= milliseconds, `${this.elapsedMilliseconds} ms`);
  },
);

Then(
  'the server could send at most {int} MB',
  async function check(this: BytesWorld, megabytes: number) {
    await new Promise((resolve) => {
      setTimeout(resolve, CLOSE_MILLISECONDS);
    });
    assert.ok(this.sentBytes <= megabytes * 1_000_000, `${this.sentBytes} bytes`);
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
      signal: AbortSignal.timeout(DEADLINE_MILLISECONDS),
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
    const start = performance.now();
    this.outcome = await receive(this, adapter);
    this.elapsedMilliseconds = performance.now() - start;
  },
);

Then(
  'the exchange ends as {string} with {int} bytes',
  function check(this: BytesWorld, outcome: string, bytes: number) {
    assert.deepEqual([this.outcome, this.bodyBytes], [outcome, bytes]);
  },
);
