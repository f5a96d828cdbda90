import type { Clock } from '@bulrushspar/clock';

/** Limits the retries that a host sends to a service. */
export interface RetryBudget {
  /** Counts the first attempt of a request. */
  recordRequest(service: string): void;
  /** Takes one retry from the budget. @returns false if the budget is used up */
  takeRetry(service: string): boolean;
}

/** Options of {@link createRetryBudget}. */
export interface RetryBudgetOptions {
  readonly clock: Clock;
  /** Retries allowed per request. */
  readonly retriesPerRequest: number;
  /** Retries allowed in a window in addition, by all hosts in total. */
  readonly slack: number;
  readonly windowMilliseconds: number;
  /** @returns the number of hosts that share the slack */
  readonly hosts: () => number;
}

interface SentRequests {
  requestTimes: number[];
  retryTimes: number[];
}

/** Fraction of the budget that hosts use, since their counting windows are not aligned. */
const USABLE_FRACTION = 0.7;

/** Creates the retry budget of one host. */
export function createRetryBudget(options: RetryBudgetOptions): RetryBudget {
  const { clock, retriesPerRequest, slack, windowMilliseconds, hosts } = options;
  const services = new Map<string, SentRequests>();

  const recentRequestsOf = (service: string): SentRequests => {
    const sent = services.get(service) ?? { requestTimes: [], retryTimes: [] };
    services.set(service, sent);
    const oldest = clock.monotonic() - windowMilliseconds;
    const isRecent = (at: number): boolean => at > oldest;
    if ((sent.requestTimes[0] ?? Infinity) <= oldest)
      sent.requestTimes = sent.requestTimes.filter(isRecent);
    if ((sent.retryTimes[0] ?? Infinity) <= oldest)
      sent.retryTimes = sent.retryTimes.filter(isRecent);
    return sent;
  };

  return {
    recordRequest: (service) => {
      recentRequestsOf(service).requestTimes.push(clock.monotonic());
    },
    takeRetry: (service) => {
      const { requestTimes, retryTimes } = recentRequestsOf(service);
      const allowed =
        USABLE_FRACTION * (retriesPerRequest * requestTimes.length + slack / Math.max(1, hosts()));
      if (retryTimes.length + 1 > allowed) return false;
      retryTimes.push(clock.monotonic());
      return true;
    },
  };
}
