import { build, type Histogram } from 'hdr-histogram-js';
import { Counter, Gauge, Registry } from 'prom-client';

/** Label values of one sample. */
export type Labels = Readonly<Record<string, string>>;

/** Counter that only increases. */
export interface CounterMetric {
  /** Adds an amount, 1 by default. */
  add(amount?: number, labels?: Labels): void;
}

/** Histogram of durations. */
export interface LatencyMetric {
  /** @param milliseconds duration */
  record(milliseconds: number): void;
}

/** All metrics of one process. */
export interface Metrics {
  counter(name: string, help: string, labelNames?: readonly string[]): CounterMetric;
  /** Registers a gauge whose value is read at each collection. */
  gauge(name: string, help: string, read: () => number): void;
  /** Registers a histogram of durations, exposed as quantiles and a count. */
  latency(name: string, help: string): LatencyMetric;
  /** @returns all metrics in the Prometheus text format */
  text(): Promise<string>;
}

const PERCENTILES = [50, 90, 95, 99, 99.9] as const;
const MICROSECONDS_PER_MILLISECOND = 1000;
const MAX_RECORDED_MICROSECONDS = 3_600_000_000;

function registerHistogram(
  registry: Registry,
  name: string,
  help: string,
  histogram: Histogram,
): void {
  const quantiles = new Gauge({
    name: `${name}_milliseconds`,
    help,
    labelNames: ['quantile'],
    registers: [registry],
    collect() {
      PERCENTILES.forEach((percentile) => {
        const value = histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND;
        this.set({ quantile: String(percentile / 100) }, value);
      });
    },
  });
  const count = new Gauge({
    name: `${name}_milliseconds_count`,
    help: `Number of recorded values of ${name}.`,
    registers: [registry],
    collect() {
      this.set(histogram.totalCount);
    },
  });
  quantiles.reset();
  count.reset();
}

function createLatencyMetric(registry: Registry, name: string, help: string): LatencyMetric {
  const histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_RECORDED_MICROSECONDS,
    numberOfSignificantValueDigits: 2,
  });
  registerHistogram(registry, name, help, histogram);
  return {
    record: (milliseconds) => {
      const value = Math.round(milliseconds * MICROSECONDS_PER_MILLISECOND);
      histogram.recordValue(Math.min(MAX_RECORDED_MICROSECONDS, Math.max(1, value)));
    },
  };
}

/** Creates an empty set of metrics. All names get the prefix `bulrushspar_`. */
export function createMetrics(): Metrics {
  const registry = new Registry();
  const prefixedName = (name: string): string => `bulrushspar_${name}`;
  return {
    counter: (name, help, labelNames = []) => {
      const counter = new Counter({
        name: prefixedName(name),
        help,
        labelNames: [...labelNames],
        registers: [registry],
      });
      return { add: (amount = 1, labels = {}) => counter.inc(labels, amount) };
    },
    gauge: (name, help, read) => {
      const gauge = new Gauge({
        name: prefixedName(name),
        help,
        registers: [registry],
        collect() {
          this.set(read());
        },
      });
      gauge.set(read());
    },
    latency: (name, help) => createLatencyMetric(registry, prefixedName(name), help),
    text: () => registry.metrics(),
  };
}
