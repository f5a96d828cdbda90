import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import fc from 'fast-check';
import { createClock, createManualClock, type Clock, type ManualClock } from '@bulrushspar/clock';
import { createLease, LEASE_KIND, type Lease } from '@bulrushspar/lease';
import { createMemoryStore, type MemoryStore, type StoreCopy } from '@bulrushspar/standins';
import {
  createEraStore,
  createEraTracker,
  type DatedAnswer,
  type ObjectStore,
} from '@bulrushspar/store';

interface Contender {
  readonly name: string;
  readonly lease: Lease;
  isAlive: boolean;
  isPaused: boolean;
  isCutOff: boolean;
  losesAnswers: boolean;
  /** The next write is carried out without an answer, and the store is unreachable then. */
  losesRenewal: boolean;
  /** Milliseconds added to its wall clock. */
  wallClockOffset: number;
  resume(): void;
  stop(): void;
}

interface LeaseWorld {
  clock: ManualClock;
  store: MemoryStore;
  /** Copies of the store, one each second. */
  copies: { readonly at: number; readonly copy: StoreCopy }[];
  contenders: Contender[];
  firstEra: number;
  isStoreUnreachable: boolean;
  /** Holders with their fencing numbers, in the order of observation. */
  observedHolders: { name: string; fencing: number }[];
  maxConcurrentHolders: number;
  /** When the holders told the ends of their terms, by fencing number; undefined if they tell nothing. */
  endedTerms: Map<number, number> | undefined;
  /** Last fencing number of each holder that has not told the end of its term. */
  openTerms: Map<string, number>;
  heldAfterEnd: number;
}

const STEP_MILLISECONDS = 100;
const SECOND_MILLISECONDS = 1000;
const SEED = 20261203;
const FIRST_ERA = 1;
const FIRST_INCARNATION = '-1';
const COPY_INTERVAL_MILLISECONDS = 1000;
/** Delay after which other contenders receive the end of a term, so that its holder tries to renew first. */
const NOTICE_MILLISECONDS = 2500;

function createContender(world: LeaseWorld, name: string, incarnation: string): Contender {
  const deferredActions: (() => void)[] = [];
  const controller = new AbortController();
  const whenRunning = (action: () => void): void => {
    if (contender.isPaused) deferredActions.push(action);
    else if (contender.isAlive) action();
  };
  const timer = {
    now: () => world.clock.monotonic(),
    setTimer: (action: () => void, milliseconds: number) =>
      world.clock.after(milliseconds, () => whenRunning(action)),
    clearTimer: (cancel: () => void) => cancel(),
  };
  const now = (): Date => new Date(world.clock.now().getTime() + contender.wallClockOffset);
  const clock: Clock = createClock(timer, now);
  let storeCalls = 0;
  const store = world.store.withFaults(() => {
    storeCalls += 1;
    if (world.isStoreUnreachable || contender.isCutOff) return 'request-lost';
    if (contender.losesRenewal) {
      contender.losesRenewal = false;
      Object.assign(world, { isStoreUnreachable: true });
      return 'answer-lost';
    }
    return contender.losesAnswers && storeCalls % 2 === 0 ? 'answer-lost' : undefined;
  });
  const eras = createEraTracker();
  const dated = async <Answer>(work: Promise<Answer>): Promise<DatedAnswer<Answer>> => {
    // The store names its era at the time of the call.
    const era = world.firstEra + world.store.era();
    return { era, answer: await whileRunning(work) };
  };
  const eraStore = createEraStore(
    {
      read: (key) => dated(store.read(key)),
      list: (kind) => dated(store.list(kind)),
      write: (key, value, expected) => dated(store.write(key, value, expected)),
      remove: (key, expected) => dated(store.remove(key, expected)),
      watch: (kind, after, seconds) => dated(store.watch(kind, after, seconds)),
    },
    eras,
  );
  const whileRunning = async <Answer>(work: Promise<Answer>): Promise<Answer> => {
    work.catch(() => {});
    await new Promise<void>((resolve) => {
      whenRunning(resolve);
    });
    return work;
  };
  const lease = createLease({
    store: eraStore satisfies ObjectStore,
    clock,
    name: 'duty',
    self: { host: name, incarnation },
    currentEra: eras.current,
    mayHaveLostRecords: () => eras.hasChanged() || !incarnation.endsWith(FIRST_INCARNATION),
    isAbandoned: (fencing) =>
      world.clock.monotonic() - (world.endedTerms?.get(fencing) ?? Infinity) >= NOTICE_MILLISECONDS,
    mayHaveLostNumbers: () => eras.mayHaveBegunAnew() && !incarnation.endsWith(FIRST_INCARNATION),
  });
  const contender: Contender = {
    name,
    lease,
    isAlive: true,
    isPaused: false,
    isCutOff: false,
    losesAnswers: false,
    losesRenewal: false,
    wallClockOffset: 0,
    resume: () => {
      contender.isPaused = false;
      deferredActions.splice(0).forEach(whenRunning);
    },
    stop: () => controller.abort(),
  };
  lease.run(controller.signal).catch(() => {});
  return contender;
}

