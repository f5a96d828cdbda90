/** Steps for the coordinator with a fake server that behaves like the real engines. */
import assert from 'node:assert/strict';
import { After, Before, Given, Then, When } from '@cucumber/cucumber';
import fc from 'fast-check';
import type { EngineProfile, ServerEntry } from '@bulrushspar/catalogue';
import { createManualClock, type ManualClock } from '@bulrushspar/clock';
import type { Logger } from '@bulrushspar/logging';
import {
  createLoadCoordinator,
  createDemandTracker,
  ORDER_OPERATION,
  ORDER_OUTCOME,
  type LoadCoordinator,
  type EngineControl,
  type Order,
  type OrderOutcome,
  type ServerReport,
} from '@bulrushspar/loading';

interface CoordinatorWorld {
  clock: ManualClock;
  fakeEngine: FakeEngine;
  secondEngine: FakeEngine | undefined;
  coordinator: LoadCoordinator;
  limitedServers: ReadonlySet<string> | undefined;
  evacuatedServers: ReadonlySet<string> | undefined;
  /** Reports and orders to evacuated servers. */
  forbiddenCalls: number;
  /** Outcome and duration of the last request for an adapter. */
  adapterRequest: { readonly isAccepted: boolean; readonly milliseconds: number };
  holdsLease: boolean;
  sharesCapacity: boolean | undefined;
}

/** A fake server whose orders, reports and entries behave like those of the real engines. */
interface FakeEngine extends EngineControl {
  readonly entry: () => ServerEntry;
  readonly id: string;
  startedLoads: number;
  models: Map<string, Set<string>>;
  /** Number of loads that exceed the memory or the adapter slots. */
  overfullOrders: number;
  receivedOrders: number;
  /** Number of next orders that get no answer. */
  unansweredOrders: number;
  /** Delay after which those are executed, in milliseconds; undefined for never. */
  lateExecutionMilliseconds: number | undefined;
  unloadMilliseconds: number;
  /** Number of next orders that the server accepts without incrementing its sequence. */
  uncountedOrders: number;
  /** Whether an order for an adapter that has no effect is confirmed, whatever sequence it expects, and not counted. */
  confirmsRepeatedOrders: boolean;
  /** Time on the clock until which every adapter has running requests. */
  adaptersInUseUntil: number;
  restart(): void;
  startOrder(order: Pick<Order, 'operation' | 'model'>, milliseconds: number): void;
}

const splitWords = (text: string): string[] => text.split(' ').filter((word) => word !== '');
const MODEL_MEGABYTES = 60_000;
const SERVER_MEGABYTES = 200_000;
const ADAPTER_SLOTS = 8;
const REPORT_LAG_MILLISECONDS = 300;
const ENTRY_LAG_MILLISECONDS = 1000;
const STEP_MILLISECONDS = 50;

const ENGINE_PROFILE: EngineProfile = {
  slots: 64,
  cacheTokens: 100_000,
  weightsMegabytes: SERVER_MEGABYTES,
  adapterSlots: ADAPTER_SLOTS,
  coldLoadsPerSecond: 3,
  models: new Map(
    splitWords('a b c d').map((name) => [
      name,
      {
        name,
        megabytes: name === 'd' ? 150_000 : MODEL_MEGABYTES,
        adapterMegabytes: 10,
        coldMilliseconds: 6000,
        diskMilliseconds: 500,
        memoryMilliseconds: 200,
      },
    ]),
  ),
};

const silentLogger: Logger = { info: () => {}, warn: () => {}, error: () => {} };

