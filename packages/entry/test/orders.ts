/** Hosts that send orders to the same servers, one after the other. */
import assert from 'node:assert/strict';
import { After, Given, Then, When } from '@cucumber/cucumber';
import type { FleetConfiguration, ServerEntry } from '@bulrushspar/catalogue';
import { createManualClock, type ManualClock } from '@bulrushspar/clock';
import { createOrderLeadership, type OrderLeadership } from '@bulrushspar/entry';
import { createDemandTracker, ORDER_OUTCOME } from '@bulrushspar/loading';
import { createMemoryStore } from '@bulrushspar/standins';
import { createStoreError, EFFECT, type ObjectStore } from '@bulrushspar/store';

interface SentOrder {
  readonly host: string;
  readonly server: string;
  readonly at: number;
}

interface OrderingHost {
  readonly name: string;
  readonly leadership: OrderLeadership;
  readonly stopping: AbortController;
  reachesStore: boolean;
  reachesServers: boolean;
  isDead: boolean;
}

interface LeadershipWorld {
  clock: ManualClock;
  /** Two hosts, or three. */
  hosts: [OrderingHost, OrderingHost, ...OrderingHost[]];
  sentOrders: SentOrder[];
  /** Latest time at which the first host could still have sent an order, by the manual clock. */
  firstTermEnd: number;
  foundOrder: SentOrder;
  endedFencing: number;
}

const HANDOVER_MILLISECONDS = 3300;
const STEP_MILLISECONDS = 10;
const STATE_INTERVAL_MILLISECONDS = 200;
const TERM_MILLISECONDS = 2000;
const REACQUIRE_MILLISECONDS = 600;
const MODELS = ['m1', 'm2', 'm3'];
const silentLogger = { info: () => {}, warn: () => {}, error: () => {} };

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

function createOrderingHost(
  world: LeadershipWorld,
  store: ObjectStore,
  host: string,
  rank: number,
): OrderingHost {
  const { clock } = world;
  const stopping = new AbortController();
  const sequences = new Map<string, number>();
  const callStore = async <Answer>(work: () => Promise<Answer>): Promise<Answer> => {
    if (orderingHost.reachesStore) return work();
    throw createStoreError(EFFECT.NONE, 'refused');
  };
  const leadership = createOrderLeadership({
    store: {
      ...store,
      read: (key) => callStore(() => store.read(key)),
      write: (key, value, expected) => callStore(() => store.write(key, value, expected)),
    },
    clock,
    logger: silentLogger,
    self: { host, incarnation: host },
    control: {
      report: ({ id }) =>
        Promise.resolve({ born: 1, busy: false, sequence: sequences.get(id) ?? 0, models: [] }),
      order: ({ id }, { expectedSequence }) => {
        if (!orderingHost.isDead)
          world.sentOrders.push({ host, server: id, at: clock.monotonic() });
        sequences.set(id, expectedSequence + 1);
        return Promise.resolve(ORDER_OUTCOME.ACCEPTED);
      },
    },
    demand: createDemandTracker({ clock }),
    configuration: () => CONFIGURATION,
    runningByModel: () => new Map(),
    onOutlook: () => {},
    onUnloading: () => {},
    handoverMilliseconds: HANDOVER_MILLISECONDS,
    contentionRank: () => rank,
    reachesServers: () => orderingHost.reachesServers,
    canOthersReachStore: () => world.hosts?.some((other) => other.reachesStore) ?? true,
  });
  leadership.setServers(SERVERS);
  const orderingHost: OrderingHost = {
    name: host,
    leadership,
    stopping,
    reachesStore: true,
    reachesServers: true,
    isDead: false,
  };
  leadership.run(stopping.signal).catch(() => {});
  return orderingHost;
}

/** Advances time while the hosts exchange reports on their leases. */
async function advanceAndExchange(world: LeadershipWorld, milliseconds: number): Promise<void> {
  const { clock, hosts } = world;
  const end = clock.monotonic() + milliseconds;
  while (clock.monotonic() < end) {
    // eslint-disable-next-line no-await-in-loop -- time advances in steps
    await clock.advance(STEP_MILLISECONDS);
    if (clock.monotonic() % STATE_INTERVAL_MILLISECONDS < STEP_MILLISECONDS) {
      hosts
        .filter(({ isDead }) => !isDead)
        .forEach((sender) => {
          const report = sender.leadership.describeLease();
          hosts.forEach(({ leadership }) => leadership.receiveLease(sender.name, report));
        });
    }
  }
}

const setWants = ({ leadership }: OrderingHost, models: readonly string[]): void =>
  leadership.commander.setWants(
    'a',
    models.map((model) => ({ model, count: 1, credit: 1, objectiveMilliseconds: 1000 })),
  );

Given(
  /^(two|three) hosts that contend for the lease for orders$/,
  async function begin(this: LeadershipWorld, count: string) {
    this.clock = createManualClock();
    this.sentOrders = [];
    const store = createMemoryStore();
    this.hosts = [createOrderingHost(this, store, 'a', 0), createOrderingHost(this, store, 'b', 1)];
    if (count === 'three') this.hosts.push(createOrderingHost(this, store, 'c', 2));
    await advanceAndExchange(this, 1000);
  },
);

After({ tags: '@order-leadership' }, function stop(this: LeadershipWorld) {
  this.hosts?.forEach(({ stopping }) => stopping.abort());
});

