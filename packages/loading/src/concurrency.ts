/** Adaptive limit of the concurrent loads from the weight store, learnt from their durations. */

/** A load from the weight store that a server is executing. */
export interface RunningColdLoad {
  /** Distinguishes the load from all others. */
  readonly id: string;
  /** Duration of the load at the full speed of the weight store. */
  readonly statedMilliseconds: number;
}

/** What is known about the cold loads at one moment. */
export interface ColdLoadObservation {
  /** Monotonic time in milliseconds. */
  readonly now: number;
  readonly running: readonly RunningColdLoad[];
  /** Number of loads under way whose start is unknown, such as those of an earlier leader. */
  readonly others: number;
  /** Whether another load would start if the limit were higher. */
  readonly isMoreWanted: boolean;
  /** Returns whether a load that is not running any more has put its model on the server. */
  readonly hasSucceeded: (id: string) => boolean;
}

/** Learns how many cold loads the weight store serves at full speed. */
export interface ConcurrencyLimit {
  observe(observation: ColdLoadObservation): void;
  /**
   * Forgets the observed loads, as they were not observed for some time.
   * @param limit the limit that another leader has learnt since; unchanged if undefined
   */
  restart(limit: number | undefined): void;
  /** Number of loads that may run concurrently, at least 1. */
  limit(): number;
  /** Factor of the stated time that loads take at the limit, as far as it exceeds what is proven. */
  slowdown(): number;
  /** Expected milliseconds until each observed load ends, at the learnt speed. */
  remaining(): ReadonlyMap<string, number>;
}

/** Options of {@link createConcurrencyLimit}. */
export interface ConcurrencyLimitOptions {
  readonly initialLimit?: number;
  /** Called when the limit has changed. */
  readonly onChange?: (limit: number) => void;
}

/** Limit before anything is known; the smallest known weight store serves 2 loads, the largest 8. */
const INITIAL_LIMIT = 4;
/**
 * Time after the end of a load in which it is usually noticed, in milliseconds: reports are requested
 * every 400 ms and lag by some hundred.
 */
const NOTICE_MILLISECONDS = 600;
/**
 * Factor of the stated time up to which a load counts as punctual. Smaller delays have other causes, and
 * a limit that is one too high for a weight store of 8 loads costs no more than this.
 */
const TOLERATED_FACTOR = 1.1;
/** Time without a slow load after which one more concurrent load is tried. */
const PROBE_MILLISECONDS = 60_000;
/** The same at a limit of 1: no known weight store serves fewer than 2, so that it is hardly right. */
const PROBE_FROM_ONE_MILLISECONDS = 15_000;
/** Least average concurrency at which a slow load tells about the store; alone, its server is slow. */
const MIN_SHARED_CONCURRENCY = 1.5;
/**
 * Growth of the limit while no load has been slow. With 2, the loads that show that the limit is too high
 * take twice their time, which is more than callers wait.
 */
const GROWTH_FACTOR = 1.5;
/** Part of the limit that must have been in use on average before the limit grows. */
const USED_FRACTION = 0.75;
/** Fraction from which a limit is rounded up: measurements include the time to notice the end. */
const ROUND_UP_FROM = 0.75;
/** Least expected remaining time of a load that should have ended, in milliseconds. */
const MIN_REMAINING_MILLISECONDS = 300;
/** Part of the time by which a load is overdue that it is expected to take on top. */
const OVERDUE_FACTOR = 0.5;
const BISECTION_STEPS = 20;

interface LoadRecord {
  readonly statedMilliseconds: number;
  readonly startedAt: number;
  /** Milliseconds that the load has run beside others, by the number of concurrent loads. */
  readonly millisecondsByConcurrency: Map<number, number>;
}

const sumTime = ({ millisecondsByConcurrency }: LoadRecord): number =>
  [...millisecondsByConcurrency.values()].reduce((sum, milliseconds) => sum + milliseconds, 0);

/** Work done by a load if the weight store serves `capacity` loads at full speed, in milliseconds. */
function progressOf({ millisecondsByConcurrency }: LoadRecord, capacity: number): number {
  let sum = 0;
  millisecondsByConcurrency.forEach((milliseconds, concurrency) => {
    sum += milliseconds * Math.min(1, capacity / concurrency);
  });
  return sum;
}

function averageConcurrency(load: LoadRecord): number {
  let sum = 0;
  load.millisecondsByConcurrency.forEach((milliseconds, concurrency) => {
    sum += milliseconds * concurrency;
  });
  return sum / Math.max(1, sumTime(load));
}

/**
 * Returns the capacity of the weight store at which a load has done exactly its stated work by now;
 * infinite if the load has kept to its stated time.
 */
function estimateCapacity(load: LoadRecord): number {
  const { statedMilliseconds } = load;
  const work = statedMilliseconds + NOTICE_MILLISECONDS;
  if (sumTime(load) <= statedMilliseconds * TOLERATED_FACTOR + NOTICE_MILLISECONDS) return Infinity;
  let low = 0;
  let high = Math.max(...load.millisecondsByConcurrency.keys());
  for (let step = 0; step < BISECTION_STEPS; step += 1) {
    const middle = (low + high) / 2;
    if (progressOf(load, middle) < work) low = middle;
    else high = middle;
  }
  return high;
}

