/** Selects the server of the next attempt of a request, and waits until it can receive the request. */
import type { AdmissionQueue } from '@bulrushspar/admission';
import { acceptsRequests, ROUTE_KIND, type ServerEntry } from '@bulrushspar/catalogue';
import { startStopwatch, type Clock } from '@bulrushspar/clock';
import type { Refusal } from '@bulrushspar/errors';
import type { Logger } from '@bulrushspar/logging';
import type { ActiveRequest } from './attempts.js';
import type { Balancing } from './balance.js';
import type { Call, ModelRequirements } from './call.js';
import { selectServer } from './choose.js';
import { countPromptTokens } from './prompts.js';
import type { ServerLimits } from './limits.js';
import type { ServingMetrics } from './metrics.js';
import { createPlaceTaker } from './places.js';
import {
  createNoAdapterRefusal,
  createServersLimitedRefusal,
  createTooManyTokensRefusal,
  createVersionGoneRefusal,
  createWaitRefusal,
} from './refusals.js';
import { createReservationWait } from './reserve.js';
import type { ServerState, ServerStates } from './servers.js';
import type { StreamVersions } from './streams.js';
import { createUnavailability } from './unavailable.js';
import { WAIT_END, type ModelWaits } from './waits.js';

/** Options of {@link createServerPreparation}. */
export interface ServerPreparationOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: ServingMetrics;
  readonly random: () => number;
  readonly failureDomain: string;
  readonly servers: ServerStates;
  readonly waits: ModelWaits;
  readonly limits: ServerLimits;
  /** Which software version began each stream. */
  readonly streams: StreamVersions;
  /** @returns whether nothing may be sent to a server, also if it is not listed any more */
  readonly isEvacuated?: (server: ServerEntry) => boolean;
  /** Orders the requests that wait for full servers; absent if each is sent at once. */
  readonly places?: AdmissionQueue | undefined;
  /** Requests the load of an adapter. @returns whether the server holds it or will soon */
  readonly ensureAdapter: (server: string, model: string, adapter: string) => Promise<boolean>;
  /** Present if hosts share the capacity of the servers. */
  readonly balancing?: Balancing | undefined;
  /** @returns the tokens that a server of a service holds; undefined if it is not known */
  readonly cacheTokensOf?: (service: string) => number | undefined;
}

/** Prepares the servers of one host's attempts. */
export interface ServerPreparation<SomeCall extends Call> {
  /** Resolves to a server that can receive the request; rejects with the refusal that ends it. */
  prepare(request: ActiveRequest<SomeCall>): Promise<ServerState>;
  /**
   * Whether a server that was prepared may receive the request now: the waits since its selection can last
   * for seconds, and it may have left, closed to this host, or have been ordered to unload the model
   * meanwhile.
   */
  mayReceive(request: ActiveRequest<SomeCall>, state: ServerState): boolean;
}

/** Time that a server needs to load an adapter after it has accepted the order. */
const ADAPTER_LOAD_MILLISECONDS = 12;
/** Delay before a request is sent again to a server when no untried one can receive it. */
const SAME_SERVER_RETRY_DELAY_MILLISECONDS = 20;

