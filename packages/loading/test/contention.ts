/** Steps for loads under contention. */
import assert from 'node:assert/strict';
import { After, Given, Then, When, type IWorld } from '@cucumber/cucumber';
import {
  createRandom,
  createSimulation,
  isResident,
  MODEL_MEGABYTES,
  nameModels,
  play,
  request,
  SERVER_MEGABYTES,
  STEP_MILLISECONDS,
  type Simulation,
} from './simulation.js';

/** Reports lag and take a while; the plans of a new leader do not wait for them. */
const REPORT_MILLISECONDS = 150;

interface ContentionWorld extends IWorld {
  capacity: number;
  simulation: Simulation;
}

After('@contention', function stop(this: ContentionWorld) {
  this.simulation?.coordinator.stop();
});

Given(
  'a weight store that serves {int} loads at once',
  function set(this: ContentionWorld, n: number) {
    this.capacity = n;
  },
);

Given(
  /^(\d+) servers with (\d+) models each and (\d+) absent models, (with|without) shared capacity$/,
  function start(this: ContentionWorld, count: string, held: string, absent: string, mode: string) {
    const models = nameModels('held', Number(count) * Number(held));
    const perServer = Array.from({ length: Number(count) }, (_, index) =>
      models.slice(index * Number(held), (index + 1) * Number(held)),
    );
    const names = [...models, ...nameModels('absent', Number(absent))];
    this.simulation = createSimulation(
      {
        serverModels: perServer,
        megabytes: new Map(names.map((name) => [name, MODEL_MEGABYTES])),
        weightsMegabytes: SERVER_MEGABYTES,
      },
      mode === 'with',
    );
  },
);

When(
  'each absent model is asked for every {int} s for {int} s',
  async function ask(this: ContentionWorld, every: number, seconds: number) {
    const { simulation } = this;
    const absent = [...simulation.profile.models.keys()].filter((name) =>
      name.startsWith('absent'),
    );
    const interval = every * 1000;
    await play(simulation, this.capacity, seconds, (now) =>
      absent.forEach((model, index) => {
        const offset = Math.floor((index * interval) / absent.length / STEP_MILLISECONDS);
        if (now % interval === offset * STEP_MILLISECONDS)
          request(simulation, model, index % 2 === 0 ? 15_000 : 20_000);
      }),
    );
  },
);

When(
  'models {string} are each asked for once by a caller with {int} s, and {int} s pass',
  async function ask(this: ContentionWorld, models: string, timeout: number, seconds: number) {
    await play(this.simulation, this.capacity, seconds, (now) => {
      if (now === 0)
        models.split(' ').forEach((model) => request(this.simulation, model, timeout * 1000, 1));
    });
  },
);

When(
  'models {string} are asked for every {int} s by callers with {int} s, for {int} s',
  async function ask(
    this: ContentionWorld,
    models: string,
    every: number,
    timeout: number,
    seconds: number,
  ) {
    await play(this.simulation, this.capacity, seconds, (now) => {
      if (now % (every * 1000) === 0)
        models.split(' ').forEach((model) => request(this.simulation, model, timeout * 1000, 1));
    });
  },
);

When(
  'absent models {int} to {int} are asked for every {int} s, and model {string} every {int} s, by callers with {int} s, for {int} s',
  async function ask(
    this: ContentionWorld,
    first: number,
    last: number,
    often: number,
    rare: string,
    seldom: number,
    timeout: number,
    seconds: number,
  ) {
    const busy = nameModels('absent', last).slice(first - 1);
    await play(this.simulation, this.capacity, seconds, (now) => {
      const due = now % (often * 1000) === 0 ? busy : [];
      const rareDue = now % (seldom * 1000) === 0 ? [rare] : [];
      [...due, ...rareDue].forEach((model) => request(this.simulation, model, timeout * 1000, 1));
    });
  },
);

When(
  'server {string} restarts empty with its models on its disk',
  function restart(this: ContentionWorld, id: string) {
    const server = this.simulation.servers.find((found) => found.id === id)!;
    server.models.forEach((model) => server.disk.add(model));
    server.models.clear();
    Object.assign(server, { born: server.born + 1, sequence: 0, load: undefined });
  },
);

