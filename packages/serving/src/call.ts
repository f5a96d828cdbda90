import type { Route, ServerEntry } from '@bulrushspar/catalogue';
import type { AnswerOutlet, AnswerSink as RelaySink, RelayedHead } from '@bulrushspar/routing';

/** Part of a prompt that other requests may share. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** What a request needs of a model server. */
export interface ModelNeed {
  readonly model: string;
  readonly adapter?: string;
  readonly promptParts: readonly PromptPart[];
}

/** One request of a caller, as it came in. */
export interface Call {
  readonly id: string;
  readonly host: string;
  /** Without the query. */
  readonly path: string;
  readonly key?: string;
  /** Time that the caller will wait, if it said so. */
  readonly patienceMilliseconds?: number;
  readonly need?: ModelNeed;
  /** Tokens of the prompt and the answer at most, if the caller said so. */
  readonly tokens?: number;
  /** Last event that the caller has of an answer that broke off. */
  readonly lastEventId?: string;
  /** Tells requests with the same content apart from others. */
  fingerprint(): string;
}

/** One sending of a request to a server. */
export interface Attempt {
  readonly server: ServerEntry;
  readonly remainingMilliseconds: number;
  readonly workspace?: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly lastEventId?: string;
  /** Only a connection without a past will do: the request must not be sent again. */
  readonly ownConnection: boolean;
}

/** Work of a server, as it said with an answer. */
export interface ServerLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

/** Head of a server's answer. */
export interface AnswerHead extends RelayedHead {
  /** The server states that it did not run the request. */
  readonly notRun: boolean;
  /** The server vouches for the answer. */
  readonly signed: boolean;
  /** Another server has the address now. */
  readonly otherServer: boolean;
  /** Request that the answer belongs to, if the server says so. */
  readonly callId?: string;
  readonly load?: ServerLoad;
}

/** Receives an answer; throwing ends the exchange with that error. */
export type AnswerSink = RelaySink<AnswerHead>;

/** Port to the servers for requests. Rejects like `exchange` of the targets. */
export type SendCall<SomeCall extends Call> = (
  call: SomeCall,
  attempt: Attempt,
  sink: AnswerSink,
  signal: AbortSignal,
) => Promise<void>;

/** The caller's end of a request. */
export interface Reply extends AnswerOutlet {
  /** Aborted once the caller is gone. */
  readonly gone: AbortSignal;
  /** Ends the connection, so that what was sent does not look whole. */
  breakOff(): void;
  refuse(status: number, message: string, retryAfterMilliseconds?: number): void;
}

/** Tells whether a request may run more than once. */
export function isRepeatable(route: Route): boolean {
  return route.kind === 'idempotent' || (route.kind === 'stream' && route.resumable);
}
