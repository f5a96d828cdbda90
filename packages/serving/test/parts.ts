/** Serves requests with simulated servers that crash when they answer a certain prompt part. */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import type { ServerEntry } from '@bulrushspar/catalogue';
import { createManualClock, type ManualClock } from '@bulrushspar/clock';
import { createDemandTracker } from '@bulrushspar/loading';
import { createMetrics } from '@bulrushspar/metrics';
import {
  createPromptPartTracker,
  createSuspectTracker,
  type PromptPartTracker,
  type ServerProcess,
} from '@bulrushspar/routing';
import {
  createAdmission,
  createModelWaits,
  createRequestHandler,
  createServerStates,
  createServingMetrics,
  createStreamVersions,
  type Call,
  type ModelWaits,
  type Reply,
  type RequestHandler,
  type SendCall,
} from '@bulrushspar/serving';
import { createReplicatedBucket, createRetryBudget } from '@bulrushspar/shares';
import { EXCHANGE_FAULT, EXCHANGE_PROGRESS } from '@bulrushspar/targets';

interface TestServer {
  readonly id: string;
  born: number;
  isUp: boolean;
  /** Ends the exchanges that run at the server. */
  readonly cuts: Set<() => void>;
}

interface TestRequest {
  readonly id: string;
  readonly parts: string;
  readonly servers: string[];
  status: number | undefined;
  retryAfter: number | undefined;
  isBroken: boolean;
  isEnded: boolean;
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
const MODEL = 'm';
const flow = { pause: () => {}, resume: () => {} };

const createError = (progress: string, fault: string): Error =>
  Object.assign(new Error(fault), { progress, fault });

const createEntry = ({ id, born }: TestServer, isLoaded: boolean): ServerEntry => ({
  id,
  service: 'llm',
  address: '127.0.0.1:1',
  failureDomain: 'd1',
  slots: 8,
  leaving: false,
  born,
  models: isLoaded ? [{ name: MODEL, version: 1, adapters: [] }] : [],
  inMemory: [],
  onDisk: [],
});

/** Ends a server with all that it runs; its entry goes when the server is back as a new process. */
function crash(world: PartsWorld, server: TestServer): void {
  Object.assign(world, { crashes: world.crashes + 1 });
  Object.assign(server, { isUp: false });
  [...server.cuts].forEach((cut) => cut());
  world.clock.after(3 * SECOND_MILLISECONDS, () => {
    Object.assign(server, { isUp: true, born: server.born + 1 });
    world.updateServers();
  });
}

/** Connects to a server to confirm its crash. */
function probe({ servers, promptParts }: PartsWorld, server: ServerProcess): void {
  const { isUp, born } = servers.find(({ id }) => id === server.id)!;
  if (!isUp || born !== server.born) promptParts.recordUnreachable(server);
}

const createSend =
  (world: PartsWorld): SendCall<Call> =>
  async (call, attempt, sink) => {
    const { clock, culprit } = world;
    const server = world.servers.find(({ id }) => id === attempt.server.id)!;
    if (!server.isUp) throw createError(EXCHANGE_PROGRESS.NOT_SENT, EXCHANGE_FAULT.UNREACHABLE);
    const request = world.requests.find(({ id }) => id === call.id)!;
    request.servers.push(server.id);
    let cut = (): void => {};
    const whenCut = new Promise<never>((_resolve, reject) => {
      cut = () => reject(createError(EXCHANGE_PROGRESS.ANSWERED, EXCHANGE_FAULT.CUT));
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

function createHandler(world: PartsWorld): RequestHandler<Call> {
  const { clock, waits, promptParts } = world;
  const states = createServerStates(clock);
  const streams = createStreamVersions({ clock });
  Object.assign(world, {
    updateServers: () => {
      const entries = new Map(
        world.servers.map((server) => [server.id, createEntry(server, world.isLoaded)]),
      );
      states.update(entries);
      streams.updateServers(entries);
      promptParts.updateServers(entries);
      waits.endReadyWaits(() => world.isLoaded);
    },
  });
  world.updateServers();
  const bucket = createReplicatedBucket({
    clock,
    limits: { perSecond: 1, burst: 1 },
    group: () => ({ linkedFraction: 1 }),
    initialTokens: 1,
    slackPerSecond: 0,
  });
  const admission = createAdmission({ bucketOf: () => bucket, random: () => 0 });
  admission.update({
    version: 1,
    routes: [
      {
        name: 'r',
        host: 'example',
        pathPrefix: '/r/',
        kind: 'stream',
        timeoutMilliseconds: 10_000,
        objectiveMilliseconds: 5000,
        callerTimeoutMilliseconds: 10_000,
        priority: 0,
        shares: [{ service: 'llm', weight: 1 }],
        attempts: 2,
        open: true,
        resumable: true,
      },
    ],
    services: new Map(),
    workspaces: [],
    callerLimits: { headerBytes: 1, bodyBytes: 1, headerMilliseconds: 1, idleMilliseconds: 1 },
  });
  return createRequestHandler<Call>({
    clock,
    logger: { info: () => {}, warn: () => {}, error: () => {} },
    metrics: createServingMetrics(createMetrics()),
    random: () => 0,
    failureDomain: 'd1',
    admission,
    servers: states,
    waits,
    demand: createDemandTracker({ clock }),
    budget: createRetryBudget({
      clock,
      retriesPerRequest: 0.2,
      slack: 56,
      windowMilliseconds: 10_000,
      hosts: () => 1,
    }),
    suspects: createSuspectTracker({ clock }),
    promptParts,
    streams,
    ensureAdapter: () => Promise.resolve(true),
    getStoppingRefusal: () => undefined,
    send: createSend(world),
  });
}

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
      servers: Array.from({ length: count }, (_none, index) => ({
        id: `s${index}`,
        born: 1,
        isUp: true,
        cuts: new Set(),
      })),
      waits: createModelWaits({ clock }),
      promptParts: createPromptPartTracker({
        clock,
        onLoss: (server) => clock.after(100, () => probe(this, server)),
      }),
    });
    this.handler = createHandler(this);
  },
);

