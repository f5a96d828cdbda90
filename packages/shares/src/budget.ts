import type { Clock } from '@bulrushspar/clock';

/** Limits the repeats that a host sends to a service. */
export interface RetryBudget {
  /** Counts the first time that a request is sent. */
  noteFirst(service: string): void;
  /** Takes one repeat if the budget allows it. */
  takeRepeat(service: string): boolean;
}

/** Options of {@link createRetryBudget}. */
export interface RetryBudgetOptions {
  readonly clock: Clock;
  /** Repeats allowed for each request. */
  readonly ratio: number;
  /** Repeats allowed besides, over all hosts, in a window. */
  readonly slack: number;
  readonly windowMilliseconds: number;
  /** Hosts among which the slack is divided. */
  readonly hosts: () => number;
}

interface Counts {
  firsts: number[];
  repeats: number[];
}

/** Part of the fleet's slack that is given out, since counts of windows are not aligned. */
const USED_PART = 0.7;

/** Creates the budget of one host. */
export function createRetryBudget(options: RetryBudgetOptions): RetryBudget {
  const { clock, ratio, slack, windowMilliseconds, hosts } = options;
  const services = new Map<string, Counts>();

  const countsOf = (service: string): Counts => {
    const known = services.get(service) ?? { firsts: [], repeats: [] };
    services.set(service, known);
    const oldest = clock.monotonic() - windowMilliseconds;
    const isRecent = (at: number): boolean => at > oldest;
    if ((known.firsts[0] ?? Infinity) <= oldest) known.firsts = known.firsts.filter(isRecent);
    if ((known.repeats[0] ?? Infinity) <= oldest) known.repeats = known.repeats.filter(isRecent);
    return known;
  };

  return {
    noteFirst: (service) => {
      countsOf(service).firsts.push(clock.monotonic());
    },
    takeRepeat: (service) => {
      const { firsts, repeats } = countsOf(service);
      const allowed = USED_PART * (ratio * firsts.length + slack / Math.max(1, hosts()));
      if (repeats.length + 1 > allowed) return false;
      repeats.push(clock.monotonic());
      return true;
    },
  };
}