function createFakeEngine(clock: ManualClock, id: string): FakeEngine {
  let born = 1;
  let sequence = 0;
  let busy = false;
  const reports: { at: number; report: ServerReport }[] = [];
  /** Adapters that wait for the requests that use them. */
  const unloading = new Set<string>();

  const residentModels = () =>
    [...engine.models].map(([name, adapters]) => ({ name, version: 1, adapters: [...adapters] }));

  const recordReport = (): void => {
    const report = { born, busy, sequence, models: residentModels() };
    reports.push({ at: clock.monotonic(), report });
  };

  const reportFrom = (milliseconds: number): ServerReport => {
    const until = clock.monotonic() - milliseconds;
    return (reports.filter(({ at }) => at <= until).at(-1) ?? reports[0]!).report;
  };

  const usedMegabytes = (): number =>
    [...engine.models.keys()].reduce(
      (sum, name) => sum + ENGINE_PROFILE.models.get(name)!.megabytes,
      0,
    );

  const startOrder = (
    { operation, model }: Pick<Order, 'operation' | 'model'>,
    durationMilliseconds: number,
  ): void => {
    busy = true;
    if (operation === ORDER_OPERATION.LOAD) {
      engine.startedLoads += 1;
      const after = usedMegabytes() + ENGINE_PROFILE.models.get(model)!.megabytes;
      if (after > SERVER_MEGABYTES) engine.overfullOrders += 1;
    }
    recordReport();
    const start = born;
    clock.after(durationMilliseconds, () => {
      if (start !== born) return;
      busy = false;
      if (operation === ORDER_OPERATION.LOAD) engine.models.set(model, new Set());
      else engine.models.delete(model);
      recordReport();
    });
  };

  /** Whether the server holds what an order for an adapter asks for, or is about to. */
  const alreadyHolds = ({ operation, model, adapter }: Order): boolean => {
    if (adapter === undefined) return false;
    const isHeld = engine.models.get(model)?.has(adapter) ?? false;
    if (operation === ORDER_OPERATION.LOAD) return isHeld;
    return !isHeld || unloading.has(`${model}/${adapter}`);
  };

  const executeOrder = (order: Order): OrderOutcome => {
    const { operation, model, adapter, expectedSequence } = order;
    if (engine.confirmsRepeatedOrders && alreadyHolds(order)) return ORDER_OUTCOME.HOLDS;
    if (busy || expectedSequence !== sequence) return ORDER_OUTCOME.CONFLICT;
    const isCounted = engine.uncountedOrders <= 0;
    engine.uncountedOrders -= 1;
    if (adapter === undefined) {
      if (isCounted) sequence += 1;
      startOrder(
        { operation, model },
        operation === ORDER_OPERATION.LOAD ? 500 : engine.unloadMilliseconds,
      );
      return ORDER_OUTCOME.ACCEPTED;
    }
    const adapters = engine.models.get(model);
    if (!adapters) return ORDER_OUTCOME.REJECTED;
    if (isCounted) sequence += 1;
    const inUseFor = engine.adaptersInUseUntil - clock.monotonic();
    if (operation === ORDER_OPERATION.UNLOAD && inUseFor > 0) {
      const start = born;
      unloading.add(`${model}/${adapter}`);
      // The unload waits until no request uses the adapter; the server accepts other orders.
      clock.after(inUseFor, () => {
        if (start !== born) return;
        unloading.delete(`${model}/${adapter}`);
        adapters.delete(adapter);
        recordReport();
      });
      recordReport();
      return ORDER_OUTCOME.ACCEPTED;
    }
    if (operation === ORDER_OPERATION.LOAD) adapters.add(adapter);
    else adapters.delete(adapter);
    const count = [...engine.models.values()].reduce((sum, held) => sum + held.size, 0);
    if (count > ADAPTER_SLOTS) engine.overfullOrders += 1;
    recordReport();
    return operation === ORDER_OPERATION.LOAD ? ORDER_OUTCOME.ACCEPTED : ORDER_OUTCOME.HOLDS;
  };

  const engine: FakeEngine = {
    id,
    startedLoads: 0,
    models: new Map([
      ['a', new Set<string>()],
      ['b', new Set<string>()],
    ]),
    overfullOrders: 0,
    receivedOrders: 0,
    unansweredOrders: 0,
    lateExecutionMilliseconds: undefined,
    unloadMilliseconds: 20,
    uncountedOrders: 0,
    confirmsRepeatedOrders: false,
    adaptersInUseUntil: 0,
    startOrder,
    entry: () => ({
      id,
      service: 'llm',
      address: '127.0.0.1:1',
      failureDomain: 'd1',
      slots: 64,
      leaving: false,
      born: reportFrom(ENTRY_LAG_MILLISECONDS).born,
      models: reportFrom(ENTRY_LAG_MILLISECONDS).models,
      inMemory: [],
      onDisk: splitWords('a b c d'),
    }),
    report: async () => {
      await clock.delay(4);
      return reportFrom(REPORT_LAG_MILLISECONDS);
    },
    order: async (_server, order) => {
      engine.receivedOrders += 1;
      await clock.delay(2);
      if (engine.unansweredOrders > 0) {
        engine.unansweredOrders -= 1;
        if (engine.lateExecutionMilliseconds !== undefined) {
          clock.after(engine.lateExecutionMilliseconds, () => executeOrder(order));
        }
        await clock.delay(300);
        return ORDER_OUTCOME.UNKNOWN;
      }
      const outcome = executeOrder(order);
      await clock.delay(2);
      return outcome;
    },
    restart: () => {
      born += 1;
      sequence = 0;
      busy = false;
      unloading.clear();
      engine.models = new Map();
      recordReport();
    },
  };
  recordReport();
  return engine;
}