/**
 * Creates the limit. The weight store shares its capacity equally among the loads, so that the
 * duration of each load and the number of loads beside it give the capacity.
 */
export function createConcurrencyLimit(options: ConcurrencyLimitOptions = {}): ConcurrencyLimit {
  const { initialLimit = INITIAL_LIMIT, onChange = () => {} } = options;
  const loads = new Map<string, LoadRecord>();
  let capacity = initialLimit;
  /** Concurrency at which loads have kept to their stated time; estimates rest on it. */
  let proven = initialLimit;
  let observedAt: number | undefined;
  let otherLoads = 0;
  let slowAt: number | undefined;
  let changedAt = -Infinity;
  /** Loads that kept to their stated time: when they ended, and beside how many others they ran. */
  let punctual: { readonly at: number; readonly concurrency: number }[] = [];

  const limit = (): number => Math.max(1, Math.floor(capacity + 1 - ROUND_UP_FROM));

  const probeMilliseconds = (): number =>
    limit() === 1 ? PROBE_FROM_ONE_MILLISECONDS : PROBE_MILLISECONDS;

  const setCapacity = (value: number, now: number): void => {
    if (value === capacity) return;
    const before = limit();
    capacity = value;
    if (limit() === before) return;
    changedAt = now;
    onChange(limit());
  };

  /** Concurrency at which loads have ended in time since a load began; another is slow by itself. */
  const provenSince = (startedAt: number): number =>
    Math.max(0, ...punctual.filter(({ at }) => at > startedAt).map((load) => load.concurrency));

  const recordPunctualLoad = (load: LoadRecord, now: number, isMoreWanted: boolean): void => {
    const concurrency = averageConcurrency(load);
    punctual.push({ at: now, concurrency });
    proven = Math.max(proven, concurrency);
    if (concurrency > capacity) setCapacity(concurrency, now);
    // Loads that began before the last change say nothing about the present limit.
    if (!isMoreWanted || load.startedAt < changedAt || concurrency < limit() * USED_FRACTION)
      return;
    if (slowAt === undefined) setCapacity(Math.ceil(limit() * GROWTH_FACTOR), now);
    else if (now - slowAt > probeMilliseconds()) setCapacity(limit() + 1, now);
  };

  const recordSlowLoad = (load: LoadRecord, estimate: number, now: number): void => {
    if (averageConcurrency(load) < MIN_SHARED_CONCURRENCY) return;
    const punctualConcurrency = provenSince(load.startedAt);
    if (punctualConcurrency >= averageConcurrency(load)) return;
    slowAt = now;
    setCapacity(Math.max(estimate, punctualConcurrency), now);
    proven = capacity;
  };

  return {
    observe: ({ now, running, others, isMoreWanted, hasSucceeded }) => {
      const elapsed = observedAt === undefined ? 0 : now - observedAt;
      observedAt = now;
      const concurrency = loads.size + otherLoads;
      loads.forEach(({ millisecondsByConcurrency: times }) =>
        times.set(concurrency, (times.get(concurrency) ?? 0) + elapsed),
      );
      const runningIds = new Set(running.map(({ id }) => id));
      [...loads].forEach(([id, load]) => {
        if (runningIds.has(id)) return;
        loads.delete(id);
        if (!hasSucceeded(id)) return;
        const estimate = estimateCapacity(load);
        if (estimate === Infinity) recordPunctualLoad(load, now, isMoreWanted);
        else recordSlowLoad(load, estimate, now);
      });
      loads.forEach((load) => {
        const estimate = estimateCapacity(load);
        if (estimate < capacity) recordSlowLoad(load, Math.min(estimate, capacity), now);
      });
      running.forEach(({ id, statedMilliseconds }) => {
        if (loads.has(id)) return;
        loads.set(id, { statedMilliseconds, startedAt: now, millisecondsByConcurrency: new Map() });
      });
      otherLoads = others;
      const oldestStart = Math.min(...[...loads.values()].map(({ startedAt }) => startedAt));
      punctual = punctual.filter(({ at }) => at > oldestStart);
    },
    restart: (knownLimit) => {
      loads.clear();
      punctual = [];
      otherLoads = 0;
      observedAt = undefined;
      if (knownLimit === undefined || knownLimit === limit()) return;
      capacity = knownLimit;
      proven = knownLimit;
      onChange(knownLimit);
    },
    limit,
    slowdown: () => Math.max(1, (limit() + ROUND_UP_FROM - 1) / proven),
    remaining: () => {
      const work = [...loads].map(([id, load]): [string, number] => {
        const overdue = Math.max(0, sumTime(load) - load.statedMilliseconds) * OVERDUE_FACTOR;
        const left = load.statedMilliseconds - progressOf(load, proven);
        return [id, Math.max(MIN_REMAINING_MILLISECONDS, overdue, left)];
      });
      // The loads with the least work end first; the others go on faster from then on.
      work.sort(([, a], [, b]) => a - b);
      const ends = new Map<string, number>();
      let done = 0;
      let time = 0;
      work.forEach(([id, left], index) => {
        const concurrency = work.length - index + otherLoads;
        time += (left - done) * Math.max(1, concurrency / proven);
        done = left;
        ends.set(id, time);
      });
      return ends;
    },
  };
}
