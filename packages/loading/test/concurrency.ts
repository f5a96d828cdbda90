/** Steps for the adaptive limit of concurrent cold loads. */
import assert from 'node:assert/strict';
import { Before, Given, Then, When } from '@cucumber/cucumber';
import { createConcurrencyLimit, type ConcurrencyLimit } from '@bulrushspar/loading';

interface ConcurrencyWorld {
  concurrency: ConcurrencyLimit;
  now: number;
  capacity: number;
  nextId: number;
}

/** A load with the work that it still needs, in milliseconds at full speed. */
interface SimulatedLoad {
  readonly id: string;
  work: number;
  /** Speed of its server in relation to that of the weight store. */
  readonly speed: number;
}

const STATED_MILLISECONDS = 8000;
const STEP_MILLISECONDS = 100;

function observe(world: ConcurrencyWorld, loads: readonly SimulatedLoad[]): void {
  world.concurrency.observe({
    now: world.now,
    running: loads.map(({ id }) => ({ id, statedMilliseconds: STATED_MILLISECONDS })),
    others: 0,
    isMoreWanted: true,
    hasSucceeded: () => true,
  });
}

const createLoad = (world: ConcurrencyWorld, speed = 1): SimulatedLoad => {
  Object.assign(world, { nextId: world.nextId + 1 });
  return { id: String(world.nextId), work: STATED_MILLISECONDS, speed };
};

/** Runs loads for a time; as many as the limit allows if no number is given. */
function run(world: ConcurrencyWorld, seconds: number, count?: number, slowLoads = 0): void {
  const end = world.now + seconds * 1000;
  let loads: SimulatedLoad[] = Array.from({ length: count ?? 0 }, (_, index) =>
    createLoad(world, index < slowLoads ? 0.5 : 1),
  );
  while (world.now < end) {
    while (count === undefined && loads.length < world.concurrency.limit())
      loads.push(createLoad(world));
    observe(world, loads);
    Object.assign(world, { now: world.now + STEP_MILLISECONDS });
    const shared = Math.min(1, world.capacity / loads.length);
    loads.forEach((load) =>
      Object.assign(load, { work: load.work - STEP_MILLISECONDS * shared * load.speed }),
    );
    loads = loads.filter(({ work }) => work > 0);
  }
  observe(world, loads);
}

Before('@concurrency', function reset(this: ConcurrencyWorld) {
  Object.assign(this, { concurrency: createConcurrencyLimit(), now: 0, nextId: 0 });
});

Given(
  'a weight store with room for {int} loads at full speed',
  function setCapacity(this: ConcurrencyWorld, capacity: number) {
    this.capacity = capacity;
  },
);

When(
  /^(\d+) loads of 8 s begin at once, and ([\d.]+) s pass$/,
  function runLoads(this: ConcurrencyWorld, count: string, seconds: string) {
    run(this, Number(seconds), Number(count));
  },
);

When(
  /^(\d+) loads of 8 s begin at once, (\d+) of them on a slow server, and ([\d.]+) s pass$/,
  function runSlow(this: ConcurrencyWorld, count: string, slow: string, seconds: string) {
    run(this, Number(seconds), Number(count), Number(slow));
  },
);

When(
  'as many loads as allowed run for {int} s',
  function runAll(this: ConcurrencyWorld, seconds: number) {
    run(this, seconds);
  },
);

Then(
  /^the limit is (\d+)(?: to (\d+))?$/,
  function checkLimit(this: ConcurrencyWorld, low: string, high: string | undefined) {
    const limit = this.concurrency.limit();
    assert.ok(limit >= Number(low) && limit <= Number(high ?? low), `the limit is ${limit}`);
  },
);

Then(
  'the remaining loads are expected to end within {float} to {float} s',
  function checkRemaining(this: ConcurrencyWorld, low: number, high: number) {
    const ends = [...this.concurrency.remaining().values()];
    assert.ok(ends.length > 0);
    ends.forEach((end) => assert.ok(end >= low * 1000 && end <= high * 1000, `${end} ms`));
  },
);
