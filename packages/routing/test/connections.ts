/** Opens connections to a server that bounds their number. */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer, type Server } from 'node:http';
import { connect, type AddressInfo, type Socket } from 'node:net';
import { setTimeout as wait } from 'node:timers/promises';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { boundConnections } from '@bulrushspar/routing';

interface ConnectionsWorld {
  server: Server;
  sockets: Socket[];
}

const LOOPBACK = '127.0.0.1';
const MAX_CONNECTIONS = 3;
const SETTLE_MILLISECONDS = 30;
/** More than the buffers of a connection take. */
const LARGE_ANSWER = Buffer.alloc(16_000_000);

const INPUTS: Readonly<Record<string, string>> = {
  nothing: '',
  'a part of a head': 'POST / HTTP/1.1\r\nHost: a\r\n',
  'a part of a body': 'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\npart',
  'a request in progress': 'GET /progress HTTP/1.1\r\nHost: a\r\n\r\n',
  'an answered request': 'GET / HTTP/1.1\r\nHost: a\r\n\r\n',
  'an answer unread': 'GET /large HTTP/1.1\r\nHost: a\r\n\r\n',
};

async function open({ server, sockets }: ConnectionsWorld): Promise<Socket> {
  const socket = connect((server.address() as AddressInfo).port, LOOPBACK);
  socket.on('error', () => {});
  sockets.push(socket);
  await once(socket, 'connect');
  return socket;
}

Given(
  /^connections with (.+), (.+) and (.+)$/,
  async function start(this: ConnectionsWorld, first: string, second: string, third: string) {
    const inputs = [first, second, third];
    this.sockets = [];
    this.server = createServer((request, response) => {
      request.resume();
      if (request.url === '/large') response.end(LARGE_ANSWER);
      else if (request.url === '/' && request.method === 'GET') response.end('ok');
    });
    boundConnections(this.server, { maxConnections: MAX_CONNECTIONS });
    this.server.listen(0, LOOPBACK);
    await once(this.server, 'listening');
    // The answered request makes its progress after all connections were opened.
    for (const input of inputs) {
      // eslint-disable-next-line no-await-in-loop -- the connections are opened one after another
      const socket = await open(this);
      if (!input.endsWith('unread')) socket.resume();
      if (!input.endsWith('answered request')) socket.write(INPUTS[input]!);
    }
    await wait(SETTLE_MILLISECONDS);
    inputs.forEach((input, index) => {
      if (input.endsWith('answered request')) this.sockets[index]!.write(INPUTS[input]!);
    });
    await wait(SETTLE_MILLISECONDS);
  },
);

After({ tags: '@connections' }, function close(this: ConnectionsWorld) {
  this.sockets.forEach((socket) => socket.destroy());
  this.server.close();
});

When('another connection is opened', async function openAnother(this: ConnectionsWorld) {
  (await open(this)).resume();
  await wait(SETTLE_MILLISECONDS);
});

Then(/^the connections (.+) are open$/, async function check(this: ConnectionsWorld, left: string) {
  // A caller that does not read sees the end of its connection when it writes.
  this.sockets.filter((socket) => !socket.readableFlowing).forEach((socket) => socket.resume());
  await wait(SETTLE_MILLISECONDS);
  const openSockets = this.sockets.flatMap((socket, index) => (socket.closed ? [] : [index + 1]));
  assert.equal(openSockets.join(', '), left);
});
