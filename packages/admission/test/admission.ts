/** Decisions of hosts under the loads that the feature names. */
import assert from 'node:assert/strict';
import { Before, Given, Then, When } from '@cucumber/cucumber';
import { decodeWaiting, type WaitingGroup } from '@bulrushspar/admission';
import fc from 'fast-check';
import {
  runFleet,
  summarize,
  type FleetOptions,
  type FleetResult,
  type RequestClass,
} from './fleet.js';

interface AdmissionWorld {
  options: Omit<FleetOptions, 'milliseconds'> & { readonly classes: RequestClass[] };
  result: FleetResult;
  /** The same fleet, whose hosts send every request at once. */
  baseline: FleetResult;
  groups: readonly WaitingGroup[];
}

const SEED = 7;
const SECOND = 1000;
const WINDOW_MILLISECONDS = 2000;
const SMALL_SLOTS = 6;
const INTERACTIVE = { priority: 0, objectiveMilliseconds: 700, timeoutMilliseconds: 6000 };
const PATIENT = { priority: 3, objectiveMilliseconds: 3000, timeoutMilliseconds: 16_000 };
const PLAIN = { priority: 0, objectiveMilliseconds: 180, timeoutMilliseconds: 2000 };

const CLASSES: Readonly<Record<string, Omit<RequestClass, 'name' | 'perSecond'>>> = {
  interactive: INTERACTIVE,
  'interactive flood': INTERACTIVE,
  'interactive second': { ...INTERACTIVE, priority: 1 },
  patient: PATIENT,
  plain: PLAIN,
  'plain less urgent': { ...PLAIN, priority: 2 },
};

Before('@admission', function reset(this: AdmissionWorld) {
  const servers = { hosts: 1, servers: 1, slots: 1, runMilliseconds: [200, 500] as const };
  this.options = { ...servers, classes: [], seed: SEED };
});

Given(
  '{int} hosts and {int} servers with {int} slots',
  function create(this: AdmissionWorld, hosts: number, servers: number, slots: number) {
    const small = { runMilliseconds: [21, 43] as const, serverQueue: 24 };
    Object.assign(this.options, { hosts, servers, slots }, slots === SMALL_SLOTS ? small : {});
  },
);

Given(
  /^(\d+) requests a second of class "(.+?)"(?: from workspace "(.+)")?(?: from (\d+) s to (\d+) s)?$/,
  function add(
    this: AdmissionWorld,
    perSecond: string,
    name: string,
    workspace: string | null,
    from: string | null,
    to: string | null,
  ) {
    this.options.classes.push({
      ...CLASSES[name]!,
      name,
      perSecond: Number(perSecond),
      ...(workspace ? { workspace } : {}),
      ...(from ? { from: Number(from) * SECOND, to: Number(to) * SECOND } : {}),
    });
  },
);

Given('the hosts are in {int} parts', function divide(this: AdmissionWorld, parts: number) {
  Object.assign(this.options, { parts });
});

Given(
  '{int} models are on {int} of the servers each',
  function hold(this: AdmissionWorld, count: number, holders: number) {
    Object.assign(this.options, { models: { count, holders } });
  },
);

Given(
  'the servers stop from {int} s to {int} s',
  function stop(this: AdmissionWorld, from: number, to: number) {
    Object.assign(this.options, { stop: [from * SECOND, to * SECOND] });
  },
);

When('they serve for {int} s', async function serve(this: AdmissionWorld, seconds: number) {
  const options = { ...this.options, milliseconds: seconds * SECOND };
  this.result = await runFleet(options);
  this.baseline = await runFleet({ ...options, usesQueue: false });
});

const inTime = (result: FleetResult, name: string, from = 0): number =>
  summarize(result, name, from).inTime;

Then(
  /^at least ([\d.]+) of class "(.+)" are in time$/,
  function check(this: AdmissionWorld, least: string, name: string) {
    const share = inTime(this.result, name);
    assert.ok(share >= Number(least), `${share} in time`);
  },
);

Then(
  /^at least ([\d.]+) of class "(.+)" that came after (\d+) ms are in time$/,
  function check(this: AdmissionWorld, least: string, name: string, from: string) {
    const share = inTime(this.result, name, Number(from));
    assert.ok(share >= Number(least), `${share} in time`);
  },
);

Then(
  /^at least ([\d.]+) of class "(.+)" are answered$/,
  function check(this: AdmissionWorld, least: string, name: string) {
    const { answered } = summarize(this.result, name);
    assert.ok(answered >= Number(least), `${answered} answered`);
  },
);

Then(/^none of class "(.+)" is refused$/, function check(this: AdmissionWorld, name: string) {
  const { refusals } = this.result.outcomes
    .filter((outcome) => outcome.name === name)
    .reduce((most, outcome) => (outcome.refusals > most.refusals ? outcome : most));
  assert.equal(refusals, 0);
});

Then(
  'no request waited for more than {float} of its time',
  function check(this: AdmissionWorld, most: number) {
    const { longestWaitFraction } = this.result;
    assert.ok(longestWaitFraction <= most, `${longestWaitFraction} of its time`);
  },
);

Then(
  'the servers use at least {float} of their slots',
  function check(this: AdmissionWorld, least: number) {
    assert.ok(this.result.utilization >= least, `${this.result.utilization} of the slots`);
  },
);

Then(
  'the servers use at most {float} fewer of their slots than without a queue',
  function check(this: AdmissionWorld, most: number) {
    const used = [this.result.utilization, this.baseline.utilization] as const;
    assert.ok(used[0] >= used[1] - most, `${used[0]} and without a queue ${used[1]}`);
  },
);

