import type { IncomingMessage, ServerResponse } from 'node:http';
import { startStopwatch, type Clock, type Stop, type Stopwatch } from '@bulrushspar/clock';
import { createRefusal, RAN, REFUSAL, type Refusal } from '@bulrushspar/errors';
import type { Identity } from '@bulrushspar/keys';
import type { Tracer } from './trace.js';

/** State of one open request of a caller. */
export interface RequestContext {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly tracer: Tracer;
  /** Time since the request arrived. */
  readonly age: Stopwatch;
  /** Aborts all work for this request; its reason is a refusal. */
  readonly signal: AbortSignal;
  /** Identity of the key of the request; undefined until the key is identified. */
  readonly identity: Identity | undefined;
  /** Whether the request may have reached a target. */
  readonly sent: boolean;
  setIdentity(identity: Identity): void;
  markSent(): void;
  /** @returns the time left until the deadline, in milliseconds */
  remainingMilliseconds(): number;
  /** Sets the deadline, in milliseconds since the arrival, and its timer. */
  setDeadline(milliseconds: number): void;
  /** Aborts the request with a refusal. */
  abort(refusal: Refusal): void;
  /** Cancels the deadline timer once the request is answered. */
  clearDeadline(): void;
}

const createDeadlineRefusal = (sent: boolean): Refusal =>
  createRefusal({
    status: 504,
    code: REFUSAL.DEADLINE,
    message: 'the request deadline passed before the answer was complete',
    ran: sent ? RAN.UNKNOWN : RAN.NO,
    retryAfterSeconds: 1,
  });

/** Creates the context of a request that has just arrived. */
export function createContext(
  clock: Clock,
  request: IncomingMessage,
  response: ServerResponse,
  tracer: Tracer,
): RequestContext {
  const controller = new AbortController();
  const age = startStopwatch(clock);
  let deadlineMilliseconds = Number.POSITIVE_INFINITY;
  let cancelTimer: Stop = () => {};
  let identity: Identity | undefined;
  let sent = false;

  const abort = (refusal: Refusal): void => {
    cancelTimer();
    controller.abort(refusal);
  };

  return {
    request,
    response,
    tracer,
    age,
    signal: controller.signal,
    get identity() {
      return identity;
    },
    get sent() {
      return sent;
    },
    setIdentity: (recognized) => {
      identity = recognized;
    },
    markSent: () => {
      sent = true;
    },
    remainingMilliseconds: () => deadlineMilliseconds - age(),
    setDeadline: (milliseconds) => {
      deadlineMilliseconds = milliseconds;
      cancelTimer();
      cancelTimer = clock.after(Math.max(0, deadlineMilliseconds - age()), () =>
        abort(createDeadlineRefusal(sent)),
      );
    },
    abort,
    clearDeadline: () => cancelTimer(),
  };
}

/**
 * Waits for work until the request is aborted, then rejects with the reason of the abort. The work
 * itself is not cancelled.
 */
export function waitUnlessAborted<Value>(
  context: RequestContext,
  work: Promise<Value>,
): Promise<Value> {
  const { signal } = context;
  return new Promise((resolve, reject) => {
    const onAbort = (): void => {
      const reason = signal.reason as Refusal;
      reject(reason);
    };
    if (signal.aborted) onAbort();
    signal.addEventListener('abort', onAbort, { once: true });
    work.then(resolve, reject).finally(() => signal.removeEventListener('abort', onAbort));
  });
}
