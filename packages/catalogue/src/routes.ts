import type { Route, RouteShare } from './configuration.js';

/** Looks up the route of a request. */
export interface RouteTable {
  /** @returns the route of the host whose prefix of the path is the longest, if any */
  find(host: string, path: string): Route | undefined;
}

/** Creates a table of routes. Host names are matched without regard to case. */
export function createRouteTable(routes: readonly Route[]): RouteTable {
  const byHost = new Map<string, Route[]>();
  routes.forEach((route) => {
    const hostRoutes = byHost.get(route.host);
    if (hostRoutes) hostRoutes.push(route);
    else byHost.set(route.host, [route]);
  });
  byHost.forEach((hostRoutes) =>
    hostRoutes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length),
  );
  return {
    find: (host, path) =>
      byHost.get(host.toLowerCase())?.find(({ pathPrefix }) => path.startsWith(pathPrefix)),
  };
}

/**
 * Picks a share of a route in proportion to the weights.
 * @param random random number in the range [0, 1)
 * @returns undefined if there are no shares
 */
export function pickWeightedShare(
  shares: readonly RouteShare[],
  random: number,
): RouteShare | undefined {
  const totalWeight = shares.reduce((sum, { weight }) => sum + weight, 0);
  let remainingWeight = random * totalWeight;
  return (
    shares.find(({ weight }) => {
      remainingWeight -= weight;
      return remainingWeight < 0;
    }) ?? shares.at(-1)
  );
}
