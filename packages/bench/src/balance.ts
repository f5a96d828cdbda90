/** Program `balance`: the patterns of load with and without shared capacity. */
import type { LoadPattern, PatternResult } from './pattern.js';
import { playPattern } from './patterns.js';

/** The patterns of docs/design/balancing.md, by name. */
export const PATTERNS: Readonly<Record<string, Omit<LoadPattern, 'isBalanced' | 'seed'>>> = {
  ...Object.fromEntries(
    ([10, 90, 300] as const).flatMap((hosts) =>
      ([4, 42, 400] as const).flatMap((servers) =>
        (['equal', 'uneven', 'changing'] as const).map((speeds) => [
          `${hosts} hosts, ${servers} servers, ${speeds}`,
          {
            hosts,
            servers,
            slots: 24,
            // 60 in 100 of the capacity at usual speed when all slots are in use, as in `patterns`.
            requestsPerSecond: servers * 24 * (speeds === 'equal' ? 1.35 : 0.9),
            serviceMilliseconds: 350,
            speeds,
            reportsSlowness: speeds === 'changing',
            seconds: servers === 400 ? 15 : 30,
          },
        ]),
      ),
    ),
  ),
  'light: 90 hosts, 42 servers, equal': {
    hosts: 90,
    servers: 42,
    slots: 24,
    requestsPerSecond: 200,
    serviceMilliseconds: 350,
    speeds: 'equal',
    seconds: 30,
  },
  'light: 90 hosts, 42 servers, changing': {
    hosts: 90,
    servers: 42,
    slots: 24,
    requestsPerSecond: 200,
    serviceMilliseconds: 350,
    speeds: 'changing',
    reportsSlowness: true,
    seconds: 30,
  },
  'prompts: 90 hosts, 42 servers': {
    hosts: 90,
    servers: 42,
    slots: 24,
    requestsPerSecond: 1200,
    serviceMilliseconds: 300,
    speeds: 'equal',
    prompts: 60,
    seconds: 30,
  },
  'models: 90 hosts, 42 servers': {
    hosts: 90,
    servers: 42,
    slots: 24,
    requestsPerSecond: 900,
    serviceMilliseconds: 300,
    speeds: 'equal',
    models: 120,
    holdersPerModel: 4,
    seconds: 30,
  },
  'models and prompts, changing: 90 hosts, 42 servers': {
    hosts: 90,
    servers: 42,
    slots: 24,
    requestsPerSecond: 600,
    serviceMilliseconds: 300,
    speeds: 'changing',
    reportsSlowness: true,
    models: 120,
    holdersPerModel: 4,
    prompts: 60,
    seconds: 30,
  },
  'plain: 90 hosts, 4 servers of 6 slots': {
    hosts: 90,
    servers: 4,
    slots: 6,
    requestsPerSecond: 130,
    serviceMilliseconds: 30,
    speeds: 'equal',
    maxWaiting: 24,
    seconds: 30,
  },
  'plain, changing: 90 hosts, 4 servers of 6 slots': {
    hosts: 90,
    servers: 4,
    slots: 6,
    requestsPerSecond: 130,
    serviceMilliseconds: 30,
    speeds: 'changing',
    reportsSlowness: true,
    maxWaiting: 24,
    seconds: 30,
  },
  'failing: 90 hosts, 42 servers, one fails all': {
    hosts: 90,
    servers: 42,
    slots: 24,
    requestsPerSecond: 600,
    serviceMilliseconds: 350,
    speeds: 'equal',
    failing: 1,
    seconds: 30,
  },
};

const SEEDS = [1, 2];

const mean = (results: readonly PatternResult[], name: keyof PatternResult): number =>
  results.reduce((sum, result) => sum + result[name], 0) / results.length;

const format = (results: readonly PatternResult[]): string =>
  [
    mean(results, 'busiestOverMean').toFixed(2),
    mean(results, 'receivedOverMean').toFixed(2),
    `${(mean(results, 'waitingWhileFree') * 100).toFixed(1)}%`,
    mean(results, 'p50Milliseconds').toFixed(0),
    mean(results, 'p99Milliseconds').toFixed(0),
    mean(results, 'firstEventP99Milliseconds').toFixed(0),
    mean(results, 'rejections').toFixed(0),
    mean(results, 'failures').toFixed(0),
  ].join(' | ');

/** Plays all patterns and prints a table. */
export function measureBalance(): Promise<unknown> {
  const { BALANCE_PATTERN: only } = process.env;
  const rows = Object.entries(PATTERNS)
    .filter(([name]) => only === undefined || name.includes(only))
    .flatMap(([name, pattern]) =>
      [false, true].map((isBalanced) => {
        const results = SEEDS.map((seed) => playPattern({ ...pattern, seed, isBalanced }));
        process.stdout.write(
          `| ${name} | ${isBalanced ? 'shared' : 'before'} | ${format(results)} |\n`,
        );
        return { name, isBalanced, results };
      }),
    );
  return Promise.resolve(rows);
}
