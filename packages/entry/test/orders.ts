/** Two hosts that give orders to the same servers, one after the other. */
import assert from 'node:assert/strict';
import { After, Given, Then, When } from '@cucumber/cucumber';
import type { FleetConfiguration, ServerEntry } from '@bulrushspar/catalogue';
import { createManualClock, type ManualClock } from '@bulrushspar/clock';
import { createOrderDuty, type OrderDuty } from '@bulrushspar/entry';
import { createDemand, ORDER_OUTCOME } from '@bulrushspar/loading';
import { createMemoryStore } from '@bulrushspar/standins';
import { createStoreError, EFFECT, type ObjectStore } from '@bulrushspar/store';

interface Ordered {
  readonly host: string;
  readonly server: string;
  readonly at: number;
}

interface Giver {
  readonly duty: OrderDuty;
  readonly stopping: AbortController;
  reachesStore: boolean;
  dead: boolean;
}

interface DutyWorld {
  clock: ManualClock;
  givers: [Giver, Giver];
  ordered: Ordered[];
  /** Last moment at which the first host could have ordered. */
  lastPossible: number;
  found: Ordered;
  overFencing: number;
}

const HANDOVER_MILLISECONDS = 3300;
const STEP_MILLISECONDS = 10;
const TELL_MILLISECONDS = 200;
const TERM_MILLISECONDS = 2000;
const TURN_MILLISECONDS = 600;
const MODELS = ['m1', 'm2', 'm3'];
const silent = { info: () => {}, warn: () => {}, error: () => {} };

const CONFIGURATION: FleetConfiguration = {
  version: 1,
  routes: [],
  workspaces: [],
  callerLimits: { headerBytes: 0, bodyBytes: 0, headerMilliseconds: 0, idleMilliseconds: 0 },
  services: new Map([
    [
      'llm',
      {
        name: 'llm',
        connectionsPerServer: 8,
        engine: {
          slots: 8,
          cacheTokens: 1000,
          weightsMegabytes: 100,
          adapterSlots: 8,
          coldLoadsPerSecond: 10,
          models: new Map(
            MODELS.map((name) => [
              name,
              {
                name,
                megabytes: 30,
                adapterMegabytes: 1,
                coldMilliseconds: 6000,
                diskMilliseconds: 700,
                memoryMilliseconds: 400,
              },
            ]),
          ),
        },
      },
    ],
  ]),
};

const entryOf = (id: string, onDisk: readonly string[]): ServerEntry => ({
  id,
  service: 'llm',
  address: '127.0.0.1:1',
  failureDomain: 'd1',
  slots: 8,
  leaving: false,
  born: 1,
  models: [],
  inMemory: [],
  onDisk,
});

const SERVERS = new Map([
  ['s1', entryOf('s1', ['m1', 'm2'])],
  ['s2', entryOf('s2', ['m3'])],
]);

function createGiver(world: DutyWorld, store: ObjectStore, host: string, rank: number): Giver {
  const { clock } = world;
  const stopping = new AbortController();
  const sequences = new Map<string, number>();
  const reach = async <Answer>(work: () => Promise<Answer>): Promise<Answer> => {
    if (giver.reachesStore) return work();
    throw createStoreError(EFFECT.NONE, 'refused');
  };
  const duty = createOrderDuty({
    store: {
      ...store,
      read: (key) => reach(() => store.read(key)),
      write: (key, value, expected) => reach(() => store.write(key, value, expected)),
    },
    clock,
    logger: silent,
    self: { host, incarnation: host },
    control: {
      report: ({ id }) =>
        Promise.resolve({ born: 1, busy: false, sequence: sequences.get(id) ?? 0, models: [] }),
      order: ({ id }, { expectedSequence }) => {
        if (!giver.dead) world.ordered.push({ host, server: id, at: clock.monotonic() });
        sequences.set(id, expectedSequence + 1);
        return Promise.resolve(ORDER_OUTCOME.ACCEPTED);
      },
    },
    demand: createDemand({ clock }),
    configuration: () => CONFIGURATION,
    running: () => new Map(),
    onOutlook: () => {},
    onUnloading: () => {},
    handoverMilliseconds: HANDOVER_MILLISECONDS,
    rank: () => rank,
    othersReachStore: () => world.givers?.some((other) => other.reachesStore) ?? true,
  });
  duty.setServers(SERVERS);
  const giver: Giver = { duty, stopping, reachesStore: true, dead: false };
  duty.run(stopping.signal).catch(() => {});
  return giver;
}

