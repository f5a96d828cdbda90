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
            seconds: 11,
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
    seconds: 16,
  },
  'light: 90 hosts, 42 servers, changing': {
    hosts: 90,
    servers: 42,
    slots: 24,
    requestsPerSecond: 200,
    serviceMilliseconds: 350,
    speeds: 'changing',
    reportsSlowness: true,
    seconds: 16,
  },
  'prompts: 90 hosts, 42 servers': {
    hosts: 90,
    servers: 42,
    slots: 24,
    requestsPerSecond: 1200,
    serviceMilliseconds: 160,
    speeds: 'equal',
    prompts: 60,
    seconds: 16,
  },
  'models: 90 hosts, 42 servers': {
    hosts: 90,
    servers: 42,
    slots: 24,
    requestsPerSecond: 900,
    serviceMilliseconds: 160,
    speeds: 'equal',
    models: 120,
    holdersPerModel: 4,
    seconds: 16,
  },
  'models and prompts, changing: 90 hosts, 42 servers': {
    hosts: 90,
    servers: 42,
    slots: 24,
    requestsPerSecond: 600,
    serviceMilliseconds: 160,
    speeds: 'changing',
    reportsSlowness: true,
    models: 120,
    holdersPerModel: 4,
    prompts: 60,
    seconds: 16,
  },
  'plain: 90 hosts, 4 servers of 6 slots': {
    hosts: 90,
    servers: 4,
    slots: 6,
    requestsPerSecond: 130,
    serviceMilliseconds: 16,
    speeds: 'equal',
    maxWaiting: 24,
    seconds: 16,
  },
  'plain, changing: 90 hosts, 4 servers of 6 slots': {
    hosts: 90,
    servers: 4,
    slots: 6,
    requestsPerSecond: 130,
    serviceMilliseconds: 16,
    speeds: 'changing',
    reportsSlowness: true,
    maxWaiting: 24,
    seconds: 16,
  },
  'failing: 90 hosts, 42 servers, one fails all': {
    hosts: 90,
    servers: 42,
    slots: 24,
    requestsPerSecond: 600,
    serviceMilliseconds: 350,
    speeds: 'equal',
    failing: 1,
    seconds: 16,
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

/** What is compared; slowness is passed on only where servers report it. */
const VARIANTS = [
  { name: 'before', isBalanced: false, passesOnSlowness: false },
  { name: 'shared', isBalanced: true, passesOnSlowness: false },
  { name: 'shared, slowness passed on', isBalanced: true, passesOnSlowness: true },
] as const;

/** Plays all patterns, or those whose names contain BALANCE_PATTERN, and prints a table. */
export function measureBalance(): Promise<unknown> {
  const { BALANCE_PATTERN: only } = process.env;
  const rows = Object.entries(PATTERNS)
    .filter(([name]) => only === undefined || name.includes(only))
    .flatMap(([name, pattern]) =>
      VARIANTS.filter((variant) => pattern.reportsSlowness || !variant.passesOnSlowness).map(
        (variant) => {
          const { name: variantName, ...changes } = variant;
          const results = SEEDS.map((seed) => playPattern({ ...pattern, ...changes, seed }));
          process.stdout.write(`| ${name} | ${variantName} | ${format(results)} |\n`);
          return { name, variantName, results };
        },
      ),
    );
  return Promise.resolve(rows);
}
