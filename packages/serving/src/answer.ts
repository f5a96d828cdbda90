import { createRefusal, RAN, REFUSAL, type Refusal } from '@bulrushspar/errors';
import { createStreamRelay, createWholeRelay, type Relay } from '@bulrushspar/routing';
import type { AnswerHead, Reply } from './call.js';

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

/** Options of {@link openRelay}. */
export interface AnswerOptions {
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
function checkHead(head: AnswerHead, { callId, mayRepeat }: AnswerOptions): void {
  if (head.callId !== undefined && head.callId !== callId) {
    throw answerError(ANSWER_FAULT.FOREIGN, head);
  }
  if (head.notRun || head.otherServer) throw answerError(ANSWER_FAULT.NOT_RUN, head);
  if (isSuccess(head.status) && !head.signed) throw answerError(ANSWER_FAULT.FOREIGN, head);
  if (head.status >= FIRST_SERVER_ERROR && mayRepeat())
    throw answerError(ANSWER_FAULT.FAILED, head);
}

const tooLarge = (bytes: number): Refusal =>
  createRefusal({
    status: 502,
    code: REFUSAL.TARGET_FAILED,
    message: `the answer is larger than ${bytes} bytes`,
    ran: RAN.YES,
  });

/** How an answer reaches its caller. */
export const DELIVERY = {
  /** Once it is whole. */
  WHOLE: 'whole',
  /** Event by event. */
  STREAM: 'stream',
  /** Event by event, and on from another server where one breaks off. */
  RESUMABLE: 'resumable',
} as const;

/** One of {@link DELIVERY}. */
export type Delivery = (typeof DELIVERY)[keyof typeof DELIVERY];

/** Opens the relay of one answer. */
export function openRelay(delivery: Delivery, options: AnswerOptions): Relay<AnswerHead> {
  const { reply: outlet, lastEventId, onFirst } = options;
  const check = (head: AnswerHead): void => checkHead(head, options);
  if (delivery === DELIVERY.WHOLE) return createWholeRelay({ outlet, onFirst, check, tooLarge });
  return createStreamRelay({
    outlet,
    onFirst,
    check,
    lastEventId,
    resumable: delivery === DELIVERY.RESUMABLE,
    broken: (head) => answerError(ANSWER_FAULT.FAILED, head),
  });
}
