import { Pool, type Dispatcher } from 'undici';
import { wrapError } from '@bulrushspar/errors';
import { createTargetClient } from './client.js';

/** HTTP request to a target. */
export interface TargetCall {
  readonly method: string;
  readonly path: string;
  /** An object by header name, or a flat list of alternating names and values. */
  readonly headers: Readonly<Record<string, string>> | readonly string[];
  readonly body?: Buffer | string;
}

/** Status and headers of a target's answer. */
export interface AnswerHead {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
}

/** Backpressure: lets the receiver pause and resume reading from the target. */
export interface FlowControl {
  pause(): void;
  resume(): void;
}

/** Receives an answer chunk by chunk. If a method throws, the exchange rejects with that error. */
export interface AnswerReceiver {
  onHead(head: AnswerHead, flow: FlowControl): void;
  onData(chunk: Buffer): void;
}

/** Progress that an exchange had made when it failed. */
export const EXCHANGE_PROGRESS = {
  /** No byte of the request was sent. */
  NOT_SENT: 'not-sent',
  /** The request may have reached the target. */
  SENT: 'sent',
  /** The head of the answer had arrived. */
  ANSWERED: 'answered',
} as const;

/** One of {@link EXCHANGE_PROGRESS}. */
export type ExchangeProgress = (typeof EXCHANGE_PROGRESS)[keyof typeof EXCHANGE_PROGRESS];

/** Reasons why an exchange ends before its answer is complete. */
export const EXCHANGE_FAULT = {
  /** The connection failed before the request was sent. */
  UNREACHABLE: 'unreachable',
  /** The connection failed after the request was sent and before the answer was complete. */
  CUT: 'cut',
  /** The target sent nothing for `silenceMilliseconds`, not counting pauses of the receiver. */
  SILENT: 'silent',
  /** The caller's signal aborted the exchange. */
  ABORTED: 'aborted',
  /** Another server than the expected one has answered at the address. */
  REPLACED: 'replaced',
  /** `maySend` has refused the call once its connection was open. */
  WITHDRAWN: 'withdrawn',
  /** The connection has ended, and nothing shows that the answer is complete. */
  UNCONFIRMED: 'unconfirmed',
} as const;

/** One of {@link EXCHANGE_FAULT}. */
export type ExchangeFault = (typeof EXCHANGE_FAULT)[keyof typeof EXCHANGE_FAULT];

/** Error of an exchange that ended before its answer was complete. */
export type ExchangeError = Error & {
  readonly progress: ExchangeProgress;
  readonly fault: ExchangeFault;
};

/** Options of {@link exchange}. */
export interface ExchangeOptions {
  readonly dispatcher: Dispatcher;
  readonly call: TargetCall;
  readonly receiver: AnswerReceiver;
  /** Aborts the exchange and closes its connection, so that the target stops its work. */
  readonly signal: AbortSignal;
  /** Milliseconds without data from the target after which it counts as silent. */
  readonly silenceMilliseconds: number;
  /** Asked right before the first byte is sent, as a connection may take long to open; true by default. */
  readonly maySend?: () => boolean;
}

const SILENCE_CHECKS_PER_TIMEOUT = 4;
/** Lower statuses announce an answer that follows. */
const FIRST_FINAL_STATUS = 200;

/** Returns whether an error is an {@link ExchangeError}. */
export function isExchangeError(error: unknown): error is ExchangeError {
  return error instanceof Error && 'progress' in error && 'fault' in error;
}

/** Creates the error of an exchange that ended before its answer was complete. */
export function createExchangeError(
  cause: unknown,
  progress: ExchangeProgress,
  fault: ExchangeFault,
): ExchangeError {
  return Object.assign(wrapError(cause, `exchange with target ${fault}`), { progress, fault });
}

/**
 * Sends one call, never more than once, and passes the answer to the receiver as it arrives.
 * Resolves when the answer is complete; rejects with an {@link ExchangeError}, or with the error
 * that the receiver threw.
 */
