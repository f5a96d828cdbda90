import { Agent, request, type Dispatcher } from 'undici';
import { createStoreError, EFFECT, type Effect } from './failure.js';

/** HTTP status and parsed JSON body of an answer; the body is undefined if it was empty. */
export interface JsonAnswer {
  readonly status: number;
  readonly body: unknown;
  readonly headers: AnswerHeaders;
}

/** Headers of an answer, by name in lower case. */
export type AnswerHeaders = Readonly<Record<string, string | readonly string[] | undefined>>;

/** One HTTP call to a service of the platform. */
export interface JsonCall {
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  readonly path: string;
  readonly body?: unknown;
  readonly signal?: AbortSignal;
  /** Timeout of this call, in milliseconds; the timeout of the client by default. */
  readonly timeoutMilliseconds?: number;
}

/** Makes JSON calls to one base URL. */
export interface JsonClient {
  /** Rejects with a StoreError when there is no answer or its status is 5xx. */
  call(call: JsonCall): Promise<JsonAnswer>;
  /** Closes the connections after the calls in flight have ended. */
  close(): Promise<void>;
}

const NOT_SENT_ERROR_CODES = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'EHOSTUNREACH']);
const MIN_SERVER_ERROR_STATUS = 500;
/** A page of 500 objects of some kilobytes, or the largest objects of one megabyte, many times over. */
const DEFAULT_MAX_BODY_BYTES = 16_000_000;

function effectOf(error: unknown): Effect {
  const code = (error as { code?: string }).code ?? '';
  return NOT_SENT_ERROR_CODES.has(code) ? EFFECT.NONE : EFFECT.UNKNOWN;
}

/** Options of {@link createJsonClient}. */
export interface JsonClientOptions {
  /** Statuses from 500 up with which the service states that the call had no effect. */
  readonly noEffectStatuses?: readonly number[];
  /** Called with the headers of each answer, whatever its status; the call fails if it throws. */
  readonly onHeaders?: (headers: AnswerHeaders) => void;
  /** Largest body of an answer, in bytes; the call fails at a larger one. */
  readonly maxBodyBytes?: number;
  /** Connections to the service; connections of an HTTP client without further bounds by default. */
  readonly dispatcher?: Dispatcher;
}

async function readText(body: Dispatcher.ResponseData['body'], maxBytes: number): Promise<string> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of body as AsyncIterable<Buffer>) {
    size += chunk.length;
    // The end of the loop closes the connection.
    if (size > maxBytes) throw new Error(`the answer is larger than ${maxBytes} bytes`);
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString('utf8');
}

/**
 * Creates a client that never retries a call.
 * @param baseUrl base URL of the service
 * @param timeoutMilliseconds timeout of a call
 */
export function createJsonClient(
  baseUrl: string,
  timeoutMilliseconds: number,
  options: JsonClientOptions = {},
): JsonClient {
  const { noEffectStatuses = [], onHeaders = () => {} } = options;
  const { maxBodyBytes = DEFAULT_MAX_BODY_BYTES } = options;
  const {
    dispatcher = new Agent({
      pipelining: 1,
      connect: { timeout: timeoutMilliseconds },
      bodyTimeout: 0,
      headersTimeout: 0,
    }),
  } = options;
  const send = async (call: JsonCall): Promise<JsonAnswer> => {
    const timeout = AbortSignal.timeout(call.timeoutMilliseconds ?? timeoutMilliseconds);
    const signal = call.signal ? AbortSignal.any([call.signal, timeout]) : timeout;
    const answer = await request(new URL(call.path, baseUrl), {
      dispatcher,
      method: call.method,
      signal,
      headers: { 'content-type': 'application/json' },
      body: call.body === undefined ? null : JSON.stringify(call.body),
    });
    const text = await readText(answer.body, maxBodyBytes);
    const { statusCode: status, headers } = answer;
    onHeaders(headers);
    return { status, headers, body: text === '' ? undefined : JSON.parse(text) };
  };
  return {
    call: async (call) => {
      const answer = await send(call).catch((error: unknown) => {
        throw createStoreError(effectOf(error), `no answer to ${call.method} ${call.path}`, error);
      });
      if (answer.status >= MIN_SERVER_ERROR_STATUS) {
        const message = `${call.method} ${call.path} answered ${answer.status}`;
        const hasNoEffect = noEffectStatuses.includes(answer.status);
        throw createStoreError(hasNoEffect ? EFFECT.NONE : EFFECT.UNKNOWN, message);
      }
      return answer;
    },
    close: () => dispatcher.close(),
  };
}
