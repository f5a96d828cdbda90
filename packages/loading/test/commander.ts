/** The giver of orders before a server that behaves like the users' engines. */
import assert from 'node:assert/strict';
import { After, Before, Given, Then, When } from '@cucumber/cucumber';
import type { EngineProfile, ServerEntry } from '@bulrushspar/catalogue';
import { createManualClock, type ManualClock } from '@bulrushspar/clock';
import type { Logger } from '@bulrushspar/logging';
import {
  createCommander,
  createDemand,
  OPERATION,
  ORDER_OUTCOME,
  type Commander,
  type EngineControl,
  type Order,
  type OrderOutcome,
  type ServerReport,
} from '@bulrushspar/loading';

interface CommanderWorld {
  clock: ManualClock;
  fakeEngine: FakeEngine;
  secondEngine: FakeEngine | undefined;
  commander: Commander;
  leads: boolean;
}

/** A server whose orders, reports and entries behave as the users' do. */
interface FakeEngine extends EngineControl {
  readonly entry: () => ServerEntry;
  readonly id: string;
  loads: number;
  models: Map<string, Set<string>>;
  overfilled: number;
  orders: number;
  /** Orders from now on that get no answer. */
  unanswered: number;
  /** When those are carried out, in milliseconds; undefined for never. */
  lateMilliseconds: number | undefined;
  unloadMilliseconds: number;
  /** Orders from now on that the server accepts without counting them. */
  uncounted: number;
  restart(): void;
  begin(order: Pick<Order, 'operation' | 'model'>, milliseconds: number): void;
}

const words = (text: string): string[] => text.split(' ').filter((word) => word !== '');
const MODEL_MEGABYTES = 60_000;
const SERVER_MEGABYTES = 200_000;
const ADAPTER_SLOTS = 8;
const REPORT_LAG_MILLISECONDS = 300;
const ENTRY_LAG_MILLISECONDS = 1000;
const STEP_MILLISECONDS = 50;

