/** The evacuations that one host obeys, as the store and other hosts tell of them. */
import assert from 'node:assert/strict';
import { Before, Given, Then, When } from '@cucumber/cucumber';
import type { ServerEntry } from '@bulrushspar/catalogue';
import { createManualClock, type ManualClock } from '@bulrushspar/clock';
import { createEvacuations, type Evacuations } from '@bulrushspar/entry';
import { createMetrics, type Metrics } from '@bulrushspar/metrics';
import { decodeEvacuation } from '@bulrushspar/platform';
import { composeVersion, createEraTracker, type EraTracker } from '@bulrushspar/store';

interface EvacuationWorld {
  clock: ManualClock;
  eras: EraTracker;
  metrics: Metrics;
  warnings: string[];
  evacuations: Evacuations;
  domains: ReadonlySet<string>;
}

const SECOND_MILLISECONDS = 1000;

Before('@evacuations', function create(this: EvacuationWorld) {
  const clock = createManualClock();
  const eras = createEraTracker();
  const metrics = createMetrics();
  Object.assign(this, { clock, eras, metrics, warnings: [], domains: new Set() });
  this.evacuations = createEvacuations({
    clock,
    eras,
    metrics,
    logger: {
      info: () => {},
      warn: (message) => this.warnings.push(message),
      error: () => {},
    },
    decode: decodeEvacuation,
    onChange: (domains) => {
      this.domains = domains;
    },
  });
});

function show(world: EvacuationWorld, list: string, era: number): void {
  world.eras.learn(era);
  const objects = list
    .split(' ')
    .filter((text) => text !== '')
    .map((text) => {
      const [name = '', written = '', revision = ''] = text.split(/[=/]/);
      const version = composeVersion(Number(written), Number(revision));
      return [name, { name, version, value: {} }] as const;
    });
  world.evacuations.applyView(new Map(objects));
}

Given(
  'a host that has read the evacuations {string} in era {int}',
  function read(this: EvacuationWorld, list: string, era: number) {
    show(this, list, era);
  },
);

Given('a host that has just started', () => {});

Given(
  'a host whose servers are in the failure domains {string}',
  function list(this: EvacuationWorld, domains: string) {
    const entries = domains.split(' ').map((failureDomain): [string, ServerEntry] => [
      `server-${failureDomain}`,
      {
        id: `server-${failureDomain}`,
        service: 'llm',
        address: '127.0.0.1:1',
        failureDomain,
        slots: 1,
        leaving: false,
        born: 1,
        models: [],
        inMemory: [],
        onDisk: [],
      },
    ]);
    this.evacuations.updateServers(new Map(entries));
  },
);

/** Plays one event, such as "era 2 shows a=2/5 b=2/6", "era 2 begins" or "60 s". */
async function play(world: EvacuationWorld, event: string): Promise<void> {
  const [, era, list] = /^era (\d+) (?:shows (.+)|begins)$/.exec(event) ?? [];
  if (era === undefined) await world.clock.advance(parseInt(event, 10) * SECOND_MILLISECONDS);
  else if (list === undefined) world.eras.learn(Number(era));
  else show(world, list === 'nothing' ? '' : list, Number(era));
}

When(
  /^this happens to its view of the evacuations: (.+)$/,
  async function change(this: EvacuationWorld, events: string) {
    for (const event of events.split(', ')) {
      // eslint-disable-next-line no-await-in-loop -- events follow one another
      await play(this, event);
    }
  },
);

When(
  /^it reads the evacuation "(\w+)" with the value (.+) twice$/,
  function read(this: EvacuationWorld, name: string, text: string) {
    const value: unknown = text === 'undefined' ? undefined : JSON.parse(text);
    const view = new Map([[name, { name, version: composeVersion(0, 5), value }]]);
    this.evacuations.applyView(view);
    this.evacuations.applyView(view);
  },
);

When(
  'another host tells that the store has lost {string} {int} s ago',
  function tell(this: EvacuationWorld, failureDomain: string, age: number) {
    this.evacuations.applyLost([{ failureDomain, age: age * SECOND_MILLISECONDS }]);
  },
);

Then('it obeys the evacuations {string}', function check(this: EvacuationWorld, list: string) {
  assert.equal([...this.domains].sort().join(' '), list);
  assert.deepEqual(this.evacuations.domains(), this.domains);
  list
    .split(' ')
    .filter((domain) => domain !== '')
    .forEach((domain) => assert.ok(this.evacuations.covers(domain)));
});

Then('it tells a new host of {string}', function check(this: EvacuationWorld, list: string) {
  const lost = this.evacuations.listLost().map(({ failureDomain }) => failureDomain);
  assert.equal(lost.join(' '), list);
});

Then(
  /^it (does not know|knows) the evacuations$/,
  function check(this: EvacuationWorld, knows: string) {
    assert.equal(this.evacuations.isKnown(), knows === 'knows');
  },
);

Then(
  '{int} odd evacuations were counted and logged',
  async function check(this: EvacuationWorld, count: number) {
    const text = await this.metrics.text();
    const [, counted = '0'] = /^bulrushspar_evacuations_odd (\d+)$/m.exec(text) ?? [];
    assert.deepEqual([Number(counted), this.warnings.length], [count, count]);
  },
);
