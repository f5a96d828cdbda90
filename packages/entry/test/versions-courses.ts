/** Generated courses of losses, faults and releases, with callers that take streams up at any host. */
import assert from 'node:assert/strict';
import fc from 'fast-check';
import type { StoreCopy } from '@bulrushspar/standins';
import {
  createSimulatedFleet,
  type SimulatedFleet,
  type SimulatedStream,
} from './versions-world.js';

interface Course {
  readonly fleet: SimulatedFleet;
  readonly random: () => number;
  readonly copies: StoreCopy[];
  readonly pending: Promise<void>[];
  readonly open: Set<SimulatedStream>;
  /** Newest version that a release has begun. */
  version: number;
  /** Loss of hosts that came last, and when. */
  loss: { readonly kind: string; readonly at: number };
  isStoreAway: boolean;
  changedAt: number;
}

interface Fault {
  readonly kind: string;
  readonly pick: number;
  readonly lasts: number;
  readonly pause: number;
}

const SEED = 20261203;
const ALL = [1, 2, 3, 4];
const SERVERS = 3;
const STEP_MILLISECONDS = 100;
const RESTART_MILLISECONDS = 800;
const BEGIN_FRACTION = 0.8;
const CUT_FRACTION = 0.03;
const END_FRACTION = 0.01;
/** A caller tries again once. */
const TRIES = 2;
const RETRY_MILLISECONDS = 300;
const RECENT_MILLISECONDS = 60_000;
const LOSS_MILLISECONDS = 10_000;

const FAULTS: Readonly<Record<string, (course: Course, fault: Fault) => Promise<void>>> = {
  'kill one': (course, { pick }) => restart(course, 'one', [ALL[pick % ALL.length]!]),
  'kill some': (course, { pick }) =>
    restart(
      course,
      'some',
      ALL.filter((name) => name !== ALL[pick % ALL.length]),
    ),
  'kill all': (course) => restart(course, 'all', ALL),
  pause: async ({ fleet }, { pick, lasts }) => {
    const host = fleet.hosts[pick % ALL.length]!;
    host.isPaused = true;
    await fleet.clock.delay(lasts);
    host.isPaused = false;
  },
  partition: async ({ fleet }, { pick, lasts }) => {
    const host = fleet.hosts[pick % ALL.length]!;
    host.isCutOff = true;
    await fleet.clock.delay(lasts);
    host.isCutOff = false;
  },
  'cut from everything': async ({ fleet }, { pick, lasts }) => {
    const host = fleet.hosts[pick % ALL.length]!;
    host.isCutOff = true;
    fleet.storeFaults.add(host.name);
    await fleet.clock.delay(lasts);
    host.isCutOff = false;
    fleet.storeFaults.delete(host.name);
  },
  'store away': async (course, { lasts }) => {
    const { fleet } = course;
    fleet.storeFaults.add('all');
    Object.assign(course, { isStoreAway: true });
    await fleet.clock.delay(lasts);
    fleet.storeFaults.delete('all');
    Object.assign(course, { isStoreAway: false });
  },
  'store restored': async ({ fleet, copies }, { pick }) => {
    const copy = copies.at(-1 - (pick % 5)) ?? copies[0];
    if (copy) fleet.store.restore(copy);
  },
  'wall clock jumps': async ({ fleet }, { pick, lasts }) =>
    fleet.jumpWallClock(ALL[pick % ALL.length]!, (lasts % 10_000) - 5000),
  'release at once': async (course) => release(course, SERVERS, 0),
  'release in turn': async (course, { lasts }) => {
    for (let replaced = 1; replaced <= SERVERS; replaced += 1) {
      // eslint-disable-next-line no-await-in-loop -- servers are replaced one after another
      await release(course, replaced, lasts / SERVERS);
    }
  },
  'taken back': async (course, { lasts }) => {
    await release(course, 1, lasts);
    Object.assign(course, { version: course.version - 2 });
    await release(course, SERVERS, 0);
    Object.assign(course, { version: course.version + 1 });
  },
  'release while no host runs': async (course) => {
    course.fleet.kill(ALL);
    Object.assign(course, { loss: { kind: 'all', at: course.fleet.clock.monotonic() } });
    await course.fleet.clock.delay(RESTART_MILLISECONDS / 2);
    await release(course, SERVERS, 0);
    await course.fleet.clock.delay(RESTART_MILLISECONDS / 2);
    course.fleet.start(ALL);
  },
};

async function restart(course: Course, kind: string, names: readonly number[]): Promise<void> {
  const { fleet } = course;
  fleet.kill(names);
  Object.assign(course, { loss: { kind, at: fleet.clock.monotonic() } });
  await fleet.clock.delay(RESTART_MILLISECONDS);
  fleet.start(names);
}

/** Replaces servers by the next version; the first call of a release raises the version. */
async function release(course: Course, replaced: number, milliseconds: number): Promise<void> {
  const { fleet } = course;
  if (replaced === 1 || replaced === SERVERS) {
    const isNext = replaced === 1 || !fleet.listVersions().includes(String(course.version));
    if (isNext) Object.assign(course, { version: course.version + 1 });
  }
  const next = String(course.version);
  const before = fleet.listVersions().find((version) => version !== next) ?? next;
  fleet.setServers([
    ...Array<string>(SERVERS - replaced).fill(before),
    ...Array<string>(replaced).fill(next),
  ]);
  Object.assign(course, { changedAt: fleet.clock.monotonic() });
  await fleet.clock.delay(milliseconds);
}

