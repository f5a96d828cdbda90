/** The attempts of one request: choosing servers, sending, judging what went wrong. */
import { startStopwatch, type Clock, type Stopwatch } from '@bulrushspar/clock';
import { isRefusal, messageOf, type Refusal } from '@bulrushspar/errors';
import type { Logger } from '@bulrushspar/logging';
import { sendUntilAnswered, type Relay, type Suspects } from '@bulrushspar/routing';
import type { RetryBudget } from '@bulrushspar/shares';
import { EXCHANGE_FAULT, isExchangeError, PROGRESS } from '@bulrushspar/targets';
import type { Admitted } from './admit.js';
import { ANSWER_FAULT, isAnswerError } from './answer.js';
import {
  isRepeatable,
  type AnswerHead,
  type Call,
  type ModelNeed,
  type Reply,
  type SendCall,
} from './call.js';
import { chooseHolder, partKey } from './choose.js';
import type { ServingMetrics } from './metrics.js';
import type { ServerState, ServerStates } from './servers.js';
import { failedAfterSending, noAdapter, noServer, refuseWait } from './refusals.js';
import { WAIT_END, type ModelWaits } from './waits.js';

/** A request on its way. */
export interface Work<SomeCall extends Call> {
  readonly call: SomeCall;
  readonly reply: Reply;
  readonly admitted: Admitted;
  readonly relay: Relay<AnswerHead>;
  /** Ends all work for the request; its reason is a refusal. */
  readonly signal: AbortSignal;
  ageMilliseconds(): number;
  remainingMilliseconds(): number;
  /** Servers that the request was sent to. */
  readonly tried: Set<string>;
  sends: number;
  /** Servers that may have run the request. */
  runs: number;
}

/** Sends requests to servers until they are answered. */
export interface Attempts<SomeCall extends Call> {
  /**
   * Rejects with the refusal that ends the request.
   * @returns the server that answered
   */
  run(work: Work<SomeCall>): Promise<ServerState>;
  /** Tells whether a request that a server has run may run at another one. */
  mayRunAgain(work: Work<SomeCall>): boolean;
}

/** Options of {@link createAttempts}. */
export interface AttemptsOptions<SomeCall extends Call> {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: ServingMetrics;
  readonly random: () => number;
  readonly failureDomain: string;
  readonly servers: ServerStates;
  readonly waits: ModelWaits;
  readonly budget: RetryBudget;
  readonly suspects: Suspects;
  readonly send: SendCall<SomeCall>;
  /** Has an adapter loaded. @returns whether the server has it now */
  readonly ensureAdapter: (server: string, model: string, adapter: string) => Promise<boolean>;
}

/** Servers that a request is sent to at most, those included that did not run it. */
const MOST_SENDS = 5;
/** Time for which a server that could not be reached is avoided. */
const UNREACHABLE_MILLISECONDS = 1000;
/** Time for which a server that had no place is avoided by the request's next attempt's choice. */
const FULL_MILLISECONDS = 50;
/** Time that an adapter takes to arrive after its order was accepted. */
const ADAPTER_ARRIVAL_MILLISECONDS = 12;
/** Pause before a request is sent again to the only server that could take it. */
const SAME_SERVER_MILLISECONDS = 20;
/** Part of the time left after which a repeatable request that is not answered goes elsewhere. */
const SILENT_PART = 0.4;
const LEAST_SILENT_MILLISECONDS = 250;
/** Prompt parts remembered for each server; far more than are asked for while they are kept. */
const MOST_PARTS = 5000;

/** A server and when the request was sent there. */
interface Sending {
  readonly state: ServerState;
  readonly sinceSent: Stopwatch;
}

