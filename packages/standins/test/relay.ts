/** Checks that the relay's faults are ones that a network can have. */
import assert from 'node:assert/strict';
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { RELAY_MODE, startRelay, type RelayMode, type RelayStandin } from '@bulrushspar/standins';

interface RelayWorld {
  numberServer: Server;
  relay: RelayStandin;
  client: Socket;
  received: string;
}

const LOOPBACK = '127.0.0.1';
/** Time in which the first numbers arrive. */
const BEGIN_MILLISECONDS = 100;

Given(
  'a server that sends a number each {int} ms, behind a relay',
  async function start(this: RelayWorld, milliseconds: number) {
    this.numberServer = createServer((socket) => {
      let next = 1;
      const timer = setInterval(() => {
        socket.write(`${next}\n`);
        next += 1;
      }, milliseconds);
      socket.on('close', () => clearInterval(timer));
      socket.on('error', () => {});
    });
    await new Promise<void>((resolve) => {
      this.numberServer.listen(0, LOOPBACK, resolve);
    });
    this.relay = await startRelay((this.numberServer.address() as AddressInfo).port);
    this.received = '';
    this.client = connect(this.relay.port, LOOPBACK);
    this.client.on('error', () => {});
    this.client.on('data', (data) => {
      this.received += data.toString();
    });
    await delay(BEGIN_MILLISECONDS);
  },
);

After('@relay-standin', async function stop(this: RelayWorld) {
  this.client.destroy();
  await this.relay.close();
  this.numberServer.close();
});

When(
  'the relay is in the mode {string} for {int} ms and passes for {int} ms',
  async function change(this: RelayWorld, mode: RelayMode, milliseconds: number, after: number) {
    this.relay.setMode(mode);
    await delay(milliseconds);
    this.relay.setMode(RELAY_MODE.PASS);
    await delay(after);
  },
);

Then(
  'the client has received the numbers from 1 on without a gap',
  function check(this: RelayWorld) {
    const numbers = this.received.trim().split('\n').map(Number);
    assert.deepEqual(
      numbers,
      numbers.map((_number, index) => index + 1),
    );
  },
);
