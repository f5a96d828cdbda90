/** Serves answers without a length by a server that lives on or ends after them. */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { createManualClock, type ManualClock } from '@bulrushspar/clock';
import { createPromptPartTracker } from '@bulrushspar/routing';
import {
  PROCESS_STATE,
  type AnswerSink,
  type Attempt,
  type Call,
  type ProcessState,
} from '@bulrushspar/serving';
import { EXCHANGE_PROGRESS } from '@bulrushspar/targets';
import {
  advance,
  createAnswer,
  createCut,
  createReply,
  createServers,
  createTestHost,
  type TestAnswer,
  type TestHost,
  type TestServer,
} from './crashing.js';

interface EndsWorld {
  clock: ManualClock;
  host: TestHost;
  servers: TestServer[];
  /** Id of the server that began to answer. */
  firstServer?: string;
  sent: string;
  /** What the server does once it has ended the answer. */
  behaviour: string;
  passingHost?: string;
  questions: number;
  /** How the server answers a request for the rest of a stream. */
  rest: string;
  /** Requests for the rest of a stream. */
  restRequests: number;
  answers: TestAnswer[];
  serve: (delivery: string) => void;
}

const RUN_MILLISECONDS = 20;
const QUESTION_MILLISECONDS = 5;
const SILENCE_MILLISECONDS = 300;
/** Id of a request that the server answers in chunks, 100 ms after it was sent. */
const OTHER_CALL = 'other';
const OTHER_MILLISECONDS = 100;
const flow = { pause: () => {}, resume: () => {} };
const ROUTES: Readonly<Record<string, object>> = {
  'an answer': { kind: 'once', attempts: 1, resumable: false },
  'a stream': { kind: 'stream', attempts: 1, resumable: false },
  'a resumable stream': { kind: 'stream', attempts: 2, resumable: true },
};

const createCall = (id: string, lastEventId?: string): Call => ({
  id,
  host: 'example',
  path: '/r/1',
  fingerprint: () => id,
  ...(lastEventId === undefined ? {} : { lastEventId }),
});

const createHead = ({ clock, passingHost }: EndsWorld, framed: boolean) => ({
  status: 200,
  notRun: false,
  misdirected: false,
  signed: true,
  framed,
  headers: [],
  ...(passingHost === undefined
    ? {}
    : { passingHost: { host: 'b', sinceOpened: () => clock.monotonic() } }),
});

const createEvent = (number: number): Buffer => Buffer.from(`id: ${number}\ndata: ${number}\n\n`);

/** Sends what follows an event of a stream of two events. */
async function answerRest(
  world: EndsWorld,
  { server, lastEventId }: Attempt,
  sink: AnswerSink,
  signal: AbortSignal,
): Promise<void> {
  const { clock } = world;
  const rest = server.id === world.firstServer ? world.rest : 'marks its end';
  const restRequests = world.restRequests + 1;
  Object.assign(world, { restRequests });
  if (rest === 'is silent') {
    await new Promise((_resolve, reject) => {
      signal.addEventListener('abort', () => reject(createCut()));
    });
  }
  await clock.delay(RUN_MILLISECONDS);
  if (rest === 'refuses it') throw createCut(EXCHANGE_PROGRESS.NOT_SENT);
  if (rest === 'crashes at once') throw createCut(EXCHANGE_PROGRESS.SENT);
  if (rest === 'rejects it') {
    sink.onHead({ ...createHead(world, true), status: 503, notRun: true }, flow);
    return;
  }
  sink.onHead(createHead(world, rest === 'marks its end'), flow);
  if (lastEventId === '1' || rest === 'ends a part again')
    sink.onData(createEvent(Number(lastEventId) + 1));
  if (rest === 'is cut inside it') throw createCut();
}

async function answer(world: EndsWorld, call: Call, sink: AnswerSink): Promise<void> {
  const { clock, sent, rest, servers } = world;
  const isOther = call.id === OTHER_CALL;
  await clock.delay(isOther ? OTHER_MILLISECONDS : RUN_MILLISECONDS);
  sink.onHead(createHead(world, isOther), flow);
  if (sent !== 'no event') sink.onData(createEvent(1));
  if (sent === 'all') sink.onData(createEvent(2));
  if (rest === 'is leaving') {
    Object.assign(servers[0]!, { isLeaving: true });
    world.host.updateServers();
  }
}

