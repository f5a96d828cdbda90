/** A host whose requests wait for places at a server. */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { createManualClock, type ManualClock } from '@bulrushspar/clock';
import { createPromptPartTracker } from '@bulrushspar/routing';
import { createStoppingRefusal, type Call, type SendCall } from '@bulrushspar/serving';
import {
  advance,
  createAnswer,
  createReply,
  createServers,
  createTestHost,
  MODEL,
  type TestAnswer,
  type TestHost,
} from './crashing.js';

interface PlacesWorld {
  clock: ManualClock;
  testHost: TestHost;
  answers: TestAnswer[];
  /** Priorities of the requests in the order in which they were sent. */
  sent: number[];
  rejections: number;
  callers: AbortController[];
}

const RUN_MILLISECONDS = 500;
const PRIORITIES = [0, 3];
const flow = { pause: () => {}, resume: () => {} };

const createSend =
  (world: PlacesWorld): SendCall<Call> =>
  async (_call, { priority }, sink) => {
    const isRejected = world.sent.length < world.rejections;
    world.sent.push(priority);
    await world.clock.delay(isRejected ? 1 : RUN_MILLISECONDS);
    const head = { misdirected: false, signed: true, framed: true, headers: [] };
    sink.onHead({ ...head, status: isRejected ? 503 : 200, notRun: isRejected }, flow);
    if (!isRejected) sink.onData(Buffer.from('id: 1\ndata: 1\n\n'));
  };

Given(
  /^a host that (orders|does not order) requests$/,
  function create(this: PlacesWorld, what: string) {
    const clock = createManualClock();
    Object.assign(this, { clock, answers: [], sent: [], rejections: 0, callers: [] });
    const send = createSend(this);
    this.testHost = createTestHost({
      clock,
      servers: createServers(1),
      promptParts: createPromptPartTracker({ clock }),
      send,
      takesPlaces: what === 'orders',
      workspaces: PRIORITIES.map((priority) => ({
        name: `w${priority}`,
        keys: [`key-${priority}`],
        priority,
      })),
      route: { open: false },
    });
  },
);

Given(
  'the server rejects the first {int} requests',
  function reject(this: PlacesWorld, count: number) {
    this.rejections = count;
  },
);

async function begin(world: PlacesWorld, count: number, priority: number): Promise<void> {
  for (let index = 0; index < count; index += 1) {
    const answer = createAnswer();
    world.answers.push(answer);
    const call: Call = {
      id: `${priority}-${index}`,
      host: 'example',
      path: '/r/1',
      key: `key-${priority}`,
      requirements: { model: MODEL, promptParts: [] },
      fingerprint: () => `${priority}-${index}`,
    };
    const caller = new AbortController();
    world.callers.push(caller);
    const reply = { ...createReply(answer), gone: caller.signal };
    world.testHost.handler(call, reply).catch(() => {});
  }
  await world.clock.advance(0);
}

When(
  '{int} requests of priority {int} come',
  async function come(this: PlacesWorld, count: number, priority: number) {
    await begin(this, count, priority);
  },
);

When(
  '{int} requests of priority {int} come {int} ms later',
  async function come(this: PlacesWorld, count: number, priority: number, milliseconds: number) {
    await advance(this.clock, milliseconds);
    await begin(this, count, priority);
  },
);

When('the host stops', async function stop(this: PlacesWorld) {
  this.testHost.places!.close(createStoppingRefusal);
  await this.clock.advance(0);
});

When('their callers leave', async function leave(this: PlacesWorld) {
  this.callers.forEach((caller) => caller.abort());
  await this.clock.advance(0);
});

When(/^the host runs for (\d+) ms$/, async function pass(this: PlacesWorld, milliseconds: string) {
  await advance(this.clock, Number(milliseconds));
});

Then('{int} requests were sent', function check(this: PlacesWorld, count: number) {
  assert.equal(this.sent.length, count);
});

Then(
  'the requests of priority {int} are among the first {int} that were sent',
  function check(this: PlacesWorld, priority: number, count: number) {
    const sent = this.sent.slice(0, count).filter((other) => other === priority);
    assert.equal(sent.length, 5, this.sent.join(' '));
  },
);

Then('all requests are answered and no place is taken', function check(this: PlacesWorld) {
  this.answers.forEach(({ status, isEnded }) => assert.ok(status === 200 && isEnded, `${status}`));
  assert.equal(this.testHost.places!.countHeld(), 0);
});

Then('no place is taken', function check(this: PlacesWorld) {
  assert.equal(this.testHost.places!.countHeld(), 0);
});

Then('no request waits', function check(this: PlacesWorld) {
  assert.equal(this.testHost.places!.countWaiting(), 0);
});
