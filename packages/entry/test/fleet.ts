/** Topology of a fleet, and the totals that hubs send to other hosts. */
import assert from 'node:assert/strict';
import { Before, Given, Then, When } from '@cucumber/cucumber';
import { createManualClock, type ManualClock } from '@bulrushspar/clock';
import {
  createFleet,
  createRunningTotals,
  createTopology,
  HOST_KIND,
  type Fleet,
  type HostPlace,
  type Quotas,
  type RunningRequests,
  type RunningTotals,
  type Topology,
} from '@bulrushspar/entry';
import { createMemoryStore, type MemoryStore } from '@bulrushspar/standins';
import fc from 'fast-check';
import { createTestQuotas, WORKSPACE } from './quotas.js';

interface FleetWorld {
  clock: ManualClock;
  hostPlaces: HostPlace[];
  topology: Topology;
  fleet: Fleet;
  store: MemoryStore;
  totals: RunningTotals;
  expectedTotals: Map<string, number>;
  quotas: Quotas;
  primaryHub: string;
  /** Tokens that each hub reports as taken by other hosts. */
  takenByHub: Map<string, number>;
  incarnations: Map<string, number>;
}

const BURST = 10_000;

Before({ tags: '@fleet' }, function (this: FleetWorld) {
  this.clock = createManualClock();
});

function createPlaces(hosts: number, domains: number, strong: number): HostPlace[] {
  return Array.from({ length: hosts }, (_none, index) => {
    const failureDomain = String.fromCharCode('a'.charCodeAt(0) + (index % domains));
    const number = Math.floor(index / domains) + 1;
    return { host: `${failureDomain}-${number}`, failureDomain, cores: number <= strong ? 2 : 0.5 };
  });
}

function createTopologyOf(world: FleetWorld, self: string): Topology {
  const topology = createTopology({ clock: world.clock, self });
  topology.update(world.hostPlaces);
  return topology;
}

Given(
  'a fleet of {int} hosts in {int} failure domains with {int} strong hosts in each',
  function (this: FleetWorld, hosts: number, domains: number, strong: number) {
    this.hostPlaces = createPlaces(hosts, domains, strong);
  },
);

Then(
  'each host that is not a hub keeps at most {int} links, a hub one to each other hub',
  function (this: FleetWorld, links: number) {
    this.hostPlaces.forEach(({ host }) => {
      const topology = createTopologyOf(this, host);
      const peers = topology.peersToLink();
      assert(peers.size <= (topology.isHub() ? topology.hubs().length - 1 : links));
      assert(!peers.has(host));
      assert([...peers].every((peer) => topology.hubs().includes(peer)));
    });
  },
);

Then(
  'there are {int} hubs, in {int} failure domains',
  function (this: FleetWorld, hubs: number, spread: number) {
    const chosen = createTopologyOf(this, this.hostPlaces[0]!.host).hubs();
    assert.equal(chosen.length, hubs);
    const domains = this.hostPlaces.filter(({ host }) => chosen.includes(host));
    assert.equal(new Set(domains.map(({ failureDomain }) => failureDomain)).size, spread);
  },
);

Then('all hosts agree on the hubs', function (this: FleetWorld) {
  const expected = createTopologyOf(this, this.hostPlaces[0]!.host).hubs();
  const sample = this.hostPlaces.filter((_place, index) => index % 37 === 0);
  sample.forEach(({ host }) => assert.deepEqual(createTopologyOf(this, host).hubs(), expected));
});

const splitNames = (text: string): string[] => text.split(', ');

Then('the hubs are {string}', function (this: FleetWorld, names: string) {
  assert.deepEqual(createTopologyOf(this, 'c-9').hubs(), splitNames(names));
});

const firstChoices = (world: FleetWorld): Map<string, string> =>
  new Map(
    world.hostPlaces.flatMap(({ host }) => {
      const topology = createTopologyOf(world, host);
      return topology.isHub() ? [] : [[host, topology.preferredHubs()[0]!]];
    }),
  );

Then(
  'the first choice of every host that is not a hub is a hub in its own failure domain',
  function (this: FleetWorld) {
    const domainOf = new Map(
      this.hostPlaces.map(({ host, failureDomain }) => [host, failureDomain]),
    );
    firstChoices(this).forEach((hub, host) => assert.equal(domainOf.get(hub), domainOf.get(host)));
  },
);

