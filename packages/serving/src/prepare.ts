/** Selects the server of the next attempt of a request, and waits until it can receive the request. */
import type { AdmissionQueue } from '@bulrushspar/admission';
import { startStopwatch, type Clock } from '@bulrushspar/clock';
import type { Refusal } from '@bulrushspar/errors';
import type { Logger } from '@bulrushspar/logging';
import type { ActiveRequest } from './attempts.js';
import type { Call, ModelRequirements } from './call.js';
import { selectServer } from './choose.js';
import type { ServerLimits } from './limits.js';
import type { ServingMetrics } from './metrics.js';
import { createPlaceTaker } from './places.js';
import {
  createNoAdapterRefusal,
  createNoServerRefusal,
  createServersClosedRefusal,
  createServersLimitedRefusal,
  createVersionGoneRefusal,
  createWaitRefusal,
} from './refusals.js';
import type { ServerState, ServerStates } from './servers.js';
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
  /** Orders the requests that wait for full servers; absent if each is sent at once. */
  readonly places?: AdmissionQueue | undefined;
  /** Requests the load of an adapter. @returns whether the server holds it or will soon */
  readonly ensureAdapter: (server: string, model: string, adapter: string) => Promise<boolean>;
}

/** Resolves to a server that can receive the request now; rejects with the refusal that ends it. */
export type PrepareServer<SomeCall extends Call> = (
  request: ActiveRequest<SomeCall>,
) => Promise<ServerState>;

/** Time that a server needs to load an adapter after it has accepted the order. */
const ADAPTER_LOAD_MILLISECONDS = 12;
/** Delay before a request is sent again to a server when no untried one can receive it. */
const SAME_SERVER_RETRY_DELAY_MILLISECONDS = 20;

