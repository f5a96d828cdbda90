/** Attempts of one request: selects servers, sends the request and handles failures. */
import { ROUTE_KIND, type ServerEntry } from '@bulrushspar/catalogue';
import { startMonotonicStopwatch, startStopwatch, type Clock } from '@bulrushspar/clock';
import { isRefusal, errorMessage, type Refusal } from '@bulrushspar/errors';
import type { Logger } from '@bulrushspar/logging';
import { sendUntilAnswered, type Relay } from '@bulrushspar/routing';
import type { RetryBudget } from '@bulrushspar/shares';
import { EXCHANGE_FAULT, isExchangeError, EXCHANGE_PROGRESS } from '@bulrushspar/targets';
import type { AdmittedRequest } from './admit.js';
import { ANSWER_FAULT, isAnswerError, isSuccess } from './answer.js';
import {
  isRetryable,
  type AnswerHead,
  type Call,
  type ModelRequirements,
  type Reply,
  type SendCall,
  type ServerNotice,
} from './call.js';
import { selectServer, promptPartKey } from './choose.js';
import type { BegunAnswer, CrashGuard } from './crashes.js';
import type { ServerLimits } from './limits.js';
import type { ServingMetrics } from './metrics.js';
import type { ServerState, ServerStates } from './servers.js';
import {
  createTargetFailedRefusal,
  createNoAdapterRefusal,
  createNoServerRefusal,
  createServersClosedRefusal,
  createServersLimitedRefusal,
  createVersionGoneRefusal,
  createWaitRefusal,
} from './refusals.js';
import type { StreamVersions } from './streams.js';
import { WAIT_END, type ModelWaits } from './waits.js';

/** An admitted request that has not been answered yet. */
export interface ActiveRequest<SomeCall extends Call> {
  readonly call: SomeCall;
  readonly reply: Reply;
  readonly admitted: AdmittedRequest;
  readonly relay: Relay<AnswerHead>;
  /** Aborts the request; the abort reason is the refusal that the caller receives. */
  readonly signal: AbortSignal;
  elapsedMilliseconds(): number;
  remainingMilliseconds(): number;
  /** Ids of the servers that the request was sent to. */
  readonly triedServers: Set<string>;
  sendCount: number;
  /** Number of servers that may have run the request. */
  possibleRunCount: number;
  /** Software version at which the stream must go on, once it has begun. */
  requiredVersion: string | undefined;
  /** Successful answer that the server of the last attempt has begun. */
  begunAnswer: BegunAnswer | undefined;
}

/** Sends each request to servers until one of them answers it. */
export interface AttemptRunner<SomeCall extends Call> {
  /**
   * Sends a request until it is answered; rejects with the refusal that ends it.
   * @returns the server that answered
   */
  run(request: ActiveRequest<SomeCall>): Promise<ServerState>;
  /** @returns whether a request that a server has run may be run by another server */
  mayRetry(request: ActiveRequest<SomeCall>): boolean;
}

/** Options of {@link createAttemptRunner}. */
export interface AttemptRunnerOptions<SomeCall extends Call> {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: ServingMetrics;
  readonly random: () => number;
  readonly failureDomain: string;
  readonly servers: ServerStates;
  readonly waits: ModelWaits;
  readonly budget: RetryBudget;
  readonly crashGuard: CrashGuard;
  readonly limits: ServerLimits;
  readonly send: SendCall<SomeCall>;
  /** Which software version began each stream. */
  readonly streams: StreamVersions;
  /** Called with what a server tells about itself, before its answer is passed on. */
  readonly onNotice?: (server: ServerEntry, notice: ServerNotice) => void;
  /** Requests the load of an adapter. @returns whether the server holds it or will soon */
  readonly ensureAdapter: (server: string, model: string, adapter: string) => Promise<boolean>;
  /** @returns the refusal of all requests that have not run yet while this host is stopping */
  readonly getStoppingRefusal: () => Refusal | undefined;
}

/** Maximum number of sends of one request, including those rejected without running it. */
const MAX_SENDS = 5;
/** Time for which a server that was unreachable is avoided. */
const UNREACHABLE_AVOID_MILLISECONDS = 1000;
/** Time for which a server that rejected a request is avoided by the next attempt. */
const REJECTED_AVOID_MILLISECONDS = 50;
/** Time that a server needs to load an adapter after it has accepted the order. */
const ADAPTER_LOAD_MILLISECONDS = 12;
/** Delay before a request is sent again to a server when no untried one can receive it. */
const SAME_SERVER_RETRY_DELAY_MILLISECONDS = 20;
/**
 * Fraction of the remaining time after which an unanswered attempt of a retryable request is aborted,
 * so that another server can run it.
 */
const SILENCE_TIMEOUT_FRACTION = 0.4;
const MIN_SILENCE_TIMEOUT_MILLISECONDS = 250;
/**
 * Maximum number of prompt parts recorded for each server, far more than are requested within
 * their lifetime.
 */
