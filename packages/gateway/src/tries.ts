import { startStopwatch, type Stopwatch } from '@bulrushspar/clock';
import {
  markPossiblyRan,
  createRefusal,
  isRefusal,
  RAN,
  REFUSAL,
  type Refusal,
  type RefusalCode,
} from '@bulrushspar/errors';
import { sendUntilAnswered } from '@bulrushspar/routing';
import {
  exchange,
  isExchangeError,
  EXCHANGE_PROGRESS,
  type ServerView,
} from '@bulrushspar/targets';
import { REQUEST_ID_HEADER } from './answer.js';
import type { ChatRequest } from './chat.js';
import type { RequestContext } from './context.js';
import type { RunPermit, CrashGuard } from './isolation.js';
import type { ServerSelector } from './pick.js';
import { createModelRelay, decodeModelHead, isNotRun, type ModelRelay } from './relay.js';
import type { GatewayServices } from './services.js';

const MAX_ATTEMPTS = 4;
const MAX_FAILURES_AFTER_SENDING = 2;
const RETRYABLE_CODES = new Set<RefusalCode>([REFUSAL.ANSWER_MISMATCHED, REFUSAL.ANSWER_CUT]);
const MILLISECONDS_PER_SECOND = 1000;

/** A permit to run the request and the selected server, if there is one. */
interface PreparedAttempt {
  readonly permit: RunPermit;
  readonly server: ServerView | undefined;
}

/** One attempt of a request. */
interface Attempt {
  readonly permit: RunPermit;
  readonly server: ServerView;
  readonly sinceSent: Stopwatch;
}

const createUnreachableRefusal = (cause: unknown): Refusal =>
  createRefusal({
    status: 502,
    code: REFUSAL.TARGET_UNREACHABLE,
    message: 'no server of the model could be reached',
    retryAfterSeconds: 1,
    cause,
  });

const createInterruptedRefusal = (cause: unknown): Refusal =>
  createRefusal({
    status: 502,
    code: REFUSAL.TARGET_FAILED,
    message: 'the server failed before its answer was complete',
    ran: RAN.UNKNOWN,
    retryAfterSeconds: 1,
    cause,
  });

/** @returns the refusal that ends the request after an error, or undefined to retry it */
const getFinalRefusal = (
  context: RequestContext,
  error: unknown,
  hasBegun: boolean,
): Refusal | undefined => {
  if (context.signal.aborted) return context.signal.reason as Refusal;
  if (isNotRun(error)) return undefined;
  if (isRefusal(error))
    return hasBegun || !RETRYABLE_CODES.has(error.refusal.code) ? error : undefined;
  return hasBegun || !isExchangeError(error) ? createInterruptedRefusal(error) : undefined;
};

const isCertainlyNotRun = (error: unknown): boolean =>
  isNotRun(error) || (isExchangeError(error) && error.progress === EXCHANGE_PROGRESS.NOT_SENT);

/** Rethrows an error; a refusal states that the request may have run if an earlier attempt was sent. */
const rethrowAfterAttempts = (failuresAfterSending: number) => (error: unknown) => {
  throw failuresAfterSending > 0 && isRefusal(error) ? markPossiblyRan(error) : error;
};

const releaseAndThrow = (permit: RunPermit) => (error: unknown) => {
  permit.release();
  throw error;
};

/**
 * Sends a request until it is answered; after two failures of attempts that were sent, it is not
 * retried. Rejects with the refusal that ends the request.
 */
export type ServeModelRequest = (
  context: RequestContext,
  chat: ChatRequest,
  guard: CrashGuard,
) => Promise<ModelRelay>;

