/** Hosts that want models moved out of one weight store, with faults of each host. */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import fc from 'fast-check';
import { createManualClock, type ManualClock } from '@bulrushspar/clock';
import { PRIORITY, type Priority } from '@bulrushspar/configuration';
import { isRefusal } from '@bulrushspar/errors';
import { createTurns, TURN_KIND, type TurnRecord, type Turns } from '@bulrushspar/placement';
import { isStoreError } from '@bulrushspar/store';
import { createMemoryStore, type MemoryStore, type StoreFault } from '@bulrushspar/standins';

interface MovingStage {
  readonly clock: ManualClock;
  readonly store: MemoryStore;
  readonly hosts: MovingHost[];
  /** Models that servers are loading. */
  readonly moving: Set<string>;
  /** Models in the order in which their moves began. */
  readonly moved: string[];
  readonly gone: Set<string>;
  limit: number | undefined;
  peak: number;
}

interface MovingHost {
  readonly name: string;
  readonly turns: Turns;
  fault: StoreFault | undefined;
  /** Has died or is paused: nothing that it waits for comes to it. */
  still: boolean;
  /** Errors by model. */
  readonly errors: Map<string, unknown>;
}

interface MovingWorld {
  stage: MovingStage;
}

const SECOND = 1000;
const MOVE_MILLISECONDS = SECOND;
const STEP_MILLISECONDS = 20;
const SEED = 20261203;
const RECORD = 'weight-store';

function createStage(limit: number): MovingStage {
  return {
    clock: createManualClock(),
    store: createMemoryStore(),
    hosts: [],
    moving: new Set(),
    moved: [],
    gone: new Set(),
    limit,
    peak: 0,
  };
}

function addHost(stage: MovingStage): void {
  const name = `host-${stage.hosts.length + 1}`;
  let calls = 0;
  const store = stage.store.withFaults(() => {
    calls += 1;
    if (host.still) return 'hangs';
    return host.fault === 'answer-lost' && calls % 3 !== 0 ? undefined : host.fault;
  });
  const turns = createTurns({
    store,
    clock: stage.clock,
    self: { host: name, incarnation: name },
    record: RECORD,
    limit: async () => {
      if (stage.limit === undefined) throw new Error('no answer');
      return stage.limit;
    },
    isGone: (other) => stage.gone.has(other.host),
    isUnderWay: (model) => stage.moving.has(model),
  });
  const host: MovingHost = {
    name,
    turns,
    fault: undefined,
    still: false,
    errors: new Map(),
  };
  stage.hosts.push(host);
}

/** Begins to move a model, unless another host has done so. */
async function move(stage: MovingStage, model: string): Promise<void> {
  if (!stage.moved.includes(model)) {
    stage.moved.push(model);
    stage.moving.add(model);
    Object.assign(stage, { peak: Math.max(stage.peak, stage.moving.size) });
    stage.clock.after(MOVE_MILLISECONDS, () => stage.moving.delete(model));
  }
  await stage.clock.delay(MOVE_MILLISECONDS);
}

interface Wish {
  readonly model: string;
  readonly seconds: number;
  readonly priority?: Priority;
}

/** Wants a model as the placer does. */
async function want(stage: MovingStage, host: MovingHost, wish: Wish): Promise<void> {
  const { model, seconds, priority = PRIORITY.PERSON } = wish;
  const waits = host.turns.waiting().includes(model);
  host.turns.want({ name: model, priority, remainingMilliseconds: seconds * SECOND });
  if (waits) return;
  try {
    await host.turns.acquire(model);
    if (!host.still) await move(stage, model);
  } catch (error) {
    host.errors.set(model, error);
  } finally {
    if (!host.still) host.turns.finish(model);
  }
}

const wantAlone = (stage: MovingStage, host: MovingHost, wish: Wish): void => {
  want(stage, host, wish).catch(() => {});
};

async function pass(stage: MovingStage, milliseconds: number): Promise<void> {
  const end = stage.clock.monotonic() + milliseconds;
  // eslint-disable-next-line no-await-in-loop -- time passes step by step
  while (stage.clock.monotonic() < end) await stage.clock.advance(STEP_MILLISECONDS);
}

