/** Attempts of one request: sends it to servers and handles failures. */
import type { Place } from '@bulrushspar/admission';
import { ROUTE_KIND, type ServerEntry } from '@bulrushspar/catalogue';
import { startMonotonicStopwatch, type Stopwatch } from '@bulrushspar/clock';
import { isRefusal, errorMessage, type Refusal } from '@bulrushspar/errors';
import { sendUntilAnswered, type Relay } from '@bulrushspar/routing';
import type { RetryBudget } from '@bulrushspar/shares';
import { EXCHANGE_FAULT, isExchangeError, EXCHANGE_PROGRESS } from '@bulrushspar/targets';
import type { AdmittedRequest } from './admit.js';
import { ANSWER_FAULT, isAnswerError, isAnswerTo, isServerError, isSuccess } from './answer.js';
import {
  isRetryable,
  type AnswerHead,
  type Attempt,
  type Call,
  type ModelRequirements,
  type Reply,
  type SendCall,
  type ServerNotice,
} from './call.js';
import { promptPartKey } from './choose.js';
import type { BegunAnswer, CrashGuard } from './crashes.js';
import { createServerPreparation, type ServerPreparationOptions } from './prepare.js';
import { createRestRequester } from './rest.js';
import type { ServerState } from './servers.js';
import { createTargetFailedRefusal, createNoServerRefusal } from './refusals.js';

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
  /** Place at the server of the last attempt, if requests take places. */
  place?: Place | undefined;
  /** Ends the run of the last attempt for the crash guard. */
  endRun?: (() => void) | undefined;
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
export interface AttemptRunnerOptions<SomeCall extends Call> extends ServerPreparationOptions {
  readonly budget: RetryBudget;
  readonly crashGuard: CrashGuard;
  readonly send: SendCall<SomeCall>;
  /** Called with what a server tells about itself, before its answer is passed on. */
  readonly onNotice?: (server: ServerEntry, notice: ServerNotice) => void;
  /** @returns the refusal of all requests that have not run yet while this host is stopping */
  readonly getStoppingRefusal: () => Refusal | undefined;
}