Then(
  'a server holds at most {int} requests on average',
  function check(this: AdmissionWorld, most: number) {
    assert.ok(this.result.meanAtServer <= most, `${this.result.meanAtServer} requests`);
  },
);

Then(
  /^class "(.+)" is in time at most ([\d.]+) less often than without a queue$/,
  function check(this: AdmissionWorld, name: string, most: string) {
    const shares = [inTime(this.result, name), inTime(this.baseline, name)] as const;
    assert.ok(
      shares[0] >= shares[1] - Number(most),
      `${shares[0]} and without a queue ${shares[1]}`,
    );
  },
);

Then(
  /^class "(.+)" is (in time|answered) at least ([\d.]+) more often than without a queue$/,
  function check(this: AdmissionWorld, name: string, what: string, gain: string) {
    const key = what === 'answered' ? 'answered' : 'inTime';
    const share = summarize(this.result, name)[key];
    const before = summarize(this.baseline, name)[key];
    assert.ok(share >= before + Number(gain), `${share} and without a queue ${before}`);
  },
);

Then(
  /^servers reject at most ([\d.]+) as many requests as without a queue$/,
  function check(this: AdmissionWorld, part: string) {
    const { rejections } = this.result;
    const before = this.baseline.rejections;
    assert.ok(before > 0);
    const most = before * Number(part);
    assert.ok(rejections <= most, `${rejections} and without a queue ${before}`);
  },
);

/** Compares the numbers of requests that were sent, in all windows that begin with one of either class. */
function checkOrder(result: FleetResult, urgent: string, other: string): void {
  const rateOf = (name: string, from: number): number => {
    const arrived = result.outcomes.filter(
      ({ name: own, arrivedAt }) =>
        own === name && arrivedAt >= from && arrivedAt < from + WINDOW_MILLISECONDS,
    ).length;
    const sent = result.grants.filter(
      ({ name: own, at }) => own === name && at >= from && at < from + WINDOW_MILLISECONDS,
    ).length;
    return sent / Math.max(1, arrived);
  };
  const last = Math.max(...result.outcomes.map(({ arrivedAt }) => arrivedAt));
  for (let from = 0; from + WINDOW_MILLISECONDS <= last; from += WINDOW_MILLISECONDS / 10) {
    const shares = [rateOf(urgent, from), rateOf(other, from)] as const;
    // What waited before the window can be sent in it, also after the burst of its class has ended.
    const isServed = shares[0] >= Math.min(0.95, shares[1]);
    assert.ok(isServed, `${shares[0]} of ${urgent} and ${shares[1]} of ${other} from ${from} ms`);
  }
}

Then(
  /^in any two seconds class "(.+)" is not served less often than class "(.+)"$/,
  function check(this: AdmissionWorld, urgent: string, other: string) {
    checkOrder(this.result, urgent, other);
  },
);

const anyClass = fc.record({
  priority: fc.integer({ min: 0, max: 4 }),
  perSecond: fc.integer({ min: 1, max: 150 }),
  objectiveMilliseconds: fc.integer({ min: 100, max: 1000 }),
  timeoutMilliseconds: fc.integer({ min: 200, max: 4000 }),
});

const anyFleet = fc.record({
  hosts: fc.integer({ min: 1, max: 8 }),
  servers: fc.integer({ min: 1, max: 4 }),
  slots: fc.integer({ min: 1, max: 8 }),
  serverQueue: fc.constantFrom(0, 4, 24, Infinity),
  runMilliseconds: fc.constantFrom([21, 43] as const, [200, 500] as const),
  parts: fc.integer({ min: 1, max: 3 }),
  reportsLoad: fc.boolean(),
  stop: fc.constantFrom(undefined, [500, 1500] as const),
  classes: fc.array(anyClass, { minLength: 1, maxLength: 3 }),
  seed: fc.nat(),
});

const FLEET_RUNS = 40;
const ANY_FLEET_MILLISECONDS = 2000;
/** The bound, half of the time left, and a check of the queue that is 2 ms late. */
const MAX_WAIT_FRACTION = 0.5 + 0.02;

Then(
  'for any fleet and load each request ends, none waits beyond its bound, and all places are free',
  async () => {
    await fc.assert(
      fc.asyncProperty(anyFleet, async ({ classes, ...fleet }) => {
        const result = await runFleet({
          ...fleet,
          classes: classes.map((kind, index) => ({ ...kind, name: String(index) })),
          milliseconds: ANY_FLEET_MILLISECONDS,
        });
        assert.equal(result.waitingAtEnd, 0);
        assert.equal(result.heldAtEnd, 0);
        assert.ok(result.longestWaitFraction <= MAX_WAIT_FRACTION, `${result.longestWaitFraction}`);
        assert.ok(result.outcomes.every(({ sentAt, refusals }) => sentAt ?? refusals > 0));
      }),
      { seed: SEED, numRuns: FLEET_RUNS },
    );
  },
);

When(
  'a host is told of the waiting requests {string}',
  function tell(this: AdmissionWorld, list: string) {
    const pairs = list.split(' ').map((pair) => {
      const [key = '', count] = pair.split('=');
      return [key, Number(count)] as const;
    });
    this.groups = decodeWaiting(Object.fromEntries(pairs));
  },
);

Then('it knows of those of {string}', function check(this: AdmissionWorld, list: string) {
  const known = this.groups.map(
    ({ count, rank, service, model }) => `${count}: rank ${rank}, ${service}, model "${model}"`,
  );
  assert.equal(known.join('; '), list);
});
