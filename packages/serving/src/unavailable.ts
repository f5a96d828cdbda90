/** Finds out why no server can receive a request, and when one can. */
import { acceptsRequests, type ServerEntry } from '@bulrushspar/catalogue';
import type { Refusal } from '@bulrushspar/errors';
import type { ActiveRequest } from './attempts.js';
import type { Call } from './call.js';
import type { ServerLimits } from './limits.js';
import {
  createNoServerRefusal,
  createServersClosedRefusal,
  createServersEvacuatedRefusal,
  createServersLimitedRefusal,
} from './refusals.js';
import type { ServerState, ServerStates } from './servers.js';

/** Reasons why no server can receive a request. */
export interface Unavailability<SomeCall extends Call> {
  /** Throws if all servers that could ever run the request are evacuated. */
  requireServerInUse(request: ActiveRequest<SomeCall>): void;
  /**
   * Returns the time until the first of the servers that could run the request has time for another one
   * by its limit; undefined if none of them is limited.
   */
  limitedMilliseconds(request: ActiveRequest<SomeCall>): number | undefined;
  /** Creates the refusal of a request for which no server could be selected. */
  createRefusal(request: ActiveRequest<SomeCall>): Refusal;
}

/** Options of {@link createUnavailability}. */
export interface UnavailabilityOptions<SomeCall extends Call> {
  readonly servers: ServerStates;
  readonly limits: ServerLimits;
  /** @returns the servers of the request's service and, for a begun stream, of its version */
  readonly listServers: (request: ActiveRequest<SomeCall>) => readonly ServerState[];
  readonly isEvacuated: (server: ServerEntry) => boolean;
}

/** Creates the reasons of one host. */
export function createUnavailability<SomeCall extends Call>(
  options: UnavailabilityOptions<SomeCall>,
): Unavailability<SomeCall> {
  const { servers, limits, listServers, isEvacuated } = options;

  const couldRun = ({ call: { requirements } }: ActiveRequest<SomeCall>, state: ServerState) =>
    requirements ? servers.canServeModel(state, requirements.model) : acceptsRequests(state.entry);

  const requireServerInUse = (request: ActiveRequest<SomeCall>): void => {
    const listed = listServers(request);
    if (listed.length > 0 && listed.every(({ entry }) => isEvacuated(entry)))
      throw createServersEvacuatedRefusal(request.admitted.service);
  };

  const limitedMilliseconds = (request: ActiveRequest<SomeCall>): number | undefined => {
    const remaining = listServers(request)
      .filter(
        (state) =>
          servers.closedMilliseconds(state.entry.id) === 0 &&
          limits.limitOf(state.entry.id) !== undefined &&
          couldRun(request, state),
      )
      .map(({ entry }) => limits.millisecondsUntilFree(entry.id));
    return remaining.length > 0 ? Math.min(...remaining) : undefined;
  };

  /**
   * Returns the time until the first of the servers that could run the request accepts it again;
   * undefined if none of them is closed to this host.
   */
  const closedMilliseconds = (request: ActiveRequest<SomeCall>): number | undefined => {
    const remaining = listServers(request)
      .filter((state) => couldRun(request, state))
      .map(({ entry }) => servers.closedMilliseconds(entry.id));
    const earliest = Math.min(...remaining);
    return remaining.length > 0 && earliest > 0 ? earliest : undefined;
  };

  return {
    requireServerInUse,
    limitedMilliseconds,
    createRefusal: (request) => {
      requireServerInUse(request);
      const { service } = request.admitted;
      const limited = limitedMilliseconds(request);
      if (limited !== undefined) return createServersLimitedRefusal(service, limited);
      const closed = closedMilliseconds(request);
      return closed === undefined
        ? createNoServerRefusal(service)
        : createServersClosedRefusal(service, closed);
    },
  };
}
