import type { Route, RouteShare } from './configuration.js';

/** Finds the route of a request. */
export interface RouteTable {
  /** @returns the route of the host with the longest prefix of the path */
  find(host: string, path: string): Route | undefined;
}

/** Creates the table of a configuration's routes. */
export function createRouteTable(routes: readonly Route[]): RouteTable {
  const byHost = new Map<string, Route[]>();
  routes.forEach((route) => {
    const known = byHost.get(route.host);
    if (known) known.push(route);
    else byHost.set(route.host, [route]);
  });
  byHost.forEach((list) => list.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length));
  return {
    find: (host, path) =>
      byHost.get(host.toLowerCase())?.find(({ pathPrefix }) => path.startsWith(pathPrefix)),
  };
}

/**
 * Picks one of a route's services by weight.
 * @param random from 0 up to but not including 1
 */
export function pickShare(shares: readonly RouteShare[], random: number): RouteShare | undefined {
  const total = shares.reduce((sum, { weight }) => sum + weight, 0);
  let rest = random * total;
  return (
    shares.find(({ weight }) => {
      rest -= weight;
      return rest < 0;
    }) ?? shares.at(-1)
  );
}
