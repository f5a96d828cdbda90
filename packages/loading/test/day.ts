/** Steps of a simulated day on which servers crash and are replaced, and the leader changes. */
import assert from 'node:assert/strict';
import { Given, Then, When, type IWorld } from '@cucumber/cucumber';
import {
  createRandom,
  createSimulation,
  nameModels,
  play,
  request,
  STEP_MILLISECONDS,
  type Simulation,
} from './simulation.js';

interface DayWorld extends IWorld {
  capacity: number;
  simulation: Simulation;
  /** Times at which each model was asked for. */
  askedAt: Map<string, number[]>;
}

const SERVER_MEGABYTES = 83_000;
const MODEL_MEGABYTES = [16_100, 34_300];
/** Number of models that are asked for most of the time, each on several servers. */
const BUSY_MODELS = 26;
const BUSY_REPLICAS = 2;
/** Models on the disk of each server, besides those that it holds. */
const DISK_MODELS = 6;
const CALLER_MILLISECONDS = 10_000;
const BUSY_INTERVAL_MILLISECONDS = 400;
const RARE_INTERVAL_MILLISECONDS = 7000;
const LEADERLESS_MILLISECONDS = 900;

Given(
  '{int} servers with {int} models, of which {int} have no copy',
  function start(this: DayWorld, count: number, models: number, uncopied: number) {
    const random = createRandom(3);
    const names = nameModels('model', models);
    const megabytes = new Map(names.map((name, index) => [name, MODEL_MEGABYTES[index % 2]!]));
    const copied = names.slice(0, models - uncopied);
    const busy = copied.slice(0, BUSY_MODELS);
    const waiting = [
      ...Array.from({ length: BUSY_REPLICAS }, () => busy).flat(),
      ...copied.slice(BUSY_MODELS),
    ];
    const serverModels = Array.from({ length: count }, () => {
      const held: string[] = [];
      let used = 0;
      while (waiting.length > 0 && used + megabytes.get(waiting[0]!)! <= SERVER_MEGABYTES) {
        used += megabytes.get(waiting[0]!)!;
        held.push(waiting.shift()!);
      }
      return held;
    });
    const serverDisks = serverModels.map((held, index) => [
      ...held,
      // What fits on no server is on one disk at least.
      ...waiting.filter((_name, place) => place % count === index),
      ...Array.from({ length: DISK_MODELS }, () => copied[Math.floor(random() * copied.length)]!),
    ]);
    this.simulation = createSimulation({
      serverModels,
      serverDisks,
      megabytes,
      weightsMegabytes: SERVER_MEGABYTES,
    });
    this.askedAt = new Map();
  },
);

/** Restarts every n-th server empty; replaced ones have lost their disks as well. */
function restartServers({ servers }: Simulation, every: number, isReplaced: boolean): void {
  servers
    .filter((_server, index) => index % every === every - 1)
    .forEach((server) => {
      server.models.forEach((model) => server.disk.add(model));
      server.models.clear();
      if (isReplaced) server.disk.clear();
      Object.assign(server, { born: server.born + 1, sequence: 0, load: undefined });
    });
}

/** What happens in the course of the day, by the time in milliseconds. */
const EVENTS: Readonly<Record<number, (simulation: Simulation) => void>> = {
  8600: (simulation) => restartServers(simulation, 8, false),
  16_000: (simulation) => restartServers(simulation, 12, true),
  18_300: (simulation) => Object.assign(simulation, { holdsLease: false }),
  [18_300 + LEADERLESS_MILLISECONDS]: (simulation) =>
    Object.assign(simulation, { holdsLease: true }),
  26_000: (simulation) => restartServers(simulation, 7, true),
};

When(
  'all models are asked for during a day of {int} s with crashes, replacements and a change of the leader',
  { timeout: 60_000 },
  async function ask(this: DayWorld, seconds: number) {
    const { simulation, askedAt } = this;
    const names = [...simulation.profile.models.keys()];
    const random = createRandom(5);
    await play(simulation, this.capacity, seconds, (now) => {
      EVENTS[now]?.(simulation);
      names.forEach((model, index) => {
        const interval =
          index < BUSY_MODELS ? BUSY_INTERVAL_MILLISECONDS : RARE_INTERVAL_MILLISECONDS;
        if (random() >= STEP_MILLISECONDS / interval) return;
        askedAt.set(model, [...(askedAt.get(model) ?? []), now]);
        request(simulation, model, CALLER_MILLISECONDS);
      });
    });
  },
);

Then(
  'at most 1 and {int} in 100 of the models that were asked for {int} times over {int} s were never served',
  function check(this: DayWorld, percent: number, times: number, seconds: number) {
    const { askedAt, simulation } = this;
    const asked = [...askedAt].filter(
      ([, at]) => at.length >= times && at.at(-1)! - at[0]! >= seconds * 1000,
    );
    const never = asked.map(([model]) => model).filter((model) => !simulation.served.has(model));
    const { coldStarts, served } = simulation;
    const requests = [...served.values()].reduce((sum, count) => sum + count, 0);
    const found = `${never.length} of ${asked.length} models; ${coldStarts.length} cold loads, ${Math.max(...simulation.mostColdLoads)} at once; ${requests} of ${simulation.requests} requests served`;
    this.log(found);
    assert.ok(never.length <= 1 + (asked.length * percent) / 100, `${found}: ${never.join(' ')}`);
  },
);
