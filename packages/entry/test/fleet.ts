/** Who is linked with whom, and sums that hubs keep for the others. */
import assert from 'node:assert/strict';
import { Before, Given, Then, When } from '@cucumber/cucumber';
import { createManualClock, type ManualClock } from '@bulrushspar/clock';
import {
  createQuotas,
  createRunningTotals,
  createTopology,
  type HostPlace,
  type Quotas,
  type RunningRequests,
  type RunningTotals,
  type Topology,
} from '@bulrushspar/entry';
import fc from 'fast-check';

interface FleetWorld {
  clock: ManualClock;
  places: HostPlace[];
  topology: Topology;
  totals: RunningTotals;
  expected: Map<string, number>;
  quotas: Quotas;
  primary: string;
  /** What each hub says that the others have taken. */
  told: Map<string, number>;
  incarnations: Map<string, number>;
}

const WORKSPACE = 'w';
const BURST = 10_000;

Before({ tags: '@fleet' }, function (this: FleetWorld) {
  this.clock = createManualClock();
});

function makePlaces(hosts: number, domains: number, strong: number): HostPlace[] {
  return Array.from({ length: hosts }, (_none, index) => {
    const failureDomain = String.fromCharCode('a'.charCodeAt(0) + (index % domains));
    const number = Math.floor(index / domains) + 1;
    return { host: `${failureDomain}-${number}`, failureDomain, cores: number <= strong ? 2 : 0.5 };
  });
}

function topologyOf(world: FleetWorld, self: string): Topology {
  const topology = createTopology({ clock: world.clock, self });
  topology.update(world.places);
  return topology;
}

Given(
  'a fleet of {int} hosts in {int} failure domains with {int} strong hosts in each',
  function (this: FleetWorld, hosts: number, domains: number, strong: number) {
    this.places = makePlaces(hosts, domains, strong);
  },
);

Then(
  'each host keeps at most {int} links besides the hubs',
  function (this: FleetWorld, links: number) {
    this.places.forEach(({ host }) => {
      const topology = topologyOf(this, host);
      assert(topology.wanted().size <= links);
      assert(!topology.wanted().has(host));
    });
  },
);

Then(
  'there are {int} hubs, in {int} failure domains',
  function (this: FleetWorld, hubs: number, spread: number) {
    const chosen = topologyOf(this, this.places[0]!.host).hubs();
    assert.equal(chosen.length, hubs);
    const domains = this.places.filter(({ host }) => chosen.includes(host));
    assert.equal(new Set(domains.map(({ failureDomain }) => failureDomain)).size, spread);
  },
);

Then('all hosts agree on the hubs', function (this: FleetWorld) {
  const expected = topologyOf(this, this.places[0]!.host).hubs();
  const sample = this.places.filter((_place, index) => index % 37 === 0);
  sample.forEach(({ host }) => assert.deepEqual(topologyOf(this, host).hubs(), expected));
});

const namesOf = (text: string): string[] => text.split(', ');

Then('the hubs are {string}', function (this: FleetWorld, names: string) {
  assert.deepEqual(topologyOf(this, 'c-9').hubs(), namesOf(names));
});

Given('the host {string} is linked with its hubs', function (this: FleetWorld, host: string) {
  this.topology = topologyOf(this, host);
  this.topology.wanted().forEach((hub) => this.topology.noteLink(hub, true));
});

When(/^its link to "(.*)" is (lost|back)$/, function (this: FleetWorld, host: string, how: string) {
  this.topology.noteLink(host, how === 'back');
  this.topology.wanted();
});

Then(
  'after {int} ms its hubs are {string}',
  async function (this: FleetWorld, milliseconds: number, names: string) {
    await this.clock.advance(milliseconds);
    assert.deepEqual(this.topology.hubs(), namesOf(names));
  },
);

Then('it still tries to reach {string}', function (this: FleetWorld, host: string) {
  assert(this.topology.wanted().has(host));
});

const runningArbitrary = fc.dictionary(
  fc.constantFrom('s1', 's2', 's3', 's4'),
  fc.dictionary(fc.constantFrom('m1', 'm2', 'm3'), fc.integer({ min: 1, max: 9 }), { minKeys: 1 }),
);

When(
  '{int} hosts change what they run {int} times in an order of seed {int}',
  function (this: FleetWorld, hosts: number, changes: number, seed: number) {
    this.totals = createRunningTotals();
    const known = new Map<string, RunningRequests>();
    const changeArbitrary = fc.tuple(
      fc.integer({ min: 1, max: hosts }),
      fc.option(runningArbitrary),
    );
    fc.sample(changeArbitrary, { seed, numRuns: changes }).forEach(([number, running]) => {
      const host = `h-${number}`;
      if (running) known.set(host, running);
      else known.delete(host);
      if (running) this.totals.set(host, running);
      else this.totals.forget(host);
    });
    this.expected = new Map();
    known.forEach((running) =>
      Object.entries(running).forEach(([server, models]) => {
        const count = Object.values(models).reduce((sum, one) => sum + one, 0);
        this.expected.set(server, (this.expected.get(server) ?? 0) + count);
      }),
    );
  },
);

