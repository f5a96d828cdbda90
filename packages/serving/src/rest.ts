/**
 * Asks a server for the rest of a stream whose end it has not marked. A server, or a device on the way, that lives
 * on can end a part of a stream in order; only the server knows whether anything is missing.
 */
import { ROUTE_KIND } from '@bulrushspar/catalogue';
import type { Clock } from '@bulrushspar/clock';
import { errorMessage } from '@bulrushspar/errors';
import type { Logger } from '@bulrushspar/logging';
import type { RetryBudget } from '@bulrushspar/shares';
import {
  createExchangeError,
  EXCHANGE_FAULT,
  EXCHANGE_PROGRESS,
  isExchangeError,
} from '@bulrushspar/targets';
import { isAnswerTo, isSuccess } from './answer.js';
import type { ActiveRequest } from './attempts.js';
import type { Attempt, Call, SendCall } from './call.js';
import { createTargetFailedRefusal } from './refusals.js';

/** Options of {@link createRestRequester}. */
export interface RestRequesterOptions<SomeCall extends Call> {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly send: SendCall<SomeCall>;
  /** The further run counts like a retry. */
  readonly budget: RetryBudget;
  /** Longest wait for the head of the rest, in milliseconds; 1000 by default. */
  readonly timeoutMilliseconds?: number;
}

/**
 * Receives what is missing of the stream that the attempt has passed on. Rejects if a part of the rest was cut, or
 * if its server could not be asked: a stream is whole only if its server has nothing more after the last event.
 */
export type RequestRest<SomeCall extends Call> = (
  request: ActiveRequest<SomeCall>,
  attempt: Attempt,
) => Promise<void>;

/** Each of them has brought a part of the stream, but for the last one. */
const MAX_REQUESTS = 4;

const createUnconfirmedError = (server: string, why: string): Error =>
  createExchangeError(
    new Error(`nothing shows that server ${server} has ended the stream itself: ${why}`),
    EXCHANGE_PROGRESS.ANSWERED,
    EXCHANGE_FAULT.UNCONFIRMED,
  );

/** The stream itself has run, also if the request for its rest was rejected or not sent. */
const describeFailure = (server: string, failure: unknown): unknown =>
  isExchangeError(failure) && failure.progress !== EXCHANGE_PROGRESS.NOT_SENT
    ? failure
    : createUnconfirmedError(server, errorMessage(failure));

/** Creates the function of one host. */
export function createRestRequester<SomeCall extends Call>(
  options: RestRequesterOptions<SomeCall>,
): RequestRest<SomeCall> {
  const { clock, logger, send, budget, timeoutMilliseconds = 1000 } = options;

  /** Whether only the end of a connection marks the end of a stream that may go on after its last event. */
  const isUnmarked = ({ admitted, relay, begunAnswer }: ActiveRequest<SomeCall>): boolean => {
    const { route } = admitted;
    const isResumable = route.kind === ROUTE_KIND.STREAM && route.resumable;
    return isResumable && begunAnswer?.framed === false && relay.endsBetweenEvents();
  };

  /** @returns the bytes that have come, and the error that ended them if there was one */
  const ask = async (request: ActiveRequest<SomeCall>, attempt: Attempt) => {
    const { call, relay, signal } = request;
    const silence = new AbortController();
    const cancel = clock.after(timeoutMilliseconds, () =>
      silence.abort(new Error('the server did not begin the rest in time')),
    );
    const sink = relay.openSink({ continues: true });
    const lastEventId = relay.lastEventId();
    const remainingMilliseconds = request.remainingMilliseconds();
    let bytes = 0;
    let failure: unknown;
    try {
      await send(
        call,
        {
          ...attempt,
          remainingMilliseconds,
          requiresNewConnection: true,
          ...(lastEventId === undefined ? {} : { lastEventId }),
        },
        {
          onHead: (head, flow) => {
            cancel();
            if (!isSuccess(head.status) || !isAnswerTo(head, call.id))
              throw new Error(`the server answered with status ${head.status}`);
            sink.onHead(head, flow);
            Object.assign(request, {
              begunAnswer: { ...request.begunAnswer, framed: head.framed },
            });
          },
          onData: (chunk) => {
            bytes += chunk.length;
            sink.onData(chunk);
          },
        },
        AbortSignal.any([signal, silence.signal]),
      );
    } catch (error) {
      failure = error;
    } finally {
      cancel();
    }
    logger.info('rest of a stream asked for', {
      request: call.id,
      server: attempt.server.id,
      lastEventId,
      bodyBytes: bytes,
      error: failure === undefined ? undefined : errorMessage(failure),
    });
    if (signal.aborted) throw signal.reason;
    return { bytes, failure };
  };

  /** Throws if the rest may not be asked for; takes a retry from the budget otherwise. */
  const requireRequest = (
    { call, admitted, relay }: ActiveRequest<SomeCall>,
    attempt: Attempt,
    count: number,
  ): void => {
    const refuse = (why: string): Error => {
      const server = attempt.server.id;
      const lastEventId = relay.lastEventId();
      logger.info('rest of a stream not asked for', { request: call.id, server, lastEventId, why });
      return createUnconfirmedError(server, why);
    };
    if (count === MAX_REQUESTS) throw refuse('it has ended too many parts');
    if (!attempt.maySend()) throw refuse('it may not receive the request any more');
    // No other server may be asked either, and the server is not at fault.
    if (!budget.takeRetry(admitted.service))
      throw createTargetFailedRefusal(refuse('the retry budget is used up'));
  };

  return async (request, attempt) => {
    for (let count = 0; isUnmarked(request); count += 1) {
      requireRequest(request, attempt, count);
      // eslint-disable-next-line no-await-in-loop -- each request begins where the one before has ended
      const { bytes, failure } = await ask(request, attempt);
      if (failure !== undefined) throw describeFailure(attempt.server.id, failure);
      if (bytes === 0) return;
    }
  };
}