/** Creates the attempts of one host. */
export function createAttempts<SomeCall extends Call>(
  options: AttemptsOptions<SomeCall>,
): Attempts<SomeCall> {
  const { clock, logger, metrics, random, failureDomain, servers } = options;
  const { waits, budget, suspects, send, ensureAdapter } = options;

  const choose = ({ admitted, call, tried }: Work<SomeCall>, allowTried: boolean) =>
    chooseHolder({
      candidates: servers.of(admitted.service),
      need: call.need,
      failureDomain,
      excluded: allowTried ? new Set() : tried,
      now: clock.monotonic(),
      holdsModel: servers.holdsModel,
      holdsAdapter: servers.holdsAdapter,
      random,
    });

  /** Waits until a server holds the request's model. */
  const awaitModel = async (work: Work<SomeCall>, { model }: ModelNeed): Promise<void> => {
    const { admitted, signal } = work;
    if (servers.of(admitted.service).some((state) => servers.holdsModel(state, model))) return;
    const since = startStopwatch(clock);
    const { route } = admitted;
    const age = work.ageMilliseconds();
    const result = await waits.wait({
      model,
      credit: 1,
      objectiveMilliseconds: route.objectiveMilliseconds - age,
      remainingMilliseconds: Math.min(
        work.remainingMilliseconds(),
        route.patienceMilliseconds - age,
      ),
      signal,
    });
    metrics.coldStart.record(since());
    logger.info('wait for model', {
      request: work.call.id,
      model,
      outcome: result.end,
      readyMilliseconds: result.readyMilliseconds,
      milliseconds: Math.round(since()),
    });
    if (result.end !== WAIT_END.READY) throw refuseWait(result, model);
  };

  /** @returns whether the server has the request's adapter now */
  const prepareAdapter = async (state: ServerState, need: ModelNeed): Promise<boolean> => {
    const { model, adapter } = need;
    if (adapter === undefined || servers.holdsAdapter(state, model, adapter)) return true;
    if (!(await ensureAdapter(state.entry.id, model, adapter))) return false;
    await clock.delay(ADAPTER_ARRIVAL_MILLISECONDS);
    state.adapters.set(`${model}/${adapter}`, clock.monotonic());
    return true;
  };

  /** Chooses a server that has not had the request, or else one that can take it again. */
  const chooseNext = async (work: Work<SomeCall>): Promise<ServerState> => {
    const fresh = choose(work, false);
    if (fresh) return fresh;
    const again = choose(work, true);
    if (!again) throw noServer(work.admitted.service);
    await clock.delay(SAME_SERVER_MILLISECONDS);
    return again;
  };

  const pick = async (work: Work<SomeCall>): Promise<ServerState> => {
    const { need } = work.call;
    if (need) await awaitModel(work, need);
    const state = await chooseNext(work);
    if (need && !(await prepareAdapter(state, need))) {
      // A server that carries out a load takes no order for an adapter; another one may.
      work.tried.add(state.entry.id);
      const other = choose(work, false);
      if (!other || !(await prepareAdapter(other, need))) throw noAdapter(need);
      return other;
    }
    if (work.signal.aborted) throw work.signal.reason as Refusal;
    return state;
  };

  const count = (state: ServerState, model: string | undefined, change: 1 | -1): void => {
    const counted = state;
    counted.outstanding += change;
    if (model === undefined) return;
    const { outstandingByModel } = counted;
    outstandingByModel.set(model, (outstandingByModel.get(model) ?? 0) + change);
  };

  const notePrompt = (state: ServerState, need: ModelNeed): void => {
    const now = clock.monotonic();
    const { parts } = state;
    // The last part is the request's own, which no choice looks up.
    need.promptParts.slice(0, -1).forEach(({ id }) => {
      const key = partKey(need, id);
      parts.delete(key);
      parts.set(key, now);
    });
    for (const oldest of parts.keys()) {
      if (parts.size <= MOST_PARTS) break;
      parts.delete(oldest);
    }
  };

  /** Ends an attempt at a silent server where the request can go on elsewhere. */
  const watchSilence = (work: Work<SomeCall>, attempt: AbortController): (() => void) => {
    const { route } = work.admitted;
    if (!isRepeatable(route) || work.runs >= route.attempts) return () => {};
    const milliseconds = Math.max(
      LEAST_SILENT_MILLISECONDS,
      Math.min(route.objectiveMilliseconds * 2, work.remainingMilliseconds() * SILENT_PART),
    );
    return clock.after(milliseconds, () => {
      attempt.abort(new Error('the server is silent'));
    });
  };

  const attempt = async (work: Work<SomeCall>, state: ServerState): Promise<void> => {
    const { call, admitted, relay, signal } = work;
    const { route } = admitted;
    const ended = new AbortController();
    const stopWatching = watchSilence(work, ended);
    const sink = relay.openSink();
    count(state, call.need?.model, 1);
    if (call.need) notePrompt(state, call.need);
    try {
      await send(
        call,
        {
          server: state.entry,
          remainingMilliseconds: work.remainingMilliseconds(),
          workspace: admitted.workspace?.name,
          priority: admitted.priority,
          lastEventId: relay.lastEventId(),
          ownConnection: !isRepeatable(route),
        },
        {
          onHead: (head, flow) => {
            stopWatching();
            noteLoad(state, head);
            sink.onHead(head, flow);
          },
          onData: sink.onData,
        },
        AbortSignal.any([signal, ended.signal]),
      );
      relay.finish();
    } finally {
      stopWatching();
      count(state, call.need?.model, -1);
    }
  };

  const noteLoad = (state: ServerState, { load }: AnswerHead): void => {
    const noted = state;
    if (load) noted.load = { ...load, at: clock.monotonic() };
  };

  /** Tells whether a request that a server has run may run at another one. */
  const mayRunAgain = ({ admitted: { route }, runs, sends }: Work<SomeCall>): boolean =>
    isRepeatable(route) && runs + 1 < route.attempts && sends < MOST_SENDS;

  /** Judges a failed attempt: throws the refusal that ends the request, or returns to go on. */
  const judge = (
    work: Work<SomeCall>,
    state: ServerState,
    sinceSent: Stopwatch,
    error: unknown,
  ): void => {
    const { call, signal, reply } = work;
    if (signal.aborted) throw signal.reason;
    if (isRefusal(error)) throw error;
    const { need } = call;
    const rejected = isAnswerError(error) && error.answerFault === ANSWER_FAULT.NOT_RUN;
    const unsent = isExchangeError(error) && error.progress === PROGRESS.NOT_SENT;
    const status = isAnswerError(error) ? error.status : undefined;
    logger.info('attempt failed', {
      request: call.id,
      server: state.entry.id,
      model: need?.model,
      status,
      notRun: rejected || unsent,
      why: messageOf(error),
    });
    if (rejected || unsent) {
      servers.avoid(state, unsent ? UNREACHABLE_MILLISECONDS : FULL_MILLISECONDS);
      if (need?.adapter !== undefined) state.adapters.delete(`${need.model}/${need.adapter}`);
      return;
    }
    servers.noteOutcome(state, true);
    const cut = isExchangeError(error) && error.fault === EXCHANGE_FAULT.CUT;
    if (cut) suspects.noteCrash(call.fingerprint(), state.entry.id, sinceSent);
    const ends = !mayRunAgain(work);
    Object.assign(work, { runs: work.runs + 1 });
    if (ends) throw failedAfterSending(error);
    if (reply.begun() && work.relay.lastEventId() === undefined) throw failedAfterSending(error);
  };

  const takeRepeat = (work: Work<SomeCall>, last: unknown): void => {
    const { service } = work.admitted;
    if (work.sends === 0) {
      budget.noteFirst(service);
      return;
    }
    if (work.sends < MOST_SENDS && budget.takeRepeat(service)) {
      metrics.retries.add();
      return;
    }
    throw work.runs > 0 ? failedAfterSending(last) : noServer(work.admitted.service);
  };

  /** Finds a server for the next attempt; an earlier one decides what a refusal may claim. */
  const pickNext = async (work: Work<SomeCall>, last: unknown): Promise<ServerState> => {
    try {
      const state = await pick(work);
      takeRepeat(work, last);
      return state;
    } catch (error) {
      throw work.runs > 0 && isRefusal(error) ? failedAfterSending(last) : error;
    }
  };

  const run = (work: Work<SomeCall>): Promise<ServerState> =>
    sendUntilAnswered<Sending, ServerState>({
      next: async (last) => {
        const state = await pickNext(work, last);
        Object.assign(work, { sends: work.sends + 1 });
        work.tried.add(state.entry.id);
        return { state, sinceSent: startStopwatch(clock) };
      },
      send: async ({ state }) => {
        await attempt(work, state);
        servers.noteOutcome(state, false);
        return state;
      },
      judge: ({ state, sinceSent }, error) => judge(work, state, sinceSent, error),
    });

  return { run, mayRunAgain };
}