Then(
  'no hub is the first choice of more than {int} hosts',
  function (this: FleetWorld, members: number) {
    const counts = new Map<string, number>();
    firstChoices(this).forEach((hub) => counts.set(hub, (counts.get(hub) ?? 0) + 1));
    assert(Math.max(...counts.values()) <= members, JSON.stringify([...counts]));
  },
);

When(
  /^its primary hub reports that (?:"(.*)"|nothing) is unreachable$/,
  function (this: FleetWorld, host: string | undefined) {
    this.topology.setReportedUnreachable(host === undefined ? [] : [host]);
  },
);

Then('it is a hub itself and connects to {string}', function (this: FleetWorld, names: string) {
  assert(this.topology.isHub());
  assert.deepEqual([...this.topology.peersToLink()].sort(), splitNames(names).sort());
});

Then('it is not a hub', function (this: FleetWorld) {
  assert(!this.topology.isHub());
});

Given(
  /^the (?:host|hub) "(.*)" is linked with its hubs$/,
  function (this: FleetWorld, host: string) {
    this.topology = createTopologyOf(this, host);
    this.topology.peersToLink().forEach((hub) => this.topology.setLinked(hub, true));
  },
);

When(/^its link to "(.*)" is (lost|back)$/, function (this: FleetWorld, host: string, how: string) {
  this.topology.setLinked(host, how === 'back');
  this.topology.peersToLink();
});

Then(
  'after {int} ms its hubs are {string}',
  async function (this: FleetWorld, milliseconds: number, names: string) {
    await this.clock.advance(milliseconds);
    assert.deepEqual(this.topology.hubs(), splitNames(names));
  },
);

Then('it still connects to {string}', function (this: FleetWorld, host: string) {
  assert(this.topology.peersToLink().has(host));
});

const runningArbitrary = fc.dictionary(
  fc.constantFrom('s1', 's2', 's3', 's4'),
  fc.dictionary(fc.constantFrom('m1', 'm2', 'm3'), fc.integer({ min: 1, max: 9 }), { minKeys: 1 }),
);

When(
  '{int} hosts change their running requests {int} times in an order of seed {int}',
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
      else this.totals.remove(host);
    });
    this.expectedTotals = new Map();
    known.forEach((running) =>
      Object.entries(running).forEach(([server, models]) => {
        const count = Object.values(models).reduce((sum, one) => sum + one, 0);
        this.expectedTotals.set(server, (this.expectedTotals.get(server) ?? 0) + count);
      }),
    );
  },
);

Then('the sums equal a recount', function (this: FleetWorld) {
  ['s1', 's2', 's3', 's4'].forEach((server) =>
    assert.equal(this.totals.countOf(server), this.expectedTotals.get(server) ?? 0),
  );
});

function reportHubTotals(world: FleetWorld, hub: string): void {
  const incarnation = String(world.incarnations.get(hub) ?? 0);
  const taken = { [WORKSPACE]: world.takenByHub.get(hub)! };
  world.quotas.receiveHubTotals({ host: hub, incarnation }, taken, hub === world.primaryHub);
}

const reportAllHubTotals = (world: FleetWorld): void =>
  [...world.takenByHub.keys()].forEach((hub) => reportHubTotals(world, hub));

const addTaken = (world: FleetWorld, hubs: readonly string[], tokens: number): void =>
  hubs.forEach((hub) => world.takenByHub.set(hub, world.takenByHub.get(hub)! + tokens));

Given(
  'a host whose primary hub is hub 1 and that receives summaries of hub 2',
  function (this: FleetWorld) {
    this.quotas = createTestQuotas(this.clock, BURST);
    this.primaryHub = 'hub 1';
    // The hubs have started to count at different times.
    this.takenByHub = new Map([
      ['hub 1', 7000],
      ['hub 2', 20],
    ]);
    this.incarnations = new Map();
    reportAllHubTotals(this);
  },
);

When(
  /^the others have taken (-?\d+) tokens(?: more)?, as both hubs report$/,
  function (this: FleetWorld, tokens: string) {
    addTaken(this, ['hub 1', 'hub 2'], Number(tokens));
    reportAllHubTotals(this);
  },
);