const enginesIn = ({ fakeEngine, secondEngine }: CoordinatorWorld): readonly FakeEngine[] =>
  secondEngine ? [fakeEngine, secondEngine] : [fakeEngine];

const engineById = (world: CoordinatorWorld, id: string): FakeEngine =>
  enginesIn(world).find((engine) => engine.id === id)!;

const serverEntries = (world: CoordinatorWorld): ReadonlyMap<string, ServerEntry> =>
  new Map(
    enginesIn(world).map((engine) => [
      engine.id,
      { ...engine.entry(), evacuated: world.evacuatedServers?.has(engine.id) ?? false },
    ]),
  );

/** Counts calls to evacuated servers, which the coordinator must not make. */
const engineToCall = (world: CoordinatorWorld, id: string): FakeEngine => {
  if (world.evacuatedServers?.has(id))
    Object.assign(world, { forbiddenCalls: world.forbiddenCalls + 1 });
  return engineById(world, id);
};

function startCoordinator(world: CoordinatorWorld): void {
  const { clock } = world;
  const coordinator = createLoadCoordinator({
    clock,
    control: {
      report: (server) => engineToCall(world, server.id).report(server),
      order: (server, order) => engineToCall(world, server.id).order(server, order),
    },
    logger: silentLogger,
    holder: 'host-1',
    leaseFencing: () => (world.holdsLease ? 7 : undefined),
    fencing: () => (world.holdsLease ? 7 : undefined),
    millisecondsUntilOrders: () => 0,
    profile: () => ENGINE_PROFILE,
    demand: createDemandTracker({ clock }),
    running: () => new Map(),
    isLimited: (server) => world.limitedServers?.has(server) ?? false,
    sharesCapacity: world.sharesCapacity ?? false,
  });
  coordinator.setServers(serverEntries(world));
  Object.assign(world, { coordinator });
}

Before('@orders', function createFakes(this: CoordinatorWorld) {
  const clock = createManualClock();
  Object.assign(this, { clock, fakeEngine: createFakeEngine(clock, 's1'), holdsLease: true });
  Object.assign(this, { forbiddenCalls: 0 });
});

After('@orders', function stop(this: CoordinatorWorld) {
  this.coordinator?.stop();
});

Given('a server and its coordinator', function start(this: CoordinatorWorld) {
  startCoordinator(this);
});

Given('two servers and their coordinator', function startWithTwo(this: CoordinatorWorld) {
  this.secondEngine = createFakeEngine(this.clock, 's2');
  startCoordinator(this);
});

Then(
  /^the servers started (\d+) loads?$/,
  function checkStartedLoads(this: CoordinatorWorld, count: string) {
    const loads = enginesIn(this).reduce((sum, engine) => sum + engine.startedLoads, 0);
    assert.equal(loads, Number(count));
  },
);

Given('its coordinator', function start(this: CoordinatorWorld) {
  startCoordinator(this);
});

Given('the lease is lost', function loseLease(this: CoordinatorWorld) {
  this.holdsLease = false;
});

Given(
  'unloads take {int} ms',
  function setUnloadTime(this: CoordinatorWorld, milliseconds: number) {
    enginesIn(this).forEach((engine) =>
      Object.assign(engine, { unloadMilliseconds: milliseconds }),
    );
  },
);

Given(
  /^the first (\d+) orders get no answer and are executed (?:(never)|after ([\d.]+) s)$/,
  function loseAnswers(
    this: CoordinatorWorld,
    count: string,
    never: string | null,
    seconds: string | null,
  ) {
    this.fakeEngine.unansweredOrders = Number(count);
    this.fakeEngine.lateExecutionMilliseconds = never ? undefined : Number(seconds) * 1000;
  },
);

Given(
  "a server that executes the former coordinator's load of {string} for another {float} s",
  async function startForeignLoad(this: CoordinatorWorld, model: string, seconds: number) {
    this.fakeEngine.startOrder({ operation: ORDER_OPERATION.LOAD, model }, seconds * 1000 + 400);
    await this.clock.advance(400);
  },
);

Given(
  'the server does not count its first {int} orders',
  function skipCounting(this: CoordinatorWorld, count: number) {
    this.fakeEngine.uncountedOrders = count;
  },
);

