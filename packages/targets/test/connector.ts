/** Steps for connections that are opened directly or through another host. */
import assert from 'node:assert/strict';
import { Before, Given, Then, When } from '@cucumber/cucumber';
import { createManualClock, type ManualClock } from '@bulrushspar/clock';
import { createConnector, type Connector } from '@bulrushspar/targets';

interface TestConnection {
  readonly way: string;
  destroy(): void;
}

interface ConnectorWorld {
  clock: ManualClock;
  direct: string;
  other: string;
  hostRequests: number;
  connector: Connector<TestConnection>;
  way: string | undefined;
  milliseconds: number;
}

const STEP_MILLISECONDS = 1;
const MAX_MILLISECONDS = 5000;
const HOST_MILLISECONDS = 2;

const createTestConnection = (way: string): TestConnection => ({ way, destroy: () => {} });

async function openDirect(
  { clock, direct }: ConnectorWorld,
  signal: AbortSignal,
): Promise<TestConnection> {
  if (direct === 'is refused') throw new Error('ECONNREFUSED');
  if (direct === 'hangs') {
    await new Promise((_resolve, reject) => {
      signal.addEventListener('abort', () => reject(new Error('timeout')));
    });
  }
  await clock.delay(Number(/\d+/.exec(direct)?.[0] ?? 1));
  return createTestConnection('directly');
}

async function openThroughHost(
  world: ConnectorWorld,
  signal: AbortSignal,
): Promise<TestConnection> {
  const changed = world;
  changed.hostRequests += 1;
  await world.clock.delay(Number(/\d+/.exec(world.other)?.[0] ?? HOST_MILLISECONDS), signal);
  if (signal.aborted) throw new Error('aborted');
  if (world.other === 'fails') throw new Error('the other host does not reach the server');
  return createTestConnection('through the other');
}

Before('@connector', function create(this: ConnectorWorld) {
  this.clock = createManualClock();
  this.hostRequests = 0;
});

Given(/^the direct way to a server (.+)$/, function set(this: ConnectorWorld, direct: string) {
  this.direct = direct;
});

Given(/^the way through another host (.+)$/, function set(this: ConnectorWorld, other: string) {
  this.other = other;
  this.connector = createConnector({
    clock: this.clock,
    openDirect: (_address, signal) => openDirect(this, signal),
    openThroughHost: (_address, signal) => openThroughHost(this, signal),
  });
});

async function open(world: ConnectorWorld, address: string): Promise<void> {
  const { clock } = world;
  const changed = world;
  const begunAt = clock.monotonic();
  let isSettled = false;
  changed.way = undefined;
  world.connector
    .open(address)
    .then(
      ({ way }) => {
        changed.way = way;
      },
      () => {},
    )
    .finally(() => {
      isSettled = true;
      changed.milliseconds = clock.monotonic() - begunAt;
    });
  while (!isSettled && clock.monotonic() - begunAt < MAX_MILLISECONDS)
    // eslint-disable-next-line no-await-in-loop -- each clock step starts after the previous one
    await clock.advance(STEP_MILLISECONDS);
  assert.ok(isSettled);
}

When('a connection to the server is opened', async function openOne(this: ConnectorWorld) {
  await open(this, '10.0.0.1:80');
});

When(
  'connections to {int} servers are opened',
  async function openSeveral(this: ConnectorWorld, count: number) {
    for (let index = 0; index < count; index += 1) {
      // eslint-disable-next-line no-await-in-loop -- one after another
      await open(this, `10.0.1.${index}:80`);
    }
  },
);

When(
  '{int} connections to the server are opened within {int} ms',
  async function openMany(this: ConnectorWorld, count: number, milliseconds: number) {
    for (let index = 0; index < count; index += 1) {
      /* eslint-disable no-await-in-loop -- one after another */
      await open(this, '10.0.0.1:80');
      await this.clock.advance(Math.max(0, milliseconds / count - this.milliseconds));
      /* eslint-enable no-await-in-loop */
    }
  },
);

When(
  'the direct way connects from now on, and connections are opened for 2 s',
  async function heal(this: ConnectorWorld) {
    this.direct = 'connects';
    for (let index = 0; index < 20; index += 1) {
      /* eslint-disable no-await-in-loop -- one after another */
      await open(this, '10.0.0.1:80');
      await this.clock.advance(100);
      /* eslint-enable no-await-in-loop */
    }
  },
);

When(
  'the direct way hangs from now on, and the way through another host connects',
  function cut(this: ConnectorWorld) {
    this.direct = 'hangs';
    this.other = 'connects';
  },
);

Then(
  /^it is open (directly|through the other) within (\d+) ms$/,
  function check(this: ConnectorWorld, way: string, most: string) {
    assert.equal(this.way, way);
    assert.ok(this.milliseconds <= Number(most), `${this.milliseconds} ms`);
  },
);

Then('it fails within {int} ms', function check(this: ConnectorWorld, most: number) {
  assert.equal(this.way, undefined);
  assert.ok(this.milliseconds <= most, `${this.milliseconds} ms`);
});

Then(
  'another host was asked at most {int} times',
  function check(this: ConnectorWorld, most: number) {
    assert.ok(this.hostRequests <= most, `${this.hostRequests} times`);
  },
);
