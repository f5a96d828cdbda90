import type { PlannedLoad } from '@bulrushspar/loading';
import type { Metrics } from '@bulrushspar/metrics';

/** Counts the loads that this host decides while it is the leader. */
export interface LoadMetrics {
  readonly onLoadDecided: (load: PlannedLoad) => void;
  readonly onColdLoadLimit: (limit: number) => void;
}

const reasonOf = ({ isBackground }: PlannedLoad): string =>
  isBackground === true ? 'background' : 'wanted';

/** Registers the metrics of loads. */
export function createLoadMetrics(metrics: Metrics): LoadMetrics {
  let coldLoadLimit = 0;
  const loads = metrics.counter('loads', 'Loads decided by this host as the leader.', [
    'reason',
    'source',
  ]);
  metrics.gauge(
    'cold_load_limit',
    'Concurrent cold loads that this host has learnt as the leader; 0 if none.',
    () => coldLoadLimit,
  );
  return {
    onLoadDecided: (load) =>
      loads.add(1, { reason: reasonOf(load), source: load.cold ? 'weight_store' : 'server' }),
    onColdLoadLimit: (limit) => {
      coldLoadLimit = limit;
    },
  };
}