/** Creates the preparation of one host. */
export function createServerPreparation<SomeCall extends Call>(
  options: ServerPreparationOptions,
): ServerPreparation<SomeCall> {
  const { clock, logger, metrics, random, failureDomain, servers } = options;
  const { waits, limits, streams, ensureAdapter } = options;
  const { balancing, cacheTokensOf = () => undefined } = options;
  const { isEvacuated = ({ evacuated }) => evacuated === true } = options;

  /**
   * Returns the longest time that a request waits for the limit of a server: it must leave time to be
   * served, and requests that come later must not all wait until they are late.
   */
  const getMaxLimitMilliseconds = ({ admitted, remainingMilliseconds }: ActiveRequest<SomeCall>) =>
    Math.min(remainingMilliseconds() / 2, admitted.route.objectiveMilliseconds);

  const isLimited = ({ entry }: ServerState): boolean =>
    !acceptsRequests(entry) || limits.isNamed(entry.id);

  /** Servers of the request's service; for a stream that has begun only those of its version. */
  const listServers = ({
    admitted,
    requiredVersion,
  }: ActiveRequest<SomeCall>): readonly ServerState[] => {
    const all = servers.ofService(admitted.service);
    if (requiredVersion === undefined) return all;
    return all.filter(({ entry }) => entry.softwareVersion === requiredVersion);
  };

  const unavailability = createUnavailability<SomeCall>({
    servers,
    limits,
    listServers,
    isEvacuated,
  });

  /** Whether the request may begin a stream that its caller can take up again at another host. */
  const beginsStream = ({
    admitted: { route },
    requiredVersion,
  }: ActiveRequest<SomeCall>): boolean =>
    route.kind === ROUTE_KIND.STREAM && route.resumable && requiredVersion === undefined;

  const trySelectServer = (
    request: ActiveRequest<SomeCall>,
    allowTried: boolean,
    isAllowed?: (server: string) => boolean,
  ) => {
    const listed = listServers(request);
    const candidates = isAllowed ? listed.filter(({ entry }) => isAllowed(entry.id)) : listed;
    if (!beginsStream(request)) return selectFrom(candidates, request, allowTried);
    const settled = candidates.filter(({ entry }) => streams.mayBegin(entry));
    return (
      selectFrom(settled, request, allowTried) ??
      (settled.length < candidates.length ? selectFrom(candidates, request, allowTried) : undefined)
    );
  };

  const selectFrom = (
    candidates: readonly ServerState[],
    request: ActiveRequest<SomeCall>,
    allowTried: boolean,
  ) => {
    const maxLimitMilliseconds = getMaxLimitMilliseconds(request);
    return selectServer({
      candidates,
      requirements: request.call.requirements,
      failureDomain,
      excluded: allowTried ? new Set() : request.triedServers,
      now: clock.monotonic(),
      maxLimitMilliseconds,
      limitOf: limits.limitOf,
      isCold: (id) => !limits.isNamed(id),
      millisecondsUntilFree: (id) =>
        limits.isFreeWithin(id, maxLimitMilliseconds) ? limits.millisecondsUntilFree(id) : Infinity,
      canServeModel: servers.canServeModel,
      hasAdapter: servers.hasAdapter,
      random,
      balancing,
      call: request.call,
      cacheTokens: cacheTokensOf(request.admitted.service),
    });
  };

  /** Throws the refusal of a request whose prompt exceeds the memory of every server. */
  const checkSize = ({ call, admitted: { service } }: ActiveRequest<SomeCall>): void => {
    const cacheTokens = balancing && cacheTokensOf(service);
    if (cacheTokens === undefined) return;
    const tokens = countPromptTokens(call);
    if (tokens < cacheTokens) return;
    logger.info('prompt exceeds the memory of every server', { service, tokens, cacheTokens });
    throw createTooManyTokensRefusal(service, tokens, cacheTokens);
  };

  /** Waits until a server holds the request's model and has time for the request by its limit. */
  const awaitModel = async (
    request: ActiveRequest<SomeCall>,
    { model }: ModelRequirements,
  ): Promise<void> => {
    const { admitted, signal } = request;
    unavailability.requireServerInUse(request);
    const holders = listServers(request).filter((state) => servers.canServeModel(state, model));
    const maxMilliseconds = getMaxLimitMilliseconds(request);
    if (holders.some(({ entry }) => limits.isFreeWithin(entry.id, maxMilliseconds))) return;
    // Only a server without a named limit gets another replica, and none is loaded for a cold one.
    const isHeldByCold = holders.some((holder) => !isLimited(holder));
    if (
      holders.length > 0 &&
      (isHeldByCold || servers.ofService(admitted.service).every(isLimited))
    )
      throw createServersLimitedRefusal(
        admitted.service,
        unavailability.limitedMilliseconds(request) ?? 0,
      );
    // Loads are not planned by version, so that a wait might never end.
    if (request.requiredVersion !== undefined) {
      const limited = unavailability.limitedMilliseconds(request);
      if (limited !== undefined) throw createServersLimitedRefusal(admitted.service, limited);
      const { listed } = streams.describeVersions(admitted.service);
      logger.info('version of a stream is gone', {
        request: request.call.id,
        service: admitted.service,
        began: request.requiredVersion,
        listed,
      });
      throw createVersionGoneRefusal(request.requiredVersion, listed);
    }
    const sinceStart = startStopwatch(clock);
    const { route } = admitted;
    const elapsed = request.elapsedMilliseconds();
    const result = await waits.wait({
      model,
      credit: 1,
      objectiveMilliseconds: route.objectiveMilliseconds - elapsed,
      remainingMilliseconds: Math.min(
        request.remainingMilliseconds(),
        route.callerTimeoutMilliseconds - elapsed,
      ),
      signal,
    });
    metrics.coldStart.record(sinceStart());
    logger.info('wait for model', {
      request: request.call.id,
      model,
      outcome: result.end,
      readyMilliseconds: result.readyMilliseconds,
      milliseconds: Math.round(sinceStart()),
    });
    // The signal also ends the wait at the deadline of the request.
    if (signal.aborted) throw signal.reason as Refusal;
    if (result.end !== WAIT_END.READY) throw createWaitRefusal(result, model);
  };

  /** @returns whether the server has the request's adapter now */
  const prepareAdapter = async (
    state: ServerState,
    requirements: ModelRequirements,
  ): Promise<boolean> => {
    const { model, adapter } = requirements;
    if (adapter === undefined || servers.hasAdapter(state, model, adapter)) return true;
    if (!(await ensureAdapter(state.entry.id, model, adapter))) return false;
    await clock.delay(ADAPTER_LOAD_MILLISECONDS);
    state.adapterLoadTimes.set(`${model}/${adapter}`, clock.monotonic());
    return true;
  };

  const takePlace =
    options.places &&
    createPlaceTaker<SomeCall>({
      ...options,
      queue: options.places,
      listServers,
      getMaxLimitMilliseconds,
      select: (request, isAllowed) =>
        trySelectServer(request, false, isAllowed) ?? trySelectServer(request, true, isAllowed),
    });

  /** Selects an untried server or, if there is none, one that can receive the request again. */
  const selectNextServer = async (request: ActiveRequest<SomeCall>): Promise<ServerState> => {
    const placed = await takePlace?.(request);
    const { requirements } = request.call;
    // The last server with the model may have unloaded it while the request waited for a place.
    if (takePlace && !placed && requirements) await awaitModel(request, requirements);
    if (placed && !request.triedServers.has(placed.entry.id)) return placed;
    const untried = placed ? undefined : trySelectServer(request, false);
    if (untried) return untried;
    const tried = placed ?? trySelectServer(request, true);
    if (!tried) throw unavailability.createRefusal(request);
    await clock.delay(SAME_SERVER_RETRY_DELAY_MILLISECONDS);
    // The server may have closed to this host meanwhile.
    return servers.closedMilliseconds(tried.entry.id) > 0 ? selectNextServer(request) : tried;
  };

  /** Selects another server that has the request's adapter, or accepts the order to load it. */
  const selectServerForAdapter = async (
    request: ActiveRequest<SomeCall>,
    requirements: ModelRequirements,
  ): Promise<ServerState> => {
    const other = trySelectServer(request, false);
    if (!other) throw createNoAdapterRefusal(requirements);
    if (await prepareAdapter(other, requirements)) return other;
    // Cold loads of many seconds keep several servers from loading adapters.
    if (!balancing) throw createNoAdapterRefusal(requirements);
    if (request.signal.aborted) throw request.signal.reason as Refusal;
    request.triedServers.add(other.entry.id);
    return selectServerForAdapter(request, requirements);
  };

  const selectPreparedServer = async (request: ActiveRequest<SomeCall>): Promise<ServerState> => {
    const { requirements } = request.call;
    checkSize(request);
    if (requirements) await awaitModel(request, requirements);
    const state = await selectNextServer(request);
    if (requirements && !(await prepareAdapter(state, requirements))) {
      // A server that is loading a model rejects adapter orders; another server may accept one.
      request.triedServers.add(state.entry.id);
      return selectServerForAdapter(request, requirements);
    }
    if (request.signal.aborted) throw request.signal.reason as Refusal;
    return state;
  };

  const awaitReservation = createReservationWait<SomeCall>({
    ...options,
    getMaxLimitMilliseconds,
  });

  const prepareServer = async (request: ActiveRequest<SomeCall>): Promise<ServerState> => {
    const state = await selectPreparedServer(request);
    const isReserved = await awaitReservation(request, state);
    // A refused reservation shows when the server has time, so that another selection avoids it.
    return isReserved ? state : prepareServer(request);
  };

  return {
    prepare: prepareServer,
    mayReceive: ({ call: { requirements } }, state) => {
      const { entry } = state;
      // A state that is not current is that of a process that is gone from the list.
      if (servers.get(entry.id) !== state || isEvacuated(entry)) return false;
      if (servers.closedMilliseconds(entry.id) > 0) return false;
      return requirements
        ? servers.canServeModel(state, requirements.model)
        : acceptsRequests(entry);
    },
  };
}