/** Lets time pass while the hosts tell each other what they say of their leases. */
async function pass(world: DutyWorld, milliseconds: number): Promise<void> {
  const { clock, givers } = world;
  const end = clock.monotonic() + milliseconds;
  while (clock.monotonic() < end) {
    // eslint-disable-next-line no-await-in-loop -- steps of time follow one another
    await clock.advance(STEP_MILLISECONDS);
    if (clock.monotonic() % TELL_MILLISECONDS < STEP_MILLISECONDS) {
      const [first, second] = givers;
      if (!first.dead) second.duty.hear('a', first.duty.describe());
      first.duty.hear('b', second.duty.describe());
    }
  }
}

const want = ({ duty }: Giver, models: readonly string[]): void =>
  duty.commander.setWants(
    'a',
    models.map((model) => ({ model, count: 1, credit: 1, objectiveMilliseconds: 1000 })),
  );

Given('two hosts that may give orders', async function begin(this: DutyWorld) {
  this.clock = createManualClock();
  this.ordered = [];
  const store = createMemoryStore();
  this.givers = [createGiver(this, store, 'a', 0), createGiver(this, store, 'b', 1)];
  await pass(this, 1000);
});

After({ tags: '@order-duty' }, function stop(this: DutyWorld) {
  this.givers?.forEach(({ stopping }) => stopping.abort());
});

When(
  /^the first has ordered "s1" and (gives up|dies) (\d+) ms later$/,
  async function lose(this: DutyWorld, how: string, milliseconds: string) {
    const [first, second] = this.givers;
    want(first, ['m1']);
    await pass(this, 500);
    assert.deepEqual(
      this.ordered.map(({ host, server }) => `${host} ${server}`),
      ['a s1'],
    );
    await pass(this, Number(milliseconds));
    first.reachesStore = false;
    first.dead = how === 'dies';
    this.lastPossible = this.clock.monotonic() + TERM_MILLISECONDS;
    want(first, []);
    want(second, ['m2', 'm3']);
  },
);

When(
  'neither reaches the store for {int} ms, and the first says that its term is over',
  async function away(this: DutyWorld, milliseconds: number) {
    this.givers.forEach((giver) => Object.assign(giver, { reachesStore: false }));
    await pass(this, milliseconds);
    const told = this.givers[0].duty.describe()!;
    assert(told.over);
    this.overFencing = told.fencing;
  },
);

When('the first reaches the store again', async function back(this: DutyWorld) {
  this.givers[0].reachesStore = true;
  await pass(this, TURN_MILLISECONDS);
});

Then(
  'it leads under a higher fencing number than the one that was over',
  function check(this: DutyWorld) {
    const { fencing, over } = this.givers[0].duty.describe()!;
    assert(!over);
    assert(fencing > this.overFencing);
  },
);

const orderOf = (world: DutyWorld, server: string): Ordered =>
  world.ordered.find((order) => order.host === 'b' && order.server === server)!;

async function untilOrdered(world: DutyWorld, server: string, milliseconds: number) {
  const end = world.clock.monotonic() + milliseconds;
  while (!orderOf(world, server) && world.clock.monotonic() < end) {
    // eslint-disable-next-line no-await-in-loop -- steps of time follow one another
    await pass(world, STEP_MILLISECONDS);
  }
  assert(orderOf(world, server), `no order to ${server}`);
  Object.assign(world, { found: orderOf(world, server) });
}

Then(
  'the second orders {string} within {int} ms',
  async function check(this: DutyWorld, server: string, milliseconds: number) {
    // The first notices within 1,100 ms that it has lost the store.
    await untilOrdered(this, server, 1100 + milliseconds);
  },
);

Then(
  /^the second orders "(s\d)" at least (\d+) ms after the first (did|could still order)$/,
  async function check(this: DutyWorld, server: string, milliseconds: string, what: string) {
    await untilOrdered(this, server, 10_000);
    const first = this.ordered.find((order) => order.host === 'a' && order.server === server);
    const since = what === 'did' ? first!.at : this.lastPossible;
    assert(this.found.at - since >= Number(milliseconds));
  },
);

Then('it does so within {int} ms', function check(this: DutyWorld, milliseconds: number) {
  const first = this.ordered.find((order) => order.host === 'a')!;
  const from = this.found.server === first.server ? first.at : this.lastPossible;
  assert(this.found.at - from <= milliseconds, String(this.found.at - from));
});