export function exchange(options: ExchangeOptions): Promise<void> {
  const { dispatcher, call, receiver, signal, silenceMilliseconds } = options;
  const { maySend = () => true } = options;
  return new Promise((resolve, reject) => {
    let progress: ExchangeProgress = EXCHANGE_PROGRESS.NOT_SENT;
    let fault: ExchangeFault = EXCHANGE_FAULT.CUT;
    let receiverFailure: { readonly error: unknown } | undefined;
    let requestController: Dispatcher.DispatchController | undefined;
    let isPaused = false;
    let isActive = true;
    let hasEnded = false;
    let silentChecks = 0;

    const abort = (reason: ExchangeFault): void => {
      fault = reason;
      const error = new Error(`call to target ended early: ${reason}`);
      if (requestController) requestController.abort(error);
      else finish(() => reject(createExchangeError(error, progress, reason)));
    };
    const onAbort = (): void => abort(EXCHANGE_FAULT.ABORTED);
    const silenceTimer = setInterval(() => {
      silentChecks = isActive || isPaused ? 0 : silentChecks + 1;
      isActive = false;
      if (silentChecks >= SILENCE_CHECKS_PER_TIMEOUT) abort(EXCHANGE_FAULT.SILENT);
    }, silenceMilliseconds / SILENCE_CHECKS_PER_TIMEOUT);
    const finish = (settle: () => void): void => {
      if (hasEnded) return;
      hasEnded = true;
      clearInterval(silenceTimer);
      signal.removeEventListener('abort', onAbort);
      settle();
    };
    const abortWithReceiverError = (error: unknown): void => {
      receiverFailure = { error };
      requestController?.abort(error instanceof Error ? error : new Error(String(error)));
    };

    if (signal.aborted) {
      clearInterval(silenceTimer);
      reject(
        createExchangeError(
          new Error('call aborted before it was sent'),
          progress,
          EXCHANGE_FAULT.ABORTED,
        ),
      );
      return;
    }
    signal.addEventListener('abort', onAbort, { once: true });
    dispatcher.dispatch(
      {
        method: call.method as Dispatcher.HttpMethod,
        path: call.path,
        headers: call.headers as Record<string, string> | string[],
        body: call.body ?? null,
        idempotent: false,
        headersTimeout: 0,
        bodyTimeout: 0,
      },
      {
        onRequestStart: (controller) => {
          requestController = controller;
          if (hasEnded) controller.abort(new Error('call already ended'));
          else if (maySend()) progress = EXCHANGE_PROGRESS.SENT;
          else abort(EXCHANGE_FAULT.WITHDRAWN);
        },
        onResponseStart: (controller, status, headers) => {
          if (status < FIRST_FINAL_STATUS) return;
          progress = EXCHANGE_PROGRESS.ANSWERED;
          isActive = true;
          const flow: FlowControl = {
            pause: () => {
              isPaused = true;
              controller.pause();
            },
            resume: () => {
              isPaused = false;
              isActive = true;
              controller.resume();
            },
          };
          try {
            receiver.onHead({ status, headers }, flow);
          } catch (error) {
            abortWithReceiverError(error);
          }
        },
        onResponseData: (_controller, chunk) => {
          isActive = true;
          try {
            receiver.onData(chunk);
          } catch (error) {
            abortWithReceiverError(error);
          }
        },
        onResponseEnd: () => finish(resolve),
        onResponseError: (_controller, error) => {
          const isUnreachable =
            progress === EXCHANGE_PROGRESS.NOT_SENT && fault === EXCHANGE_FAULT.CUT;
          if (isUnreachable) fault = EXCHANGE_FAULT.UNREACHABLE;
          finish(() =>
            reject(
              receiverFailure ? receiverFailure.error : createExchangeError(error, progress, fault),
            ),
          );
        },
      },
    );
  });
}

const CONNECT_TIMEOUT_MILLISECONDS = 2000;
const MAX_CONNECTIONS_PER_TARGET = 1024;

/** HTTP connections to one target. */
export interface Connections {
  /** Pool of keep-alive connections. */
  readonly pool: Dispatcher;
  /** Creates a client for one call that must not reuse a connection; the caller closes it. */
  createSingleUseClient(): Dispatcher;
  /** Closes the pool after its calls in flight have ended. */
  close(): Promise<void>;
}

/**
 * Creates the connections to a target; none opens before the first call.
 * @param connectTimeoutMilliseconds longest time in which a connection opens
 */
export function createConnections(
  origin: string,
  connectTimeoutMilliseconds = CONNECT_TIMEOUT_MILLISECONDS,
): Connections {
  const createClient = () => createTargetClient({ origin, connectTimeoutMilliseconds });
  const sharedPool = new Pool(origin, {
    connections: MAX_CONNECTIONS_PER_TARGET,
    factory: createClient,
  });
  return {
    pool: sharedPool,
    createSingleUseClient: createClient,
    close: () => sharedPool.close(),
  };
}