/** Running processes whose lease reports a fencing number, so that they would act now. */
const activeHolders = ({ contenders }: LeaseWorld): Contender[] =>
  contenders.filter(
    ({ isAlive, isPaused, lease }) => isAlive && !isPaused && lease.currentFencing() !== undefined,
  );

/** Ends the terms of holders that hold the lease no more, as they tell the others then. */
function tellEnds(world: LeaseWorld): void {
  const { clock, contenders, endedTerms, openTerms } = world;
  if (!endedTerms) return;
  contenders.forEach(({ name, lease }) => {
    const fencing = lease.currentFencing();
    const open = openTerms.get(name);
    if (fencing !== undefined) {
      if (endedTerms.has(fencing)) Object.assign(world, { heldAfterEnd: world.heldAfterEnd + 1 });
      openTerms.set(name, fencing);
    } else if (open !== undefined) {
      openTerms.delete(name);
      lease.abandon();
      endedTerms.set(open, clock.monotonic());
    }
  });
}

async function advance(world: LeaseWorld, milliseconds: number): Promise<void> {
  const end = world.clock.monotonic() + milliseconds;
  while (world.clock.monotonic() < end) {
    // eslint-disable-next-line no-await-in-loop -- time advances in steps
    await world.clock.advance(STEP_MILLISECONDS);
    tellEnds(world);
    const now = world.clock.monotonic();
    if (now % COPY_INTERVAL_MILLISECONDS < STEP_MILLISECONDS)
      world.copies.push({ at: now, copy: world.store.copy() });
    const holders = activeHolders(world);
    Object.assign(world, {
      maxConcurrentHolders: Math.max(world.maxConcurrentHolders, holders.length),
    });
    holders.forEach(({ name, lease }) =>
      world.observedHolders.push({ name, fencing: lease.currentFencing()! }),
    );
  }
}

async function startContenders(
  world: LeaseWorld,
  firstEra = FIRST_ERA,
  tellsEnds = false,
): Promise<void> {
  Object.assign(world, {
    clock: createManualClock(),
    store: createMemoryStore(),
    contenders: [],
    firstEra,
    copies: [],
    isStoreUnreachable: false,
    observedHolders: [],
    maxConcurrentHolders: 0,
    endedTerms: tellsEnds ? new Map() : undefined,
    openTerms: new Map(),
    heldAfterEnd: 0,
  });
  world.contenders.push(
    ...['A', 'B', 'C'].map((name) => createContender(world, name, `${name}-1`)),
  );
  await advance(world, 5 * SECOND_MILLISECONDS);
}

Given('three processes that contend for a lease', async function start(this: LeaseWorld) {
  await startContenders(this);
  assert.equal(activeHolders(this).length, 1);
});

Given(
  'three processes that contend for a lease and tell the ends of their terms',
  async function start(this: LeaseWorld) {
    await startContenders(this, FIRST_ERA, true);
    assert.equal(activeHolders(this).length, 1);
  },
);

