/** Buckets of four hosts, and the retry budget. */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { createManualClock, type ManualClock } from '@bulrushspar/clock';
import {
  createReplicatedBucket,
  createRetryBudget,
  type ReplicatedBucket,
  type RetryBudget,
} from '@bulrushspar/shares';

interface SharesWorld {
  clock: ManualClock;
  buckets: ReplicatedBucket[];
  linkedPart: number;
  /** Hosts that each host hears. */
  hears: (a: number, b: number) => boolean;
  told: number[];
  got: number;
  budget: RetryBudget;
  repeats: number;
}

const HOSTS = 4;
const LIMITS = { perSecond: 1000, burst: 2000 };
const STEP_MILLISECONDS = 20;
const TELL_MILLISECONDS = 200;
const SECOND = 1000;

function openBuckets(world: SharesWorld, initial: number): void {
  const buckets = Array.from({ length: HOSTS }, () =>
    createReplicatedBucket({
      clock: world.clock,
      limits: LIMITS,
      group: () => ({ linkedPart: world.linkedPart }),
      initial,
      slackPerSecond: 100,
    }),
  );
  Object.assign(world, { buckets, told: buckets.map(() => 0) });
}

Given("four hosts that share a workspace's limits", function open(this: SharesWorld) {
  Object.assign(this, { clock: createManualClock(), linkedPart: 1, got: 0 });
  openBuckets(this, LIMITS.burst);
});

When('all hosts start again without a word of what was used', function restart(this: SharesWorld) {
  openBuckets(this, 100);
});

const LINKS: Readonly<Record<string, { part: number; hears: SharesWorld['hears'] }>> = {
  'all hear each other': { part: 1, hears: () => true },
  'two pairs are cut apart': { part: 0.5, hears: (a, b) => a % 2 === b % 2 },
  'nobody hears anybody': { part: 0.25, hears: () => false },
};

function tell(world: SharesWorld): void {
  world.buckets.forEach((bucket, from) => {
    const more = bucket.taken() - world.told[from]!;
    Object.assign(world.told, { [from]: bucket.taken() });
    world.buckets.forEach((other, to) => {
      if (to !== from && world.hears(from, to)) other.takenElsewhere(more);
    });
  });
}

When(
  /^(one host|each host) asks for (\d+) tokens a second for (\d+) s while (.+)$/,
  async function ask(
    this: SharesWorld,
    where: string,
    asked: string,
    seconds: string,
    links: string,
  ) {
    const { part, hears } = LINKS[links]!;
    Object.assign(this, { linkedPart: part, hears });
    const asking = where === 'one host' ? this.buckets.slice(0, 1) : this.buckets;
    const tokens = (Number(asked) * STEP_MILLISECONDS) / SECOND;
    const steps = (Number(seconds) * SECOND) / STEP_MILLISECONDS;
    for (let step = 0; step < steps; step += 1) {
      asking.forEach((bucket) => {
        if (bucket.take(tokens)) this.got += tokens;
      });
      if ((step * STEP_MILLISECONDS) % TELL_MILLISECONDS === 0) tell(this);
      // eslint-disable-next-line no-await-in-loop -- steps of time follow one another
      await this.clock.advance(STEP_MILLISECONDS);
    }
  },
);

Then('the workspace got at most {int} tokens', function most(this: SharesWorld, tokens: number) {
  assert.ok(this.got <= tokens + 1, `${this.got} tokens`);
});

Then('it got at least {int} tokens', function least(this: SharesWorld, tokens: number) {
  assert.ok(this.got >= tokens - 1, `${this.got} tokens`);
});

Given(
  'a retry budget of {float} repeats for each request and {int} besides, shared by {int} hosts',
  function open(this: SharesWorld, ratio: number, slack: number, hosts: number) {
    const clock = createManualClock();
    const budget = createRetryBudget({
      clock,
      ratio,
      slack,
      windowMilliseconds: 10 * SECOND,
      hosts: () => hosts,
    });
    Object.assign(this, { clock, budget, repeats: 0 });
  },
);

When(
  'a host sends {int} requests and tries to repeat {int} of them within 10 s',
  function send(this: SharesWorld, firsts: number, repeats: number) {
    this.repeats = 0;
    for (let count = 0; count < firsts; count += 1) this.budget.noteFirst('llm');
    for (let count = 0; count < repeats; count += 1) {
      if (this.budget.takeRepeat('llm')) this.repeats += 1;
    }
  },
);

When('{int} s pass', async function pass(this: SharesWorld, seconds: number) {
  await this.clock.advance(seconds * SECOND);
});

Then('at most {int} repeats are sent', function most(this: SharesWorld, count: number) {
  assert.ok(this.repeats <= count, `${this.repeats} repeats`);
});

Then('at least {int} repeats are sent', function least(this: SharesWorld, count: number) {
  assert.ok(this.repeats >= count, `${this.repeats} repeats`);
});
