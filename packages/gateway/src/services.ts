import type { Clock } from '@bulrushspar/clock';
import type { AcceptedConfiguration, Configuration } from '@bulrushspar/configuration';
import type { Keyring } from '@bulrushspar/keys';
import type { Ledger } from '@bulrushspar/ledger';
import type { Limits } from '@bulrushspar/limits';
import type { CounterMetric, LatencyMetric, Metrics } from '@bulrushspar/metrics';
import type { Placer } from '@bulrushspar/placement';
import type { ByteMemory, Random } from '@bulrushspar/routing';
import type { TargetRegistry } from '@bulrushspar/targets';
import type { CreateCrashGuard } from './isolation.js';
import type { ModelQueues } from './queues.js';

/** Counters and latency metrics of the gateway. */
export interface GatewayMetrics {
  readonly requests: CounterMetric;
  readonly refusals: CounterMetric;
  readonly retries: CounterMetric;
  readonly tokens: CounterMetric;
  readonly firstToken: LatencyMetric;
  readonly wholeAnswer: LatencyMetric;
  readonly coldStart: LatencyMetric;
}

/** Dependencies of the request handlers. */
export interface GatewayServices {
  readonly clock: Clock;
  readonly random: Random;
  readonly failureDomain: string;
  readonly getAcceptedConfiguration: () => AcceptedConfiguration;
  readonly getKeyring: () => Keyring;
  readonly limits: Limits;
  readonly ledger: Ledger;
  readonly placer: Placer;
  readonly registry: TargetRegistry;
  readonly queues: ModelQueues;
  /** Bounds the bytes of bodies of requests that have not ended. */
  readonly requestMemory: ByteMemory;
  readonly createCrashGuard: CreateCrashGuard;
  readonly metrics: GatewayMetrics;
}

/** Registers the gateway's metrics. */
export function createGatewayMetrics(metrics: Metrics): GatewayMetrics {
  return {
    requests: metrics.counter('requests_total', 'Requests of callers by route.', ['route']),
    refusals: metrics.counter('refusals_total', 'Refused requests by code and workspace.', [
      'code',
      'workspace',
    ]),
    retries: metrics.counter('retries_total', 'Requests sent to another server.'),
    tokens: metrics.counter('tokens_total', 'Tokens by workspace.', ['workspace']),
    firstToken: metrics.latency('first_token', 'Time from arrival to the first token.'),
    wholeAnswer: metrics.latency('whole_answer', 'Time from arrival to the whole answer.'),
    coldStart: metrics.latency('cold_start', 'Time for which requests waited for a load.'),
  };
}

/** A route with its name. */
export interface NamedRoute {
  readonly name: string;
  readonly route: Configuration['routes'][string];
}
