import type { Configuration, Route } from '@bulrushspar/configuration';
import { createRefusal, REFUSAL } from '@bulrushspar/errors';
import {
  hasKeyInPathOrBody,
  extractBearerKey,
  type Identity,
  type Keyring,
} from '@bulrushspar/keys';
import type { RequestContext } from './context.js';

const UNAUTHORIZED = 401;
const FORBIDDEN = 403;

/** Identifies the key of a request; throws a refusal if the key is missing or unknown. */
export function authenticate(context: RequestContext, keyring: Keyring): Identity {
  const key = extractBearerKey(context.request.headers);
  if (key === undefined) {
    throw createRefusal({
      status: UNAUTHORIZED,
      code: REFUSAL.KEY_MISSING,
      message: 'the request has no key; send "Authorization: Bearer KEY"',
    });
  }
  const identity = keyring.identify(key);
  if (!identity) {
    throw createRefusal({
      status: UNAUTHORIZED,
      code: REFUSAL.KEY_UNKNOWN,
      message: 'the key is unknown or was withdrawn',
    });
  }
  context.setIdentity(identity);
  context.tracer.addStep('key recognized', `${identity.keyName} of ${identity.workspace}`);
  return identity;
}

/** Throws a refusal if the workspace may not use the route. */
export function authorize(route: Route, name: string, { workspace }: Identity): void {
  if (route.workspaces.length === 0 || route.workspaces.includes(workspace)) return;
  throw createRefusal({
    status: FORBIDDEN,
    code: REFUSAL.FORBIDDEN,
    message: `workspace ${workspace} may not use route ${name}`,
  });
}

/** Throws a refusal if the path or the body contains the key: it cannot be removed from there. */
export function rejectEmbeddedKey({ request }: RequestContext, body: Buffer): void {
  if (!hasKeyInPathOrBody(extractBearerKey(request.headers), request.url!, body)) return;
  throw createRefusal({
    status: 400,
    code: REFUSAL.BAD_REQUEST,
    message: 'the path or the body contains the key, which would reach the target',
  });
}

const MILLISECONDS_PER_SECOND = 1000;
const DEADLINE_HEADER = 'x-deadline-seconds';

function readRequestedSeconds({ request }: RequestContext): number {
  const header = request.headers[DEADLINE_HEADER];
  if (header === undefined) return Number.POSITIVE_INFINITY;
  const seconds = Number(header);
  if (seconds > 0) return seconds;
  throw createRefusal({
    status: 400,
    code: REFUSAL.BAD_REQUEST,
    message: `${DEADLINE_HEADER} must be a number of seconds above 0`,
  });
}

/**
 * Sets the deadline of a request: the shorter of the route's and the one in the caller's header.
 * @param route undefined until the route is found; the default deadline applies then
 */
export function applyDeadline(
  context: RequestContext,
  route: Route | undefined,
  configuration: Configuration,
): void {
  const allowed = route?.deadline_seconds ?? configuration.hosts.deadline_seconds;
  context.setDeadline(Math.min(allowed, readRequestedSeconds(context)) * MILLISECONDS_PER_SECOND);
}
