import {
  createBufferedRelay,
  createBufferingWriter,
  createStreamRelay,
  type ByteMemory,
  type Relay,
} from '@bulrushspar/routing';
import type { AnswerHead, Reply } from './call.js';

/** Reason why a server's answer must not be passed to the caller. */
export const ANSWER_FAULT = {
  /** The server did not run the request. */
  NOT_RUN: 'not-run',
  /** The answer belongs to another request, or a successful answer is not signed. */
  MISMATCHED: 'mismatched',
  /** The server ran the request and failed. */
  FAILED: 'failed',
  /** The answer is too large to be held until it is complete. */
  TOO_LARGE: 'too-large',
} as const;

/** One of {@link ANSWER_FAULT}. */
export type AnswerFault = (typeof ANSWER_FAULT)[keyof typeof ANSWER_FAULT];

/** Error of an answer that must not be passed to the caller. */
export type AnswerError = Error & {
  readonly answerFault: AnswerFault;
  readonly status: number;
  readonly misdirected: boolean;
};

/** Options of {@link openRelay}. */
export interface AnswerOptions {
  readonly reply: Reply;
  readonly callId: string;
  readonly lastEventId?: string;
  /** Bounds what the answers of all requests hold. */
  readonly memory?: ByteMemory;
  /**
   * Ends the answer, whose unread bytes are needed for others. Without it unread bytes neither are held
   * beyond the buffer of the connection nor count in the memory.
   */
  readonly onShortage?: ((heldBytes: number) => void) | undefined;
  /** Called when the first byte of an answer arrives. */
  readonly onFirstByte: () => void;
  /** @returns whether the request may be retried after a server error */
  readonly mayRetry: () => boolean;
}

const OK = 200;
const FIRST_REDIRECT = 300;
const FIRST_SERVER_ERROR = 500;

/** @returns whether an error is an {@link AnswerError} */
export function isAnswerError(error: unknown): error is AnswerError {
  return error instanceof Error && 'answerFault' in error;
}

const createAnswerError = (answerFault: AnswerFault, head: AnswerHead): AnswerError =>
  Object.assign(
    new Error(`the server's answer with status ${head.status} was not passed on: ${answerFault}`),
    {
      answerFault,
      status: head.status,
      misdirected: head.misdirected,
    },
  );

/** @returns whether a status is one of success, 200 to 299 */
export function isSuccess(status: number): boolean {
  return status >= OK && status < FIRST_REDIRECT;
}

/** @returns whether a status tells of a failure of the server, 500 and above */
export function isServerError(status: number): boolean {
  return status >= FIRST_SERVER_ERROR;
}

/**
 * Returns whether an answer belongs to a request. A server may write an earlier answer again, late, where
 * the next one is due; on a reused connection only the id of the request tells one from the other.
 */
export function isAnswerTo(
  { callId, isReusedConnection = false }: AnswerHead,
  id: string,
): boolean {
  return callId === undefined ? !isReusedConnection : callId === id;
}

/** Throws an {@link AnswerError} if an answer must not be passed to the caller. */
function validateHead(head: AnswerHead, { callId, mayRetry }: AnswerOptions): void {
  if (!isAnswerTo(head, callId)) throw createAnswerError(ANSWER_FAULT.MISMATCHED, head);
  if (head.notRun || head.misdirected) throw createAnswerError(ANSWER_FAULT.NOT_RUN, head);
  if (isSuccess(head.status) && !head.signed)
    throw createAnswerError(ANSWER_FAULT.MISMATCHED, head);
  if (isServerError(head.status) && mayRetry()) throw createAnswerError(ANSWER_FAULT.FAILED, head);
}

/** How an answer is passed to the caller. */
export const DELIVERY = {
  /** In one piece, after all of it was received. */
  WHOLE: 'whole',
  /** Event by event. */
  STREAM: 'stream',
  /** Event by event; an interrupted stream continues from another server. */
  RESUMABLE: 'resumable',
} as const;

/** One of {@link DELIVERY}. */
export type Delivery = (typeof DELIVERY)[keyof typeof DELIVERY];

/** Creates the relay that passes the answer to one request to its caller. */
export function openRelay(delivery: Delivery, options: AnswerOptions): Relay<AnswerHead> {
  const { reply, memory, onShortage, lastEventId, onFirstByte } = options;
  const outlet =
    memory && onShortage ? createBufferingWriter({ writer: reply, memory, onShortage }) : undefined;
  const check = (head: AnswerHead): void => validateHead(head, options);
  if (delivery === DELIVERY.WHOLE)
    return createBufferedRelay({
      writer: outlet ?? reply,
      onFirstByte,
      check,
      memory,
      tooLarge: (_bytes, head) => createAnswerError(ANSWER_FAULT.TOO_LARGE, head),
    });
  return createStreamRelay({
    writer: outlet ?? reply,
    onPending: outlet?.setPendingBytes,
    // The outlet counts them itself.
    memory: outlet ? undefined : memory,
    pool: memory?.pool,
    onFirstByte,
    check,
    lastEventId,
    resumable: delivery === DELIVERY.RESUMABLE,
    createIncompleteError: (head) => createAnswerError(ANSWER_FAULT.FAILED, head),
  });
}