const PROFILE: EngineProfile = {
  slots: 64,
  cacheTokens: 100_000,
  weightsMegabytes: SERVER_MEGABYTES,
  adapterSlots: ADAPTER_SLOTS,
  coldLoadsPerSecond: 3,
  models: new Map(
    words('a b c d').map((name) => [
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

const silent: Logger = { info: () => {}, warn: () => {}, error: () => {} };

function createFakeEngine(clock: ManualClock, id: string): FakeEngine {
  let born = 1;
  let sequence = 0;
  let busy = false;
  const reports: { at: number; report: ServerReport }[] = [];

  const residents = () =>
    [...engine.models].map(([name, adapters]) => ({ name, version: 1, adapters: [...adapters] }));

  const snapshot = (): void => {
    const report = { born, busy, sequence, models: residents() };
    reports.push({ at: clock.monotonic(), report });
  };

  const seenBefore = (milliseconds: number): ServerReport => {
    const until = clock.monotonic() - milliseconds;
    return (reports.filter(({ at }) => at <= until).at(-1) ?? reports[0]!).report;
  };

  const megabytes = (): number =>
    [...engine.models.keys()].reduce((sum, name) => sum + PROFILE.models.get(name)!.megabytes, 0);

  const begin = ({ operation, model }: Pick<Order, 'operation' | 'model'>, time: number): void => {
    busy = true;
    if (operation === OPERATION.LOAD) {
      engine.loads += 1;
      const after = megabytes() + PROFILE.models.get(model)!.megabytes;
      if (after > SERVER_MEGABYTES) engine.overfilled += 1;
    }
    snapshot();
    const start = born;
    clock.after(time, () => {
      if (start !== born) return;
      busy = false;
      if (operation === OPERATION.LOAD) engine.models.set(model, new Set());
      else engine.models.delete(model);
      snapshot();
    });
  };

  const carryOut = ({ operation, model, adapter, expectedSequence }: Order): OrderOutcome => {
    if (busy || expectedSequence !== sequence) return ORDER_OUTCOME.CONFLICT;
    const counts = engine.uncounted <= 0;
    engine.uncounted -= 1;
    if (adapter === undefined) {
      if (counts) sequence += 1;
      begin({ operation, model }, operation === OPERATION.LOAD ? 500 : engine.unloadMilliseconds);
      return ORDER_OUTCOME.ACCEPTED;
    }
    if (counts) sequence += 1;
    const adapters = engine.models.get(model)!;
    if (operation === OPERATION.LOAD) adapters.add(adapter);
    else adapters.delete(adapter);
    const count = [...engine.models.values()].reduce((sum, held) => sum + held.size, 0);
    if (count > ADAPTER_SLOTS) engine.overfilled += 1;
    snapshot();
    return operation === OPERATION.LOAD ? ORDER_OUTCOME.ACCEPTED : ORDER_OUTCOME.HOLDS;
  };

  const engine: FakeEngine = {
    id,
    loads: 0,
    models: new Map([
      ['a', new Set<string>()],
      ['b', new Set<string>()],
    ]),
    overfilled: 0,
    orders: 0,
    unanswered: 0,
    lateMilliseconds: undefined,
    unloadMilliseconds: 20,
    uncounted: 0,
    begin,
    entry: () => ({
      id,
      service: 'llm',
      address: '127.0.0.1:1',
      failureDomain: 'd1',
      slots: 64,
      leaving: false,
      born: seenBefore(ENTRY_LAG_MILLISECONDS).born,
      models: seenBefore(ENTRY_LAG_MILLISECONDS).models,
      inMemory: [],
      onDisk: words('a b c d'),
    }),
    report: async () => {
      await clock.delay(4);
      return seenBefore(REPORT_LAG_MILLISECONDS);
    },
    order: async (_server, order) => {
      engine.orders += 1;
      await clock.delay(2);
      if (engine.unanswered > 0) {
        engine.unanswered -= 1;
        if (engine.lateMilliseconds !== undefined) {
          clock.after(engine.lateMilliseconds, () => carryOut(order));
        }
        await clock.delay(300);
        return ORDER_OUTCOME.UNKNOWN;
      }
      const outcome = carryOut(order);
      await clock.delay(2);
      return outcome;
    },
    restart: () => {
      born += 1;
      sequence = 0;
      busy = false;
      engine.models = new Map();
      snapshot();
    },
  };
  snapshot();
  return engine;
}

const enginesOf = ({ fakeEngine, secondEngine }: CommanderWorld): readonly FakeEngine[] =>
  secondEngine ? [fakeEngine, secondEngine] : [fakeEngine];

const engineOf = (world: CommanderWorld, id: string): FakeEngine =>
  enginesOf(world).find((engine) => engine.id === id)!;

const entriesOf = (world: CommanderWorld): ReadonlyMap<string, ServerEntry> =>
  new Map(enginesOf(world).map((engine) => [engine.id, engine.entry()]));

function openCommander(world: CommanderWorld): void {
  const { clock } = world;
  const commander = createCommander({
    clock,
    control: {
      report: (server) => engineOf(world, server.id).report(server),
      order: (server, order) => engineOf(world, server.id).order(server, order),
    },
    logger: silent,
    holder: 'host-1',
    term: () => (world.leads ? 7 : undefined),
    fencing: () => (world.leads ? 7 : undefined),
    ordersIn: () => 0,
    profile: () => PROFILE,
    demand: createDemand({ clock }),
    running: () => new Map(),
  });
  commander.setServers(entriesOf(world));
  Object.assign(world, { commander });
}

Before('@orders', function open(this: CommanderWorld) {
  const clock = createManualClock();
  Object.assign(this, { clock, fakeEngine: createFakeEngine(clock, 's1'), leads: true });
});

After('@orders', function stop(this: CommanderWorld) {
  this.commander?.stop();
});

Given('a server and the giver of its orders', function open(this: CommanderWorld) {
  openCommander(this);
});

Given('two servers and the giver of their orders', function open(this: CommanderWorld) {
  this.secondEngine = createFakeEngine(this.clock, 's2');
  openCommander(this);
});

Then('the servers began {int} load', function check(this: CommanderWorld, count: number) {
  const loads = enginesOf(this).reduce((sum, engine) => sum + engine.loads, 0);
  assert.equal(loads, count);
});

Given('the giver of its orders', function open(this: CommanderWorld) {
  openCommander(this);
});

Given('the lease is lost', function lose(this: CommanderWorld) {
  this.leads = false;
});

Given('unloads take {int} ms', function slow(this: CommanderWorld, milliseconds: number) {
  enginesOf(this).forEach((engine) => Object.assign(engine, { unloadMilliseconds: milliseconds }));
});

Given(
  /^the first (\d+) orders get no answer and are carried out (?:(never)|after ([\d.]+) s)$/,
  function lose(this: CommanderWorld, count: string, never: string | null, seconds: string | null) {
    this.fakeEngine.unanswered = Number(count);
    this.fakeEngine.lateMilliseconds = never ? undefined : Number(seconds) * 1000;
  },
);

Given(
  'a server that carries out a load of {string} for another {float} s by the former giver',
  async function busy(this: CommanderWorld, model: string, seconds: number) {
    this.fakeEngine.begin({ operation: OPERATION.LOAD, model }, seconds * 1000 + 400);
    await this.clock.advance(400);
  },
);

Given(
  'the server forgets to count its first {int} orders',
  function forget(this: CommanderWorld, count: number) {
    this.fakeEngine.uncounted = count;
  },
);

When(
  'requests wait for {string} for {int} s',
  async function wait(this: CommanderWorld, model: string, seconds: number) {
    const end = this.clock.monotonic() + seconds * 1000;
    while (this.clock.monotonic() < end) {
      this.commander.setServers(entriesOf(this));
      const entry = this.fakeEngine.entry();
      const loaded = entry.models.some(({ name }) => name === model);
      const want = { model, count: 1, credit: 1, objectiveMilliseconds: 1000 };
      this.commander.setWants('host-1', loaded ? [] : [want]);
      // eslint-disable-next-line no-await-in-loop -- steps of time follow one another
      await this.clock.advance(STEP_MILLISECONDS);
    }
  },
);

When(
  'adapters {string} of {string} are asked for at once',
  async function ask(this: CommanderWorld, adapters: string, model: string) {
    const work = words(adapters).map((name) => this.commander.ensureAdapter('s1', model, name));
    await this.clock.advance(2000);
    await Promise.all(work);
  },
);

When('the server starts again', async function restart(this: CommanderWorld) {
  this.fakeEngine.restart();
  await this.clock.advance(ENTRY_LAG_MILLISECONDS + STEP_MILLISECONDS);
});

Then('the server holds {string}', function holds(this: CommanderWorld, models: string) {
  assert.deepEqual([...this.fakeEngine.models.keys()].sort(), words(models));
});

Then('the server holds {int} adapters', function holds(this: CommanderWorld, count: number) {
  const held = [...this.fakeEngine.models.values()].reduce(
    (sum, adapters) => sum + adapters.size,
    0,
  );
  assert.equal(held, count);
});

Then('no order was more than the server has room for', function check(this: CommanderWorld) {
  assert.equal(this.fakeEngine.overfilled, 0);
});

Then('the server received {int} orders', function check(this: CommanderWorld, count: number) {
  assert.equal(this.fakeEngine.orders, count);
});