async function ask(world: EndsWorld): Promise<ProcessState> {
  const { clock, behaviour } = world;
  const questions = world.questions + 1;
  Object.assign(world, { questions });
  await clock.delay(
    behaviour.startsWith('stays silent') ? SILENCE_MILLISECONDS : QUESTION_MILLISECONDS,
  );
  if (behaviour.startsWith('stays silent')) return PROCESS_STATE.UNKNOWN;
  if (behaviour === 'refuses connections') return PROCESS_STATE.UNREACHABLE;
  if (behaviour === 'has another process in its place') return PROCESS_STATE.ENDED;
  if (behaviour.startsWith('refuses one connection') && questions === 1)
    return PROCESS_STATE.UNREACHABLE;
  return PROCESS_STATE.ALIVE;
}

Given(
  /^a server that sends (all|a part|no event) of an answer without a length$/,
  function create(this: EndsWorld, sent: string) {
    const clock = createManualClock();
    const servers = createServers(1);
    Object.assign(this, {
      clock,
      servers,
      sent,
      questions: 0,
      rest: '',
      restRequests: 0,
      answers: [],
    });
  },
);

Given(/^then it (.+)$/, function behave(this: EndsWorld, behaviour: string) {
  this.behaviour = behaviour;
});

Given(
  /^a server that (\S+ .+) when it is asked for the rest$/,
  function behave(this: EndsWorld, rest: string) {
    this.rest = rest;
  },
);

Given('another server that marks the ends of its answers', function add(this: EndsWorld) {
  this.servers = createServers(2);
});

Given(
  /^the host that passes the answer on (.+)$/,
  function behave(this: EndsWorld, behaviour: string) {
    this.passingHost = behaviour;
  },
);

function start(world: EndsWorld, delivery: string): void {
  const { clock, servers, passingHost, rest } = world;
  const host = createTestHost({
    clock,
    servers,
    promptParts: createPromptPartTracker({ clock }),
    route: ROUTES[delivery]!,
    send: (call, attempt, sink, signal) => {
      if (attempt.lastEventId !== undefined && world.firstServer !== undefined)
        return answerRest(world, attempt, sink, signal);
      Object.assign(world, { firstServer: attempt.server.id });
      return answer(world, call, sink);
    },
    ask: () => ask(world),
    outlivedConnection: async () => passingHost !== 'has started since',
    ...(rest === 'is beyond the retry budget' ? { retrySlack: 0 } : {}),
  });
  Object.assign(world, { host });
}

const serve = ({ host }: EndsWorld, id: string, lastEventId?: string): TestAnswer => {
  const received = createAnswer();
  host.handler(createCall(id, lastEventId), createReply(received)).catch(assert.fail);
  return received;
};

When(
  /^a caller asks for (an answer|a stream|a resumable stream)$/,
  async function call(this: EndsWorld, delivery: string) {
    start(this, delivery);
    if (this.behaviour.endsWith('sent before')) serve(this, OTHER_CALL);
    this.answers.push(serve(this, 'call'));
    if (!this.behaviour.endsWith('sent later')) return;
    await advance(this.clock, RUN_MILLISECONDS * 2);
    serve(this, OTHER_CALL);
  },
);

When('a caller resumes a stream after event {int}', function call(this: EndsWorld, event: number) {
  start(this, 'a resumable stream');
  this.answers.push(serve(this, 'call', String(event)));
});

When('{int} callers ask for a stream at once', function call(this: EndsWorld, count: number) {
  start(this, 'a stream');
  for (let index = 0; index < count; index += 1) this.answers.push(serve(this, `call-${index}`));
});

const describe = ({ status, isBroken, isEnded }: TestAnswer): string => {
  if (isBroken) return 'a cut answer';
  if (status === 200) return isEnded ? 'a whole answer' : 'a part of an answer';
  return `status ${status}`;
};

Then(
  /^after (\d+) ms (?:the caller has|all callers have) (.+)$/,
  async function check(this: EndsWorld, milliseconds: string, outcome: string) {
    await advance(this.clock, Number(milliseconds));
    assert.deepEqual([...new Set(this.answers.map(describe))], [outcome]);
  },
);

Then('the server was asked at most {int} times', function check(this: EndsWorld, most: number) {
  assert.ok(this.questions <= most, `${this.questions} questions`);
});

Then(
  /^the caller has a (whole|cut) answer of (\d+) events within (\d+) ms, and the rest was asked for (\d+) times$/,
  async function check(
    this: EndsWorld,
    outcome: string,
    events: string,
    milliseconds: string,
    restRequests: string,
  ) {
    await advance(this.clock, Number(milliseconds));
    const [answered] = this.answers;
    assert.equal(describe(answered!), `a ${outcome} answer`);
    assert.equal(answered!.text.split('\n\n').length - 1, Number(events));
    assert.equal(this.restRequests, Number(restRequests));
  },
);
