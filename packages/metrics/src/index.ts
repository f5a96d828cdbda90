/** Counters, gauges and latency histograms in the Prometheus text format. */
export {
  createMetrics,
  type CounterMetric,
  type Labels,
  type LatencyMetric,
  type Metrics,
} from './metrics.js';