/** Creates the function that prepares the servers of one host's attempts. */
export function createServerPreparation<SomeCall extends Call>(
  options: ServerPreparationOptions,
): PrepareServer<SomeCall> {
  const { clock, logger, metrics, random, failureDomain, servers } = options;
  const { waits, limits, ensureAdapter } = options;

  /**
   * Returns the longest time that a request waits for the limit of a server: it must leave time to be
   * served, and requests that come later must not all wait until they are late.
   */
  const getMaxLimitMilliseconds = ({ admitted, remainingMilliseconds }: ActiveRequest<SomeCall>) =>
    Math.min(remainingMilliseconds() / 2, admitted.route.objectiveMilliseconds);

  const isLimited = ({ entry }: ServerState): boolean =>
    entry.leaving || limits.limitOf(entry.id) !== undefined;

  /** Servers of the request's service; for a stream that has begun only those of its version. */
  const listServers = ({
    admitted,
    requiredVersion,
  }: ActiveRequest<SomeCall>): readonly ServerState[] => {
    const all = servers.ofService(admitted.service);
    if (requiredVersion === undefined) return all;
    return all.filter(({ entry }) => entry.softwareVersion === requiredVersion);
  };

  const trySelectServer = (
    request: ActiveRequest<SomeCall>,
    allowTried: boolean,
    isAllowed: (server: string) => boolean = () => true,
  ) =>
    selectServer({
      candidates: listServers(request).filter(({ entry }) => isAllowed(entry.id)),
      requirements: request.call.requirements,
      failureDomain,
      excluded: allowTried ? new Set() : request.triedServers,
      now: clock.monotonic(),
      maxLimitMilliseconds: getMaxLimitMilliseconds(request),
      limitOf: limits.limitOf,
      millisecondsUntilFree: limits.millisecondsUntilFree,
      canServeModel: servers.canServeModel,
      hasAdapter: servers.hasAdapter,
      random,
    });

  /**
   * Returns the time until the first of the servers that could run the request has time for another one
   * by its limit; undefined if none of them is limited.
   */
  const limitedMilliseconds = (request: ActiveRequest<SomeCall>): number | undefined => {
    const { requirements } = request.call;
    const remaining = listServers(request)
      .filter(
        (state) =>
          servers.closedMilliseconds(state.entry.id) === 0 &&
          limits.limitOf(state.entry.id) !== undefined &&
          (requirements ? servers.canServeModel(state, requirements.model) : !state.entry.leaving),
      )
      .map(({ entry }) => limits.millisecondsUntilFree(entry.id));
    return remaining.length > 0 ? Math.min(...remaining) : undefined;
  };

  /** Waits until a server holds the request's model and has time for the request by its limit. */
  const awaitModel = async (
    request: ActiveRequest<SomeCall>,
    { model }: ModelRequirements,
  ): Promise<void> => {
    const { admitted, signal } = request;
    const holders = listServers(request).filter((state) => servers.canServeModel(state, model));
    const maxMilliseconds = getMaxLimitMilliseconds(request);
    if (holders.some(({ entry }) => limits.millisecondsUntilFree(entry.id) <= maxMilliseconds))
      return;
    // Only a server without a limit gets another replica.
    if (holders.length > 0 && servers.ofService(admitted.service).every(isLimited))
      throw createServersLimitedRefusal(admitted.service, limitedMilliseconds(request) ?? 0);
    // Loads are not planned by version, so that a wait might never end.
    if (request.requiredVersion !== undefined) {
      const limited = limitedMilliseconds(request);
      throw limited === undefined
        ? createVersionGoneRefusal(request.requiredVersion)
        : createServersLimitedRefusal(admitted.service, limited);
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

  /**
   * Returns the time until the first of the servers that could run the request accepts it again;
   * undefined if none of them is closed to this host.
   */
  const closedMilliseconds = (request: ActiveRequest<SomeCall>): number | undefined => {
    const { requirements } = request.call;
    const remaining = listServers(request)
      .filter((state) =>
        requirements ? servers.canServeModel(state, requirements.model) : !state.entry.leaving,
      )
      .map(({ entry }) => servers.closedMilliseconds(entry.id));
    const earliest = Math.min(...remaining);
    return remaining.length > 0 && earliest > 0 ? earliest : undefined;
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
    if (!tried) {
      const { service } = request.admitted;
      const limited = limitedMilliseconds(request);
      if (limited !== undefined) throw createServersLimitedRefusal(service, limited);
      const closed = closedMilliseconds(request);
      throw closed === undefined
        ? createNoServerRefusal(service)
        : createServersClosedRefusal(service, closed);
    }
    await clock.delay(SAME_SERVER_RETRY_DELAY_MILLISECONDS);
    // The server may have closed to this host meanwhile.
    return servers.closedMilliseconds(tried.entry.id) > 0 ? selectNextServer(request) : tried;
  };

  const selectPreparedServer = async (request: ActiveRequest<SomeCall>): Promise<ServerState> => {
    const { requirements } = request.call;
    if (requirements) await awaitModel(request, requirements);
    const state = await selectNextServer(request);
    if (requirements && !(await prepareAdapter(state, requirements))) {
      // A server that is loading a model rejects adapter orders; another server may accept one.
      request.triedServers.add(state.entry.id);
      const other = trySelectServer(request, false);
      if (!other || !(await prepareAdapter(other, requirements)))
        throw createNoAdapterRefusal(requirements);
      return other;
    }
    if (request.signal.aborted) throw request.signal.reason as Refusal;
    return state;
  };

  const waitUnlessAborted = (milliseconds: number, signal: AbortSignal): Promise<void> =>
    new Promise((resolve) => {
      const cancel = clock.after(milliseconds, resolve);
      const end = (): void => {
        cancel();
        resolve();
      };
      signal.addEventListener('abort', end, { once: true });
    });

  /** Waits for the reservation of a request to a server. @returns false if the wait would be too long */
  const awaitReservation = async (
    request: ActiveRequest<SomeCall>,
    state: ServerState,
  ): Promise<boolean> => {
    const { entry } = state;
    if (limits.limitOf(entry.id) === undefined) return true;
    const sinceStart = startStopwatch(clock);
    const maxMilliseconds = getMaxLimitMilliseconds(request);
    const { isGranted, delayMilliseconds } = await limits.reserve(entry, maxMilliseconds);
    if (isGranted && delayMilliseconds > 0)
      await waitUnlessAborted(delayMilliseconds, request.signal);
    metrics.limitWait.record(sinceStart());
    if (request.signal.aborted) throw request.signal.reason as Refusal;
    return isGranted && servers.closedMilliseconds(entry.id) === 0;
  };

  const prepareServer = async (request: ActiveRequest<SomeCall>): Promise<ServerState> => {
    const state = await selectPreparedServer(request);
    // A refused reservation shows when the server has time, so that another selection avoids it.
    return (await awaitReservation(request, state)) ? state : prepareServer(request);
  };

  return prepareServer;
}