When(
  /^the first has ordered "s1" and (loses the store|loses the servers|crashes) (\d+) ms later$/,
  async function lose(this: LeadershipWorld, how: string, milliseconds: string) {
    const [first, second] = this.hosts;
    setWants(first, ['m1']);
    await advanceAndExchange(this, 500);
    assert.deepEqual(
      this.sentOrders.map(({ host, server }) => `${host} ${server}`),
      ['a s1'],
    );
    await advanceAndExchange(this, Number(milliseconds));
    if (how === 'loses the servers') first.reachesServers = false;
    else first.reachesStore = false;
    first.isDead = how === 'crashes';
    this.firstTermEnd = this.clock.monotonic() + TERM_MILLISECONDS;
    setWants(first, []);
    setWants(second, ['m2', 'm3']);
  },
);

const isLeader = ({ leadership }: OrderingHost): boolean =>
  leadership.describeLease()?.over === false;

When(
  /^the first has ordered "s1" and stops, and the second (stops|loses the store) once it is the leader$/,
  async function stop(this: LeadershipWorld, how: string) {
    const [first, second, third] = this.hosts;
    setWants(first, ['m1']);
    await advanceAndExchange(this, 500);
    assert.deepEqual(
      this.sentOrders.map(({ host, server }) => `${host} ${server}`),
      ['a s1'],
    );
    setWants(first, []);
    first.stopping.abort();
    const end = this.clock.monotonic() + TERM_MILLISECONDS;
    while (!isLeader(second) && this.clock.monotonic() < end)
      // eslint-disable-next-line no-await-in-loop -- time advances in steps
      await advanceAndExchange(this, STEP_MILLISECONDS);
    assert(isLeader(second));
    if (how === 'stops') second.stopping.abort();
    else second.reachesStore = false;
    setWants(third!, ['m2', 'm3']);
  },
);

When(
  'neither reaches the store for {int} ms, and the first reports that its term is over',
  async function disconnectStore(this: LeadershipWorld, milliseconds: number) {
    this.hosts.forEach((host) => Object.assign(host, { reachesStore: false }));
    await advanceAndExchange(this, milliseconds);
    const report = this.hosts[0].leadership.describeLease()!;
    assert(report.over);
    this.endedFencing = report.fencing;
  },
);

When('the first reaches the store again', async function back(this: LeadershipWorld) {
  this.hosts[0].reachesStore = true;
  await advanceAndExchange(this, REACQUIRE_MILLISECONDS);
});

Then(
  'it holds the lease under a higher fencing number than that of the ended term',
  function check(this: LeadershipWorld) {
    const { fencing, over } = this.hosts[0].leadership.describeLease()!;
    assert(!over);
    assert(fencing > this.endedFencing);
  },
);

When(
  'the second receives that a leader has a cold load of {string} under way for {int} ms',
  function receive(this: LeadershipWorld, model: string, milliseconds: number) {
    const coldLoads = [{ server: 's1', model, milliseconds }];
    const fencing = Number.MAX_SAFE_INTEGER;
    this.hosts[1].leadership.receiveLease('x', { fencing, over: false, coldLoads });
  },
);

Then(
  'it passes on that the cold load of {string} is under way',
  function check(this: LeadershipWorld, model: string) {
    const { coldLoads = [] } = this.hosts[1].leadership.newestLease()!;
    assert.deepEqual(
      coldLoads.map((load) => load.model),
      [model],
    );
  },
);

When(
  'the second receives that a leader has learnt a limit of {int} cold loads',
  function receive(this: LeadershipWorld, coldLoadLimit: number) {
    const fencing = Number.MAX_SAFE_INTEGER;
    this.hosts[1].leadership.receiveLease('x', { fencing, over: false, coldLoadLimit });
  },
);

Then(
  'the second passes on a limit of {int} cold loads',
  function check(this: LeadershipWorld, coldLoadLimit: number) {
    assert.equal(this.hosts[1].leadership.newestLease()?.coldLoadLimit, coldLoadLimit);
  },
);

const HOST_NAMES: Readonly<Record<string, string>> = { second: 'b', third: 'c' };

/** @param which "second" or "third" host */
async function advanceUntilOrdered(
  world: LeadershipWorld,
  which: string,
  server: string,
  milliseconds: number,
) {
  const findOrder = (): SentOrder | undefined =>
    world.sentOrders.find((order) => order.host === HOST_NAMES[which] && order.server === server);
  const end = world.clock.monotonic() + milliseconds;
  while (!findOrder() && world.clock.monotonic() < end) {
    // eslint-disable-next-line no-await-in-loop -- time advances in steps
    await advanceAndExchange(world, STEP_MILLISECONDS);
  }
  assert(findOrder(), `no order to ${server}`);
  Object.assign(world, { foundOrder: findOrder() });
}

Then(
  'the second orders {string} within {int} ms',
  async function check(this: LeadershipWorld, server: string, milliseconds: number) {
    // The first host abandons the lease within 1,100 ms after it has lost the store.
    await advanceUntilOrdered(this, 'second', server, 1100 + milliseconds);
  },
);

Then(
  /^the (second|third) orders "(s\d)" at least (\d+) ms after the first (did|could still order)$/,
  async function check(
    this: LeadershipWorld,
    which: string,
    server: string,
    milliseconds: string,
    what: string,
  ) {
    await advanceUntilOrdered(this, which, server, 10_000);
    const first = this.sentOrders.find((order) => order.host === 'a' && order.server === server);
    const since = what === 'did' ? first!.at : this.firstTermEnd;
    assert(this.foundOrder.at - since >= Number(milliseconds));
  },
);

Then('it does so within {int} ms', function check(this: LeadershipWorld, milliseconds: number) {
  const first = this.sentOrders.find((order) => order.host === 'a')!;
  const from = this.foundOrder.server === first.server ? first.at : this.firstTermEnd;
  assert(this.foundOrder.at - from <= milliseconds, String(this.foundOrder.at - from));
});
