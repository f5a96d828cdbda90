/** Steps for the record of which software version began each stream. */
import assert from 'node:assert/strict';
import { Before, Given, Then, When } from '@cucumber/cucumber';
import type { ServerEntry } from '@bulrushspar/catalogue';
import { createManualClock, type ManualClock } from '@bulrushspar/clock';
import {
  createStreamVersions,
  UNKNOWN_VERSION_CAUSE,
  type StreamVersions,
} from '@bulrushspar/serving';

interface StreamsWorld {
  clock: ManualClock;
  versions: StreamVersions;
  reported: string[];
  begun: string[];
}

const SERVICE = 'llm';
const MAX_STREAMS = 20;

function startHost(world: StreamsWorld, more: { readonly isFirstStart?: boolean } = {}): void {
  const started = world;
  started.versions = createStreamVersions({
    clock: world.clock,
    maxStreams: MAX_STREAMS,
    onBegun: ({ attempt }) => world.reported.push(attempt),
    ...more,
  });
}

Before({ tags: '@streams' }, function begin(this: StreamsWorld) {
  this.clock = createManualClock();
  this.reported = [];
  this.begun = [];
  startHost(this);
});

Given('a fleet that starts for the first time', function start(this: StreamsWorld) {
  startHost(this, { isFirstStart: true });
});

Given(
  'the servers of a service have the versions {string}',
  function update(this: StreamsWorld, list: string) {
    const entries = list.split(' ').map((softwareVersion, index): [string, ServerEntry] => [
      `s${index}`,
      {
        id: `s${index}`,
        service: SERVICE,
        address: '127.0.0.1:1',
        failureDomain: 'd1',
        slots: 1,
        softwareVersion,
        leaving: false,
        born: 1,
        models: [],
        inMemory: [],
        onDisk: [],
      },
    ]);
    this.versions.updateServers(new Map(entries));
  },
);

function beginStream(world: StreamsWorld, softwareVersion: string, attempt: string): void {
  world.begun.push(attempt);
  world.versions.recordBegun({ attempt, service: SERVICE, softwareVersion });
}

When(
  'version {string} begins the stream {string}',
  function record(this: StreamsWorld, version: string, attempt: string) {
    beginStream(this, version, attempt);
  },
);

When(
  'version {string} begins {int} streams',
  function record(this: StreamsWorld, version: string, count: number) {
    Array.from({ length: count }, (_none, index) => beginStream(this, version, `stream-${index}`));
  },
);

When('{int} s go by', async function pass(this: StreamsWorld, seconds: number) {
  await this.clock.advance(seconds * 1000);
});

Then('the streams {string} are reported', function check(this: StreamsWorld, list: string) {
  assert.equal(this.reported.join(' '), list);
});

Then(
  'the stream {string} goes on at version {string}',
  function check(this: StreamsWorld, attempt: string, softwareVersion: string) {
    assert.deepEqual(this.versions.requirementOf(SERVICE, attempt), {
      isKnown: true,
      softwareVersion,
    });
  },
);

Then(
  'it is not known where the stream {string} goes on',
  function check(this: StreamsWorld, attempt: string) {
    const requirement = this.versions.requirementOf(SERVICE, attempt);
    assert.ok(!requirement.isKnown, JSON.stringify(requirement));
    assert.ok(Object.values(UNKNOWN_VERSION_CAUSE).includes(requirement.cause), requirement.cause);
    assert.deepEqual(requirement, { isKnown: false, cause: requirement.cause });
  },
);

Then('{int} streams are known', function check(this: StreamsWorld, count: number) {
  const known = this.begun.filter(
    (attempt) => this.versions.requirementOf(SERVICE, attempt).isKnown,
  );
  assert.equal(known.length, count);
});
