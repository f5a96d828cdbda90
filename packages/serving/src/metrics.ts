import type { CounterMetric, LatencyMetric, Metrics } from '@bulrushspar/metrics';

/** Metrics of request handling. */
export interface ServingMetrics {
  readonly requests: CounterMetric;
  readonly refusals: CounterMetric;
  readonly retries: CounterMetric;
  readonly unreadEnds: CounterMetric;
  readonly firstByte: LatencyMetric;
  readonly wholeAnswer: LatencyMetric;
  readonly coldStart: LatencyMetric;
  readonly limitWait: LatencyMetric;
  readonly placeWait: LatencyMetric;
}

/** Registers the metrics of request handling. */
export function createServingMetrics(metrics: Metrics): ServingMetrics {
  return {
    requests: metrics.counter('requests', 'Requests admitted, by route.', ['route']),
    refusals: metrics.counter('refusals', 'Requests refused, by code.', ['code', 'status']),
    retries: metrics.counter('retries', 'Requests sent once more.'),
    unreadEnds: metrics.counter(
      'unread_answers_ended',
      'Answers ended because the host held too many unread bytes.',
    ),
    firstByte: metrics.latency('first_byte', 'Time to the first byte of an answer.'),
    wholeAnswer: metrics.latency('whole_answer', 'Time to the end of an answer.'),
    coldStart: metrics.latency('cold_start', 'Time that requests waited for a model.'),
    limitWait: metrics.latency(
      'limit_wait',
      'Time that requests waited for the limit of a server.',
    ),
    placeWait: metrics.latency(
      'place_wait',
      'Time that requests waited while all servers were full.',
    ),
  };
}
