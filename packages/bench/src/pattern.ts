/** Patterns of load, and the servers of a simulation. */
import type { ServerEntry } from '@bulrushspar/catalogue';

/** A pattern of load. */
export interface LoadPattern {
  readonly hosts: number;
  readonly servers: number;
  readonly slots: number;
  readonly requestsPerSecond: number;
  /** Usual time of a request at a server. */
  readonly serviceMilliseconds: number;
  /** `uneven`: every third server is 2 times slower; `changing`: servers become 4 to 8 times slower. */
  readonly speeds: 'equal' | 'uneven' | 'changing';
  /** Whether servers report their slowness. */
  readonly reportsSlowness?: boolean;
  /** Whether hosts pass on the slowness that servers report, with the counts of requests. */
  readonly passesOnSlowness?: boolean;
  /** Number of prompts that requests share, of 1000 tokens each; 0 for none. */
  readonly prompts?: number;
  /** Number of models, each at few servers; 0 if every server can run every request. */
  readonly models?: number;
  readonly holdersPerModel?: number;
  /** Requests that wait at a server before it rejects others. */
  readonly maxWaiting?: number;
  /** Servers that fail what they receive at once, and report no load. */
  readonly failing?: number;
  readonly seconds: number;
  readonly seed: number;
  /** Whether the hosts share capacity. */
  readonly isBalanced: boolean;
}

/** What was measured. */
export interface PatternResult {
  /** Most requests at a server over the mean, averaged over samples. */
  readonly busiestOverMean: number;
  /** Most requests that a server received in 5 s over the mean, averaged. */
  readonly receivedOverMean: number;
  /** Share of the samples in which a request waits while an equal server has a free slot. */
  readonly waitingWhileFree: number;
  readonly p50Milliseconds: number;
  readonly p99Milliseconds: number;
  readonly firstEventP99Milliseconds: number;
  readonly rejections: number;
  readonly failures: number;
  readonly requests: number;
  readonly failuresInLastHalf: number;
}

/** A server of the simulation. */
export interface SimulatedServer {
  readonly index: number;
  slowness: number;
  running: number;
  readonly queue: (() => void)[];
  received: number;
  readonly prompts: Map<string, number>;
  readonly models: Set<string>;
  readonly isFailing: boolean;
}

/** Creates a server of usual speed without models. */
export const createSimulatedServer = (index: number): SimulatedServer => ({
  index,
  slowness: 1,
  running: 0,
  queue: [],
  received: 0,
  prompts: new Map(),
  models: new Set(),
  isFailing: false,
});

/** Creates the servers of a pattern. */
export function createSimulatedServers(
  pattern: LoadPattern,
  random: () => number,
): SimulatedServer[] {
  const { speeds, models = 0, holdersPerModel = 3, failing = 0 } = pattern;
  const servers = Array.from({ length: pattern.servers }, (_none, index): SimulatedServer => ({
    ...createSimulatedServer(index),
    slowness: speeds === 'uneven' && index % 3 === 0 ? 2 : 1,
    isFailing: index < failing,
  }));
  for (let model = 0; model < models; model += 1) {
    for (let holder = 0; holder < holdersPerModel; holder += 1)
      servers[Math.floor(random() * servers.length)]!.models.add(`m${model}`);
  }
  return servers;
}

/** Creates the entry that a server of the simulation writes. */
export const createEntry = ({ index, models }: SimulatedServer, slots: number): ServerEntry => ({
  id: `s${index}`,
  service: 'llm',
  address: '127.0.0.1:1',
  failureDomain: `d${index % 3}`,
  slots,
  leaving: false,
  born: 1,
  models: [...models].map((name) => ({ name, version: 1, adapters: [] })),
  inMemory: [],
  onDisk: [],
});
