import type { IncomingMessage, ServerResponse } from 'node:http';
import { WRITE_OUTCOME, type ObjectKey, type WriteAnswer } from '@bulrushspar/store';
import { listen, pause, readBody, type Standin } from './listen.js';
import {
  createMemoryStore,
  STORE_FAULT,
  type MemoryStore,
  type StoreCall,
  type StoreFaultRule,
} from './memory.js';

/** Running stand-in for the platform's object API. */
export interface ObjectApiStandin extends Standin {
  /** Sets the rule that selects the fault of each call; undefined for none. */
  setFault(rule: StoreFaultRule | undefined): void;
  /** Sets a delay for each call, in milliseconds. */
  setDelay(milliseconds: number): void;
  /** Number of calls by method; watches are counted as WATCH, not as GET. */
  readonly calls: Record<StoreCall['method'], number>;
}

interface Answer {
  readonly status: number;
  readonly body?: unknown;
}

const OK = 200;
const NOT_FOUND = 404;
const CONFLICT = 409;
const GONE = 410;
const UNAVAILABLE = 503;
const UNAVAILABLE_ANSWER: Answer = { status: UNAVAILABLE };

const createWriteAnswer = (answer: WriteAnswer): Answer =>
  answer.outcome === WRITE_OUTCOME.CONFLICT
    ? { status: CONFLICT }
    : { status: OK, body: { version: answer.version } };

const createReadAnswer = (body: unknown): Answer =>
  body ? { status: OK, body } : { status: NOT_FOUND };

function parseCall(request: IncomingMessage, url: URL): StoreCall {
  const [, , resource, kind = '', name] = url.pathname.split('/').map(decodeURIComponent);
  const method = resource === 'watch' ? 'WATCH' : (request.method as StoreCall['method']);
  return { method, kind, name };
}

/** Options of {@link startObjectApi}. */
export interface ObjectApiOptions {
  readonly port?: number;
  /** Store to serve, by default a new one; stand-ins that share a store have separate faults. */
  readonly store?: MemoryStore;
}

/** Starts an object API stand-in on loopback. */
export async function startObjectApi(options: ObjectApiOptions = {}): Promise<ObjectApiStandin> {
  const { port = 0, store = createMemoryStore() } = options;
  const calls = { GET: 0, PUT: 0, DELETE: 0, WATCH: 0 };
  let chooseFault: StoreFaultRule = () => undefined;
  let delayMilliseconds = 0;

  const executeCall = async (request: IncomingMessage, url: URL, body: string): Promise<Answer> => {
    const { method, kind, name } = parseCall(request, url);
    const parseNumber = (parameter: string): number => Number(url.searchParams.get(parameter) ?? 0);
    if (method === 'WATCH') {
      const answer = await store.watch(kind, parseNumber('after'), parseNumber('seconds'));
      return answer.expired ? { status: GONE } : { status: OK, body: answer };
    }
    if (name === undefined) return createReadAnswer(await store.list(kind));
    const key: ObjectKey = { kind, name };
    if (method === 'GET') return createReadAnswer(await store.read(key));
    const expected = parseNumber('version');
    if (method === 'DELETE') return createWriteAnswer(await store.remove(key, expected));
    return createWriteAnswer(await store.write(key, JSON.parse(body), expected));
  };

  const handle = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const url = new URL(request.url ?? '/', 'http://objects');
    const call = parseCall(request, url);
    calls[call.method] += 1;
    const body = await readBody(request);
    if (delayMilliseconds > 0) await pause(delayMilliseconds);
    const fault = chooseFault(call);
    if (fault === STORE_FAULT.HANGS) return;
    if (fault === STORE_FAULT.REQUEST_LOST) {
      request.socket.destroy();
      return;
    }
    const isUnavailable = fault === STORE_FAULT.UNAVAILABLE;
    const answer = isUnavailable ? UNAVAILABLE_ANSWER : await executeCall(request, url, body);
    if (fault === STORE_FAULT.ANSWER_LOST) {
      request.socket.destroy();
      return;
    }
    response.writeHead(answer.status, { 'content-type': 'application/json' });
    response.end(answer.body === undefined ? '' : JSON.stringify(answer.body));
  };

  const standin = await listen((request, response) => {
    handle(request, response).catch(() => response.destroy());
  }, port);
  return {
    ...standin,
    calls,
    setFault: (next) => {
      chooseFault = next ?? (() => undefined);
    },
    setDelay: (milliseconds) => {
      delayMilliseconds = milliseconds;
    },
  };
}