const MAX_PROMPT_PARTS = 5000;

/** Creates the attempt runner of one host. */
export function createAttemptRunner<SomeCall extends Call>(
  options: AttemptRunnerOptions<SomeCall>,
): AttemptRunner<SomeCall> {
  const { clock, logger, metrics, random, failureDomain, servers } = options;
  const { waits, budget, crashGuard, send, streams, ensureAdapter, onNotice = () => {} } = options;
  const { getStoppingRefusal, limits } = options;

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

  const trySelectServer = (request: ActiveRequest<SomeCall>, allowTried: boolean) =>
    selectServer({
      candidates: listServers(request),
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

  /** Selects an untried server or, if there is none, one that can receive the request again. */
  const selectNextServer = async (request: ActiveRequest<SomeCall>): Promise<ServerState> => {
    const untried = trySelectServer(request, false);
    if (untried) return untried;
    const tried = trySelectServer(request, true);
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

  /** Selects a server that can receive the request now. */
  const prepareServer = async (request: ActiveRequest<SomeCall>): Promise<ServerState> => {
    const state = await selectPreparedServer(request);
    // A refused reservation shows when the server has time, so that another selection avoids it.
    return (await awaitReservation(request, state)) ? state : prepareServer(request);
  };

  const changeOutstanding = (
    state: ServerState,
    model: string | undefined,
    change: 1 | -1,
  ): void => {
    const changed = state;
    changed.outstanding += change;
    if (model === undefined) return;
    const { outstandingByModel } = changed;
    outstandingByModel.set(model, (outstandingByModel.get(model) ?? 0) + change);
  };

  const recordPromptParts = (state: ServerState, requirements: ModelRequirements): void => {
    const now = clock.monotonic();
    const { promptPartTimes } = state;
    // The last part is unique to the request, so server selection never looks it up.
    requirements.promptParts.slice(0, -1).forEach(({ id }) => {
      const key = promptPartKey(requirements, id);
      promptPartTimes.delete(key);
      promptPartTimes.set(key, now);
    });
    for (const oldest of promptPartTimes.keys()) {
      if (promptPartTimes.size <= MAX_PROMPT_PARTS) break;
      promptPartTimes.delete(oldest);
    }
  };

  /**
   * Aborts the attempt if the server sends no response head in time and another attempt is permitted;
   * the last one may answer until the deadline. @returns a function that cancels the timeout
   */
  const startSilenceTimeout = (
    request: ActiveRequest<SomeCall>,
    silenceController: AbortController,
  ): (() => void) => {
    const { route } = request.admitted;
    if (!mayRetry(request)) return () => {};
    const milliseconds = Math.max(
      MIN_SILENCE_TIMEOUT_MILLISECONDS,
      Math.min(
        route.objectiveMilliseconds * 2,
        request.remainingMilliseconds() * SILENCE_TIMEOUT_FRACTION,
      ),
    );
    return clock.after(milliseconds, () => {
      silenceController.abort(new Error('the server did not start to answer in time'));
    });
  };

  const sendOnce = async (request: ActiveRequest<SomeCall>, state: ServerState): Promise<void> => {
    const { call, admitted, relay, signal } = request;
    const { route } = admitted;
    const silenceController = new AbortController();
    const cancelSilenceTimeout = startSilenceTimeout(request, silenceController);
    const sink = relay.openSink();
    const sinceSent = startMonotonicStopwatch(clock);
    Object.assign(request, { begunAnswer: undefined });
    changeOutstanding(state, call.requirements?.model, 1);
    if (call.requirements) recordPromptParts(state, call.requirements);
    try {
      await send(
        call,
        {
          server: state.entry,
          remainingMilliseconds: request.remainingMilliseconds(),
          workspace: admitted.workspace?.name,
          priority: admitted.priority,
          lastEventId: relay.lastEventId(),
          requiresNewConnection: !isRetryable(route),
        },
        {
          onHead: (head, flow) => {
            cancelSilenceTimeout();
            crashGuard.recordAnswer(state.entry, head, sinceSent);
            if (isSuccess(head.status)) {
              const sinceBegun = startMonotonicStopwatch(clock);
              Object.assign(request, { begunAnswer: { framed: head.framed, sinceBegun } });
            }
            recordLoad(state, head);
            if (!head.misdirected && !head.namesLimit)
              limits.recordUnlimited(state.entry, sinceSent);
            if (head.notice) onNotice(state.entry, head.notice);
            sink.onHead(head, flow);
          },
          onData: (chunk) => {
            sink.onData(chunk);
            recordBegun(request, state);
          },
        },
        AbortSignal.any([signal, silenceController.signal]),
      );
      relay.finish();
    } finally {
      cancelSilenceTimeout();
      changeOutstanding(state, call.requirements?.model, -1);
    }
  };

  /** Binds a stream that may be taken up again to the version of the server that began it. */
  const recordBegun = (request: ActiveRequest<SomeCall>, { entry }: ServerState): void => {
    const { softwareVersion, service } = entry;
    const { route } = request.admitted;
    const isResumable = route.kind === ROUTE_KIND.STREAM && route.resumable;
    if (!isResumable || request.requiredVersion !== undefined || !request.reply.hasBegun()) return;
    if (softwareVersion === undefined) return;
    Object.assign(request, { requiredVersion: softwareVersion });
    streams.recordBegun({ attempt: request.call.id, service, softwareVersion });
  };

  const recordLoad = (state: ServerState, { load }: AnswerHead): void => {
    const changed = state;
    if (load) changed.reportedLoad = { ...load, at: clock.monotonic() };
  };

  const mayRetry = ({
    admitted: { route },
    possibleRunCount,
    sendCount,
  }: ActiveRequest<SomeCall>): boolean =>
    isRetryable(route) && possibleRunCount + 1 < route.attempts && sendCount < MAX_SENDS;

  /** Throws the refusal that ends the request after a failed attempt; returns to allow a retry. */
  const handleFailure = (
    request: ActiveRequest<SomeCall>,
    state: ServerState,
    error: unknown,
  ): void => {
    const { call, signal, reply } = request;
    if (signal.aborted) throw signal.reason;
    if (isRefusal(error)) throw error;
    const { requirements } = call;
    const rejected = isAnswerError(error) && error.answerFault === ANSWER_FAULT.NOT_RUN;
    const notSent = isExchangeError(error) && error.progress === EXCHANGE_PROGRESS.NOT_SENT;
    const status = isAnswerError(error) ? error.status : undefined;
    logger.info('attempt failed', {
      request: call.id,
      server: state.entry.id,
      model: requirements?.model,
      status,
      notRun: rejected || notSent,
      why: errorMessage(error),
    });
    if (rejected || notSent) {
      if (notSent) crashGuard.recordUnreachable(state.entry);
      servers.avoid(state, notSent ? UNREACHABLE_AVOID_MILLISECONDS : REJECTED_AVOID_MILLISECONDS);
      if (requirements?.adapter !== undefined)
        state.adapterLoadTimes.delete(`${requirements.model}/${requirements.adapter}`);
      return;
    }
    servers.recordOutcome(state, true);
    const connectionLost = isExchangeError(error) && error.fault === EXCHANGE_FAULT.CUT;
    const incomplete = status !== undefined && isSuccess(status);
    if (connectionLost || incomplete) crashGuard.recordLoss(request, state.entry);
    const isFinal = !mayRetry(request);
    Object.assign(request, { possibleRunCount: request.possibleRunCount + 1 });
    if (isFinal) throw createTargetFailedRefusal(error);
    if (reply.hasBegun() && request.relay.lastEventId() === undefined)
      throw createTargetFailedRefusal(error);
  };

  const chargeRetryBudget = (request: ActiveRequest<SomeCall>, lastError: unknown): void => {
    const { service } = request.admitted;
    if (request.sendCount === 0) {
      budget.recordRequest(service);
      return;
    }
    if (request.sendCount < MAX_SENDS && budget.takeRetry(service)) {
      metrics.retries.add();
      return;
    }
    throw request.possibleRunCount > 0
      ? createTargetFailedRefusal(lastError)
      : createNoServerRefusal(request.admitted.service);
  };

  /**
   * Selects and prepares a server for the next attempt. Once an earlier attempt may have run the
   * request, a refusal must not claim that it has not run.
   */
  const prepareNextServer = async (
    request: ActiveRequest<SomeCall>,
    lastError: unknown,
  ): Promise<ServerState> => {
    try {
      // A request that waits or was lost may be blocked by crashes that came after its admission.
      const wasLost = request.possibleRunCount > 0;
      if (wasLost) crashGuard.check(request, wasLost);
      const state = await prepareServer(request);
      // A first run that begins now might not end before this host does; another host can begin it.
      const stopping = request.possibleRunCount === 0 ? getStoppingRefusal() : undefined;
      if (stopping) throw stopping;
      crashGuard.check(request, wasLost);
      chargeRetryBudget(request, lastError);
      return state;
    } catch (error) {
      throw request.possibleRunCount > 0 && isRefusal(error)
        ? createTargetFailedRefusal(lastError)
        : error;
    }
  };

  const run = (request: ActiveRequest<SomeCall>): Promise<ServerState> =>
    sendUntilAnswered<ServerState, ServerState>({
      selectDestination: async (lastError) => {
        const state = await prepareNextServer(request, lastError);
        Object.assign(request, { sendCount: request.sendCount + 1 });
        request.triedServers.add(state.entry.id);
        return state;
      },
      send: async (state) => {
        await sendOnce(request, state);
        servers.recordOutcome(state, false);
        return state;
      },
      handleFailure: (state, error) => handleFailure(request, state, error),
    });

  return { run, mayRetry };
}
