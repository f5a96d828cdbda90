/** Hosts that replicate the objects of one kind over simulated links. */
import assert from 'node:assert/strict';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { createManualClock, type ManualClock } from '@bulrushspar/clock';
import { createKindFollower, type ChangesMessage, type KindFollower } from '@bulrushspar/entry';
import type { Link } from '@bulrushspar/peer';
import { createMemoryStore, type MemoryStore, type StoreCopy } from '@bulrushspar/standins';
import {
  createEraStore,
  createEraTracker,
  createStoreError,
  EFFECT,
  type DatedAnswer,
  type EraTracker,
  type ObjectStore,
  type RevisionStore,
} from '@bulrushspar/store';

interface FollowerWorld {
  clock: ManualClock;
  store: MemoryStore;
  hosts: FollowingHost[];
  stopping: AbortController;
  changeCount: number;
  copy: StoreCopy;
  /** Time in which changes must arrive; the default of the followers if it is undefined. */
  stalenessMilliseconds: number | undefined;
  /** When each object was written. */
  changeTimes: Map<string, number>;
  /** Time by which the store answers later than usual. */
  slowMilliseconds: number;
}

interface FollowingHost {
  readonly number: number;
  readonly follower: KindFollower;
  fault: 'refuses' | 'is silent for' | undefined;
  linked: boolean;
  missesChanges: boolean;
  viewNames: string[];
  /** Configuration versions that the host has had in its view, in this order. */
  configurationVersions: number[];
  /** Views that held a change which was made before the age that came with it. */
  understatedAges: number;
  /** Whether each other host watches the store, as last received from it. */
  readonly isWatchingByHost: Map<number, boolean>;
}

const KIND = 'servers';
/** Object whose values have ranks. */
const CONFIGURATION = 'configuration';
const STATE_INTERVAL_MILLISECONDS = 200;
const STEP_MILLISECONDS = 20;
const WATCH_MARGIN_MILLISECONDS = 1000;
const MESSAGE_MILLISECONDS = 2;
const SECOND_MILLISECONDS = 1000;
/** Times of a loss of the store after which a change is made, and their distance. */
const PHASES = 40;
const PHASE_MILLISECONDS = 37;
/** Time until the watchers are the first two hosts again. */
const HEALING_MILLISECONDS = 6000;

const getConfigurationVersion = (value: unknown): number =>
  typeof value === 'object' ? ((value as { version?: number } | null)?.version ?? 0) : 0;

/** Watches with the manual clock; the watch of the memory store waits in real time. */
async function watchWithManualClock(
  { clock, store }: FollowerWorld,
  kind: string,
  after: number,
  seconds: number,
  signal?: AbortSignal,
) {
  const end = clock.monotonic() + seconds * SECOND_MILLISECONDS;
  for (;;) {
    // eslint-disable-next-line no-await-in-loop -- polls are sequential
    const answer = await store.watch(kind, after, 0);
    if (answer.changes.length > 0 || clock.monotonic() >= end) return answer;
    if (signal?.aborted) throw createStoreError(EFFECT.NONE, 'aborted');
    // eslint-disable-next-line no-await-in-loop -- polls are sequential
    await clock.delay(5, signal);
  }
}

function createFaultyStore(
  world: FollowerWorld,
  host: () => FollowingHost,
  eras: EraTracker,
): ObjectStore {
  const withFault = async <Answer>(work: () => Promise<Answer>, waitMilliseconds: number) => {
    const { fault } = host();
    if (fault === 'refuses') throw createStoreError(EFFECT.NONE, 'refused');
    if (fault === 'is silent for') {
      await world.clock.delay(waitMilliseconds);
      throw createStoreError(EFFECT.UNKNOWN, 'silent');
    }
    return work();
  };
  const date = async <Answer>(work: Promise<Answer>): Promise<DatedAnswer<Answer>> => {
    const answer = await work;
    return { era: 1 + world.store.era(), answer };
  };
  const store: RevisionStore = {
    read: (key) => date(world.store.read(key)),
    write: (key, value, expected) => date(world.store.write(key, value, expected)),
    remove: (key, expected) => date(world.store.remove(key, expected)),
    list: (kind) => date(withFault(() => world.store.list(kind), 700)),
    watch: async (kind, after, seconds, signal) => {
      const timeoutAt =
        world.clock.monotonic() + seconds * SECOND_MILLISECONDS + WATCH_MARGIN_MILLISECONDS;
      const answer = await withFault(
        () => watchWithManualClock(world, kind, after, seconds, signal),
        2000,
      );
      await world.clock.delay(world.slowMilliseconds);
      // A fault during the wait makes the watch fail; silence shows only after its margin.
      if (host().fault === 'is silent for')
        await world.clock.delay(Math.max(0, timeoutAt - world.clock.monotonic()), signal);
      if (host().fault !== undefined) throw createStoreError(EFFECT.UNKNOWN, 'cut');
      return { era: 1 + world.store.era(), answer };
    },
  };
  return createEraStore(store, eras);
}

