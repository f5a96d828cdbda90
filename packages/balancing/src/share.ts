/** How evenly requests are spread over the servers of each service. */

/** Requests at one server, and what it runs at a time. */
export interface ServerShare {
  readonly service: string;
  readonly requests: number;
  readonly slots: number;
}

/** Requests for each server of a service below which chance alone makes one of them the busiest. */
const LEAST_MEAN_REQUESTS = 2;

/**
 * @returns by service, the highest utilization of a server over the mean; services with few requests
 * are left out
 */
export function computeLoadRatios(shares: Iterable<ServerShare>): Map<string, number> {
  const sums = new Map<
    string,
    { requests: number; slots: number; servers: number; most: number }
  >();
  for (const { service, requests, slots } of shares) {
    const sum = sums.get(service) ?? { requests: 0, slots: 0, servers: 0, most: 0 };
    sum.requests += requests;
    sum.slots += slots;
    sum.servers += 1;
    sum.most = Math.max(sum.most, requests / Math.max(1, slots));
    sums.set(service, sum);
  }
  const ratios = new Map<string, number>();
  sums.forEach(({ requests, slots, servers, most }, service) => {
    if (requests >= LEAST_MEAN_REQUESTS * servers)
      ratios.set(service, (most * Math.max(1, slots)) / requests);
  });
  return ratios;
}
