/** Serves requests with simulated servers that crash when they answer a certain prompt part. */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { createManualClock, type ManualClock } from '@bulrushspar/clock';
import { createPromptPartTracker, type PromptPartTracker } from '@bulrushspar/routing';
import type { Call, ModelWaits, RequestHandler, SendCall } from '@bulrushspar/serving';
import { EXCHANGE_PROGRESS } from '@bulrushspar/targets';
import {
  advance,
  crashServer,
  createAnswer,
  createCut,
  createReply,
  createServers,
  createTestHost,
  describeAnswer,
  MODEL,
  probeServer,
  type TestAnswer,
  type TestServer,
} from './crashing.js';

interface TestRequest extends TestAnswer {
  readonly id: string;
  readonly parts: string;
  readonly servers: string[];
}

interface PartsWorld {
  clock: ManualClock;
  servers: TestServer[];
  culprit: string;
  crashes: number;
  isLoaded: boolean;
  requests: TestRequest[];
  waits: ModelWaits;
  promptParts: PromptPartTracker;
  updateServers: () => void;
  handler: RequestHandler<Call>;
}

const STEP_MILLISECONDS = 10;
const SECOND_MILLISECONDS = 1000;
const flow = { pause: () => {}, resume: () => {} };

function crash(world: PartsWorld, server: TestServer): void {
  Object.assign(world, { crashes: world.crashes + 1 });
  crashServer(world.clock, server, world.updateServers);
}

const createSend =
  (world: PartsWorld): SendCall<Call> =>
  async (call, attempt, sink) => {
    const { clock, culprit } = world;
    const server = world.servers.find(({ id }) => id === attempt.server.id)!;
    if (!server.isUp) throw createCut(EXCHANGE_PROGRESS.NOT_SENT);
    const request = world.requests.find(({ id }) => id === call.id)!;
    request.servers.push(server.id);
    let cut = (): void => {};
    const whenCut = new Promise<never>((_resolve, reject) => {
      cut = () => reject(createCut());
    });
    server.cuts.add(cut);
    try {
      await Promise.race([clock.delay(20), whenCut]);
      sink.onHead(
        {
          status: 200,
          notRun: false,
          misdirected: false,
          signed: true,
          framed: true,
          callId: call.id,
          headers: [],
        },
        flow,
      );
      sink.onData(Buffer.from('id: 1\ndata: 1\n\n'));
      if (request.parts.split(' ').includes(culprit))
        clock.after(STEP_MILLISECONDS, () => crash(world, server));
      await Promise.race([clock.delay(200), whenCut]);
      sink.onData(Buffer.from('id: 2\ndata: 2\n\n'));
    } finally {
      server.cuts.delete(cut);
    }
  };

Given(
  '{int} servers that crash when they answer a request with prompt part {string}, and are back after 3 s',
  function create(this: PartsWorld, count: number, culprit: string) {
    const clock = createManualClock();
    Object.assign(this, {
      clock,
      culprit,
      crashes: 0,
      isLoaded: true,
      requests: [],
      servers: createServers(count),
      promptParts: createPromptPartTracker({
        clock,
        onLoss: (server) =>
          clock.after(100, () => probeServer(this.servers, this.promptParts, server)),
      }),
    });
    const { servers, promptParts } = this;
    const isLoaded = (): boolean => this.isLoaded;
    const send = createSend(this);
    Object.assign(this, createTestHost({ clock, servers, promptParts, send, isLoaded }));
  },
);

/** A request arrives that no earlier one equals; its last part is its own. */
function arrive(world: PartsWorld, parts: string): TestRequest {
  const { requests, handler } = world;
  const id = `request-${requests.length}`;
  const request: TestRequest = { id, parts, servers: [], ...createAnswer() };
  requests.push(request);
  const promptParts = [...parts.split(' '), id].map((part) => ({ id: part, tokens: 10 }));
  const call: Call = {
    id,
    host: 'example',
    path: '/r/1',
    requirements: { model: MODEL, promptParts },
    fingerprint: () => id,
  };
  handler(call, createReply(request)).catch(assert.fail);
  return request;
}

