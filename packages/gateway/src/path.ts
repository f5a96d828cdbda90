import type { Configuration } from '@bulrushspar/configuration';
import { createRefusal, REFUSAL } from '@bulrushspar/errors';
import type { NamedRoute } from './services.js';

/** Parsed path below /services. */
interface ServicePath {
  readonly service: string;
  /** Path and query that the target receives. */
  readonly targetPath: string;
}

const SERVICE_PREFIX = '/services/';

/** @returns whether a path belongs to a plain service */
export const isServicePath = (path: string): boolean => path.startsWith(SERVICE_PREFIX);

/** Parses a path below /services into the service and the path at its target. */
export function parseServicePath(path: string): ServicePath {
  const relativePath = path.slice(SERVICE_PREFIX.length);
  const end = relativePath.search(/[/?]/);
  if (end < 0) return { service: relativePath, targetPath: '/' };
  const targetPath = relativePath.slice(end);
  return {
    service: relativePath.slice(0, end),
    targetPath: targetPath.startsWith('/') ? targetPath : `/${targetPath}`,
  };
}

function matchesPrefix(prefix: string, path: string): boolean {
  const pathWithoutQuery = path.split('?')[0]!;
  const prefixWithSlash = prefix.endsWith('/') ? prefix : `${prefix}/`;
  return pathWithoutQuery === prefix || pathWithoutQuery.startsWith(prefixWithSlash);
}

/** Finds the route with the longest matching path for a call; throws a refusal if none matches. */
export function findServiceRoute(
  configuration: Configuration,
  { service, targetPath }: ServicePath,
  method: string,
): NamedRoute {
  const candidates = Object.entries(configuration.routes)
    .filter(([, route]) => route.service === service && matchesPrefix(route.path, targetPath))
    .filter(([, route]) => (route.methods as string[]).includes(method))
    .sort(([, a], [, b]) => b.path.length - a.path.length);
  const found = candidates[0];
  if (found) return { name: found[0], route: found[1] };
  throw createRefusal({
    status: 404,
    code: REFUSAL.NOT_FOUND,
    message: `no route for ${method} ${targetPath} exists at service ${service}`,
  });
}

/** Throws a refusal for a path that a target could interpret differently from the route check. */
export function rejectAmbiguousPath(path: string): void {
  const pathWithoutQuery = path.split('?')[0]!;
  const decoded = pathWithoutQuery.replace(/%2e/gi, '.').replace(/%2f|%5c|\\/gi, '/');
  if (
    decoded.split('/').some((segment) => segment === '..' || segment === '.') ||
    decoded !== pathWithoutQuery
  ) {
    throw createRefusal({
      status: 400,
      code: REFUSAL.BAD_REQUEST,
      message: 'the path contains dot segments or encoded slashes',
    });
  }
}
