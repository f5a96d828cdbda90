import type { Route, ServerEntry } from '@bulrushspar/catalogue';
import type { Stopwatch } from '@bulrushspar/clock';
import type { MeasuredWriter, AnswerSink as RelaySink, RelayedHead } from '@bulrushspar/routing';

/** Part of a prompt that other requests may share, so that a server can reuse its cached result. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** The model and adapter that a request runs on, and the parts of its prompt. */
export interface ModelRequirements {
  readonly model: string;
  readonly adapter?: string;
  readonly promptParts: readonly PromptPart[];
}

/** One request as received from a caller. */
export interface Call {
  readonly id: string;
  readonly host: string;
  /** Path without the query string. */
  readonly path: string;
  readonly key?: string;
  /** Time that the caller waits for the answer, if it sent one. */
  readonly callerTimeoutMilliseconds?: number;
  /** Time that the request has waited until this host read it; it counts like time of the host. */
  readonly waitedMilliseconds?: number;
  readonly requirements?: ModelRequirements;
  /** Tokens of the prompt plus the maximum tokens of the answer, if the caller sent them. */
  readonly tokens?: number;
  /** Tokens of the prompt, if the caller sent them. */
  readonly promptTokens?: number;
  /** Maximum tokens of the answer, if the caller sent them. */
  readonly maxAnswerTokens?: number;
  /** Caller's estimate of the tokens of the answer: accurate at the median, but often far off. */
  readonly expectedAnswerTokens?: number;
  /** Id of the last event that the caller received of an interrupted answer. */
  readonly lastEventId?: string;
  /** Id of the caller's attempt that received the first event of an interrupted answer. */
  readonly resumes?: string;
  /**
   * @param caller name of the caller's workspace; unlike its keys it stays the same
   * @returns a hash that is equal for requests of the same caller with the same content
   */
  fingerprint(caller: string): string;
}

/** One attempt to run a request on a server. */
export interface Attempt {
  readonly server: ServerEntry;
  readonly remainingMilliseconds: number;
  readonly workspace?: string;
  /** 0 is the highest priority. */
  readonly priority: number;
  readonly lastEventId?: string;
  /**
   * The request must be sent over a new connection: a reused one may be closed by the server when the
   * request must not be sent again, or may bring an earlier answer to the same request.
   */
  readonly requiresNewConnection: boolean;
  /**
   * Asked right before the request is sent: whether the server may still receive it, which may have begun
   * to leave meanwhile.
   */
  readonly maySend: () => boolean;
}

/** Load that a server reports with an answer. */
export interface ServerLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /**
   * Duration of work at this moment relative to the usual one, above 0; changes many times a second.
   * Absent if the server does not report it.
   */
  readonly slowdown?: number;
}

/** What a server tells this host about itself with an answer. */
export interface ServerNotice {
  /** Whether the server is leaving and must receive no new requests. */
  readonly isLeaving: boolean;
  /** Time for which the server accepts nothing from this host, if it said so. */
  readonly closedMilliseconds?: number;
  /** Requests per second that the server accepts from all hosts together, if it named a limit. */
  readonly limitPerSecond?: number;
  /** Time for which the server stays cold, if it said so; not a number if that was unreadable. */
  readonly coldMilliseconds?: number;
}

/** A host that passes on a connection to a server. */
export interface PassingHost {
  readonly host: string;
  /** Started when the connection was opened. */
  readonly sinceOpened: Stopwatch;
}

/** Status and headers of an answer, with what the platform's headers state about it. */
export interface AnswerHead extends RelayedHead {
  /** Whether the server states that it did not run the request. */
  readonly notRun: boolean;
  /** Whether the answer carries the server's signature header. */
  readonly signed: boolean;
  /** Whether the server rejected the request because another server now uses this address. */
  readonly misdirected: boolean;
  /** Id of the request that the answer belongs to, if the server sent one. */
  readonly callId?: string;
  /** Whether the connection has served another request, whose late answer this may be. */
  readonly isReusedConnection?: boolean;
  /** Host through which the connection leads; absent if it is direct. */
  readonly passingHost?: PassingHost;
  readonly load?: ServerLoad;
  readonly notice?: ServerNotice;
  /** Whether the server ends if it must reject too many requests in a short time. */
  readonly isBrittle?: boolean;
  /** Whether the server has named a limit, readable or not; otherwise it has none. */
  readonly namesLimit?: boolean;
}

/** Receives an answer; throwing aborts the exchange with that error. */
export type AnswerSink = RelaySink<AnswerHead>;

/**
 * Sends a request to a server and passes the answer to the sink. Rejects with the same errors as
 * `exchange` of the targets package.
 */
export type SendCall<SomeCall extends Call> = (
  call: SomeCall,
  attempt: Attempt,
  sink: AnswerSink,
  signal: AbortSignal,
) => Promise<void>;

/** The connection to the caller, over which the answer or a refusal is sent. */
export interface Reply extends MeasuredWriter {
  /** Aborted when the caller disconnects. */
  readonly gone: AbortSignal;
  /** Resets the connection, so that the caller can detect that the answer is incomplete. */
  reset(): void;
  refuse(status: number, message: string, retryAfterMilliseconds?: number): void;
}

/** @returns whether a request of the route may run more than once */
export function isRetryable(route: Route): boolean {
  return route.kind === 'idempotent' || (route.kind === 'stream' && route.resumable);
}
