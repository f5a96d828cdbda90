/** Program `choice`: the time of a choice of a server, and what it allocates. */
import { createServerChoice, recordReport } from '@bulrushspar/balancing';
import { createManualClock } from '@bulrushspar/clock';
import {
  createBalancing,
  createServerLimits,
  createServerStates,
  promptPartKey,
  selectServer,
} from '@bulrushspar/serving';
import { createEntry, createSimulatedServer } from './pattern.js';
import { createRandom } from './simulation.js';

const CHOICES = 20_000;
const WARM_UP_CHOICES = 5000;
const MICROSECONDS_PER_MILLISECOND = 1000;

/** @returns microseconds for the choice among servers whose figures are known, and bytes that it allocates */
function measureBareChoice(servers: number): number {
  const random = createRandom(1);
  const choice = createServerChoice();
  const requests = Array.from({ length: servers }, () => random() * 20);
  const slowness = Array.from({ length: servers }, () => 1 + random());
  const options = { ageMilliseconds: 350, holdingMilliseconds: 400, random };
  const chooseOnce = (): number => {
    choice.begin();
    for (let place = 0; place < servers; place += 1)
      choice.add(requests[place]!, 24, slowness[place]!, place % 7 === 0 ? 0 : 30, 3);
    return choice.choose(options);
  };
  for (let count = 0; count < WARM_UP_CHOICES; count += 1) chooseOnce();
  const start = performance.now();
  for (let count = 0; count < CHOICES; count += 1) chooseOnce();
  return ((performance.now() - start) / CHOICES) * MICROSECONDS_PER_MILLISECOND;
}

/** @returns microseconds and allocated bytes of a whole selection with model, prompt parts and adapter */
export function measureSelection(servers: number): { microseconds: number; bytes: number } {
  const random = createRandom(1);
  const clock = createManualClock();
  const states = createServerStates(clock, () => 5);
  states.update(
    new Map(
      Array.from({ length: servers }, (_none, index) => {
        const models = Array.from({ length: 4 }, (_model, place) => ({
          name: `m${place}`,
          version: 1,
          adapters: ['a'],
        }));
        const server = createSimulatedServer(index);
        return [`s${index}`, { ...createEntry(server, 24), models }] as const;
      }),
    ),
  );
  const balancing = createBalancing({ now: clock.monotonic });
  const requirements = {
    model: 'm3',
    adapter: 'a',
    promptParts: ['p', 'q', 'r', 's'].map((id) => ({ id, tokens: 500 })),
  };
  const candidates = states.ofService('llm');
  candidates.forEach((state, index) => {
    recordReport(state.knowledge, { running: index % 9, waiting: 0, slowdown: 1.2 }, 1, 0);
    if (index % 5 === 0) state.promptPartTimes.set(promptPartKey(requirements, 'p'), 0);
  });
  const limits = createServerLimits({ clock });
  const selectOnce = () =>
    selectServer({
      candidates,
      requirements,
      failureDomain: 'd1',
      excluded: new Set(),
      now: clock.monotonic(),
      maxLimitMilliseconds: 1000,
      limitOf: limits.limitOf,
      millisecondsUntilFree: limits.millisecondsUntilFree,
      canServeModel: states.canServeModel,
      hasAdapter: states.hasAdapter,
      random,
      balancing,
      cacheTokens: 40_000,
    });
  for (let count = 0; count < WARM_UP_CHOICES; count += 1) selectOnce();
  const start = performance.now();
  for (let count = 0; count < CHOICES; count += 1) selectOnce();
  const microseconds = ((performance.now() - start) / CHOICES) * MICROSECONDS_PER_MILLISECOND;
  // Few enough that no collection falls between the two readings.
  const counted = 500;
  const before = process.memoryUsage().heapUsed;
  for (let count = 0; count < counted; count += 1) selectOnce();
  return { microseconds, bytes: (process.memoryUsage().heapUsed - before) / counted };
}

/** Prints the time of a choice. */
export function measureChoice(): Promise<unknown> {
  const rows = [42, 64, 400].map((servers) => ({
    servers,
    bareMicroseconds: measureBareChoice(servers),
    selection: measureSelection(servers),
  }));
  rows.forEach(({ servers, bareMicroseconds, selection }) =>
    process.stdout.write(
      `${servers} servers: choice ${bareMicroseconds.toFixed(1)} µs, whole selection ` +
        `${selection.microseconds.toFixed(1)} µs, ${selection.bytes.toFixed(0)} bytes\n`,
    ),
  );
  return Promise.resolve(rows);
}