const generatedFault = fc.record({
  kind: fc.constantFrom(...Object.keys(FAULTS)),
  pick: fc.nat(1000),
  lasts: fc.integer({ min: 100, max: 12_000 }),
  pause: fc.oneof(fc.integer({ min: 0, max: 3000 }), fc.integer({ min: 0, max: 40_000 })),
});

/** @returns a generator of numbers from 0 to 1 */
function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state * 48_271) % 2_147_483_647;
    return state / 2_147_483_647;
  };
}

/** Requests for a stream by case: how many, and how many were refused for an unknown version. */
type Counts = Map<string, { resumed: number; unknown: number }>;

function describeCase({ fleet, loss, isStoreAway, changedAt }: Course): string {
  const now = fleet.clock.monotonic();
  const lost = now - loss.at < LOSS_MILLISECONDS ? loss.kind : 'none';
  const versions = now - changedAt < RECENT_MILLISECONDS + LOSS_MILLISECONDS ? 'several' : 'one';
  return `hosts lost: ${lost}; versions: ${versions}; store ${isStoreAway ? 'away' : 'answers'}`;
}

/** Takes a stream up at any host, and checks the version at which it goes on. */
async function takeUp(course: Course, stream: SimulatedStream, counts: Counts): Promise<void> {
  const { fleet, random } = course;
  const name = describeCase(course);
  const count = counts.get(name) ?? { resumed: 0, unknown: 0 };
  counts.set(name, count);
  count.resumed += 1;
  for (let tries = 1; tries <= TRIES; tries += 1) {
    const host = 1 + Math.floor(random() * ALL.length);
    // eslint-disable-next-line no-await-in-loop -- a caller tries again after a refusal
    const { softwareVersion, isUnknown } = await fleet.resume(host, stream, random);
    if (softwareVersion !== undefined) {
      assert.equal(softwareVersion, stream.softwareVersion, `${stream.attempt} at host ${host}`);
      return;
    }
    if (isUnknown && tries === TRIES) count.unknown += 1;
    // eslint-disable-next-line no-await-in-loop -- a caller tries again after a refusal
    await fleet.clock.delay(RETRY_MILLISECONDS);
  }
}

async function pass(course: Course, milliseconds: number, counts: Counts): Promise<void> {
  const { fleet, random, open, pending, copies } = course;
  for (let passed = 0; passed < milliseconds; passed += STEP_MILLISECONDS) {
    if (random() < BEGIN_FRACTION) {
      const stream = fleet.begin(1 + Math.floor(random() * ALL.length), random);
      if (stream) open.add(stream);
    }
    open.forEach((stream) => {
      const isLost = !fleet.hosts.some(({ name, isAlive }) => name === stream.host && isAlive);
      if (isLost || random() < CUT_FRACTION) {
        open.delete(stream);
        const delay = random() * 1500;
        const end = fleet.clock.delay(delay).then(() => takeUp(course, stream, counts));
        // The failure is thrown at the end of the course.
        end.catch(() => {});
        pending.push(end);
      } else if (random() < END_FRACTION) open.delete(stream);
    });
    if (passed % 1000 === 0) copies.push(fleet.store.copy());
    // eslint-disable-next-line no-await-in-loop -- time advances in steps
    await fleet.advance(STEP_MILLISECONDS);
  }
}

/**
 * Plays generated courses; rejects if a stream goes on at another version.
 * @returns the shares of refused requests, by case
 */
export async function findMixedStreams(
  numRuns: number,
): Promise<{ readonly shares: readonly string[] }> {
  const counts: Counts = new Map();
  const property = fc.asyncProperty(
    fc.array(generatedFault, { minLength: 1, maxLength: 8 }),
    fc.integer({ min: 1, max: 1_000_000 }),
    async (faults, seed) => {
      const fleet = createSimulatedFleet();
      const course: Course = {
        fleet,
        random: createRandom(seed),
        copies: [],
        pending: [],
        open: new Set(),
        version: 1,
        loss: { kind: 'none', at: -Infinity },
        isStoreAway: false,
        changedAt: -Infinity,
      };
      fleet.setServers(Array<string>(SERVERS).fill('1'));
      await pass(course, 5000, counts);
      const running: Promise<void>[] = [];
      for (const fault of faults) {
        running.push(FAULTS[fault.kind]!(course, fault));
        // eslint-disable-next-line no-await-in-loop -- faults follow one another
        await pass(course, fault.pause, counts);
      }
      await pass(course, 15_000, counts);
      let isOver = false;
      const ends = Promise.allSettled([...running, ...course.pending]).then((results) => {
        isOver = true;
        return results;
      });
      while (!isOver) {
        // eslint-disable-next-line no-await-in-loop -- time advances until all callers have ended
        await fleet.advance(STEP_MILLISECONDS);
      }
      fleet.stop();
      (await ends).forEach((end) => {
        if (end.status === 'rejected') throw end.reason;
      });
    },
  );
  // A course takes too long to be shortened beside other tests.
  await fc.assert(property, { numRuns, seed: SEED, endOnFailure: true });
  const shares = [...counts]
    .sort(([one], [other]) => (one < other ? -1 : 1))
    .map(([name, { resumed, unknown }]) => `${name}: ${unknown} of ${resumed} unknown`);
  return { shares };
}