function linkTo(world: FollowerWorld, to: FollowingHost): Link {
  return {
    peer: { host: String(to.number), incarnation: '1' },
    send: () => {},
    sendEncoded: () => {},
    request: async <Answer>() => {
      await world.clock.delay(2);
      return to.follower.snapshot() as Answer;
    },
    run: () => Promise.resolve(),
    close: () => {},
  };
}

function createHost(world: FollowerWorld, number: number): FollowingHost {
  const others = (): FollowingHost[] =>
    world.hosts.filter((other) => other.number !== number && other.linked && host.linked);
  const eras = createEraTracker();
  const follower = createKindFollower({
    kind: KIND,
    store: createFaultyStore(world, () => host, eras),
    eras,
    rankOf: getConfigurationVersion,
    stalenessMilliseconds: world.stalenessMilliseconds,
    clock: world.clock,
    logger: { info: () => {}, warn: () => {}, error: () => {} },
    countBetterRankedWatchers: () =>
      [...host.isWatchingByHost].filter(([other, watches]) => other < number && watches).length,
    onView: (view, ageMilliseconds) => {
      const isTooYoung = [...view.keys()].some(
        (name) =>
          !host.viewNames.includes(name) &&
          world.clock.monotonic() - (world.changeTimes.get(name) ?? Infinity) >
            ageMilliseconds + MESSAGE_MILLISECONDS,
      );
      if (isTooYoung) host.understatedAges += 1;
      host.viewNames = [...view.keys()].sort();
      const version = getConfigurationVersion(view.get(CONFIGURATION)?.value);
      if (version !== host.configurationVersions.at(-1)) host.configurationVersions.push(version);
    },
    onChanges: (message: ChangesMessage) => {
      others().forEach((other) => {
        if (other.missesChanges) return;
        world.clock.after(MESSAGE_MILLISECONDS, () =>
          other.follower.receiveChanges(linkTo(world, host), message),
        );
      });
    },
  });
  const host: FollowingHost = {
    number,
    follower,
    fault: undefined,
    linked: true,
    missesChanges: false,
    viewNames: [],
    configurationVersions: [],
    understatedAges: 0,
    isWatchingByHost: new Map(),
  };
  return host;
}

function exchangeStates(world: FollowerWorld): void {
  world.hosts.forEach((host) => {
    world.hosts.forEach((other) => {
      if (host === other) return;
      if (!host.linked || !other.linked) host.isWatchingByHost.delete(other.number);
      else {
        host.isWatchingByHost.set(other.number, other.follower.isWatching());
        const { follower } = other;
        host.follower.receiveSummary(linkTo(world, other), follower.describe());
      }
    });
  });
  if (!world.stopping.signal.aborted)
    world.clock.after(STATE_INTERVAL_MILLISECONDS, () => exchangeStates(world));
}

async function startHosts(world: FollowerWorld, stalenessMilliseconds?: number): Promise<void> {
  const changed = world;
  const clock = createManualClock();
  const store = createMemoryStore();
  const stopping = new AbortController();
  Object.assign(world, { clock, store, stopping, changeCount: 0, hosts: [] });
  Object.assign(world, { stalenessMilliseconds, slowMilliseconds: 0, changeTimes: new Map() });
  changed.hosts = [1, 2, 3, 4].map((number) => createHost(world, number));
  world.hosts.forEach(({ follower }) => {
    follower.run(stopping.signal).catch(() => {});
  });
  exchangeStates(world);
  await writeChange(world);
}

Given('four hosts that follow one kind', async function open(this: FollowerWorld) {
  await startHosts(this);
});

Given(
  'four hosts that follow one kind, whose changes must arrive within {int} ms',
  async function open(this: FollowerWorld, milliseconds: number) {
    await startHosts(this, milliseconds);
  },
);

When('the store answers {int} ms later', function slow(this: FollowerWorld, milliseconds: number) {
  this.slowMilliseconds = milliseconds;
});

After('@source', function stop(this: FollowerWorld) {
  this.stopping?.abort();
});

async function writeChange(world: FollowerWorld): Promise<string> {
  const changed = world;
  changed.changeCount += 1;
  const name = `server-${changed.changeCount}`;
  changed.changeTimes.set(name, changed.clock.monotonic());
  await world.store.write({ kind: KIND, name }, changed.changeCount, 0);
  return name;
}

When('{int} s pass without a change', async function pass(this: FollowerWorld, seconds: number) {
  await this.clock.advance(seconds * SECOND_MILLISECONDS);
});

When(
  /^the store (refuses|is silent for) hosts "([^"]*)"$/,
  function fail(this: FollowerWorld, fault: 'refuses' | 'is silent for', numbers: string) {
    numbers.split(' ').forEach((number) => {
      this.hosts[Number(number) - 1]!.fault = fault;
    });
  },
);