When('server {string} is leaving', function leave(this: ContentionWorld, id: string) {
  Object.assign(
    this.simulation.servers.find((found) => found.id === id)!,
    { leaving: true },
  );
});

Then(
  /^models "([^"]*)" are (held|not held)$/,
  function check(this: ContentionWorld, models: string, state: string) {
    models.split(' ').forEach((model) => {
      assert.equal(isResident(this.simulation, model), state === 'held', model);
    });
  },
);

Then(
  /^(\d+)(?: to (\d+))? absent models are held$/,
  function check(this: ContentionWorld, low: string, high: string | undefined) {
    const { profile } = this.simulation;
    const held = [...profile.models.keys()].filter(
      (model) => model.startsWith('absent') && isResident(this.simulation, model),
    ).length;
    assert.ok(held >= Number(low) && held <= Number(high ?? low), `${held} are held`);
  },
);

Then(
  'at most {int} models have been evicted',
  function check(this: ContentionWorld, count: number) {
    const { unloads } = this.simulation;
    assert.ok(unloads.length <= count, unloads.join(' '));
  },
);

Then(
  'at most {int} models without a copy have been evicted',
  function check(this: ContentionWorld, count: number) {
    const { unloads, servers } = this.simulation;
    const lost = unloads.filter((model) => servers.every(({ disk }) => !disk.has(model)));
    assert.ok(lost.length <= count, lost.join(' '));
  },
);

Then('{int} absent models are held or on a disk', function check(this: ContentionWorld, n: number) {
  const { servers } = this.simulation;
  const near = new Set(servers.flatMap(({ models, disk }) => [...models, ...disk]));
  const absent = [...near].filter((model) => model.startsWith('absent'));
  assert.ok(absent.length >= n, `${absent.length} are held or on a disk`);
});

Then(
  'at most {int} loads from the weight store ran at once',
  function check(this: ContentionWorld, count: number) {
    assert.ok(Math.max(...this.simulation.mostColdLoads) <= count);
  },
);

Then(
  'the times told in the first {int} s were kept within {int} s, and later ones within {int} s',
  function check(this: ContentionWorld, seconds: number, early: number, later: number) {
    const { told, loadedAt, clock } = this.simulation;
    const due = [...told].map(([model, { at, readyAt }]) => ({
      model,
      readyAt: readyAt + (at < seconds * 1000 ? early : later) * 1000,
    }));
    const broken = due.filter(
      ({ model, readyAt }) =>
        readyAt < clock.monotonic() && (loadedAt.get(model) ?? Infinity) > readyAt,
    );
    assert.ok(due.length > 0);
    assert.deepEqual(broken, []);
  },
);

Given(
  'another host is the leader and has learnt a limit of {int}',
  function loseLease(this: ContentionWorld, limit: number) {
    Object.assign(this.simulation, { holdsLease: false, formerLimit: limit });
  },
);

When(
  /^another host takes the lease, and the former leader (has told|has not told) of its loads$/,
  function change(this: ContentionWorld, telling: string) {
    this.simulation.tellsLoads = telling === 'has told';
    this.simulation.reportMilliseconds = REPORT_MILLISECONDS;
    this.simulation.changeLeader();
  },
);

Then('no model was loaded from the weight store twice', function check(this: ContentionWorld) {
  const { coldModels } = this.simulation;
  assert.equal(new Set(coldModels).size, coldModels.length, coldModels.join(' '));
});

When('this host takes the lease', function takeLease(this: ContentionWorld) {
  this.simulation.holdsLease = true;
});

Then(/^(\d+) loads have been decided$/, function check(this: ContentionWorld, count: string) {
  assert.equal(this.simulation.coldStarts.length, Number(count));
});

Then(
  'callers were refused within {int} ms and told {float} to {float} s, not all the same',
  function check(this: ContentionWorld, milliseconds: number, low: number, high: number) {
    const { refused } = this.simulation;
    const times = refused.map(({ readyMilliseconds = Infinity }) => readyMilliseconds);
    assert.ok(refused.length > 1);
    refused.forEach(({ at }) => assert.ok(at <= milliseconds, `refused at ${at} ms`));
    times.forEach((time) => assert.ok(time >= low * 1000 && time <= high * 1000, `${time} ms`));
    assert.equal(new Set(times).size, times.length);
  },
);

