/** Tests the selection of servers where hosts share capacity. */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { createRandom } from '@bulrushspar/bench';
import { estimateSlowness } from '@bulrushspar/balancing';
import type { ServerEntry } from '@bulrushspar/catalogue';
import { createManualClock, type ManualClock } from '@bulrushspar/clock';
import { createPromptPartTracker } from '@bulrushspar/routing';
import {
  createBalancing,
  createServerStates,
  selectServer,
  type Balancing,
  type Call,
  type ServerStates,
} from '@bulrushspar/serving';
import {
  advance,
  createAnswer,
  createReply,
  createServers,
  createTestHost,
  type TestAnswer,
} from './crashing.js';

interface BalanceWorld {
  clock: ManualClock;
  entries: Map<string, ServerEntry>;
  states: ServerStates;
  balancing: Balancing;
  excluded: Set<string>;
  cacheTokens: number | undefined;
  answer: TestAnswer;
  sends: number;
  handle: (call: Call) => Promise<void>;
}

const flow = { pause: () => {}, resume: () => {} };
const createCall = (tokens: number): Call => ({
  id: 'call',
  host: 'example',
  path: '/r/1',
  promptTokens: tokens,
  fingerprint: () => 'call',
});

Given(
  '{int} servers with {int} slots, and capacity is shared',
  function create(this: BalanceWorld, count: number, slots: number) {
    this.clock = createManualClock();
    this.excluded = new Set();
    this.cacheTokens = undefined;
    this.entries = new Map(
      Array.from({ length: count }, (_none, index) => {
        const id = `s${index}`;
        const entry: ServerEntry = {
          id,
          service: 'llm',
          address: '127.0.0.1:1',
          failureDomain: 'd1',
          slots,
          leaving: false,
          born: 1,
          models: [],
          inMemory: [],
          onDisk: [],
        };
        return [id, entry];
      }),
    );
    this.states = createServerStates(this.clock);
    this.states.update(this.entries);
    this.balancing = createBalancing({ now: this.clock.monotonic, servers: this.states });
  },
);

When(
  /^server "(\w+)" has rejected a request and told (.*)$/,
  async function reject(this: BalanceWorld, id: string, told: string) {
    const numbers = /(\d+) running and (\d+) waiting/.exec(told);
    const sent = this.balancing.recordSend(this.states.get(id)!, createCall(10));
    const load = numbers && { running: Number(numbers[1]), waiting: Number(numbers[2]), slots: 8 };
    sent.recordHead(load ?? undefined, true);
    sent.recordEnd(false);
    await this.clock.advance(60);
  },
);

When(
  'server {string} becomes {word}',
  function change(this: BalanceWorld, id: string, state: string) {
    const entry = this.entries.get(id)!;
    if (state === 'evacuated') this.entries.set(id, { ...entry, evacuated: true });
    if (state === 'leaving') this.entries.set(id, { ...entry, leaving: true });
    this.states.update(this.entries);
    if (state === 'closed') this.states.close(id, 1000);
    if (state === 'excluded') this.excluded.add(id);
    if (state === 'avoided') this.states.avoid(this.states.get(id)!, 1000);
  },
);

When(
  'this host has sent a request of {int} tokens to {string}, which holds {int}',
  function send(this: BalanceWorld, tokens: number, id: string, cacheTokens: number) {
    this.cacheTokens = cacheTokens;
    const state = this.states.get(id)!;
    this.balancing.recordSend(state, createCall(tokens));
    state.outstanding += 1;
  },
);

function countChoices(world: BalanceWorld, count: number, id: string, tokens: number): number {
  const random = createRandom(1);
  let chosen = 0;
  for (let index = 0; index < count; index += 1) {
    const state = selectServer({
      candidates: world.states.ofService('llm'),
      failureDomain: 'd1',
      excluded: world.excluded,
      now: world.clock.monotonic(),
      maxLimitMilliseconds: 1000,
      limitOf: () => undefined,
      millisecondsUntilFree: () => 0,
      canServeModel: () => true,
      hasAdapter: () => true,
      random,
      balancing: world.balancing,
      call: createCall(tokens),
      cacheTokens: world.cacheTokens,
    });
    if (state?.entry.id === id) chosen += 1;
  }
  return chosen;
}

Then(
  'of {int} choices at most {int} are {string}',
  function check(this: BalanceWorld, count: number, most: number, id: string) {
    const chosen = countChoices(this, count, id, 10);
    assert.ok(chosen <= most, `${chosen} choices`);
  },
);

Then(
  'of {int} choices for a request of {int} tokens at most {int} are {string}',
  function check(this: BalanceWorld, count: number, tokens: number, most: number, id: string) {
    const chosen = countChoices(this, count, id, tokens);
    assert.ok(chosen <= most, `${chosen} choices`);
  },
);

Given(
  /^a host with servers that hold (\d+) tokens, and capacity is (shared|not shared)$/,
  function create(this: BalanceWorld, cacheTokens: string, shared: string) {
    const clock = createManualClock();
    const answer = createAnswer();
    const { handler } = createTestHost({
      clock,
      servers: createServers(2),
      promptParts: createPromptPartTracker({ clock }),
      route: { kind: 'idempotent' },
      sharesCapacity: shared === 'shared',
      cacheTokens: Number(cacheTokens),
      send: (call, _attempt, sink) => {
        this.sends += 1;
        const head = { status: 200, notRun: false, misdirected: false, signed: true, framed: true };
        sink.onHead({ ...head, callId: call.id, headers: [] }, flow);
        sink.onData(Buffer.from('answer'));
        return Promise.resolve();
      },
    });
    const handle = (call: Call): Promise<void> => handler(call, createReply(answer));
    Object.assign(this, { clock, answer, sends: 0, handle });
  },
);

When(
  'a request with a prompt of {int} tokens arrives',
  async function arrive(this: BalanceWorld, tokens: number) {
    this.handle(createCall(tokens)).catch(assert.fail);
    await advance(this.clock, 100);
  },
);

Then(
  'its caller gets {int} without retry-after and {int} servers have received it',
  function check(this: BalanceWorld, status: number, sends: number) {
    assert.equal(this.answer.status, status);
    assert.equal(this.answer.retryAfter, undefined);
    assert.equal(this.sends, sends);
  },
);

When(
  'another host was told a slowdown of {int} by {string} {int} ms ago and passes it on',
  async function pass(this: BalanceWorld, slowdown: number, id: string, age: number) {
    await this.clock.advance(10_000);
    this.balancing.exchange!.receive({ [id]: [slowdown * 100, age - 50] }, 50);
  },
);

When(
  'another host passes on slowness of unknown servers, of 0 and of negative age',
  function pass(this: BalanceWorld) {
    this.balancing.exchange!.receive({ unknown: [600, 1], s0: [0, 1], s1: [600, -1] }, 0);
    this.balancing.exchange!.receive(undefined, 0);
  },
);

Then(
  /^the slowness of "(\w+)" is at least ([\d.]+) and it is passed on (by none|by a hub only)$/,
  function check(this: BalanceWorld, id: string, low: string, passed: string) {
    const slowness = estimateSlowness(this.states.get(id)!.knowledge, this.clock.monotonic());
    assert.ok(slowness >= Number(low), String(slowness));
    const exchange = this.balancing.exchange!;
    assert.equal(exchange.list(false), undefined);
    assert.equal(exchange.list(true) !== undefined, passed === 'by a hub only');
  },
);
