/** Tests the estimates and the choice, and plays patterns of load. */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import {
  createRandom,
  playPattern,
  type LoadPattern,
  type PatternResult,
} from '@bulrushspar/bench';
import {
  countUsableSlots,
  createKindEstimate,
  createServerChoice,
  createServerKnowledge,
  estimateRequests,
  estimateSlowness,
  recordReport,
  recordSlowness,
  type KindEstimate,
  type ServerKnowledge,
} from '@bulrushspar/balancing';

interface BalancingWorld {
  knowledge: ServerKnowledge;
  estimate: number;
  slowness: number;
  kind: KindEstimate;
  requests: number[];
  holder: number | undefined;
  chosen: number[];
  pattern: LoadPattern;
  result: PatternResult;
}

const NOW = 100_000;
const USUAL_MILLISECONDS = 100;
const SLOTS = 24;

const assertWithin = (value: number, low: number, high: number): void =>
  assert.ok(value >= low && value <= high, `${value} is not between ${low} and ${high}`);

Given(
  'a report of {int} requests {int} ms ago, when this host had {int} of them',
  function report(this: BalancingWorld, running: number, age: number, own: number) {
    this.knowledge = createServerKnowledge();
    recordReport(this.knowledge, { running, waiting: 0 }, own, NOW - age);
  },
);

When(
  'this host has {int} requests there and messages tell of {word} of other hosts',
  function estimate(this: BalancingWorld, own: number, others: string) {
    const isKnown = others !== 'unknown';
    const count = isKnown ? Number(others) : 0;
    this.estimate = estimateRequests(this.knowledge, own, count, isKnown, NOW);
  },
);

Then(
  '{int} to {int} requests are estimated there',
  function check(this: BalancingWorld, low: number, high: number) {
    assertWithin(this.estimate, low, high);
  },
);

When(
  'a server has reported a slowdown of {int} {int} ms ago, and was {int} times as slow {int} ms ago',
  function observe(
    this: BalancingWorld,
    slowdown: number,
    age: number,
    observed: number,
    since: number,
  ) {
    const knowledge = createServerKnowledge();
    recordSlowness(knowledge, observed * USUAL_MILLISECONDS, USUAL_MILLISECONDS, NOW - since);
    recordReport(knowledge, { running: 1, waiting: 0, slowdown }, 1, NOW - age);
    this.slowness = estimateSlowness(knowledge, NOW);
  },
);

Then(
  'its slowness is {float} to {float}',
  function check(this: BalancingWorld, low: number, high: number) {
    assertWithin(this.slowness, low - 0.001, high + 0.001);
  },
);

When(
  '{int} requests of 0 to 4000 uncached tokens take 50 ms and 1 ms for each 10 tokens',
  function learn(this: BalancingWorld, count: number) {
    const random = createRandom(1);
    this.kind = createKindEstimate();
    for (let index = 0; index < count; index += 1) {
      const tokens = Math.floor(random() * 4000);
      this.kind.recordFirstEvent(tokens, 50 + tokens / 10);
    }
  },
);

Then(
  'a request of {int} uncached tokens is expected to take {int} to {int} ms',
  function check(this: BalancingWorld, tokens: number, low: number, high: number) {
    assertWithin(this.kind.firstEventMilliseconds(tokens), low, high);
  },
);

Given(
  '{int} servers of which {int} have reported {int} requests',
  function create(this: BalancingWorld, count: number, known: number, requests: number) {
    this.requests = Array.from({ length: count }, (_none, index) =>
      index < known ? requests : -1,
    );
    this.holder = undefined;
  },
);

Given(
  '{int} servers with {int} requests each, and {int} at the one that has the prompt',
  function create(this: BalancingWorld, count: number, requests: number, atHolder: number) {
    this.requests = Array.from({ length: count }, () => requests);
    this.requests[0] = atHolder;
    this.holder = 0;
  },
);

When(
  '{int} servers are chosen without anything being sent',
  function choose(this: BalancingWorld, count: number) {
    const random = createRandom(1);
    const choice = createServerChoice();
    this.chosen = this.requests.map(() => 0);
    for (let index = 0; index < count; index += 1) {
      choice.begin();
      this.requests.forEach((requests, server) => {
        const work = this.holder === undefined || this.holder === server ? 0 : 60;
        choice.add(requests, SLOTS, 1, work, 0);
      });
      const place = choice.choose({ ageMilliseconds: 350, holdingMilliseconds: 400, random });
      this.chosen[place]! += 1;
    }
  },
);

Then(
  'each server is chosen {int} to {int} times',
  function check(this: BalancingWorld, low: number, high: number) {
    this.chosen.forEach((count) => assertWithin(count, low, high));
  },
);

Then(
  'the one that has the prompt is chosen {int} to {int} times',
  function check(this: BalancingWorld, low: number, high: number) {
    assertWithin(this.chosen[0]!, low, high);
  },
);

Then(
  'of {int} slots {int} are usable with {int} tokens for each request and memory for {word}',
  (slots: number, usable: number, tokens: number, memory: string) => {
    assert.equal(countUsableSlots(slots, Number(memory), tokens), usable);
  },
);

When(
  '{int} hosts send {int} requests a second to {int} servers of {int} slots, speeds {string}',
  { timeout: 60_000 },
  function play(
    this: BalancingWorld,
    hosts: number,
    requestsPerSecond: number,
    servers: number,
    slots: number,
    speeds: LoadPattern['speeds'],
  ) {
    this.pattern = {
      hosts,
      servers,
      slots,
      requestsPerSecond,
      serviceMilliseconds: 350,
      speeds,
      seconds: 8,
      seed: 3,
      isBalanced: true,
    };
    this.result = playPattern(this.pattern);
  },
);

Then(
  'the busiest server has at most {float} times the mean',
  function check(this: BalancingWorld, ratio: number) {
    assertWithin(this.result.busiestOverMean, 1, ratio);
  },
);

Then(
  'in at most {int}% of the samples a request waits while an equal server has a free slot',
  function check(this: BalancingWorld, percent: number) {
    assertWithin(this.result.waitingWhileFree * 100, 0, percent);
  },
);

Then(
  '99 of 100 requests end within {int} ms',
  function check(this: BalancingWorld, milliseconds: number) {
    assertWithin(this.result.p99Milliseconds, 0, milliseconds);
  },
);

Then(
  'with the choice of the lowest estimate the busiest server has more, and requests end later',
  { timeout: 60_000 },
  function compare(this: BalancingWorld) {
    const before = playPattern({ ...this.pattern, isBalanced: false });
    assert.ok(before.busiestOverMean > this.result.busiestOverMean);
    assert.ok(before.p99Milliseconds > this.result.p99Milliseconds);
  },
);

When(
  '{int} of {int} servers fails all it receives, while {int} hosts send {int} requests a second for {int} s',
  function play(
    this: BalancingWorld,
    failing: number,
    servers: number,
    hosts: number,
    requestsPerSecond: number,
    seconds: number,
  ) {
    this.pattern = {
      hosts,
      servers,
      slots: SLOTS,
      requestsPerSecond,
      serviceMilliseconds: 350,
      speeds: 'equal',
      failing,
      seconds,
      seed: 3,
      isBalanced: true,
    };
    this.result = playPattern(this.pattern);
  },
);

Then(
  'it fails at most {int}% of a fair share in the second half',
  function check(this: BalancingWorld, percent: number) {
    const { requestsPerSecond, seconds, servers } = this.pattern;
    const share = (requestsPerSecond * seconds) / 2 / servers;
    assertWithin((this.result.failuresInLastHalf / share) * 100, 0, percent);
  },
);
