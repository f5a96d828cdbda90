/** Steps that send bodies to a server that reads them into one memory. */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer, request as sendRequest, type Server } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { connect } from 'node:net';
import { setTimeout as wait } from 'node:timers/promises';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { createSystemClock } from '@bulrushspar/clock';
import { collectBody, createByteMemory, type ByteMemory } from '@bulrushspar/routing';
import fc from 'fast-check';

interface BodiesWorld {
  memory: ByteMemory;
  server: Server;
  sockets: Socket[];
  /** Results in the order of the callers. */
  results: string[];
}

interface BodyTiming {
  readonly idleMilliseconds?: number;
  readonly abortMilliseconds?: number;
}

const LOOPBACK = '127.0.0.1';
const MAX_BYTES = 500_000;
const SETTLE_MILLISECONDS = 100;
const OPEN = 'open';
const WHOLE = 'whole';
const RUNS = 30;

const getPort = ({ server }: BodiesWorld): number => (server.address() as AddressInfo).port;

async function listen(world: BodiesWorld, bytes: number, timing: BodyTiming = {}): Promise<void> {
  const opened = world;
  const { idleMilliseconds, abortMilliseconds } = timing;
  const clock = createSystemClock();
  opened.memory = createByteMemory({ totalBytes: bytes });
  opened.sockets = [];
  opened.results = [];
  opened.server = createServer((request, response) => {
    const index = Number(request.headers['x-index']);
    opened.results[index] = OPEN;
    collectBody(request, {
      maxBytes: MAX_BYTES,
      memory: opened.memory,
      ...(idleMilliseconds ? { idle: { clock, milliseconds: idleMilliseconds } } : {}),
      ...(abortMilliseconds ? { signal: AbortSignal.timeout(abortMilliseconds) } : {}),
    }).then(
      ({ content, holding, fault }) => {
        opened.results[index] = fault ?? WHOLE;
        response.on('close', () => holding?.close());
        // The requests whose callers name no index are answered, the others stay under way.
        if (Number.isNaN(index)) response.end(content);
      },
      () => {
        opened.results[index] = 'aborted';
      },
    );
  });
  opened.server.listen(0, LOOPBACK);
  await once(opened.server, 'listening');
}

Given('a host with {int} bytes for bodies', async function open(this: BodiesWorld, bytes: number) {
  await listen(this, bytes);
});

Given(
  'a host with {int} bytes for bodies, which waits {int} ms for the rest of a body',
  async function open(this: BodiesWorld, bytes: number, idleMilliseconds: number) {
    await listen(this, bytes, { idleMilliseconds });
  },
);

Given(
  'a host with {int} bytes for bodies, which aborts requests after {int} ms',
  async function open(this: BodiesWorld, bytes: number, abortMilliseconds: number) {
    await listen(this, bytes, { abortMilliseconds });
  },
);

After({ tags: '@bodies' }, function close(this: BodiesWorld) {
  this.sockets?.forEach((socket) => socket.destroy());
  this.server?.closeAllConnections();
  this.server?.close();
});

async function sendPart(world: BodiesWorld, bytes: number, declaredBytes: number): Promise<void> {
  const socket = connect(getPort(world), LOOPBACK);
  socket.on('error', () => {});
  const head = `POST / HTTP/1.1\r\nhost: a\r\nx-index: ${world.sockets.length}\r\ncontent-length: ${declaredBytes}\r\n\r\n`;
  world.sockets.push(socket);
  socket.write(head);
  socket.write(Buffer.alloc(bytes));
  await wait(SETTLE_MILLISECONDS);
}

When(
  /^callers send (\d+) and (\d+) of (\d+) bytes$/,
  async function send(this: BodiesWorld, first: string, second: string, declared: string) {
    await sendPart(this, Number(first), Number(declared));
    await sendPart(this, Number(second), Number(declared));
  },
);

When(
  'a caller sends a whole body of {int} bytes',
  async function send(this: BodiesWorld, bytes: number) {
    await sendPart(this, bytes, bytes);
  },
);

When(
  'callers send {int} of {int} bytes, then one of them {int} bytes each {int} ms',
  async function send(
    this: BodiesWorld,
    bytes: number,
    declaredBytes: number,
    more: number,
    milliseconds: number,
  ) {
    await sendPart(this, bytes, declaredBytes);
    await sendPart(this, bytes, declaredBytes);
    const timer = setInterval(() => this.sockets[1]!.write(Buffer.alloc(more)), milliseconds);
    this.sockets[1]!.on('close', () => clearInterval(timer));
  },
);

When('all callers have left', async function leave(this: BodiesWorld) {
  this.sockets.forEach((socket) => socket.destroy());
  await wait(SETTLE_MILLISECONDS);
});

Then('the results are {string}', function check(this: BodiesWorld, results: string) {
  assert.equal(this.results.join(', '), results);
});

Then(
  'after {int} ms the results are {string}',
  async function check(this: BodiesWorld, milliseconds: number, results: string) {
    await wait(milliseconds);
    assert.equal(this.results.join(', '), results);
  },
);

Then('the host holds {int} bytes', function check(this: BodiesWorld, bytes: number) {
  assert.equal(this.memory.heldBytes(), bytes);
});

/** Sends a body in chunks, and returns what the server has read. */
function sendChunks(world: BodiesWorld, chunks: readonly Uint8Array[]): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const request = sendRequest(
      { host: LOOPBACK, port: getPort(world), method: 'POST' },
      (response) => {
        const parts: Buffer[] = [];
        response.on('data', (part: Buffer) => parts.push(part));
        response.on('end', () => resolve(Buffer.concat(parts)));
      },
    );
    request.on('error', reject);
    chunks.forEach((chunk) => request.write(chunk));
    request.end();
  });
}

const fillChunk = ([length, value]: readonly [number, number]): Buffer =>
  Buffer.alloc(length, value);
const chunkLists = fc.array(
  fc.array(fc.tuple(fc.integer({ min: 1, max: 90_000 }), fc.nat(255)).map(fillChunk), {
    minLength: 1,
    maxLength: 5,
  }),
  { minLength: 1, maxLength: 6 },
);

Then(
  'bodies in chunks of any size, sent at once and one after another, arrive unchanged',
  { timeout: 30_000 },
  async function check(this: BodiesWorld) {
    await fc.assert(
      fc.asyncProperty(chunkLists, async (bodies) => {
        const received = await Promise.all(bodies.map((chunks) => sendChunks(this, chunks)));
        received.forEach((body, index) => assert.ok(body.equals(Buffer.concat(bodies[index]!))));
      }),
      { numRuns: RUNS },
    );
  },
);
