/** What a host knows of the room of a server, and its part of the room that becomes free. */

/** Load of a server, as its last answer to this host stated it. */
export interface LoadReport {
  /** Requests that run or wait at the server. */
  readonly requests: number;
  readonly ageMilliseconds: number;
}

/** A server that could run a request, as far as its room is concerned. */
export interface ServerView {
  readonly id: string;
  readonly slots: number;
  /** Requests of this host that are in flight there, with or without a place. */
  readonly outstanding: number;
  /** Requests of the other hosts there, by the last state messages. */
  readonly requestsFromOtherHosts: number;
  readonly report?: LoadReport | undefined;
  /** Whether the server has just rejected a request or was unreachable. */
  readonly isAvoided: boolean;
  /** Whether the server must not receive more requests than it has slots. */
  readonly isBrittle: boolean;
}

/** The other hosts, as far as their states reach this one. */
export interface FleetView {
  /** Number of hosts, this one included. */
  readonly hosts: number;
  /** Fraction of the hosts whose requests this host knows, itself included; above 0. */
  readonly linkedFraction: number;
}

/** What this host has at a server. */
export interface OwnUse {
  readonly requests: number;
  /** Those sent after the server's last report. */
  readonly requestsSinceReport: number;
  /** Age of the oldest of them; 0 without any. */
  readonly oldestMilliseconds: number;
}

/** Waiting requests for the room of a server; one that several servers could run counts in parts. */
export interface WaitingDemand {
  /** Requests of this host in the rank that is to be served next. */
  readonly own: number;
  /** Requests of the other hosts in that rank. */
  readonly elsewhere: number;
  /** More urgent requests of the other hosts. */
  readonly urgentElsewhere: number;
}

/** What is usual of the requests of a service. */
export interface UsualRequests {
  readonly serviceMilliseconds: number;
  /** Fraction of the requests that is as urgent as the one in question, or more. */
  readonly urgentShare: number;
}

/**
 * Requests beyond the slots that a server should hold, in square roots of its slots. The number at a server
 * varies by about one root about its mean, since hosts decide without each other; without some in its own
 * queue its slots would be idle as often.
 */
const QUEUED_ROOTS = 1.25;
/**
 * Fraction of the slots below which requests are sent without a wait. Above it they are sent at a rate: hosts
 * that all saw room at a full server would fill it at once, as what they know is 200 to 500 ms old.
 */
const FREE_FRACTION = 0.75;
/** A server with more than this many times its limit gets nothing, even while others have room. */
const OVERFULL_FACTOR = 1.5;
/** Age at which a report is not used any more; requests take 200 to 500 ms. */
const MAX_REPORT_AGE_MILLISECONDS = 500;
/**
 * Time in which hosts correct the number of requests at a server. A shorter one makes it oscillate, as
 * what they know of each other is 200 to 500 ms old.
 */
const CORRECTION_MILLISECONDS = 300;
/** A request that runs for this many times the usual time shows that its server is slow or stopped. */
const STALL_FACTOR = 3;
const MILLISECONDS_PER_SECOND = 1000;

/** @returns the requests that a server should hold at most */
export const limitOf = ({ slots, isBrittle }: ServerView): number =>
  isBrittle ? slots : slots + Math.ceil(QUEUED_ROOTS * Math.sqrt(slots));

/**
 * Returns the requests below which a server has room that needs not be shared out. This host knows its own
 * requests there exactly: without any of others it fills the server up to the limit.
 */
export function freeLimitOf(server: ServerView, own: OwnUse, requests: number): number {
  const elsewhere = requests > 0 ? Math.max(0, requests - own.requests) / requests : 0;
  const limit = limitOf(server);
  return limit - elsewhere * (limit - Math.max(1, server.slots * FREE_FRACTION));
}

/** @returns the requests from which on a server is not selected beside others that have room */
export const overfullLimitOf = (server: ServerView): number =>
  server.isBrittle ? server.slots : limitOf(server) * OVERFULL_FACTOR;

/**
 * Estimates the requests of all hosts at a server. Hosts whose states do not arrive are taken to have as many
 * as the others, so that each part of a partitioned fleet keeps to its share.
 */
export function estimateRequests(server: ServerView, own: OwnUse, fleet: FleetView): number {
  // A host without states of others keeps to its share; the last ones are too old.
  const isAlone = fleet.linkedFraction * fleet.hosts <= 1 && fleet.hosts > 1;
  const elsewhere = isAlone ? 0 : server.requestsFromOtherHosts;
  const counted = (own.requests + elsewhere) / fleet.linkedFraction;
  const { report } = server;
  const isReported = report && report.ageMilliseconds <= MAX_REPORT_AGE_MILLISECONDS;
  const known = isReported ? Math.max(counted, report.requests + own.requestsSinceReport) : counted;
  return server.isAvoided ? Math.max(known, limitOf(server)) : known;
}

/** @returns the time that a request takes at a server, given the usual one */
export const estimateServiceMilliseconds = (usualMilliseconds: number, own: OwnUse): number =>
  Math.max(usualMilliseconds, own.oldestMilliseconds / STALL_FACTOR);

/**
 * Returns the requests per second that this host may send to a server that is full, beside one for each
 * of its own that ends there; negative if the server has too many.
 *
 * Requests of other hosts end at the rate at which they are served, which is not seen at once: the hosts
 * together replace them at that rate, corrected by what they are above or below the server's limit. Of
 * this, a host takes the part that its waiting requests have among those of all hosts. Less urgent
 * requests take what the more urgent ones leave: with n of these waiting on average, a queue is busy for
 * n / (n + 1) of the time.
 */
export function computeSendRate(
  server: ServerView,
  own: OwnUse,
  fleet: FleetView,
  demand: WaitingDemand,
  usual: UsualRequests,
): number {
  if (demand.own <= 0) return 0;
  const limit = limitOf(server);
  const requests = estimateRequests(server, own, fleet);
  const { serviceMilliseconds, urgentShare } = usual;
  const elsewhere = Math.max(0, Math.min(requests, limit) - own.requests);
  const perMillisecond =
    elsewhere / estimateServiceMilliseconds(serviceMilliseconds, own) +
    (limit - requests * urgentShare) / Math.max(CORRECTION_MILLISECONDS, serviceMilliseconds);
  const part = (fleet.linkedFraction * demand.own) / (demand.own + demand.elsewhere);
  const left = 1 / (1 + demand.urgentElsewhere);
  return perMillisecond * part * left * MILLISECONDS_PER_SECOND;
}