const EVENTS: Readonly<Record<string, (world: FleetWorld) => void>> = {
  'nothing happens': () => {},
  'the primary hub changes to hub 2': (world) => {
    Object.assign(world, { primaryHub: 'hub 2' });
  },
  'hub 1 lags behind and the primary hub changes to hub 2': (world) => {
    addTaken(world, ['hub 2'], 100);
    reportHubTotals(world, 'hub 2');
    Object.assign(world, { primaryHub: 'hub 2' });
    addTaken(world, ['hub 2'], -100);
  },
  'hub 1 is restarted': (world) => {
    world.incarnations.set('hub 1', 1);
    world.takenByHub.set('hub 1', 0);
    reportHubTotals(world, 'hub 1');
  },
  'hub 2 is restarted and becomes the primary hub': (world) => {
    world.incarnations.set('hub 2', 1);
    world.takenByHub.set('hub 2', 0);
    reportHubTotals(world, 'hub 2');
    Object.assign(world, { primaryHub: 'hub 2' });
  },
};

When(
  new RegExp(`^(${Object.keys(EVENTS).join('|')})$`),
  function (this: FleetWorld, happening: string) {
    EVENTS[happening]!(this);
  },
);

Then('the host has counted {int} tokens', function (this: FleetWorld, tokens: number) {
  const bucket = this.quotas.bucketOf(WORKSPACE)!;
  assert(bucket.take(BURST - tokens));
  assert(!bucket.take(1));
});

Given(
  'a hub to which host {string} reports {int} taken tokens for the first time',
  function (this: FleetWorld, host: string, tokens: number) {
    this.quotas = createTestQuotas(this.clock, BURST);
    this.quotas.receiveTaken({ host, incarnation: '1' }, { [WORKSPACE]: tokens }, true);
  },
);

When(
  'host {string} reports {int} taken tokens',
  function (this: FleetWorld, host: string, tokens: number) {
    this.quotas.receiveTaken({ host, incarnation: '1' }, { [WORKSPACE]: tokens }, true);
  },
);

When(
  'host {string} is restarted and reports {int} taken tokens',
  function (this: FleetWorld, host: string, tokens: number) {
    this.quotas.receiveTaken({ host, incarnation: '2' }, { [WORKSPACE]: tokens }, true);
  },
);

Then(
  'the hub reports {int} tokens to the others and {int} tokens to {string}',
  function (this: FleetWorld, others: number, own: number, host: string) {
    assert.equal(this.quotas.totalsExcept('another')[WORKSPACE] ?? 0, others);
    assert.equal(this.quotas.totalsExcept(host)[WORKSPACE] ?? 0, own);
  },
);

const SELF = 'h-0';

/** Shows the fleet all records that the store holds. */
async function showRecords({ store, fleet }: FleetWorld): Promise<void> {
  const { objects } = await store.list(HOST_KIND);
  fleet.updateHosts(new Map(objects.map((object) => [object.name, object])));
}

Given(
  'a host whose record is listed with those of {int} others',
  async function (this: FleetWorld, others: number) {
    this.store = createMemoryStore();
    this.fleet = createFleet({
      self: { host: SELF, incarnation: '1' },
      record: { address: '127.0.0.1', port: 1, failureDomain: 'a', cores: 1, isFirstStart: true },
      store: this.store,
      clock: this.clock,
      logger: { info: () => {}, warn: () => {}, error: () => {} },
      handlers: {},
      random: () => 0,
      onLink: () => {},
      onLost: () => {},
      leader: () => undefined,
      hasReported: () => false,
      needsRelay: () => false,
      primaryHub: () => undefined,
    });
    const record = { address: '127.0.0.1', port: 1, failureDomain: 'a', cores: 1 };
    for (let number = 0; number <= others; number += 1) {
      // eslint-disable-next-line no-await-in-loop -- records are written one after another
      await this.store.write({ kind: HOST_KIND, name: `h-${number}` }, record, 0);
    }
    await showRecords(this);
  },
);

When(
  /^the store comes back without (the record of the host|any record)$/,
  async function (this: FleetWorld, lost: string) {
    const { objects } = await this.store.list(HOST_KIND);
    const removed = objects.filter(({ name }) => lost === 'any record' || name === SELF);
    await Promise.all(
      removed.map(({ name, version }) => this.store.remove({ kind: HOST_KIND, name }, version)),
    );
    this.fleet.recordRollback();
    await showRecords(this);
  },
);

Then(
  'after {int} s the store holds the record of the host',
  async function (this: FleetWorld, seconds: number) {
    await this.clock.advance(seconds * 1000);
    this.fleet.stop();
    assert(await this.store.read({ kind: HOST_KIND, name: SELF }));
  },
);
