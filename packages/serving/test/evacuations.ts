/** Requests to servers whose failure domains are evacuated. */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { createManualClock, type ManualClock } from '@bulrushspar/clock';
import { createPromptPartTracker } from '@bulrushspar/routing';
import {
  createServerLimits,
  type Call,
  type SendCall,
  type ServerLimits,
} from '@bulrushspar/serving';
import {
  advance,
  createAnswer,
  createReply,
  createTestHost,
  describeAnswer,
  MODEL,
  type TestAnswer,
  type TestHost,
  type TestServer,
} from './crashing.js';

interface Request {
  readonly answer: TestAnswer;
  readonly arrivedAt: number;
  message: string;
  endedAt: number;
  /** When each server received it. */
  readonly sentAt: number[];
}

interface EvacuationWorld {
  clock: ManualClock;
  servers: TestServer[];
  host: TestHost;
  held: Set<string>;
  evacuated: Set<string>;
  evacuatedAt: number;
  requests: Request[];
  receivedByEvacuated: number;
  limits: ServerLimits;
}

const STEP_MILLISECONDS = 10;
const REQUEST_INTERVAL_MILLISECONDS = 30;
const RUN_MILLISECONDS = 400;
const ADAPTER_MILLISECONDS = 150;
const EVACUATION_MILLISECONDS = 1000;
const END_MILLISECONDS = 2000;
/** Another server holds the model after this time. */
const LOAD_MILLISECONDS = 1700;
const MAX_MILLISECONDS = 12_000;
const flow = { pause: () => {}, resume: () => {} };

Given(
  /^the servers hold the model: (all|none|domain a)$/,
  function create(this: EvacuationWorld, which: string) {
    const clock = createManualClock();
    const servers = ['s0', 's1', 's2', 's3'].map((id, index) => ({
      id,
      born: 1,
      isUp: true,
      cuts: new Set<() => void>(),
      failureDomain: index % 2 === 0 ? 'a' : 'b',
    }));
    const held = servers.filter(
      ({ failureDomain }) => which === 'all' || (which !== 'none' && failureDomain === 'a'),
    );
    Object.assign(this, { clock, servers, held: new Set(held.map(({ id }) => id)) });
    Object.assign(this, { evacuated: new Set(), requests: [], receivedByEvacuated: 0 });
    Object.assign(this, { evacuatedAt: Infinity });
  },
);

const createSend =
  (world: EvacuationWorld, rejects: boolean): SendCall<Call> =>
  async (call, { server }, sink) => {
    const { clock, evacuated } = world;
    world.requests[Number(call.id)]!.sentAt.push(clock.monotonic());
    if (evacuated.has(server.failureDomain))
      Object.assign(world, { receivedByEvacuated: world.receivedByEvacuated + 1 });
    await clock.delay(rejects ? STEP_MILLISECONDS : RUN_MILLISECONDS);
    sink.onHead(
      {
        status: rejects ? 503 : 200,
        notRun: rejects,
        misdirected: false,
        signed: true,
        framed: true,
        headers: [],
        namesLimit: true,
      },
      flow,
    );
    sink.onData(Buffer.from('whole'));
  };