/** @param isReady whether the model can be had, so that no request waits for it */
async function waitForModel(
  world: CoordinatorWorld,
  model: string,
  seconds: number,
  isReady: () => boolean,
): Promise<void> {
  const { clock, coordinator } = world;
  const end = clock.monotonic() + seconds * 1000;
  while (clock.monotonic() < end) {
    coordinator.setServers(serverEntries(world));
    const want = { model, count: 1, credit: 1, objectiveMilliseconds: 1000 };
    coordinator.setWants('host-1', isReady() ? [] : [want]);
    // eslint-disable-next-line no-await-in-loop -- the clock advances sequentially
    await clock.advance(STEP_MILLISECONDS);
  }
}

const holds = (engine: FakeEngine, model: string): boolean =>
  engine.entry().models.some(({ name }) => name === model);

When(
  'requests wait for {string} for {int} s',
  async function play(this: CoordinatorWorld, model: string, seconds: number) {
    await waitForModel(this, model, seconds, () => holds(this.fakeEngine, model));
  },
);

When(
  'the server that holds {string} limits its requests, and requests wait for {string} for {int} s',
  async function play(this: CoordinatorWorld, held: string, model: string, seconds: number) {
    const limited = enginesIn(this).filter((engine) => holds(engine, held));
    this.limitedServers = new Set(limited.map(({ id }) => id));
    const others = enginesIn(this).filter((engine) => !limited.includes(engine));
    await waitForModel(this, model, seconds, () => others.some((engine) => holds(engine, model)));
  },
);

When(
  'all servers limit their requests, and requests wait for {string} for {int} s',
  async function play(this: CoordinatorWorld, model: string, seconds: number) {
    this.limitedServers = new Set(enginesIn(this).map(({ id }) => id));
    await waitForModel(this, model, seconds, () =>
      enginesIn(this).some((engine) => holds(engine, model)),
    );
  },
);

When(
  /^(?:all servers are|the server that holds "(\w+)" is) evacuated, and requests wait for "(\w+)" for (\d+) s$/,
  async function play(this: CoordinatorWorld, held: string | null, model: string, seconds: string) {
    const evacuated = enginesIn(this).filter((engine) => held === null || holds(engine, held));
    this.evacuatedServers = new Set(evacuated.map(({ id }) => id));
    const others = enginesIn(this).filter((engine) => !evacuated.includes(engine));
    const isReady = () => others.some((engine) => holds(engine, model));
    this.coordinator.setServers(serverEntries(this));
    await waitForModel(this, model, Number(seconds), isReady);
  },
);

When('the evacuation ends', function end(this: CoordinatorWorld) {
  this.evacuatedServers = undefined;
});

Then('evacuated servers received no order and no report', function check(this: CoordinatorWorld) {
  assert.equal(this.forbiddenCalls, 0);
});

Then('both servers hold {string}', function check(this: CoordinatorWorld, model: string) {
  enginesIn(this).forEach((engine) => assert.ok(holds(engine, model), engine.id));
});

When(
  'adapters {string} of {string} are requested at once',
  async function requestAdapters(this: CoordinatorWorld, adapters: string, model: string) {
    const work = splitWords(adapters).map((name) =>
      this.coordinator.ensureAdapter('s1', model, name),
    );
    await this.clock.advance(2000);
    await Promise.all(work);
  },
);

When(
  'adapter {string} of {string} is requested, and the server begins to leave after {int} ms',
  async function requestAdapter(
    this: CoordinatorWorld,
    adapter: string,
    model: string,
    milliseconds: number,
  ) {
    const { clock, coordinator, fakeEngine } = this;
    const requestedAt = clock.monotonic();
    const request = coordinator.ensureAdapter('s1', model, adapter).then((isAccepted) => {
      this.adapterRequest = { isAccepted, milliseconds: clock.monotonic() - requestedAt };
    });
    await clock.advance(milliseconds);
    coordinator.setServers(new Map([['s1', { ...fakeEngine.entry(), leaving: true }]]));
    await clock.advance(3000);
    await request;
  },
);

Then(
  'the request for the adapter is refused after {int} to {int} ms',
  function check(this: CoordinatorWorld, least: number, most: number) {
    const { isAccepted, milliseconds } = this.adapterRequest;
    assert.equal(isAccepted, false);
    assert.ok(milliseconds >= least && milliseconds <= most, `${milliseconds} ms`);
  },
);

When('the server restarts', async function restart(this: CoordinatorWorld) {
  this.fakeEngine.restart();
  await this.clock.advance(ENTRY_LAG_MILLISECONDS + STEP_MILLISECONDS);
});

Then('the server holds {string}', function checkModels(this: CoordinatorWorld, models: string) {
  assert.deepEqual([...this.fakeEngine.models.keys()].sort(), splitWords(models));
});