When(
  'for {int} s a new request with parts {string} arrives each {int} ms and one with parts {string} each {int} ms',
  async function play(
    this: PartsWorld,
    seconds: number,
    culprit: string,
    culpritInterval: number,
    sound: string,
    soundInterval: number,
  ) {
    for (let at = 0; at < seconds * SECOND_MILLISECONDS; at += STEP_MILLISECONDS) {
      if (at % culpritInterval === 0) arrive(this, culprit);
      if (at % soundInterval === 0) arrive(this, sound);
      // eslint-disable-next-line no-await-in-loop -- each step starts after the previous one
      await advance(this.clock, STEP_MILLISECONDS);
    }
    await advance(this.clock, SECOND_MILLISECONDS);
  },
);

When(
  '{int} servers have crashed under requests with parts {string}',
  async function play(this: PartsWorld, crashes: number, parts: string) {
    while (this.crashes < crashes) {
      arrive(this, parts);
      // eslint-disable-next-line no-await-in-loop -- each step starts after the previous one
      await advance(this.clock, 4 * SECOND_MILLISECONDS);
    }
    assert.equal(this.crashes, crashes);
  },
);

When(
  'a new request with parts {string} arrives',
  async function play(this: PartsWorld, parts: string) {
    arrive(this, parts);
    await advance(this.clock, SECOND_MILLISECONDS);
  },
);

When(
  'the model is unloaded and a new request with parts {string} arrives',
  async function play(this: PartsWorld, parts: string) {
    this.isLoaded = false;
    this.updateServers();
    arrive(this, parts);
    this.waits.applyOutlook([{ model: MODEL, readyMilliseconds: 500 }]);
    await advance(this.clock, SECOND_MILLISECONDS / 10);
  },
);

When(
  'another host reports {int} crashes under parts {string}',
  function report(this: PartsWorld, crashes: number, parts: string) {
    for (let count = 0; count < crashes; count += 1)
      this.promptParts.applyUpdate({
        process: `other${count}/1`,
        parts: parts.split(' '),
        age: 100,
      });
  },
);

When(
  'another host reports that {string} were served',
  function report(this: PartsWorld, parts: string) {
    this.promptParts.applyUpdate({ parts: parts.split(' '), age: 0 });
  },
);

When('the model is loaded', async function load(this: PartsWorld) {
  this.isLoaded = true;
  this.updateServers();
  await advance(this.clock, SECOND_MILLISECONDS);
});

When(
  'a request with parts {string} runs at the server that crashes first',
  async function play(this: PartsWorld, parts: string) {
    const request = arrive(this, parts);
    await advance(this.clock, SECOND_MILLISECONDS / 10);
    crash(
      this,
      this.servers.find(({ id }) => id === request.servers[0])!,
    );
    await advance(this.clock, SECOND_MILLISECONDS);
    assert.equal(request.servers.length, 2);
  },
);

Then('at most {int} servers crash', function check(this: PartsWorld, crashes: number) {
  assert(this.crashes > 0);
  assert(this.crashes <= crashes, `${this.crashes} servers crashed`);
});

Then(
  'each request with parts {string} is served, unless two servers crashed that ran it',
  function check(this: PartsWorld, parts: string) {
    const missed = this.requests.filter(
      (request) => request.parts === parts && describeAnswer(request) !== 'the answer',
    );
    assert.deepEqual(
      missed.filter(({ servers }) => servers.length < 2),
      [],
    );
  },
);

Then('it is served', function check(this: PartsWorld) {
  assert.equal(describeAnswer(this.requests.at(-1)!), 'the answer');
});

Then(
  'the last request with parts {string} gets 503 without retry-after',
  function check(this: PartsWorld, parts: string) {
    const { status, retryAfter, servers } = this.requests
      .filter((request) => request.parts === parts)
      .at(-1)!;
    assert.deepEqual(
      { status, retryAfter, servers },
      { status: 503, retryAfter: undefined, servers: [] },
    );
  },
);

Then(
  /^(\d) servers? receives? it and its caller gets (.+)$/,
  function check(this: PartsWorld, servers: string, answer: string) {
    const request = this.requests.at(-1)!;
    assert.equal(describeAnswer(request), answer);
    assert.equal(request.servers.length, Number(servers));
  },
);
