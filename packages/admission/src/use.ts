/** Places that a host holds at servers, and how long its requests take there. */
import type { OwnUse, ServerView } from './room.js';

/** A request that was sent to a server, or is about to be. */
export interface HeldPlace {
  readonly service: string;
  readonly takenAt: number;
}

/** The places of one host. */
export interface HeldPlaces {
  add(server: string, place: HeldPlace): void;
  remove(server: string, place: HeldPlace): void;
  useOf(server: ServerView): OwnUse;
  count(): number;
  /** Records how long a request has taken that was served. */
  recordServed(place: HeldPlace): void;
  /** @returns the time that a request of a service takes at a server, with the wait in its queue */
  serviceMilliseconds(service: string): number;
}

/** Time that a request is expected to take before the first one was served; they take 20 to 500 ms. */
const DEFAULT_SERVICE_MILLISECONDS = 300;
/** Weight of the latest request in the moving average; a host serves a few requests a second. */
const LATEST_WEIGHT = 0.1;
/**
 * A request counts as at most this many times the average: one that was at a stopped server for two seconds
 * would otherwise make all servers appear slow for many seconds.
 */
const MAX_SAMPLE_FACTOR = 2;
/** Shortest service time; rates follow from its inverse. */
const MIN_SERVICE_MILLISECONDS = 1;

/** Creates the places of a host that holds none. */
export function createHeldPlaces(now: () => number): HeldPlaces {
  const byServer = new Map<string, Set<HeldPlace>>();
  const averages = new Map<string, number>();

  return {
    add: (server, place) => {
      const places = byServer.get(server) ?? new Set();
      byServer.set(server, places.add(place));
    },
    remove: (server, place) => {
      const places = byServer.get(server);
      places?.delete(place);
      if (places?.size === 0) byServer.delete(server);
    },
    useOf: ({ id, report, outstanding }) => {
      const at = now();
      const reportedAt = report ? at - report.ageMilliseconds : Infinity;
      let requests = 0;
      let requestsSinceReport = 0;
      let oldestMilliseconds = 0;
      byServer.get(id)?.forEach(({ takenAt }) => {
        requests += 1;
        if (takenAt >= reportedAt) requestsSinceReport += 1;
        oldestMilliseconds = Math.max(oldestMilliseconds, at - takenAt);
      });
      return {
        requests: Math.max(requests, outstanding),
        requestsSinceReport,
        oldestMilliseconds,
      };
    },
    count: () => [...byServer.values()].reduce((sum, { size }) => sum + size, 0),
    recordServed: ({ service, takenAt }) => {
      const milliseconds = Math.max(MIN_SERVICE_MILLISECONDS, now() - takenAt);
      const average = averages.get(service) ?? Math.min(milliseconds, DEFAULT_SERVICE_MILLISECONDS);
      const sample = Math.min(milliseconds, average * MAX_SAMPLE_FACTOR);
      averages.set(service, average + (sample - average) * LATEST_WEIGHT);
    },
    serviceMilliseconds: (service) => averages.get(service) ?? DEFAULT_SERVICE_MILLISECONDS,
  };
}
