/** Lets requests wait for a place at a server while all that could run them are full. */
import type {
  AdmissionQueue,
  Place,
  PlaceRequest,
  RequestGroup,
  ServerView,
} from '@bulrushspar/admission';
import { acceptsRequests } from '@bulrushspar/catalogue';
import type { Clock } from '@bulrushspar/clock';
import type { Logger } from '@bulrushspar/logging';
import type { ActiveRequest } from './attempts.js';
import type { Call } from './call.js';
import type { ServerLimits } from './limits.js';
import type { ServingMetrics } from './metrics.js';
import type { ServerState, ServerStates } from './servers.js';

/** Options of {@link createPlaceTaker}. */
export interface PlaceTakerOptions<SomeCall extends Call> {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: ServingMetrics;
  readonly servers: ServerStates;
  readonly limits: ServerLimits;
  readonly queue: AdmissionQueue;
  /** @returns the servers of the request's service and, for a begun stream, of its version */
  readonly listServers: (request: ActiveRequest<SomeCall>) => readonly ServerState[];
  /** @returns the longest time that the request waits for the limit of a server */
  readonly getMaxLimitMilliseconds: (request: ActiveRequest<SomeCall>) => number;
  /** Selects one of the allowed servers, an untried one if there is one. */
  readonly select: (
    request: ActiveRequest<SomeCall>,
    isAllowed: (server: string) => boolean,
  ) => ServerState | undefined;
}

/** Resolves to the server at which the request has a place; undefined if no server could run it. */
export type TakePlace<SomeCall extends Call> = (
  request: ActiveRequest<SomeCall>,
) => Promise<ServerState | undefined>;

/** A shorter wait is the processor time of the decision. */
const MIN_RECORDED_MILLISECONDS = 2;
/** Cost of a request whose tokens are not known. */
const UNKNOWN_TOKENS = 1;

const estimateTokens = ({ tokens, promptTokens, expectedAnswerTokens }: Call): number => {
  if (promptTokens !== undefined && expectedAnswerTokens !== undefined)
    return promptTokens + expectedAnswerTokens;
  return tokens ?? UNKNOWN_TOKENS;
};

const describeServer = (state: ServerState, now: number): ServerView => {
  const { entry, reportedLoad } = state;
  return {
    id: entry.id,
    slots: Math.max(1, entry.slots),
    outstanding: state.outstanding,
    requestsFromOtherHosts: state.outstandingFromOtherHosts,
    report: reportedLoad && {
      requests: reportedLoad.running + reportedLoad.waiting,
      ageMilliseconds: now - reportedLoad.at,
    },
    isAvoided: state.avoidUntil > now,
    isBrittle: state.isBrittle,
  };
};

/** Lists the ids of the servers that can run the requests of a group. */
export function listGroupServers(
  servers: ServerStates,
  { service, model }: RequestGroup,
): readonly string[] {
  return servers
    .ofService(service)
    .filter((state) =>
      model === '' ? acceptsRequests(state.entry) : servers.canServeModel(state, model),
    )
    .map(({ entry }) => entry.id);
}

/** Creates the function that takes the places of one host's attempts. */
export function createPlaceTaker<SomeCall extends Call>(
  options: PlaceTakerOptions<SomeCall>,
): TakePlace<SomeCall> {
  const { clock, logger, metrics, servers, limits, queue, select } = options;

  /** Servers that could run the request now: untried ones, or all if there is none. */
  const listViews = (request: ActiveRequest<SomeCall>): readonly ServerView[] => {
    const { requirements } = request.call;
    const now = clock.monotonic();
    const maxMilliseconds = options.getMaxLimitMilliseconds(request);
    const usable = options
      .listServers(request)
      .filter(
        (state) =>
          state.closedUntil <= now &&
          limits.millisecondsUntilFree(state.entry.id) <= maxMilliseconds &&
          (requirements
            ? servers.canServeModel(state, requirements.model)
            : acceptsRequests(state.entry)),
      );
    const untried = usable.filter(({ entry }) => !request.triedServers.has(entry.id));
    return (untried.length > 0 ? untried : usable).map((state) => describeServer(state, now));
  };

  const describeRequest = (request: ActiveRequest<SomeCall>): PlaceRequest => {
    const { call, admitted, signal } = request;
    const { route, workspace, service, priority } = admitted;
    const elapsed = request.elapsedMilliseconds();
    return {
      service,
      model: call.requirements?.model ?? '',
      workspace: workspace?.name ?? '',
      weight: 1,
      priority,
      expectedTokens: estimateTokens(call),
      objectiveMilliseconds: route.objectiveMilliseconds - elapsed,
      remainingMilliseconds: Math.max(
        0,
        Math.min(request.remainingMilliseconds(), route.callerTimeoutMilliseconds - elapsed),
      ),
      signal,
      listServers: () => listViews(request),
      select: (isAllowed) => select(request, isAllowed)?.entry.id,
    };
  };

  const recordWait = (request: ActiveRequest<SomeCall>, place: Place): void => {
    const { waitedMilliseconds, server } = place;
    if (waitedMilliseconds < MIN_RECORDED_MILLISECONDS) return;
    metrics.placeWait.record(waitedMilliseconds);
    logger.info('wait for a place at a server', {
      request: request.call.id,
      service: request.admitted.service,
      model: request.call.requirements?.model,
      priority: request.admitted.priority,
      server,
      milliseconds: Math.round(waitedMilliseconds),
    });
  };

  return async (request) => {
    request.place?.release(false);
    // A request that may have run cannot be refused as one that has not, so that it does not wait.
    if (request.possibleRunCount > 0) return undefined;
    const place = await queue.take(describeRequest(request));
    Object.assign(request, { place });
    recordWait(request, place);
    return place.server === undefined ? undefined : servers.get(place.server);
  };
}