/** Maximum number of sends of one request, including those rejected without running it. */
const MAX_SENDS = 5;
/** Maximum number of selections for one attempt; each further one follows a server that left during a wait. */
const MAX_SELECTIONS = 5;
/** Time for which a server that was unreachable is avoided. */
const UNREACHABLE_AVOID_MILLISECONDS = 1000;
/** Time for which a server that rejected a request is avoided by the next attempt. */
const REJECTED_AVOID_MILLISECONDS = 50;
/** Time for which a brittle server that has rejected a request gets none from this host. */
const BRITTLE_CLOSED_MILLISECONDS = 1000;
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
  const { clock, logger, metrics, servers, limits, budget, crashGuard, send, streams } = options;
  const { getStoppingRefusal, onNotice = () => {}, balancing } = options;
  const preparation = createServerPreparation<SomeCall>(options);
  const requestRest = createRestRequester({ clock, logger, send, budget });

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
    const balanced = balancing?.recordSend(state, call);
    let hasSucceeded = false;
    let hasFailed = false;
    const attempt: Attempt = {
      server: state.entry,
      remainingMilliseconds: request.remainingMilliseconds(),
      workspace: admitted.workspace?.name,
      priority: admitted.priority,
      lastEventId: relay.lastEventId(),
      // An earlier answer to this request could come on a connection that has served it.
      requiresNewConnection: !isRetryable(route) || request.sendCount > 1,
      maySend: () => preparation.mayReceive(request, state),
    };
    changeOutstanding(state, call.requirements?.model, 1);
    if (call.requirements) recordPromptParts(state, call.requirements);
    try {
      await send(
        call,
        attempt,
        {
          onHead: (head, flow) => {
            cancelSilenceTimeout();
            if (isAnswerTo(head, call.id)) {
              recordHead(request, state, head, sinceSent);
              balanced?.recordHead(head.load, head.notRun && !head.misdirected);
              hasSucceeded = isSuccess(head.status);
              hasFailed = isServerError(head.status);
            }
            sink.onHead(head, flow);
          },
          onData: (chunk) => {
            if (hasSucceeded) balanced?.recordFirstEvent();
            sink.onData(chunk);
            recordBegun(request, state);
          },
        },
        AbortSignal.any([signal, silenceController.signal]),
      );
      await requestRest(request, attempt);
      relay.finish();
      if (hasFailed) crashGuard.recordServerError(request, state.entry);
      if (hasSucceeded) balanced?.recordEnd(true);
    } finally {
      cancelSilenceTimeout();
      changeOutstanding(state, call.requirements?.model, -1);
      balanced?.recordEnd(false);
      request.place?.release(request.begunAnswer !== undefined);
      endRun(request);
    }
  };

  const endRun = (request: ActiveRequest<SomeCall>): void => {
    request.endRun?.();
    Object.assign(request, { endRun: undefined });
  };

  /** Records what the head of an answer to a request tells about its server. */
  const recordHead = (
    request: ActiveRequest<SomeCall>,
    state: ServerState,
    head: AnswerHead,
    sinceSent: Stopwatch,
  ): void => {
    const { entry } = state;
    const { notRun, misdirected, framed, namesLimit, notice } = head;
    crashGuard.recordAnswer(entry, head, sinceSent);
    if (isSuccess(head.status)) {
      const sinceBegun = startMonotonicStopwatch(clock);
      Object.assign(request, { begunAnswer: { framed, sinceBegun } });
    }
    recordLoad(state, head);
    if (!misdirected) Object.assign(state, { isBrittle: head.isBrittle === true });
    if (!notRun && !misdirected) {
      limits.recordAnswer(entry, notice?.coldMilliseconds, sinceSent);
      if (!namesLimit) limits.recordUnlimited(entry, sinceSent);
    }
    if (notice) onNotice(entry, notice);
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
    const rejected = isAnswerError(error) && error.answerFault === ANSWER_FAULT.NOT_RUN;
    const notSent = isExchangeError(error) && error.progress === EXCHANGE_PROGRESS.NOT_SENT;
    if (!rejected && !notSent && !isRefusal(error))
      crashGuard.recordFailure(request, state.entry, error);
    if (signal.aborted) throw signal.reason;
    if (isRefusal(error)) throw error;
    const { requirements } = call;
    const status = isAnswerError(error) ? error.status : undefined;
    logger.info('attempt failed', {
      request: call.id,
      server: state.entry.id,
      model: requirements?.model,
      status,
      notRun: rejected || notSent,
      why: errorMessage(error),
    });
    if (isExchangeError(error) && error.fault === EXCHANGE_FAULT.WITHDRAWN) return;
    const connectionLost = isExchangeError(error) && error.fault === EXCHANGE_FAULT.CUT;
    if (notSent || connectionLost) limits.recordUnreachable(state.entry);
    if (rejected || notSent) {
      if (rejected && state.isBrittle) servers.close(state.entry.id, BRITTLE_CLOSED_MILLISECONDS);
      if (notSent) crashGuard.recordUnreachable(state.entry);
      servers.avoid(state, notSent ? UNREACHABLE_AVOID_MILLISECONDS : REJECTED_AVOID_MILLISECONDS);
      if (requirements?.adapter !== undefined)
        state.adapterLoadTimes.delete(`${requirements.model}/${requirements.adapter}`);
      return;
    }
    servers.recordOutcome(state, true);
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

  /** Prepares a server and begins a run there, until one may receive the request after all waits. */
  const prepareRun = async (
    request: ActiveRequest<SomeCall>,
    wasLost: boolean,
  ): Promise<ServerState> => {
    for (let count = 0; count < MAX_SELECTIONS; count += 1) {
      /* eslint-disable no-await-in-loop -- the selections run in sequence */
      const state = await preparation.prepare(request);
      // A first run that begins now might not end before this host does; another host can begin it.
      const stopping = request.possibleRunCount === 0 ? getStoppingRefusal() : undefined;
      if (stopping) throw stopping;
      Object.assign(request, { endRun: await crashGuard.beginRun(request, wasLost) });
      /* eslint-enable no-await-in-loop */
      if (preparation.mayReceive(request, state)) return state;
      endRun(request);
      logger.info('selected server may not receive the request any more', {
        request: request.call.id,
        server: state.entry.id,
        isLeaving: state.entry.leaving,
      });
    }
    throw createNoServerRefusal(request.admitted.service);
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
      const state = await prepareRun(request, wasLost);
      chargeRetryBudget(request, lastError);
      return state;
    } catch (error) {
      request.place?.release(false);
      endRun(request);
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
