import type { Clock } from '@bulrushspar/clock';

/** Tracks the request rate of each model over all hosts. */
export interface DemandTracker {
  /**
   * Adds requests for a model.
   * @param credit what serving the requests is worth
   */
  recordRequests(model: string, credit: number): void;
  /** Returns the requested credit per second, as an exponentially decaying average. */
  creditPerSecond(model: string): number;
  /** Returns the milliseconds since the last request for the model; infinite if there was none. */
  idleMilliseconds(model: string): number;
  /** Returns the credit requested per second, averaged over a longer time: it outlives refusals. */
  requestsPerSecond(model: string): number;
}

/** Options of {@link createDemandTracker}. */
export interface DemandTrackerOptions {
  readonly clock: Clock;
  /** Time constant of the decay: after it, a request counts for 1/e of its credit. */
  readonly decayMilliseconds?: number;
  /** The same for the longer average. */
  readonly lastingDecayMilliseconds?: number;
}

interface Rate {
  /** Decayed sum of the requested credit, as of `at`. */
  credit: number;
  /** The same with the longer time constant. */
  lastingCredit: number;
  /** Time of the last request, by the monotonic clock in milliseconds. */
  at: number;
}

const MILLISECONDS_PER_SECOND = 1000;

/** Creates an empty demand tracker. */
export function createDemandTracker(options: DemandTrackerOptions): DemandTracker {
  // Longer than the gaps between requests for a rarely used model, shorter than shifts of demand.
  const { clock, decayMilliseconds = 8000 } = options;
  // Spans the time in which refused callers return and a queue of cold loads moves on.
  const { lastingDecayMilliseconds = 30_000 } = options;
  const rates = new Map<string, Rate>();

  const decayedCredit = ({ credit, at }: Rate, now: number): number =>
    credit * Math.exp(-(now - at) / decayMilliseconds);
  const decayedLastingCredit = ({ lastingCredit, at }: Rate, now: number): number =>
    lastingCredit * Math.exp(-(now - at) / lastingDecayMilliseconds);

  return {
    recordRequests: (model, credit) => {
      const now = clock.monotonic();
      const rate = rates.get(model);
      rates.set(model, {
        credit: credit + (rate ? decayedCredit(rate, now) : 0),
        lastingCredit: credit + (rate ? decayedLastingCredit(rate, now) : 0),
        at: now,
      });
    },
    creditPerSecond: (model) => {
      const rate = rates.get(model);
      if (!rate) return 0;
      const credit = decayedCredit(rate, clock.monotonic());
      return (credit * MILLISECONDS_PER_SECOND) / decayMilliseconds;
    },
    requestsPerSecond: (model) => {
      const rate = rates.get(model);
      if (!rate) return 0;
      const credit = decayedLastingCredit(rate, clock.monotonic());
      return (credit * MILLISECONDS_PER_SECOND) / lastingDecayMilliseconds;
    },
    idleMilliseconds: (model) => {
      const rate = rates.get(model);
      return rate ? clock.monotonic() - rate.at : Number.POSITIVE_INFINITY;
    },
  };
}
