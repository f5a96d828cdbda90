/** Serves one request again and again, with simulated servers that crash or live on under it. */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { createManualClock, type ManualClock } from '@bulrushspar/clock';
import { createPromptPartTracker, type PromptPartTracker } from '@bulrushspar/routing';
import type { AnswerSink, Call, SendCall } from '@bulrushspar/serving';
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
  type TestHost,
  type TestServer,
} from './crashing.js';

interface RepeatsWorld {
  clock: ManualClock;
  servers: TestServer[];
  hosts: TestHost[];
  trackers: PromptPartTracker[];
  /** What the servers do that receive the request, in this order; the last one is repeated. */
  behaviours: string[];
  sends: number;
  answers: TestAnswer[];
}

/** Id and content of sound requests that share a prompt part with the one that crashes servers. */
const OTHER_CALL = 'other';
const ARRIVAL_MILLISECONDS = 500;
const MESSAGE_MILLISECONDS = 20;
const RUN_MILLISECONDS = 30;
const PROBE_MILLISECONDS = [100, 400, 1000];
const flow = { pause: () => {}, resume: () => {} };
const WORKSPACES = ['v', 'w'].map((name) => ({
  name,
  keys: Array.from({ length: 24 }, (_none, index) => `${name}-${index}`),
}));
const ROUTES = {
  once: { kind: 'once', attempts: 1, resumable: false },
  stream: { kind: 'stream', attempts: 1, resumable: false },
  resumable: { kind: 'stream', attempts: 2, resumable: true },
} as const;

const sendHead = (sink: AnswerSink, framed: boolean): void =>
  sink.onHead(
    {
      status: 200,
      notRun: false,
      misdirected: false,
      signed: true,
      framed,
      headers: [],
    },
    flow,
  );
const sendEvent = (sink: AnswerSink): void => sink.onData(Buffer.from('id: 1\ndata: 1\n\n'));

/** Runs the request at a server; the exchange rejects if its connection breaks. */
async function behave(
  { clock, hosts }: RepeatsWorld,
  server: TestServer,
  sink: AnswerSink,
  behaviour: string,
): Promise<void> {
  const crash = (): void =>
    crashServer(clock, server, () => hosts.forEach(({ updateServers }) => updateServers()));
  await clock.delay(RUN_MILLISECONDS);
  if (behaviour === 'crash before an answer') {
    crash();
    throw createCut(EXCHANGE_PROGRESS.SENT);
  }
  if (behaviour === 'cut it') throw createCut(EXCHANGE_PROGRESS.SENT);
  sendHead(sink, !behaviour.includes('without length'));
  if (behaviour.includes('inside an event')) sink.onData(Buffer.from('id: 1\nda'));
  else sendEvent(sink);
  if (!behaviour.includes('crash')) return;
  crash();
  if (behaviour === 'crash after an event') throw createCut();
}

const createSend =
  (world: RepeatsWorld): SendCall<Call> =>
  async (call, attempt, sink) => {
    const { servers, behaviours } = world;
    const server = servers.find(({ id }) => id === attempt.server.id)!;
    if (!server.isUp) throw createCut(EXCHANGE_PROGRESS.NOT_SENT);
    if (call.id === OTHER_CALL) {
      await behave(world, server, sink, 'answer');
      return;
    }
    const behaviour = behaviours[world.sends] ?? behaviours.at(-1)!;
    Object.assign(world, { sends: world.sends + 1 });
    await behave(world, server, sink, behaviour);
  };

function createTracker(world: RepeatsWorld, index: number): PromptPartTracker {
  const { clock, servers, trackers } = world;
  return createPromptPartTracker({
    clock,
    onLoss: (server) =>
      PROBE_MILLISECONDS.forEach((milliseconds) =>
        clock.after(milliseconds, () => probeServer(servers, trackers[index]!, server)),
      ),
    onUpdate: (update) =>
      clock.after(MESSAGE_MILLISECONDS, () =>
        trackers.forEach((tracker, other) => {
          if (other !== index) tracker.applyUpdate(update);
        }),
      ),
  });
}

Given(
  /^(\d+) servers, (\d+) hosts and an? (once|stream|resumable) route$/,
  function create(
    this: RepeatsWorld,
    serverCount: string,
    hostCount: string,
    kind: keyof typeof ROUTES,
  ) {
    const clock = createManualClock();
    const servers = createServers(Number(serverCount));
    Object.assign(this, { clock, servers, hosts: [], trackers: [], sends: 0, answers: [] });
    for (let index = 0; index < Number(hostCount); index += 1) {
      const promptParts = createTracker(this, index);
      this.trackers.push(promptParts);
      const send = createSend(this);
      const route = { ...ROUTES[kind], open: false };
      const workspaces = WORKSPACES;
      this.hosts.push(createTestHost({ clock, servers, promptParts, send, route, workspaces }));
    }
  },
);

Given(
  /^servers that receive the request and (.+)$/,
  function behaviours(this: RepeatsWorld, list: string) {
    this.behaviours = list.split(', ');
  },
);

const createCall = (id: string, key?: string): Call => ({
  id,
  host: 'example',
  path: '/r/1',
  ...(key === undefined ? {} : { key }),
  requirements: {
    model: MODEL,
    promptParts: [
      { id: 'shared', tokens: 10 },
      { id, tokens: 10 },
    ],
  },
  fingerprint: (caller) => `${caller} ${id}`,
});

async function arrive(
  { clock, hosts, answers }: RepeatsWorld,
  times: number,
  getKey: (index: number) => string = () => 'w-0',
): Promise<void> {
  for (let index = 0; index < times; index += 1) {
    const { handler } = hosts[index % hosts.length]!;
    const answer = createAnswer();
    answers.push(answer);
    handler(createCall('call', getKey(index)), createReply(answer)).catch(assert.fail);
    /* eslint-disable no-await-in-loop -- each arrival follows the previous one */
    await advance(clock, ARRIVAL_MILLISECONDS / 2);
    handler(createCall(OTHER_CALL, 'w-0'), createReply(createAnswer())).catch(assert.fail);
    await advance(clock, ARRIVAL_MILLISECONDS / 2);
    /* eslint-enable no-await-in-loop */
  }
}

When('it arrives {int} times', async function play(this: RepeatsWorld, times: number) {
  await arrive(this, times);
});

When(
  'it arrives {int} times, each time with another key of workspace "w"',
  async function play(this: RepeatsWorld, times: number) {
    await arrive(this, times, (index) => `w-${index}`);
  },
);

When('it arrives 1 time with the key of workspace "v"', async function play(this: RepeatsWorld) {
  await arrive(this, 1, () => 'v-0');
});

Then('at most {int} servers have received it', function check(this: RepeatsWorld, most: number) {
  assert.ok(this.sends <= most, `${this.sends} servers received it`);
});

Then('the last one gets 503 without retry-after', function check(this: RepeatsWorld) {
  const { status, retryAfter } = this.answers.at(-1)!;
  assert.deepEqual({ status, retryAfter }, { status: 503, retryAfter: undefined });
});

Then('the last one gets the answer', function check(this: RepeatsWorld) {
  assert.equal(describeAnswer(this.answers.at(-1)!), 'the answer');
});
