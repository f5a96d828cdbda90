import type { ServerResponse } from 'node:http';
import { createRefusal, RAN, REFUSAL, type Refusal } from '@bulrushspar/errors';
import {
  createStreamRelay,
  createBufferedRelay,
  type AnswerWriter,
  type Relay,
  type RelayedHead,
} from '@bulrushspar/routing';
import type { AnswerHead } from '@bulrushspar/targets';
import { REQUEST_ID_HEADER } from './answer.js';

/** Token counts of an answer. */
export interface Usage {
  readonly promptTokens?: number;
  readonly completionTokens: number;
}

/** Head of an answer of a model. */
export interface ModelHead extends RelayedHead {
  /** Id of the request that the answer belongs to, if the server sends it. */
  readonly answeredRequestId?: string;
  /** Length of the body in bytes, if the server sends it. */
  readonly length?: number;
}

/** Forwards a model's answer to its caller and counts its tokens. */
export interface ModelRelay extends Relay<ModelHead> {
  /** @returns the usage in the answer, or a count of its events if it has none */
  usage(): Usage;
}

/** Options of {@link createModelRelay}. */
export interface ModelRelayOptions {
  readonly response: ServerResponse;
  readonly requestId: string;
  /** Whether the caller requested an event stream. */
  readonly stream: boolean;
  readonly onFirstToken: () => void;
}

/** Error for an answer that shows that the server did not run the request. */
export type NotRunError = Error & { readonly notRun: true };

/** @returns whether the server answered that it did not run the request */
export function isNotRun(error: unknown): error is NotRunError {
  return error instanceof Error && 'notRun' in error;
}

const OK = 200;
const NOT_FOUND_STATUS = 404;
const TOO_MANY_REQUESTS = 429;
const UNAVAILABLE = 503;
const NOT_RUN_STATUSES = new Set([NOT_FOUND_STATUS, TOO_MANY_REQUESTS, UNAVAILABLE]);
const BAD_GATEWAY = 502;
/** Chunks at the end of a stream that are kept to read its last events. */
const MAX_TAIL_CHUNKS = 8;
const EVENT_PREFIX = Buffer.from('data: ');
const DONE_EVENT = 'data: [DONE]';
/** Events of a stream that carry no token. */
const EVENTS_WITHOUT_TOKEN = 2;

const createStatusRefusal = (status: number): Refusal =>
  createRefusal({
    status: status < 500 ? status : BAD_GATEWAY,
    code: status < 500 ? REFUSAL.BAD_REQUEST : REFUSAL.TARGET_FAILED,
    message: `the server answered with status ${status}`,
    ran: status < 500 ? RAN.NO : RAN.UNKNOWN,
  });

const createTooLargeRefusal = (bytes: number): Refusal =>
  createRefusal({
    status: BAD_GATEWAY,
    code: REFUSAL.TARGET_FAILED,
    message: `the server's answer exceeds ${bytes} bytes`,
    ran: RAN.YES,
  });

const createCutRefusal = (): Refusal =>
  createRefusal({
    status: BAD_GATEWAY,
    code: REFUSAL.ANSWER_CUT,
    message: 'the server ended its answer before it was complete',
    ran: RAN.UNKNOWN,
    retryAfterSeconds: 1,
  });

/** Validates the head of an answer; throws if the answer must not be sent to the caller. */
function checkHead({ status, answeredRequestId }: ModelHead, requestId: string): void {
  if (answeredRequestId !== undefined && answeredRequestId !== requestId) {
    throw createRefusal({
      status: BAD_GATEWAY,
      code: REFUSAL.ANSWER_MISMATCHED,
      message: 'the server returned the answer to another request',
      ran: RAN.UNKNOWN,
      retryAfterSeconds: 1,
    });
  }
  if (NOT_RUN_STATUSES.has(status)) {
    throw Object.assign(new Error(`the server answered with status ${status}`), {
      notRun: true as const,
    });
  }
  if (status !== OK) throw createStatusRefusal(status);
}

function countEvents(chunk: Buffer): number {
  let count = 0;
  for (
    let index = chunk.indexOf(EVENT_PREFIX);
    index >= 0;
    index = chunk.indexOf(EVENT_PREFIX, index + 1)
  ) {
    count += 1;
  }
  return count;
}

function parseUsage(text: string): Usage | undefined {
  const completionTokens = /"completion_tokens":\s*(\d+)/.exec(text)?.[1];
  if (completionTokens === undefined) return undefined;
  const promptTokens = /"prompt_tokens":\s*(\d+)/.exec(text)?.[1];
  return {
    completionTokens: Number(completionTokens),
    ...(promptTokens === undefined ? {} : { promptTokens: Number(promptTokens) }),
  };
}

/** Decodes the head of an engine's answer and sets the headers for the caller. */
export function decodeModelHead({ status, headers }: AnswerHead, stream: boolean): ModelHead {
  const callId = headers[REQUEST_ID_HEADER];
  const length = headers['content-length'];
  return {
    status,
    framed: true,
    headers: stream
      ? ['content-type', 'text/event-stream', 'cache-control', 'no-store']
      : ['content-type', 'application/json'],
    ...(callId === undefined ? {} : { answeredRequestId: String(callId) }),
    ...(length === undefined ? {} : { length: Number(length) }),
  };
}

function createAnswerWriter(response: ServerResponse, requestId: string): AnswerWriter {
  return {
    hasBegun: () => response.headersSent,
    writeHead: (status, headers) => {
      // Headers are set one by one, since sendRefusal reads the content type back with getHeader to
      // decide whether it can end the answer with an event.
      for (let index = 0; index < headers.length; index += 2) {
        response.setHeader(headers[index]!, headers[index + 1]!);
      }
      response.setHeader(REQUEST_ID_HEADER, requestId);
      response.writeHead(status);
    },
    write: (chunk) => response.write(chunk),
    onDrain: (action) => response.on('drain', action),
    end: () => response.end(),
  };
}

/** Creates the relay of one request; a stream is complete only if it ends with the [DONE] event. */
export function createModelRelay(options: ModelRelayOptions): ModelRelay {
  const { response, requestId, stream, onFirstToken } = options;
  let eventCount = 0;
  const tailChunks: Buffer[] = [];
  const commonOptions = {
    writer: createAnswerWriter(response, requestId),
    onFirstByte: onFirstToken,
    check: (head: ModelHead) => checkHead(head, requestId),
    onChunk: (chunk: Buffer) => {
      eventCount += countEvents(chunk);
      tailChunks.push(chunk);
      if (stream && tailChunks.length > MAX_TAIL_CHUNKS) tailChunks.shift();
    },
  };
  const decodeTail = (): string => Buffer.concat(tailChunks).toString('utf8');
  const relay = stream
    ? createStreamRelay<ModelHead>({
        ...commonOptions,
        resumable: false,
        createIncompleteError: createCutRefusal,
        checkEnd: () => {
          if (!decodeTail().includes(DONE_EVENT)) throw createCutRefusal();
        },
      })
    : createBufferedRelay<ModelHead>({
        ...commonOptions,
        tooLarge: createTooLargeRefusal,
        checkEnd: ({ length }, bytes) => {
          if (length !== undefined && length !== bytes) throw createCutRefusal();
        },
      });
  const estimateCompletionTokens = (): number =>
    stream ? Math.max(0, eventCount - EVENTS_WITHOUT_TOKEN) : 0;
  return {
    ...relay,
    usage: () => parseUsage(decodeTail()) ?? { completionTokens: estimateCompletionTokens() },
  };
}