async function passUntil(
  stage: MovingStage,
  seconds: number,
  what: string,
  condition: () => boolean,
): Promise<void> {
  const end = stage.clock.monotonic() + seconds * SECOND;
  while (!condition()) {
    assert.ok(stage.clock.monotonic() < end, `${what}: not within ${seconds} s`);
    // eslint-disable-next-line no-await-in-loop -- time passes step by step
    await stage.clock.advance(STEP_MILLISECONDS);
  }
}

const namesOf = (count: number): string[] =>
  Array.from({ length: count }, (_, index) => `model-${index + 1}`);

const wantAll = (
  stage: MovingStage,
  hosts: readonly MovingHost[],
  count: number,
  seconds: number,
) =>
  hosts.forEach((host) =>
    namesOf(count).forEach((model) => wantAlone(stage, host, { model, seconds })),
  );

Given(
  '{int} hosts before a weight store that moves {int} transfers at full speed',
  function open(this: MovingWorld, count: number, limit: number) {
    this.stage = createStage(limit);
    for (let index = 0; index < count; index += 1) addHost(this.stage);
  },
);

When(
  'every host wants {int} models for people within {int} s',
  function all(this: MovingWorld, count: number, seconds: number) {
    wantAll(this.stage, this.stage.hosts, count, seconds);
  },
);

When(
  'the weight store says nothing, and every host wants {int} models for people within {int} s',
  function all(this: MovingWorld, count: number, seconds: number) {
    this.stage.limit = undefined;
    wantAll(this.stage, this.stage.hosts, count, seconds);
  },
);

When(
  'host 2 and host 3 want {int} models for people within {int} s',
  function both(this: MovingWorld, count: number, seconds: number) {
    wantAll(this.stage, this.stage.hosts.slice(1), count, seconds);
  },
);

When(
  /^host (\d) wants "(.*)" for a (person|batch) within ([\d.]+) s$/,
  async function one(this: MovingWorld, at: string, model: string, kind: string, seconds: string) {
    const host = this.stage.hosts[Number(at) - 1]!;
    const priority = kind as Priority;
    wantAlone(this.stage, host, { model, priority, seconds: Number(seconds) });
    await pass(this.stage, 5 * STEP_MILLISECONDS);
  },
);

Then(
  'within {int} s the models are moved in the order {string}',
  async function order(this: MovingWorld, seconds: number, list: string) {
    const wanted = list.split(', ');
    const { stage } = this;
    await passUntil(stage, seconds, 'moves', () => stage.moved.length >= wanted.length);
    assert.deepEqual(stage.moved, wanted);
  },
);

Then(
  'within {int} s all {int} models are moved',
  async function all(this: MovingWorld, seconds: number, count: number) {
    const { stage } = this;
    const done = (): boolean => namesOf(count).every((model) => stage.moved.includes(model));
    await passUntil(stage, seconds, 'moves', done);
  },
);

Then(
  /^no more than (\d+) (?:of them )?were moved at once, and each only once$/,
  function peak(this: MovingWorld, most: string) {
    assert.ok(this.stage.peak <= Number(most), `${this.stage.peak} at once`);
    assert.equal(new Set(this.stage.moved).size, this.stage.moved.length);
  },
);

Then(
  'within {int} s host {int} is told that the turn of {string} did not come',
  async function told(this: MovingWorld, seconds: number, at: number, model: string) {
    const { errors } = this.stage.hosts[at - 1]!;
    await passUntil(this.stage, seconds, 'an answer', () => errors.has(model));
    const error = errors.get(model);
    assert.ok(isRefusal(error) && error.refusal.code === 'no_capacity');
    assert.ok(!this.stage.moved.includes(model));
  },
);

Then(
  'within {int} s nothing waits in the record',
  async function empty(this: MovingWorld, seconds: number) {
    await pass(this.stage, seconds * SECOND);
    const key = { kind: TURN_KIND, name: RECORD };
    const found = await this.stage.store.read<TurnRecord>(key);
    assert.deepEqual(
      found!.value.turns.filter(({ running }) => !running),
      [],
    );
  },
);