Then(
  'a log line tells of {int} models without a copy that callers ask for, {string} for longest',
  function check(this: ContentionWorld, count: number, longest: string) {
    const lines = this.simulation.logLines.filter(
      ({ message }) => message === 'models with requests are on no server',
    );
    const { fields } = lines.at(-1)!;
    assert.equal(fields.requestedWithoutCopy, count);
    assert.equal(String(fields.longest).split(' ')[0], longest);
  },
);

When('no request comes for {int} s', async function idle(this: ContentionWorld, seconds: number) {
  await play(this.simulation, this.capacity, seconds);
});

Then(
  /^(at least|at most) (\d+) absent models have been served$/,
  function check(this: ContentionWorld, bound: string, count: string) {
    const { served, requests, refused, unloads, coldStarts } = this.simulation;
    const models = [...served.keys()].filter((name) => name.startsWith('absent')).length;
    const sum = [...served.values()].reduce((total, n) => total + n, 0);
    const found = `${models} models, ${sum} of ${requests} requests, ${refused.length} refusals, ${unloads.length} unloads, ${coldStarts.length} cold loads`;
    this.log(found);
    if (bound === 'at least') assert.ok(models >= Number(count), found);
    else assert.ok(models <= Number(count), found);
  },
);

Given(
  /^(\d+) servers of (\d+) GB with (\d+) models of 16 to 73 GB, the first loaded, (with|without) shared capacity$/,
  function start(
    this: ContentionWorld,
    count: string,
    gigabytes: string,
    models: string,
    mode: string,
  ) {
    const random = createRandom(7);
    const names = nameModels('absent', Number(models));
    const megabytes = new Map(
      names.map((name) => [name, 16_000 + Math.floor(random() * 57_000)] as const),
    );
    const weightsMegabytes = Number(gigabytes) * 1000;
    const waiting = [...names];
    const serverModels = Array.from({ length: Number(count) }, () => {
      const held: string[] = [];
      let used = 0;
      while (waiting.length > 0 && used + megabytes.get(waiting[0]!)! <= weightsMegabytes) {
        used += megabytes.get(waiting[0]!)!;
        held.push(waiting.shift()!);
      }
      return held;
    });
    const serverDisks = serverModels.map((held) => [
      ...held,
      ...Array.from({ length: 2 }, () => names[Math.floor(random() * names.length)]!),
    ]);
    this.simulation = createSimulation(
      { serverModels, serverDisks, megabytes, weightsMegabytes },
      mode === 'with',
    );
  },
);

When(
  '{int} requests per second come for {int} s, by a skewed distribution',
  async function ask(this: ContentionWorld, rate: number, seconds: number) {
    const { simulation } = this;
    const random = createRandom(11);
    // The popularity of a model has nothing to do with its place in the configuration.
    const order = [...simulation.profile.models.keys()]
      .map((name) => ({ name, key: random() }))
      .sort((a, b) => a.key - b.key)
      .map(({ name }) => name);
    const weights = order.map((_name, index) => 1 / (index + 3));
    const total = weights.reduce((sum, weight) => sum + weight, 0);
    const pick = (): string => {
      let left = random() * total;
      return order.find((_name, index) => {
        left -= weights[index]!;
        return left < 0;
      })!;
    };
    await play(simulation, this.capacity, seconds, () => {
      let due = (rate * STEP_MILLISECONDS) / 1000;
      while (due > 0) {
        if (random() < due) request(simulation, pick(), random() < 0.5 ? 15_000 : 20_000);
        due -= 1;
      }
    });
  },
);

Then(
  "no order exceeded a server's memory or the rate of cold loads",
  function check(this: ContentionWorld) {
    const { overfull, coldStarts, profile } = this.simulation;
    assert.equal(overfull, 0);
    const maxInWindow = profile.coldLoadsPerSecond * 5 * 1.1 + 3;
    coldStarts.forEach((start) => {
      const count = coldStarts.filter((at) => at >= start && at < start + 5000).length;
      assert.ok(count <= maxInWindow, `${count} cold loads in 5 s`);
    });
  },
);
