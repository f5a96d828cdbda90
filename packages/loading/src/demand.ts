import type { Clock } from '@bulrushspar/clock';

/** How often each model is asked for, over all hosts. */
export interface Demand {
  /** Counts requests for a model. @param credit what serving them is worth */
  note(model: string, credit: number): void;
  /** Credit asked for per second, averaged over the last seconds. */
  creditPerSecond(model: string): number;
  /** Milliseconds since the model was last asked for; infinite where it never was. */
  idleMilliseconds(model: string): number;
}

/** Options of {@link createDemand}. */
export interface DemandOptions {
  readonly clock: Clock;
  /** Time after which a request counts for 1/e of what it did. */
  readonly memoryMilliseconds?: number;
}

interface Rate {
  credit: number;
  at: number;
}

const MILLISECONDS_PER_SECOND = 1000;

/** Creates demand that knows of no request. */
export function createDemand(options: DemandOptions): Demand {
  // Long against the pauses between requests to a rare model, short against shifts of demand.
  const { clock, memoryMilliseconds = 8000 } = options;
  const rates = new Map<string, Rate>();

  const decayed = ({ credit, at }: Rate, now: number): number =>
    credit * Math.exp(-(now - at) / memoryMilliseconds);

  return {
    note: (model, credit) => {
      const now = clock.monotonic();
      const known = rates.get(model);
      rates.set(model, { credit: credit + (known ? decayed(known, now) : 0), at: now });
    },
    creditPerSecond: (model) => {
      const known = rates.get(model);
      if (!known) return 0;
      const credit = decayed(known, clock.monotonic());
      return (credit * MILLISECONDS_PER_SECOND) / memoryMilliseconds;
    },
    idleMilliseconds: (model) => {
      const known = rates.get(model);
      return known ? clock.monotonic() - known.at : Number.POSITIVE_INFINITY;
    },
  };
}
