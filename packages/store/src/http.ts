import { Agent, request, type Dispatcher } from 'undici';
import { createStoreError, EFFECT, type Effect } from './failure.js';

/** A JSON answer of the platform. */
export interface JsonAnswer {
  readonly status: number;
  readonly body: unknown;
}

/** One call to the platform. */
export interface JsonCall {
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  readonly path: string;
  readonly body?: unknown;
  readonly signal?: AbortSignal;
  /** Time allowed in milliseconds; the default is that of the client. */
  readonly timeoutMilliseconds?: number;
}

/** Makes JSON calls to one base URL. */
export interface JsonClient {
  /** Throws a StoreError when there is no answer, or a 5xx one. */
  call(call: JsonCall): Promise<JsonAnswer>;
  close(): Promise<void>;
}

const NOT_SENT_CODES = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'EHOSTUNREACH']);
const FIRST_SERVER_ERROR = 500;

function effectOf(error: unknown): Effect {
  const code = (error as { code?: string }).code ?? '';
  return NOT_SENT_CODES.has(code) ? EFFECT.NONE : EFFECT.UNKNOWN;
}

/** Options of {@link createJsonClient}. */
export interface JsonClientOptions {
  /** Statuses of 500 and more by which the service states that it has done nothing. */
  readonly notDoneStatuses?: readonly number[];
}

/**
 * Creates a client. Calls are never repeated by it.
 * @param baseUrl of the platform's service
 * @param timeoutMilliseconds time allowed for a call
 */
export function createJsonClient(
  baseUrl: string,
  timeoutMilliseconds: number,
  options: JsonClientOptions = {},
): JsonClient {
  const { notDoneStatuses = [] } = options;
  const dispatcher: Dispatcher = new Agent({
    pipelining: 1,
    connect: { timeout: timeoutMilliseconds },
    bodyTimeout: 0,
    headersTimeout: 0,
  });
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
    const text = await answer.body.text();
    return { status: answer.statusCode, body: text === '' ? undefined : JSON.parse(text) };
  };
  return {
    call: async (call) => {
      const answer = await send(call).catch((error: unknown) => {
        throw createStoreError(effectOf(error), `${call.method} ${call.path} unanswered`, error);
      });
      if (answer.status >= FIRST_SERVER_ERROR) {
        const message = `${call.method} ${call.path} answered ${answer.status}`;
        const notDone = notDoneStatuses.includes(answer.status);
        throw createStoreError(notDone ? EFFECT.NONE : EFFECT.UNKNOWN, message);
      }
      return answer;
    },
    close: () => dispatcher.close(),
  };
}