Then(
  'the server holds {int} adapters',
  function checkAdapterCount(this: CoordinatorWorld, count: number) {
    const held = [...this.fakeEngine.models.values()].reduce(
      (sum, adapters) => sum + adapters.size,
      0,
    );
    assert.equal(held, count);
  },
);

Then("no order exceeded the server's capacity", function checkCapacity(this: CoordinatorWorld) {
  assert.equal(this.fakeEngine.overfullOrders, 0);
});

Then(
  'the server received {int} orders',
  function checkReceivedOrders(this: CoordinatorWorld, count: number) {
    assert.equal(this.fakeEngine.receivedOrders, count);
  },
);

Given('the server confirms orders that have no effect', function set(this: CoordinatorWorld) {
  this.fakeEngine.confirmsRepeatedOrders = true;
});

Given(
  'all adapters are in use for the next {int} s',
  function use(this: CoordinatorWorld, seconds: number) {
    this.fakeEngine.adaptersInUseUntil = this.clock.monotonic() + seconds * 1000;
  },
);

const generatedEvent = fc.oneof(
  fc.record({ wantedModel: fc.constantFrom('a', 'b', 'c', 'd') }),
  {
    weight: 6,
    arbitrary: fc.record({
      wantedAdapter: fc.integer({ min: 1, max: 14 }),
      model: fc.constantFrom('a', 'b', 'c'),
    }),
  },
  fc.record({
    unansweredOrders: fc.integer({ min: 1, max: 3 }),
    lateMilliseconds: fc.option(fc.integer({ min: 0, max: 12_000 }), { nil: undefined }),
  }),
  fc.record({ inUseMilliseconds: fc.integer({ min: 50, max: 6000 }) }),
  fc.record({ event: fc.constantFrom('restart', 'lose the lease', 'take the lease') }),
);
const generatedPlan = fc.array(fc.tuple(generatedEvent, fc.integer({ min: 0, max: 1500 })), {
  minLength: 5,
  maxLength: 40,
});
type GeneratedEvent = typeof generatedEvent extends fc.Arbitrary<infer Event> ? Event : never;

function performEvent(world: CoordinatorWorld, event: GeneratedEvent): void {
  const { clock, fakeEngine, coordinator } = world;
  if ('wantedModel' in event) {
    const want = { model: event.wantedModel, count: 2, credit: 2, objectiveMilliseconds: 1000 };
    coordinator.setWants('host-1', [want]);
  } else if ('wantedAdapter' in event) {
    coordinator
      .ensureAdapter(fakeEngine.id, event.model, String(event.wantedAdapter))
      .catch(() => {});
  } else if ('unansweredOrders' in event) {
    fakeEngine.unansweredOrders = event.unansweredOrders;
    fakeEngine.lateExecutionMilliseconds = event.lateMilliseconds;
  } else if ('inUseMilliseconds' in event) {
    fakeEngine.adaptersInUseUntil = clock.monotonic() + event.inUseMilliseconds;
  } else if (event.event === 'restart') fakeEngine.restart();
  else Object.assign(world, { holdsLease: event.event === 'take the lease' });
}

Then(
  /^(\d+) generated sequences of events(, with shared capacity,|, with repeated orders confirmed,)? never exceed the server's capacity$/,
  { timeout: 120_000 },
  async (count: string, variant: string | null) => {
    const numRuns = Number(count);
    const sharesCapacity = variant?.includes('shared') ?? false;
    const confirmsRepeatedOrders = variant?.includes('confirmed') ?? false;
    const property = fc.asyncProperty(generatedPlan, async (plan) => {
      const clock = createManualClock();
      const fakeEngine = Object.assign(createFakeEngine(clock, 's1'), { confirmsRepeatedOrders });
      const world = { clock, fakeEngine, holdsLease: true, sharesCapacity } as CoordinatorWorld;
      startCoordinator(world);
      for (const [event, pauseMilliseconds] of plan) {
        performEvent(world, event);
        for (let passed = 0; passed <= pauseMilliseconds; passed += STEP_MILLISECONDS) {
          // eslint-disable-next-line no-await-in-loop -- the clock advances sequentially
          await clock.advance(STEP_MILLISECONDS);
          world.coordinator.setServers(serverEntries(world));
        }
      }
      await clock.advance(20_000);
      world.coordinator.stop();
      assert.equal(fakeEngine.overfullOrders, 0);
    });
    await fc.assert(property, { numRuns, seed: 20_261_204 });
  },
);
