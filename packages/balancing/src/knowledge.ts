/** What a host knows about the load of one server, and the estimate that follows from it. */

/** What this host has learnt about one server. */
export interface ServerKnowledge {
  /** Requests running and waiting there by the server's last report. */
  reportedRequests: number;
  /** Time of the last report on the monotonic clock, in milliseconds. */
  reportedAt: number;
  /** Requests of this host that were in flight there when the report came. */
  ownAtReport: number;
  /** Duration of work by the last report, relative to the usual one. */
  slowdown: number;
  /** Time of the last report that told the slowdown. */
  slowdownAt: number;
  /** Logarithm of observed over expected time to the first event. */
  logSlowness: number;
  /** Time of the last observation of that ratio. */
  observedAt: number;
  /** Time of the last failed request. */
  failedAt: number;
  /** Prompt and expected answer tokens of this host's requests in flight there. */
  ownTokens: number;
}

/** Load that a server reports with an answer. */
export interface LoadReport {
  readonly running: number;
  readonly waiting: number;
  readonly slowdown?: number;
}

/** Age of the counts of other hosts: messages each 200 ms over up to two hubs, 200 to 500 ms. */
export const OTHERS_AGE_MILLISECONDS = 350;
/**
 * Age at which a report is dropped: its weight against the counts of other hosts is below 0.15 by then,
 * and the requests that it counted have ended.
 */
const REPORT_LIFETIME_MILLISECONDS = 2000;
/** Time after which a failed request counts for a third; a restart or a fault of the network is over. */
const FAILURE_MEMORY_MILLISECONDS = 10_000;

/** Creates the knowledge about a server that has not answered yet. */
export function createServerKnowledge(): ServerKnowledge {
  return {
    reportedRequests: 0,
    reportedAt: -Infinity,
    ownAtReport: 0,
    slowdown: 1,
    slowdownAt: -Infinity,
    logSlowness: 0,
    observedAt: -Infinity,
    failedAt: -Infinity,
    ownTokens: 0,
  };
}

/** Records the load that a server reported while `own` requests of this host were in flight there. */
export function recordReport(
  knowledge: ServerKnowledge,
  { running, waiting, slowdown }: LoadReport,
  own: number,
  now: number,
): void {
  const changed = knowledge;
  changed.reportedRequests = running + waiting;
  changed.ownAtReport = own;
  changed.reportedAt = now;
  if (slowdown === undefined) return;
  changed.slowdown = slowdown;
  changed.slowdownAt = now;
}

/**
 * Records that a server rejected a request without reporting its load: at least its slots are in use. A
 * server that rejects everything has few requests and would otherwise receive the most.
 */
export function recordRejection(
  knowledge: ServerKnowledge,
  slots: number,
  own: number,
  now: number,
): void {
  const running = Math.max(slots, own);
  recordReport(knowledge, { running, waiting: 1 }, own, now);
}

/** @returns whether the server has reported its load recently */
export function hasReport({ reportedAt }: ServerKnowledge, now: number): boolean {
  return now - reportedAt < REPORT_LIFETIME_MILLISECONDS;
}

/**
 * Estimates the requests at a server from its last report plus what this host has sent since, and from
 * the counts of all hosts. Each is weighted by the inverse of its age, since the variance of the requests
 * that came and went grows with the time.
 * @returns -1 if neither is known
 */
export function estimateRequests(
  knowledge: ServerKnowledge,
  own: number,
  others: number,
  knowsOthers: boolean,
  now: number,
): number {
  const age = now - knowledge.reportedAt;
  const isReported = age < REPORT_LIFETIME_MILLISECONDS;
  if (!isReported) return knowsOthers ? own + others : -1;
  const byReport = knowledge.reportedRequests + own - knowledge.ownAtReport;
  if (!knowsOthers) return Math.max(own, byReport);
  const weight = OTHERS_AGE_MILLISECONDS / (OTHERS_AGE_MILLISECONDS + age);
  return Math.max(own, weight * byReport + (1 - weight) * (own + others));
}

/** @returns the failure rate of a server, less what has been forgotten since its last failure */
export function recentFailureRate(
  { failedAt }: ServerKnowledge,
  failureRate: number,
  now: number,
): number {
  if (failureRate === 0 || failedAt === -Infinity) return failureRate;
  return failureRate * Math.exp((failedAt - now) / FAILURE_MEMORY_MILLISECONDS);
}