/** Creates the function that runs the attempts of requests to models. */
export function createServeModelRequest(
  services: GatewayServices,
  serverSelector: ServerSelector,
): ServeModelRequest {
  const { clock, registry, metrics } = services;

  const send = async (
    context: RequestContext,
    chat: ChatRequest,
    server: ServerView,
    relay: ModelRelay,
  ): Promise<void> => {
    const view = server;
    const { hosts } = services.getAcceptedConfiguration().configuration;
    const sink = relay.openSink();
    view.requestsInFlight += 1;
    context.markSent();
    context.tracer.addStep('sent', server.name);
    try {
      await exchange({
        dispatcher: server.engine.connections.pool,
        call: {
          method: 'POST',
          path: context.request.url!.split('?')[0]!,
          headers: {
            'content-type': 'application/json',
            accept: chat.stream ? 'text/event-stream' : 'application/json',
            [REQUEST_ID_HEADER]: context.tracer.id,
          },
          body: chat.body,
        },
        receiver: {
          onHead: (head, flow) => sink.onHead(decodeModelHead(head, chat.stream), flow),
          onData: sink.onData,
        },
        signal: context.signal,
        silenceMilliseconds: hosts.silence_seconds * MILLISECONDS_PER_SECOND,
      });
      relay.finish();
    } finally {
      view.requestsInFlight -= 1;
    }
  };

  /** Acquires a permit for an attempt and selects its server. */
  const prepareAttempt = async (
    context: RequestContext,
    chat: ChatRequest,
    guard: CrashGuard,
    failedServers: ReadonlyMap<string, ServerView>,
  ): Promise<PreparedAttempt> => {
    // The model is loaded first, so that the permit is not held during the load.
    await serverSelector.ensureLoaded(context, chat);
    const permit = await guard.acquirePermit();
    const server = await serverSelector
      .selectServer(context, chat, failedServers)
      .catch(releaseAndThrow(permit));
    if (!server || permit.isValid()) return { permit, server };
    // The permit is no longer valid: a server crashed during the same request on another host while
    // this host waited for a load.
    permit.release();
    return prepareAttempt(context, chat, guard, failedServers);
  };

  return (context, chat, guard) => {
    const { tracer } = context;
    const failedServers = new Map<string, ServerView>();
    const relay = createModelRelay({
      response: context.response,
      requestId: tracer.id,
      stream: chat.stream,
      onFirstToken: () => metrics.firstToken.record(context.age()),
    });
    let attemptCount = 0;
    let failuresAfterSending = 0;

    const createFinalRefusal = (lastError: unknown): Refusal => {
      const refusal = guard.getRefusal();
      if (refusal) return markPossiblyRan(refusal);
      return failuresAfterSending > 0
        ? createInterruptedRefusal(lastError)
        : createUnreachableRefusal(lastError);
    };

    const startAttempt = async (lastError: unknown): Promise<Attempt> => {
      if (attemptCount >= MAX_ATTEMPTS || failuresAfterSending >= MAX_FAILURES_AFTER_SENDING)
        throw createFinalRefusal(lastError);
      const { permit, server } = await prepareAttempt(context, chat, guard, failedServers).catch(
        rethrowAfterAttempts(failuresAfterSending),
      );
      if (!server) {
        permit.release();
        throw createFinalRefusal(lastError);
      }
      if (attemptCount > 0) metrics.retries.add();
      attemptCount += 1;
      return { permit, server, sinceSent: startStopwatch(clock) };
    };

    const sendAttempt = async ({ permit, server }: Attempt): Promise<ModelRelay> => {
      await send(context, chat, server, relay);
      guard.recordSuccess();
      permit.release();
      return relay;
    };

    const handleFailedAttempt = async (
      { permit, server, sinceSent }: Attempt,
      error: unknown,
    ): Promise<void> => {
      try {
        const crashDetection = guard.detectCrash(server, error, sinceSent);
        const refusal = getFinalRefusal(context, error, relay.hasBegun());
        // The refusal would become a part of the event that was cut.
        if (refusal && relay.endsInsideEvent()) context.response.destroy();
        if (refusal) throw refusal;
        await crashDetection;
        tracer.addStep('failed', `${server.name}: ${(error as Error).message}`);
        if (!isCertainlyNotRun(error)) failuresAfterSending += 1;
        failedServers.set(server.name, server);
        await registry.refresh(server);
      } finally {
        permit.release();
      }
    };

    return sendUntilAnswered({
      selectDestination: startAttempt,
      send: sendAttempt,
      handleFailure: handleFailedAttempt,
    });
  };
}