Then('the sums are those of a recount', function (this: FleetWorld) {
  ['s1', 's2', 's3', 's4'].forEach((server) =>
    assert.equal(this.totals.of(server), this.expected.get(server) ?? 0),
  );
});

function createHostQuotas(clock: ManualClock): Quotas {
  const quotas = createQuotas({
    clock,
    linkedPart: () => 1,
    firstStart: true,
    tolerance: { windowMilliseconds: 8000, overshoot: 0.1, slack: 0 },
  });
  const quota = { perSecond: 0, burst: BURST, countsTokens: true, plainTokens: 1 };
  quotas.update({
    version: 1,
    routes: [],
    services: new Map(),
    workspaces: [{ name: WORKSPACE, keys: [], quota }],
    callerLimits: { headerBytes: 0, bodyBytes: 0, headerMilliseconds: 0, idleMilliseconds: 0 },
  });
  return quotas;
}

function tell(world: FleetWorld, hub: string): void {
  const incarnation = String(world.incarnations.get(hub) ?? 0);
  const taken = { [WORKSPACE]: world.told.get(hub)! };
  world.quotas.hearTotals({ host: hub, incarnation }, taken, hub === world.primary);
}

const tellAll = (world: FleetWorld): void =>
  [...world.told.keys()].forEach((hub) => tell(world, hub));

const take = (world: FleetWorld, hubs: readonly string[], tokens: number): void =>
  hubs.forEach((hub) => world.told.set(hub, world.told.get(hub)! + tokens));

Given('a host that relies on hub 1 and hears hub 2', function (this: FleetWorld) {
  this.quotas = createHostQuotas(this.clock);
  this.primary = 'hub 1';
  // The hubs began to count at different times.
  this.told = new Map([
    ['hub 1', 7000],
    ['hub 2', 20],
  ]);
  this.incarnations = new Map();
  tellAll(this);
});

When(
  /^the others have taken (-?\d+) tokens(?: more)?, as both hubs say$/,
  function (this: FleetWorld, tokens: string) {
    take(this, ['hub 1', 'hub 2'], Number(tokens));
    tellAll(this);
  },
);

const HAPPENINGS: Readonly<Record<string, (world: FleetWorld) => void>> = {
  'nothing happens': () => {},
  'the host relies on hub 2 from now on': (world) => {
    Object.assign(world, { primary: 'hub 2' });
  },
  'hub 1 lags behind and hub 2 takes over': (world) => {
    take(world, ['hub 2'], 100);
    tell(world, 'hub 2');
    Object.assign(world, { primary: 'hub 2' });
    take(world, ['hub 2'], -100);
  },
  'hub 1 is restarted': (world) => {
    world.incarnations.set('hub 1', 1);
    world.told.set('hub 1', 0);
    tell(world, 'hub 1');
  },
  'hub 2 is restarted and takes over': (world) => {
    world.incarnations.set('hub 2', 1);
    world.told.set('hub 2', 0);
    tell(world, 'hub 2');
    Object.assign(world, { primary: 'hub 2' });
  },
};

When(
  new RegExp(`^(${Object.keys(HAPPENINGS).join('|')})$`),
  function (this: FleetWorld, happening: string) {
    HAPPENINGS[happening]!(this);
  },
);

Then('the host has counted {int} tokens', function (this: FleetWorld, tokens: number) {
  const bucket = this.quotas.of(WORKSPACE)!;
  assert(bucket.take(BURST - tokens));
  assert(!bucket.take(1));
});

Given(
  'a hub that has heard host {string} take {int} tokens',
  function (this: FleetWorld, host: string, tokens: number) {
    this.quotas = createHostQuotas(this.clock);
    this.quotas.hear({ host, incarnation: '1' }, { [WORKSPACE]: tokens }, true);
  },
);

When(
  'host {string} is restarted and takes {int} tokens',
  function (this: FleetWorld, host: string, tokens: number) {
    this.quotas.hear({ host, incarnation: '2' }, { [WORKSPACE]: tokens }, true);
  },
);

Then(
  'the hub tells {int} tokens to the others and {int} tokens to {string}',
  function (this: FleetWorld, others: number, own: number, host: string) {
    assert.equal(this.quotas.totalsWithout('another')[WORKSPACE], others);
    assert.equal(this.quotas.totalsWithout(host)[WORKSPACE], own);
  },
);
