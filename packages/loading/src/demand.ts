import type { Clock } from '@bulrushspar/clock';

/** How often each model is asked for, over all hosts. */
export interface Demand {
  /** Counts requests for a model. @param credit what serving them is worth */
  note(model: string, credit: number): void;
  /** Credit asked for per second, averaged over the last seconds. */
  creditPerSecond(model: string): number;
  /** Milliseconds since the model was last asked for; infinite where it never was. */
  idleMilliseconds(model: string): number;
  /**
   * Counts first bytes of answers.
   * @param delays what they took, as parts of their objectives, together
   */
  noteDelays(model: string, answers: number, delays: number): void;
  /** Mean time of the last first bytes as a part of their objective; 0 where they were few. */
  delayOf(model: string): number;
}

/** Options of {@link createDemand}. */
export interface DemandOptions {
  readonly clock: Clock;
  /** Time after which a request counts for 1/e of what it did. */
  readonly memoryMilliseconds?: number;
  /** The same for the time that first bytes took; short, so that relief shows soon. */
  readonly delayMemoryMilliseconds?: number;
}

interface Rate {
  credit: number;
  at: number;
}

interface Delays {
  answers: number;
  delays: number;
  at: number;
}

/** Answers from which on their mean delay tells something. */
const LEAST_ANSWERS = 4;

const MILLISECONDS_PER_SECOND = 1000;

/** Creates demand that knows of no request. */
export function createDemand(options: DemandOptions): Demand {
  // Long against the pauses between requests to a rare model, short against shifts of demand.
  const { clock, memoryMilliseconds = 8000, delayMemoryMilliseconds = 1500 } = options;
  const rates = new Map<string, Rate>();
  const delaysByModel = new Map<string, Delays>();

  const decayed = ({ credit, at }: Rate, now: number): number =>
    credit * Math.exp(-(now - at) / memoryMilliseconds);

  const decayedDelays = (model: string): Delays => {
    const now = clock.monotonic();
    const { answers, delays, at } = delaysByModel.get(model) ?? { answers: 0, delays: 0, at: now };
    const left = Math.exp(-(now - at) / delayMemoryMilliseconds);
    return { answers: answers * left, delays: delays * left, at: now };
  };

  return {
    noteDelays: (model, answers, delays) => {
      const known = decayedDelays(model);
      known.answers += answers;
      known.delays += delays;
      delaysByModel.set(model, known);
    },
    delayOf: (model) => {
      const { answers, delays } = decayedDelays(model);
      return answers < LEAST_ANSWERS ? 0 : delays / answers;
    },
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