When(
  'a renewal of the holder gets no answer, and the store is unreachable for {int} ms then',
  async function lose(this: LeaseWorld, milliseconds: number) {
    const [holder] = activeHolders(this);
    holder!.losesRenewal = true;
    while (holder!.losesRenewal) {
      // eslint-disable-next-line no-await-in-loop -- time advances in steps
      await advance(this, STEP_MILLISECONDS);
    }
    await advance(this, milliseconds);
    this.isStoreUnreachable = false;
    await advance(this, 20 * SECOND_MILLISECONDS);
  },
);

Then(
  'no process held the lease after it had told the end of its term',
  function check(this: LeaseWorld) {
    assert.equal(this.heldAfterEnd, 0);
  },
);

type Fault = (world: LeaseWorld, contender: Contender) => () => void;

const FAULTS: Readonly<Record<string, Fault>> = {
  'continues without a fault': () => () => {},
  crashes: (_, contender) => {
    Object.assign(contender, { isAlive: false });
    return () => {};
  },
  'is paused': (_, contender) => {
    Object.assign(contender, { isPaused: true });
    return contender.resume;
  },
  'is cut off from the store': (_, contender) => {
    Object.assign(contender, { isCutOff: true });
    return () => Object.assign(contender, { isCutOff: false });
  },
  'loses the answers of the store': (_, contender) => {
    Object.assign(contender, { losesAnswers: true });
    return () => Object.assign(contender, { losesAnswers: false });
  },
  'shuts down': (_, contender) => {
    contender.stop();
    return () => {};
  },
  'has its clock set forward': (_, contender) => {
    Object.assign(contender, {
      wallClockOffset: contender.wallClockOffset + 3600 * SECOND_MILLISECONDS,
    });
    return () => {};
  },
  'has its clock set back': (_, contender) => {
    Object.assign(contender, {
      wallClockOffset: contender.wallClockOffset - 3600 * SECOND_MILLISECONDS,
    });
    return () => {};
  },
  'is restarted in place': (world, contender) => {
    const { name } = contender;
    const former = world.contenders.filter((other) => other.name === name);
    former.forEach((process) => Object.assign(process, { isAlive: false }));
    world.contenders.push(createContender(world, name, `${name}-${former.length + 1}`));
    return () => {};
  },
};

When(
  /^the holder (.*) for (\d+) s$/,
  async function fail(this: LeaseWorld, fault: string, lasts: string) {
    const [holder] = activeHolders(this);
    const end = FAULTS[fault]!(this, holder!);
    await advance(this, Number(lasts) * SECOND_MILLISECONDS);
    end();
  },
);

/** Restores the store from its newest copy of at least the given age. */
function restoreStore(world: LeaseWorld, ageSeconds: number): void {
  const latest = world.clock.monotonic() - ageSeconds * SECOND_MILLISECONDS;
  const found = world.copies.filter(({ at }) => at <= latest).at(-1);
  world.store.restore(found?.copy ?? { version: 0, objects: new Map() });
}

When(
  'the store comes back from a copy that is {int} s old',
  async function restore(this: LeaseWorld, age: number) {
    this.isStoreUnreachable = true;
    await advance(this, SECOND_MILLISECONDS);
    restoreStore(this, age);
    this.isStoreUnreachable = false;
    await advance(this, SECOND_MILLISECONDS);
  },
);

When(
  'another writer replaces the record by {}',
  async function replace(this: LeaseWorld, text: string) {
    const key = { kind: LEASE_KIND, name: 'duty' };
    const { version } = (await this.store.read(key))!;
    await this.store.write(key, JSON.parse(text), version);
  },
);

When('the lease changes hosts {int} times', async function change(this: LeaseWorld, times: number) {
  for (let count = 0; count < times; count += 1) {
    const [holder] = activeHolders(this);
    holder!.isPaused = true;
    // eslint-disable-next-line no-await-in-loop -- one change after another
    await advance(this, 14 * SECOND_MILLISECONDS);
    holder!.resume();
  }
});

When(
  'the store is unreachable for {int} s',
  async function disconnectStore(this: LeaseWorld, lasts: number) {
    this.isStoreUnreachable = true;
    await advance(this, lasts * SECOND_MILLISECONDS);
    this.isStoreUnreachable = false;
  },
);