function createReply(request: TestRequest): Reply {
  return {
    gone: new AbortController().signal,
    hasBegun: () => request.status !== undefined,
    writeHead: (status) => Object.assign(request, { status }),
    write: () => true,
    onDrain: () => {},
    end: () => Object.assign(request, { isEnded: true }),
    reset: () => Object.assign(request, { isBroken: true }),
    refuse: (status, _message, retryAfter) =>
      Object.assign(request, { status, retryAfter, isEnded: true }),
  };
}

/** A request arrives that no earlier one equals; its last part is its own. */
function arrive(world: PartsWorld, parts: string): TestRequest {
  const { requests, handler } = world;
  const id = `request-${requests.length}`;
  const request: TestRequest = {
    id,
    parts,
    servers: [],
    status: undefined,
    retryAfter: undefined,
    isBroken: false,
    isEnded: false,
  };
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

async function advance({ clock }: PartsWorld, milliseconds: number): Promise<void> {
  for (let elapsed = 0; elapsed < milliseconds; elapsed += STEP_MILLISECONDS) {
    // eslint-disable-next-line no-await-in-loop -- each step starts after the previous one
    await clock.advance(STEP_MILLISECONDS);
  }
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
      await advance(this, STEP_MILLISECONDS);
    }
    await advance(this, SECOND_MILLISECONDS);
  },
);

When(
  '{int} servers have crashed under requests with parts {string}',
  async function play(this: PartsWorld, crashes: number, parts: string) {
    while (this.crashes < crashes) {
      arrive(this, parts);
      // eslint-disable-next-line no-await-in-loop -- each step starts after the previous one
      await advance(this, 4 * SECOND_MILLISECONDS);
    }
    assert.equal(this.crashes, crashes);
  },
);

When(
  'a new request with parts {string} arrives',
  async function play(this: PartsWorld, parts: string) {
    arrive(this, parts);
    await advance(this, SECOND_MILLISECONDS);
  },
);

When(
  'the model is unloaded and a new request with parts {string} arrives',
  async function play(this: PartsWorld, parts: string) {
    this.isLoaded = false;
    this.updateServers();
    arrive(this, parts);
    this.waits.applyOutlook([{ model: MODEL, readyMilliseconds: 500 }]);
    await advance(this, SECOND_MILLISECONDS / 10);
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
  await advance(this, SECOND_MILLISECONDS);
});

When(
  'a request with parts {string} runs at the server that crashes first',
  async function play(this: PartsWorld, parts: string) {
    const request = arrive(this, parts);
    await advance(this, SECOND_MILLISECONDS / 10);
    crash(
      this,
      this.servers.find(({ id }) => id === request.servers[0])!,
    );
    await advance(this, SECOND_MILLISECONDS);
    assert.equal(request.servers.length, 2);
  },
);

const describe = ({ status, isBroken, isEnded }: TestRequest): string => {
  if (isBroken) return 'a broken answer';
  return status === 200 && isEnded ? 'the answer' : String(status);
};

Then('at most {int} servers crash', function check(this: PartsWorld, crashes: number) {
  assert(this.crashes > 0);
  assert(this.crashes <= crashes, `${this.crashes} servers crashed`);
});

Then(
  'each request with parts {string} is served, unless two servers crashed that ran it',
  function check(this: PartsWorld, parts: string) {
    const missed = this.requests.filter(
      (request) => request.parts === parts && describe(request) !== 'the answer',
    );
    assert.deepEqual(
      missed.filter(({ servers }) => servers.length < 2),
      [],
    );
  },
);

Then('it is served', function check(this: PartsWorld) {
  assert.equal(describe(this.requests.at(-1)!), 'the answer');
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
    assert.equal(describe(request), answer);
    assert.equal(request.servers.length, Number(servers));
  },
);