When(
  'the store is away and host 1 wants {string} for a person within {int} s',
  function away(this: MovingWorld, model: string, seconds: number) {
    const [host] = this.stage.hosts;
    host!.fault = 'unavailable';
    wantAlone(this.stage, host!, { model, seconds });
  },
);

Then(
  'within {int} s host 1 is told that the store is unavailable',
  async function told(this: MovingWorld, seconds: number) {
    const { errors } = this.stage.hosts[0]!;
    await passUntil(this.stage, seconds, 'an answer', () => errors.size > 0);
    assert.ok([...errors.values()].every(isStoreError));
  },
);

type HostFault = (stage: MovingStage, host: MovingHost) => void;

const die: HostFault = ({ gone }, host) => {
  Object.assign(host, { still: true });
  gone.add(host.name);
};

const FAULTS: Readonly<Record<string, HostFault>> = {
  'dies before its load begins': die,
  'dies while its load runs': (stage, host) => {
    move(stage, 'of-host-1').catch(() => {});
    die(stage, host);
  },
  'is paused before its load': (stage, host) => {
    Object.assign(host, { still: true });
    stage.clock.after(30 * SECOND, () => Object.assign(host, { still: false }));
  },
  'loses the answers of the store': (_, host) => Object.assign(host, { fault: 'answer-lost' }),
  'is cut off from the store': (_, host) => Object.assign(host, { fault: 'unavailable' }),
};

When(
  /^host 1 (has|waits for) a turn and (.*)$/,
  async function meet(this: MovingWorld, holds: string, fault: string) {
    const { stage } = this;
    const [host, other] = stage.hosts;
    if (holds === 'waits for') {
      ['busy-1', 'busy-2'].forEach((model) => wantAlone(stage, other!, { model, seconds: 60 }));
      await pass(stage, 5 * STEP_MILLISECONDS);
      wantAlone(stage, host!, { model: 'of-host-1', seconds: 60 });
      await pass(stage, 5 * STEP_MILLISECONDS);
    } else {
      const { turns } = host!;
      turns.want({
        name: 'of-host-1',
        priority: 'person',
        remainingMilliseconds: 60 * SECOND,
      });
      const turn = turns.acquire('of-host-1');
      await pass(stage, 5 * STEP_MILLISECONDS);
      await turn;
    }
    FAULTS[fault]!(stage, host!);
  },
);

const generatedWish = fc.record({
  host: fc.integer({ min: 0, max: 2 }),
  model: fc.integer({ min: 1, max: 8 }).map((number) => `model-${number}`),
  priority: fc.constantFrom(PRIORITY.PERSON, PRIORITY.BATCH),
  pause: fc.constantFrom(0, 40, 300, 1500),
  fault: fc.option(fc.constantFrom('answer-lost', 'late', 'request-lost'), { nil: undefined }),
});

Then(
  'in {int} generated courses every model that a living host wants in time is moved, few at once',
  { timeout: 120_000 },
  async (numRuns: number) => {
    const property = fc.asyncProperty(
      fc.array(generatedWish, { minLength: 3, maxLength: 25 }),
      async (wishes) => {
        const stage = createStage(2);
        [1, 2, 3].forEach(() => addHost(stage));
        for (const { host: index, model, priority, pause, fault } of wishes) {
          const host = stage.hosts[index]!;
          host.fault = fault;
          wantAlone(stage, host, { model, priority, seconds: 600 });
          // eslint-disable-next-line no-await-in-loop -- wishes follow one another
          await pass(stage, pause);
          host.fault = undefined;
          stage.store.deliverLate();
        }
        await pass(stage, 40 * SECOND);
        const failed = new Set(stage.hosts.flatMap(({ errors }) => [...errors.keys()]));
        const missing = wishes.filter(
          ({ model }) => !failed.has(model) && !stage.moved.includes(model),
        );
        assert.deepEqual(missing, []);
        assert.ok(stage.peak <= 2, `${stage.peak} at once`);
      },
    );
    await fc.assert(property, { numRuns, seed: SEED });
  },
);