Then('no two processes held the lease at the same time', function check(this: LeaseWorld) {
  assert.equal(this.maxConcurrentHolders, 1);
});

function checkFencing({ observedHolders }: LeaseWorld): void {
  observedHolders.forEach(({ name, fencing }, index) => {
    const previous = observedHolders[index - 1];
    if (!previous) return;
    assert.ok(Number.isSafeInteger(fencing), `${fencing} is not a safe integer`);
    const sameTerm = previous.name === name && previous.fencing === fencing;
    assert.ok(sameTerm || fencing > previous.fencing, `${previous.fencing} then ${fencing}`);
  });
}

Then('each new holder had a higher fencing number', function check(this: LeaseWorld) {
  checkFencing(this);
});

Then(
  'within {int} s after the fault a process holds it',
  async function check(this: LeaseWorld, seconds: number) {
    await advance(this, seconds * SECOND_MILLISECONDS);
    assert.equal(activeHolders(this).length, 1);
    assert.equal(this.maxConcurrentHolders, 1);
    checkFencing(this);
  },
);

const generatedRestoration = fc.record({
  age: fc.integer({ min: 0, max: 30 }),
  isUnreachableFor: fc.integer({ min: 0, max: 5000 }),
  pause: fc.integer({ min: 0, max: 15_000 }),
});

const generatedStep = fc.record({
  contender: fc.integer({ min: 0, max: 2 }),
  fault: fc.constantFrom(...Object.keys(FAULTS).filter((name) => name !== 'is restarted in place')),
  lasts: fc.integer({ min: 0, max: 40_000 }),
  pause: fc.integer({ min: 0, max: 15_000 }),
});

const generatedRestart = fc.record({
  contender: fc.integer({ min: 0, max: 2 }),
  fault: fc.constant('is restarted in place'),
  lasts: fc.constant(0),
  pause: fc.integer({ min: 0, max: 40_000 }),
});

type GeneratedStep =
  | (typeof generatedStep extends fc.Arbitrary<infer Step> ? Step : never)
  | (typeof generatedRestoration extends fc.Arbitrary<infer Step> ? Step : never);

async function performStep(world: LeaseWorld, planned: GeneratedStep): Promise<void> {
  const changed = world;
  if ('age' in planned) {
    changed.isStoreUnreachable = planned.isUnreachableFor > 0;
    await advance(world, planned.isUnreachableFor);
    restoreStore(world, planned.age);
    changed.isStoreUnreachable = false;
  } else {
    const end = FAULTS[planned.fault]!(world, world.contenders[planned.contender]!);
    world.clock.after(planned.lasts, end);
  }
  await advance(world, planned.pause);
}

Then(
  /^(\d+) generated interleavings( with restorations of the store)?( and restarts)?(?: from era (\d+))? never have two holders$/,
  { timeout: 120_000 },
  async (
    runs: string,
    withRestorations: string | null,
    withRestarts: string | null,
    firstEra: string | null,
  ) => {
    const numRuns = Number(runs);
    const withoutRestarts = withRestorations
      ? fc.oneof(generatedStep, generatedRestoration)
      : generatedStep;
    const step = withRestarts
      ? fc.oneof(generatedStep, generatedRestoration, generatedRestart)
      : withoutRestarts;
    const steps = fc.array<GeneratedStep>(step, { minLength: 1, maxLength: 6 });
    const property = fc.asyncProperty(steps, async (plan) => {
      const world = {} as LeaseWorld;
      await startContenders(world, Number(firstEra ?? FIRST_ERA));
      assert.equal(activeHolders(world).length, 1);
      for (const planned of plan) {
        // eslint-disable-next-line no-await-in-loop -- faults are sequential
        await performStep(world, planned);
      }
      await advance(world, 20 * SECOND_MILLISECONDS);
      assert.ok(world.maxConcurrentHolders <= 1, 'two holders at once');
      checkFencing(world);
    });
    await fc.assert(property, { numRuns, seed: SEED });
  },
);