Given(
  /^a host of this service that (serves|has) (.+)$/,
  function create(this: EvacuationWorld, _verb: string, what: string) {
    const { clock, servers } = this;
    const limits = createServerLimits({ clock });
    const needsModel = !what.endsWith('without a model');
    const needsAdapter = what.endsWith('need an adapter');
    const host = createTestHost({
      clock,
      servers,
      promptParts: createPromptPartTracker({ clock }),
      send: createSend(this, what.endsWith('servers reject')),
      limits,
      route: { kind: 'once', attempts: 1, resumable: false, objectiveMilliseconds: 500 },
      isLoaded: ({ id }) => this.held.has(id),
      evacuatedDomains: () => this.evacuated,
      ensureAdapter: async () => {
        await clock.delay(ADAPTER_MILLISECONDS);
        return true;
      },
    });
    if (what === 'servers with limits') servers.forEach((server) => limits.recordNamed(server, 4));
    const requirements = {
      model: MODEL,
      promptParts: [],
      ...(needsAdapter ? { adapter: 'x' } : {}),
    };
    const arrive = (): void => {
      const request: Request = {
        answer: createAnswer(),
        arrivedAt: clock.monotonic(),
        message: '',
        endedAt: NaN,
        sentAt: [],
      };
      this.requests.push(request);
      const reply = createReply(request.answer);
      const { refuse } = reply;
      const id = String(this.requests.length - 1);
      host
        .handler(
          {
            id,
            host: 'example',
            path: '/r/1',
            ...(needsModel ? { requirements } : {}),
            fingerprint: () => id,
          },
          {
            ...reply,
            refuse: (status, message, retryAfter) => {
              request.message = message;
              refuse(status, message, retryAfter);
            },
          },
        )
        .then(() => Object.assign(request, { endedAt: clock.monotonic() }))
        .catch(assert.fail);
      if (clock.monotonic() < END_MILLISECONDS) clock.after(REQUEST_INTERVAL_MILLISECONDS, arrive);
    };
    clock.after(0, arrive);
    Object.assign(this, { host, limits });
  },
);

When(
  /^requests come in for 2 s and "([^"]+)" is (leaving and )?evacuated in the middle$/,
  async function play(this: EvacuationWorld, domains: string, leaving: string | null) {
    const { clock, host } = this;
    for (let at = 0; at < MAX_MILLISECONDS; at += STEP_MILLISECONDS) {
      if (at === EVACUATION_MILLISECONDS) {
        Object.assign(this, { evacuatedAt: clock.monotonic() });
        this.evacuated = new Set(domains.split(' '));
        if (leaving !== null)
          this.servers.forEach((server) => Object.assign(server, { isLeaving: true }));
        host.updateServers();
      }
      if (at === LOAD_MILLISECONDS) {
        this.held = new Set(this.servers.map(({ id }) => id));
        host.updateServers();
      }
      // The leader keeps reporting that the load is in progress.
      if (at % 100 === 0)
        host.waits.applyOutlook([{ model: MODEL, readyMilliseconds: LOAD_MILLISECONDS - at }]);
      // eslint-disable-next-line no-await-in-loop -- each step starts after the previous one
      await advance(clock, STEP_MILLISECONDS);
    }
  },
);

Then('no evacuated server receives a request', function check(this: EvacuationWorld) {
  assert.ok(this.requests.some(({ sentAt }) => sentAt.length > 0 || this.held.size === 4));
  assert.equal(this.receivedByEvacuated, 0);
});

const describeEnd = ({ answer, message, arrivedAt, endedAt }: Request): string => {
  if (describeAnswer(answer) === 'the answer') return 'served';
  const isAtOnce = endedAt - arrivedAt <= STEP_MILLISECONDS;
  const cause = /evacuated/.test(message) ? ' as evacuated' : '';
  return `refused${isAtOnce ? ' at once' : ''}${cause}`;
};

Then(
  /^the requests after the evacuation are (.+)$/,
  function check(this: EvacuationWorld, end: string) {
    const later = this.requests.filter(({ arrivedAt }) => arrivedAt > this.evacuatedAt);
    assert.ok(later.length > 20);
    const ends = new Set(later.map(describeEnd));
    if (end === 'served or refused') assert.ok(!ends.has('refused at once as evacuated'));
    else if (end === 'refused') assert.ok([...ends].every((text) => text.startsWith('refused')));
    else if (end.startsWith('served once')) {
      assert.deepEqual([...ends], ['served']);
      const early = later.filter(({ arrivedAt }) => arrivedAt < LOAD_MILLISECONDS);
      early.forEach(({ sentAt }) => assert.ok(sentAt.every((at) => at >= LOAD_MILLISECONDS)));
    } else assert.deepEqual([...ends], [end]);
  },
);

Then(
  'the requests that had been sent before the evacuation are served',
  function check(this: EvacuationWorld) {
    const before = this.requests.filter(({ sentAt }) => sentAt.some((at) => at < this.evacuatedAt));
    assert.ok(before.length > 20);
    before.forEach(({ answer }) => assert.equal(describeAnswer(answer), 'the answer'));
  },
);
