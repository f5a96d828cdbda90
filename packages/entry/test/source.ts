/** Hosts that follow the store together, over links of a test. */
import assert from 'node:assert/strict';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { createManualClock, type ManualClock } from '@bulrushspar/clock';
import { createSource, type ChangesMessage, type Source } from '@bulrushspar/entry';
import type { Link } from '@bulrushspar/peer';
import { createMemoryStore, type MemoryStore } from '@bulrushspar/standins';
import { createStoreError, EFFECT, type ObjectStore } from '@bulrushspar/store';

interface SourceWorld {
  clock: ManualClock;
  store: MemoryStore;
  hosts: FollowingHost[];
  stopping: AbortController;
  changes: number;
}

interface FollowingHost {
  readonly number: number;
  readonly source: Source;
  fault: 'refuses' | 'is silent for' | undefined;
  linked: boolean;
  deaf: boolean;
  names: string[];
  /** What the host last heard of the others: whether they watch. */
  readonly watching: Map<number, boolean>;
}

const KIND = 'servers';
const STATE_MILLISECONDS = 200;
const STEP_MILLISECONDS = 20;
const SECOND = 1000;

/** Watches by the test's clock; the memory store's own watch waits in real time. */
async function watchByClock(
  { clock, store }: SourceWorld,
  kind: string,
  after: number,
  seconds: number,
  signal?: AbortSignal,
) {
  const end = clock.monotonic() + seconds * SECOND;
  for (;;) {
    // eslint-disable-next-line no-await-in-loop -- one look after another
    const answer = await store.watch(kind, after, 0);
    if (answer.changes.length > 0 || clock.monotonic() >= end) return answer;
    if (signal?.aborted) throw createStoreError(EFFECT.NONE, 'aborted');
    // eslint-disable-next-line no-await-in-loop -- one look after another
    await clock.delay(5, signal);
  }
}

function createFaultyStore(world: SourceWorld, host: () => FollowingHost): ObjectStore {
  const guard = async <Answer>(work: () => Promise<Answer>, waitMilliseconds: number) => {
    const { fault } = host();
    if (fault === 'refuses') throw createStoreError(EFFECT.NONE, 'refused');
    if (fault === 'is silent for') {
      await world.clock.delay(waitMilliseconds);
      throw createStoreError(EFFECT.UNKNOWN, 'silent');
    }
    return work();
  };
  return {
    ...world.store,
    list: (kind) => guard(() => world.store.list(kind), 700),
    watch: async (kind, after, seconds, signal) => {
      const answer = await guard(() => watchByClock(world, kind, after, seconds, signal), 2000);
      // A watch that a fault meets while it waits brings nothing.
      if (host().fault !== undefined) throw createStoreError(EFFECT.UNKNOWN, 'cut');
      return answer as never;
    },
  };
}

function linkTo(world: SourceWorld, to: FollowingHost): Link {
  return {
    peer: { host: String(to.number), incarnation: '1' },
    send: () => {},
    request: async <Answer>() => {
      await world.clock.delay(2);
      return to.source.snapshot() as Answer;
    },
    run: () => Promise.resolve(),
    close: () => {},
  };
}

function createHost(world: SourceWorld, number: number): FollowingHost {
  const others = (): FollowingHost[] =>
    world.hosts.filter((other) => other.number !== number && other.linked && host.linked);
  const source = createSource({
    kind: KIND,
    store: createFaultyStore(world, () => host),
    clock: world.clock,
    logger: { info: () => {}, warn: () => {}, error: () => {} },
    watchersBefore: () =>
      [...host.watching].filter(([other, watches]) => other < number && watches).length,
    onView: (view) => {
      host.names = [...view.keys()].sort();
    },
    onChanges: (message: ChangesMessage) => {
      others().forEach((other) => {
        if (other.deaf) return;
        world.clock.after(2, () => other.source.take(linkTo(world, host), message));
      });
    },
  });
  const host: FollowingHost = {
    number,
    source,
    fault: undefined,
    linked: true,
    deaf: false,
    names: [],
    watching: new Map(),
  };
  return host;
}

function exchangeStates(world: SourceWorld): void {
  world.hosts.forEach((host) => {
    world.hosts.forEach((other) => {
      if (host === other) return;
      if (!host.linked || !other.linked) host.watching.delete(other.number);
      else {
        host.watching.set(other.number, other.source.watches());
        host.source.hear(linkTo(world, other), other.source.changedAt());
      }
    });
  });
  if (!world.stopping.signal.aborted)
    world.clock.after(STATE_MILLISECONDS, () => exchangeStates(world));
}

Given('four hosts that follow one kind', async function open(this: SourceWorld) {
  const clock = createManualClock();
  const store = createMemoryStore();
  Object.assign(this, { clock, store, stopping: new AbortController(), changes: 0, hosts: [] });
  this.hosts = [1, 2, 3, 4].map((number) => createHost(this, number));
  this.hosts.forEach(({ source }) => {
    source.run(this.stopping.signal).catch(() => {});
  });
  exchangeStates(this);
  await change(this);
});

After('@source', function stop(this: SourceWorld) {
  this.stopping?.abort();
});

async function change(world: SourceWorld): Promise<string> {
  const changed = world;
  changed.changes += 1;
  const name = `server-${changed.changes}`;
  await world.store.write({ kind: KIND, name }, changed.changes, 0);
  return name;
}

When('{int} s pass without a change', async function pass(this: SourceWorld, seconds: number) {
  await this.clock.advance(seconds * SECOND);
});

When(
  /^the store (refuses|is silent for) hosts "([^"]*)"$/,
  function fail(this: SourceWorld, fault: 'refuses' | 'is silent for', numbers: string) {
    numbers.split(' ').forEach((number) => {
      this.hosts[Number(number) - 1]!.fault = fault;
    });
  },
);

When('the store answers all hosts again', function heal(this: SourceWorld) {
  this.hosts.forEach((host) => Object.assign(host, { fault: undefined }));
});

When('host {int} hears nobody any more', function cutLinks(this: SourceWorld, number: number) {
  this.hosts[number - 1]!.linked = false;
});

When('host {int} misses a change', async function miss(this: SourceWorld, number: number) {
  const host = this.hosts[number - 1]!;
  host.deaf = true;
  await change(this);
  await this.clock.advance(STEP_MILLISECONDS);
  host.deaf = false;
});

Then('{int} hosts watch the store', function count(this: SourceWorld, wanted: number) {
  assert.equal(this.hosts.filter(({ source }) => source.watches()).length, wanted);
});

Then(
  'a change reaches all hosts within {int} ms',
  async function reach(this: SourceWorld, milliseconds: number) {
    const name = await change(this);
    const start = this.clock.monotonic();
    const missing = () => this.hosts.filter(({ names }) => !names.includes(name));
    while (missing().length > 0 && this.clock.monotonic() - start < milliseconds) {
      // eslint-disable-next-line no-await-in-loop -- steps of time follow one another
      await this.clock.advance(STEP_MILLISECONDS);
    }
    assert.deepEqual(
      missing().map(({ number }) => number),
      [],
    );
  },
);

Then('all hosts have the same view', function same(this: SourceWorld) {
  const [first, ...others] = this.hosts;
  others.forEach((host) => assert.deepEqual(host.names, first!.names));
});