const findHosts = ({ hosts }: FollowerWorld, numbers: string): readonly FollowingHost[] =>
  numbers.split(' ').map((number) => hosts[Number(number) - 1]!);

Then(
  'a change reaches hosts {string} within {int} ms, whenever hosts {string} lose the store before it',
  async function reach(this: FollowerWorld, numbers: string, most: number, lost: string) {
    const { clock } = this;
    /* eslint-disable no-await-in-loop -- time advances in steps */
    for (let phase = 0; phase < PHASES; phase += 1) {
      await clock.advance(HEALING_MILLISECONDS + phase * PHASE_MILLISECONDS);
      findHosts(this, lost).forEach((host) => Object.assign(host, { fault: 'is silent for' }));
      const name = await writeChange(this);
      await clock.advance(most);
      const missing = findHosts(this, numbers).filter(({ viewNames }) => !viewNames.includes(name));
      assert.deepEqual(
        missing.map(({ number }) => number),
        [],
        `phase ${phase}`,
      );
      findHosts(this, lost).forEach((host) => Object.assign(host, { fault: undefined }));
    }
    /* eslint-enable no-await-in-loop */
  },
);

When('the store answers all hosts again', function heal(this: FollowerWorld) {
  this.hosts.forEach((host) => Object.assign(host, { fault: undefined }));
});

When('host {int} loses all links', function cutLinks(this: FollowerWorld, number: number) {
  this.hosts[number - 1]!.linked = false;
});

When('host {int} misses a change', async function miss(this: FollowerWorld, number: number) {
  const host = this.hosts[number - 1]!;
  host.missesChanges = true;
  await writeChange(this);
  await this.clock.advance(STEP_MILLISECONDS);
  host.missesChanges = false;
});

Then('{int} hosts watch the store', function count(this: FollowerWorld, wanted: number) {
  assert.equal(this.hosts.filter(({ follower }) => follower.isWatching()).length, wanted);
});

Then(
  'a change reaches all hosts within {int} ms',
  async function reach(this: FollowerWorld, milliseconds: number) {
    const name = await writeChange(this);
    const start = this.clock.monotonic();
    const missing = () => this.hosts.filter(({ viewNames }) => !viewNames.includes(name));
    while (missing().length > 0 && this.clock.monotonic() - start < milliseconds) {
      // eslint-disable-next-line no-await-in-loop -- time advances in steps
      await this.clock.advance(STEP_MILLISECONDS);
    }
    assert.deepEqual(
      missing().map(({ number }) => number),
      [],
    );
  },
);

Then('no host took a change for younger than it was', function check(this: FollowerWorld) {
  assert.deepEqual(
    this.hosts.map(({ understatedAges }) => understatedAges),
    this.hosts.map(() => 0),
  );
});

Then('all hosts have the same view', function same(this: FollowerWorld) {
  const [first, ...others] = this.hosts;
  others.forEach((host) => assert.deepEqual(host.viewNames, first!.viewNames));
});

When(
  'the operators write configuration {int}',
  async function write(this: FollowerWorld, version: number) {
    const key = { kind: KIND, name: CONFIGURATION };
    const found = await this.store.read(key);
    await this.store.write(key, { version }, found?.version ?? 0);
    await this.clock.advance(SECOND_MILLISECONDS);
  },
);

When('the store is copied', function copy(this: FollowerWorld) {
  this.copy = this.store.copy();
});

When('the store comes back from the copy', function restore(this: FollowerWorld) {
  this.store.restore(this.copy);
});

When('{int} changes are made', async function change(this: FollowerWorld, count: number) {
  for (let made = 0; made < count; made += 1) {
    // eslint-disable-next-line no-await-in-loop -- changes are made one after another
    await writeChange(this);
  }
});

When('host {int} is restarted', async function restart(this: FollowerWorld, number: number) {
  const host = createHost(this, number);
  this.hosts[number - 1] = host;
  host.follower.run(this.stopping.signal).catch(() => {});
  await this.clock.advance(SECOND_MILLISECONDS);
});

Then('all hosts have configuration {int}', function check(this: FollowerWorld, version: number) {
  this.hosts.forEach((host) => assert.equal(host.configurationVersions.at(-1), version));
});

Then('no host has gone back to an earlier configuration', function check(this: FollowerWorld) {
  this.hosts.forEach(({ configurationVersions }) =>
    assert.deepEqual(
      configurationVersions,
      [...configurationVersions].sort((a, b) => a - b),
    ),
  );
});

Then('the view of all hosts is that of the store', async function check(this: FollowerWorld) {
  const { objects } = await this.store.list(KIND);
  const names = objects.map(({ name }) => name).sort();
  this.hosts.forEach(({ viewNames }) => assert.deepEqual(viewNames, names));
});
