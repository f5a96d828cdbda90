import { createRefusal, RAN, REFUSAL, type Refusal } from '@bulrushspar/errors';
import type { FlowControl } from '@bulrushspar/targets';
import type { AnswerHead, AnswerSink, Reply } from './call.js';
import { createEventSplitter, type EventSplitter } from './events.js';

/** Why a server's answer must not reach the caller. */
export const ANSWER_FAULT = {
  /** The server did not run the request. */
  NOT_RUN: 'not-run',
  /** The answer belongs to another request, or nobody vouches for it. */
  FOREIGN: 'foreign',
  /** The server ran the request and failed. */
  FAILED: 'failed',
} as const;

/** One of {@link ANSWER_FAULT}. */
export type AnswerFault = (typeof ANSWER_FAULT)[keyof typeof ANSWER_FAULT];

/** Error of an answer that must not reach the caller. */
export type AnswerError = Error & {
  readonly answerFault: AnswerFault;
  readonly status: number;
  readonly otherServer: boolean;
};

/** Passes the answer to one request on, over as many attempts as it takes. */
export interface Relay {
  /** Receives the answer of one attempt. */
  openSink(): AnswerSink;
  /** The caller has received a part of the answer. */
  begun(): boolean;
  /** Event after which an answer that broke off goes on. */
  lastEventId(): string | undefined;
  /** Ends the answer after an attempt brought all of it. */
  finish(): void;
}

/** Options of {@link createRelay}. */
export interface RelayOptions {
  readonly reply: Reply;
  readonly callId: string;
  readonly lastEventId?: string;
  /** Called when the first byte of an answer has come. */
  readonly onFirst: () => void;
  /** Tells whether a failure that the server answers with may be followed by another attempt. */
  readonly mayRepeat: () => boolean;
}

const OK = 200;
const FIRST_REDIRECT = 300;
const FIRST_SERVER_ERROR = 500;
/** Largest answer that is held back until it is whole, in bytes. */
const LARGEST_WHOLE_ANSWER = 8_000_000;

/** Tells whether an error came from an answer that must not reach the caller. */
export function isAnswerError(error: unknown): error is AnswerError {
  return error instanceof Error && 'answerFault' in error;
}

const answerError = (answerFault: AnswerFault, head: AnswerHead): AnswerError =>
  Object.assign(new Error(`the server's answer with status ${head.status} is ${answerFault}`), {
    answerFault,
    status: head.status,
    otherServer: head.otherServer,
  });

const isSuccess = (status: number): boolean => status >= OK && status < FIRST_REDIRECT;

/** Throws where an answer must not reach the caller. */
function checkHead(head: AnswerHead, { callId, mayRepeat }: RelayOptions): void {
  if (head.callId !== undefined && head.callId !== callId) {
    throw answerError(ANSWER_FAULT.FOREIGN, head);
  }
  if (head.notRun || head.otherServer) throw answerError(ANSWER_FAULT.NOT_RUN, head);
  if (isSuccess(head.status) && !head.signed) throw answerError(ANSWER_FAULT.FOREIGN, head);
  if (head.status >= FIRST_SERVER_ERROR && mayRepeat())
    throw answerError(ANSWER_FAULT.FAILED, head);
}

const tooLarge = (): Refusal =>
  createRefusal({
    status: 502,
    code: REFUSAL.TARGET_FAILED,
    message: `the answer is larger than ${LARGEST_WHOLE_ANSWER} bytes`,
    ran: RAN.YES,
  });

/** Creates a relay that delivers an answer once it is whole. */
export function createWholeRelay(options: RelayOptions): Relay {
  const { reply } = options;
  let head: AnswerHead | undefined;
  let chunks: Buffer[] = [];
  let size = 0;
  return {
    openSink: () => {
      head = undefined;
      chunks = [];
      size = 0;
      return {
        onHead: (answered) => {
          checkHead(answered, options);
          head = answered;
        },
        onData: (chunk) => {
          if (size === 0) options.onFirst();
          size += chunk.length;
          if (size > LARGEST_WHOLE_ANSWER) throw tooLarge();
          chunks.push(chunk);
        },
      };
    },
    begun: () => false,
    lastEventId: () => undefined,
    finish: () => {
      if (!head) return;
      const length = head.framed ? ['content-length', String(size)] : [];
      reply.begin(head.status, [...head.headers, ...length], head.framed);
      chunks.forEach((chunk) => reply.write(chunk));
      reply.end();
    },
  };
}

/**
 * Creates a relay that passes events on as they arrive. The head waits for the first event: until
 * then another server may still answer.
 * @param whole passes on whole events only, so that the stream can go on at another server
 */
export function createStreamRelay(options: RelayOptions, whole: boolean): Relay {
  const { reply } = options;
  let lastId = options.lastEventId;
  let flow: FlowControl | undefined;
  let splitter: EventSplitter | undefined;
  let head: AnswerHead | undefined;
  let rest = 0;
  reply.onDrain(() => flow?.resume());

  const begin = (): void => {
    if (reply.begun() || !head) return;
    options.onFirst();
    reply.begin(head.status, head.headers, head.framed);
  };

  const pass = (chunk: Buffer): void => {
    begin();
    if (!reply.write(chunk)) flow?.pause();
  };

  const passWhole = (chunk: Buffer): void => {
    const events = splitter!.push(chunk);
    rest = splitter!.rest();
    if (!events) return;
    lastId = splitter!.lastId() ?? lastId;
    pass(events);
  };

  return {
    openSink: () => {
      splitter = whole ? createEventSplitter() : undefined;
      rest = 0;
      return {
        onHead: (answered, control) => {
          checkHead(answered, options);
          // A stream that goes on elsewhere keeps the head of its first server.
          if (reply.begun() && !isSuccess(answered.status)) {
            throw answerError(ANSWER_FAULT.FAILED, answered);
          }
          if (!reply.begun()) head = answered;
          flow = control;
        },
        onData: passAny,
      };
    },
    begun: reply.begun,
    lastEventId: () => lastId,
    finish: () => {
      if (rest > 0) throw answerError(ANSWER_FAULT.FAILED, head!);
      begin();
      reply.end();
    },
  };

  /** Bodies of failures are no events. */
  function passAny(chunk: Buffer): void {
    if (splitter && head && isSuccess(head.status)) passWhole(chunk);
    else pass(chunk);
  }
}
