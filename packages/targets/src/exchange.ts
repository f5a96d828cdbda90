import { Client, Pool, type Dispatcher } from 'undici';
import { wrapError } from '@bulrushspar/errors';

/** One call to a target. */
export interface TargetCall {
  readonly method: string;
  readonly path: string;
  /** By name, or names and values in turn. */
  readonly headers: Readonly<Record<string, string>> | readonly string[];
  readonly body?: Buffer | string;
}

/** Head of a target's answer. */
export interface AnswerHead {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
}

/** Lets the receiver slow the target down. */
export interface FlowControl {
  pause(): void;
  resume(): void;
}

/** Receives an answer piece by piece; throwing from a method ends the exchange with that error. */
export interface AnswerReceiver {
  onHead(head: AnswerHead, flow: FlowControl): void;
  onData(chunk: Buffer): void;
}

/** How far an exchange had come when it failed. */
export const PROGRESS = {
  /** No byte of the request left this host. */
  NOT_SENT: 'not-sent',
  /** The request may have reached the target. */
  SENT: 'sent',
  /** The head of the answer had arrived. */
  ANSWERED: 'answered',
} as const;

/** One of {@link PROGRESS}. */
export type Progress = (typeof PROGRESS)[keyof typeof PROGRESS];

/** What ended an exchange before its answer was whole. */
export const EXCHANGE_FAULT = {
  UNREACHABLE: 'unreachable',
  CUT: 'cut',
  SILENT: 'silent',
  ABORTED: 'aborted',
} as const;

/** One of {@link EXCHANGE_FAULT}. */
export type ExchangeFault = (typeof EXCHANGE_FAULT)[keyof typeof EXCHANGE_FAULT];

/** Error of an exchange that did not bring a whole answer. */
export type ExchangeError = Error & { readonly progress: Progress; readonly fault: ExchangeFault };

/** Options of {@link exchange}. */
export interface ExchangeOptions {
  readonly dispatcher: Dispatcher;
  readonly call: TargetCall;
  readonly receiver: AnswerReceiver;
  /** Ends the exchange and, by closing its connection, the work at the target. */
  readonly signal: AbortSignal;
  /** Longest silence of the target, in milliseconds. */
  readonly silenceMilliseconds: number;
}

const SILENCE_CHECKS = 4;

/** Tells whether an error came from {@link exchange}. */
export function isExchangeError(error: unknown): error is ExchangeError {
  return error instanceof Error && 'progress' in error && 'fault' in error;
}

/** Creates the error of an exchange that did not bring a whole answer. */
export function createExchangeError(
  cause: unknown,
  progress: Progress,
  fault: ExchangeFault,
): ExchangeError {
  return Object.assign(wrapError(cause, `exchange with target ${fault}`), { progress, fault });
}

/**
 * Sends one call and passes the answer on as it arrives. Never sends it twice.
 * Resolves when the whole answer has arrived; rejects with an ExchangeError, or with what the
 * receiver threw.
 */
export function exchange(options: ExchangeOptions): Promise<void> {
  const { dispatcher, call, receiver, signal, silenceMilliseconds } = options;
  return new Promise((resolve, reject) => {
    let progress: Progress = PROGRESS.NOT_SENT;
    let fault: ExchangeFault = EXCHANGE_FAULT.CUT;
    let thrown: { readonly error: unknown } | undefined;
    let control: Dispatcher.DispatchController | undefined;
    let paused = false;
    let active = true;
    let ended = false;
    let silentChecks = 0;

    const abort = (why: ExchangeFault): void => {
      fault = why;
      const error = new Error(`target ${why}`);
      if (control) control.abort(error);
      else finish(() => reject(createExchangeError(error, progress, why)));
    };
    const onAbort = (): void => abort(EXCHANGE_FAULT.ABORTED);
    const watch = setInterval(() => {
      silentChecks = active || paused ? 0 : silentChecks + 1;
      active = false;
      if (silentChecks >= SILENCE_CHECKS) abort(EXCHANGE_FAULT.SILENT);
    }, silenceMilliseconds / SILENCE_CHECKS);
    const finish = (settle: () => void): void => {
      if (ended) return;
      ended = true;
      clearInterval(watch);
      signal.removeEventListener('abort', onAbort);
      settle();
    };
    const endWith = (error: unknown): void => {
      thrown = { error };
      control?.abort(error instanceof Error ? error : new Error(String(error)));
    };

    if (signal.aborted) {
      clearInterval(watch);
      reject(createExchangeError(new Error('aborted'), progress, EXCHANGE_FAULT.ABORTED));
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
          control = controller;
          if (ended) controller.abort(new Error('already given up'));
          else progress = PROGRESS.SENT;
        },
        onResponseStart: (controller, status, headers) => {
          progress = PROGRESS.ANSWERED;
          active = true;
          const flow: FlowControl = {
            pause: () => {
              paused = true;
              controller.pause();
            },
            resume: () => {
              paused = false;
              active = true;
              controller.resume();
            },
          };
          try {
            receiver.onHead({ status, headers }, flow);
          } catch (error) {
            endWith(error);
          }
        },
        onResponseData: (_controller, chunk) => {
          active = true;
          try {
            receiver.onData(chunk);
          } catch (error) {
            endWith(error);
          }
        },
        onResponseEnd: () => finish(resolve),
        onResponseError: (_controller, error) => {
          const unreachable = progress === PROGRESS.NOT_SENT && fault === EXCHANGE_FAULT.CUT;
          if (unreachable) fault = EXCHANGE_FAULT.UNREACHABLE;
          finish(() => reject(thrown ? thrown.error : createExchangeError(error, progress, fault)));
        },
      },
    );
  });
}

const CONNECT_TIMEOUT_MILLISECONDS = 2000;
const CONNECTIONS_PER_TARGET = 1024;

/** Connections to one target. */
export interface Connections {
  readonly shared: Dispatcher;
  /** A connection for one call that must not share or reuse one; the caller closes it. */
  single(): Dispatcher;
  /** Waits for the calls under way. */
  close(): Promise<void>;
}

/** Creates the connections to a target; none is opened before the first call. */
export function createConnections(origin: string): Connections {
  const connect = { timeout: CONNECT_TIMEOUT_MILLISECONDS };
  const shared = new Pool(origin, { pipelining: 1, connections: CONNECTIONS_PER_TARGET, connect });
  return {
    shared,
    single: () => new Client(origin, { pipelining: 1, connect }),
    close: () => shared.close(),
  };
}
