/** Requests that wait for a server that leaves meanwhile. */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { createManualClock, type ManualClock } from '@bulrushspar/clock';
import { createPromptPartTracker } from '@bulrushspar/routing';
import { createServerLimits, type Call, type SendCall } from '@bulrushspar/serving';
import { createExchangeError, EXCHANGE_FAULT, EXCHANGE_PROGRESS } from '@bulrushspar/targets';
import {
  advance,
  createAnswer,
  createReply,
  createServers,
  createTestHost,
  describeAnswer,
  MODEL,
  type TestAnswer,
  type TestServer,
} from './crashing.js';

interface LeavingWorld {
  clock: ManualClock;
  servers: TestServer[];
  what: string;
  waitMilliseconds: number;
  /** Time after the departure at which the second server holds the model. */
  loadedAfter: number;
  departedAt: number;
  /** Time after the departure at which the host learns of it, and the age that comes with the report. */
  noticeMilliseconds: number;
  ageMilliseconds: number;
  answers: TestAnswer[];
  /** When requests reached the server that leaves. */
  arrivals: number[];
}

const STEP_MILLISECONDS = 10;
const REQUEST_INTERVAL_MILLISECONDS = 50;
const RUN_MILLISECONDS = 50;
const DEPARTURE_MILLISECONDS = 2000;
const MAX_MILLISECONDS = 12_000;
const flow = { pause: () => {}, resume: () => {} };

Given(
  /^requests that wait for (an adapter|its limit|a new connection|nothing), up to (\d+) ms$/,
  function create(this: LeavingWorld, what: string, milliseconds: string) {
    const clock = createManualClock();
    const servers = createServers(2);
    Object.assign(this, { clock, servers, what, waitMilliseconds: Number(milliseconds) });
    Object.assign(this, { loadedAfter: Infinity, departedAt: Infinity });
    Object.assign(this, { answers: [], arrivals: [], noticeMilliseconds: 0, ageMilliseconds: 0 });
  },
);

Given(
  'another server that holds the model from {int} ms after the departure',
  function hold(this: LeavingWorld, milliseconds: number) {
    this.loadedAfter = milliseconds;
  },
);

Given(
  'the host learns of the departure {int} ms late, with an age of {int} ms',
  function learn(this: LeavingWorld, noticeMilliseconds: number, ageMilliseconds: number) {
    Object.assign(this, { noticeMilliseconds, ageMilliseconds });
  },
);

const createSend =
  (world: LeavingWorld): SendCall<Call> =>
  async (_call, { server, maySend }, sink) => {
    const { clock, what, waitMilliseconds, arrivals } = world;
    if (what === 'a new connection') await clock.delay(waitMilliseconds);
    if (!maySend())
      throw createExchangeError(
        new Error('the server may not receive the request any more'),
        EXCHANGE_PROGRESS.NOT_SENT,
        EXCHANGE_FAULT.WITHDRAWN,
      );
    if (server.id === 's0') arrivals.push(clock.monotonic());
    await clock.delay(RUN_MILLISECONDS);
    const head = { status: 200, notRun: false, misdirected: false, signed: true, framed: true };
    sink.onHead({ ...head, headers: [], namesLimit: true }, flow);
    sink.onData(Buffer.from('id: 1\ndata: 1\n\n'));
  };

function createHost(world: LeavingWorld) {
  const { clock, servers, what, waitMilliseconds } = world;
  // The first place at a limited server is at once.
  const limits = createServerLimits({ clock, random: () => 0 });
  const host = createTestHost({
    clock,
    servers,
    promptParts: createPromptPartTracker({ clock }),
    send: createSend(world),
    limits,
    route: {
      kind: 'stream',
      attempts: 1,
      resumable: false,
      timeoutMilliseconds: 6000,
      objectiveMilliseconds: 1500,
    },
    isLoaded: ({ id }) => id === 's0' || clock.monotonic() >= world.departedAt + world.loadedAfter,
    ensureAdapter: async () => {
      await clock.delay(waitMilliseconds);
      return true;
    },
  });
  if (what === 'its limit') limits.recordNamed(servers[0]!, 1);
  return host;
}

function createCall(id: string, what: string): Call {
  const adapter = what === 'an adapter' ? { adapter: id } : {};
  return {
    id,
    host: 'example',
    path: '/r/1',
    requirements: { model: MODEL, promptParts: [], ...adapter },
    fingerprint: () => id,
  };
}

When(
  /^requests come in from (-?\d+) to (\d+) ms after the server (.+)$/,
  async function play(this: LeavingWorld, from: string, to: string, departs: string) {
    const { clock, servers, what, answers } = this;
    const host = createHost(this);
    for (let at = 0; at < MAX_MILLISECONDS; at += STEP_MILLISECONDS) {
      const sinceDeparture = at - DEPARTURE_MILLISECONDS;
      if (sinceDeparture === 0) {
        this.departedAt = clock.monotonic();
        const isListed = departs !== 'is removed from the list';
        Object.assign(servers[0]!, { isLeaving: true, isListed });
      }
      if (sinceDeparture === this.noticeMilliseconds) host.updateServers(this.ageMilliseconds);
      if (sinceDeparture === this.loadedAfter) host.updateServers();
      const isDue = at % REQUEST_INTERVAL_MILLISECONDS === 0;
      if (isDue && sinceDeparture >= Number(from) && sinceDeparture <= Number(to)) {
        const answer = createAnswer();
        answers.push(answer);
        host.handler(createCall(`call-${at}`, what), createReply(answer)).catch(assert.fail);
      }
      // eslint-disable-next-line no-await-in-loop -- each step starts after the previous one
      await advance(clock, STEP_MILLISECONDS);
    }
  },
);

Then(
  'no request reaches the server later than {int} ms after that',
  function check(this: LeavingWorld, milliseconds: number) {
    const late = this.arrivals
      .map((at) => at - this.departedAt)
      .filter((after) => after > milliseconds);
    assert.deepEqual(late, []);
  },
);

Then(
  /^the requests are (served|refused|served or refused)$/,
  function check(this: LeavingWorld, end: string) {
    const ends = this.answers.map((answer) =>
      describeAnswer(answer) === 'the answer' ? 'served' : `refused with ${answer.status}`,
    );
    const expected = {
      served: ['served'],
      refused: ['refused with 503'],
      'served or refused': ['refused with 503', 'served'],
    }[end]!;
    assert.deepEqual([...new Set(ends)].sort(), expected);
  },
);
