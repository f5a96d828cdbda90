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

/** Stand-in for the platform's object API. */
export interface ObjectsStandin extends Standin {
  /** Chooses a fault for each call; undefined for none. */
  setFault(rule: StoreFaultRule | undefined): void;
  /** Delays each call, in milliseconds. */
  setDelay(milliseconds: number): void;
  /** Counts calls by method, watches separately. */
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

const answerWrite = (answer: WriteAnswer): Answer =>
  answer.outcome === WRITE_OUTCOME.CONFLICT
    ? { status: CONFLICT }
    : { status: OK, body: { version: answer.version } };

const found = (body: unknown): Answer => (body ? { status: OK, body } : { status: NOT_FOUND });

function describeCall(request: IncomingMessage, url: URL): StoreCall {
  const [, , area, kind = '', name] = url.pathname.split('/').map(decodeURIComponent);
  const method = area === 'watch' ? 'WATCH' : (request.method as StoreCall['method']);
  return { method, kind, name };
}

/** Options of {@link startObjects}. */
export interface ObjectsOptions {
  readonly port?: number;
  /** Objects that this one shows; several may show the same, each with faults of its own. */
  readonly store?: MemoryStore;
}

/** Starts an object API on loopback. */
export async function startObjects(options: ObjectsOptions = {}): Promise<ObjectsStandin> {
  const { port = 0, store = createMemoryStore() } = options;
  const calls = { GET: 0, PUT: 0, DELETE: 0, WATCH: 0 };
  let rule: StoreFaultRule = () => undefined;
  let delay = 0;

  const perform = async (request: IncomingMessage, url: URL, body: string): Promise<Answer> => {
    const { method, kind, name } = describeCall(request, url);
    const number = (parameter: string): number => Number(url.searchParams.get(parameter) ?? 0);
    if (method === 'WATCH') {
      const answer = await store.watch(kind, number('after'), number('seconds'));
      return answer.expired ? { status: GONE } : { status: OK, body: answer };
    }
    if (name === undefined) return found(await store.list(kind));
    const key: ObjectKey = { kind, name };
    if (method === 'GET') return found(await store.read(key));
    const expected = number('version');
    if (method === 'DELETE') return answerWrite(await store.remove(key, expected));
    return answerWrite(await store.write(key, JSON.parse(body), expected));
  };

  const handle = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const url = new URL(request.url ?? '/', 'http://objects');
    const call = describeCall(request, url);
    calls[call.method] += 1;
    const body = await readBody(request);
    if (delay > 0) await pause(delay);
    const fault = rule(call);
    if (fault === STORE_FAULT.HANGS) return;
    if (fault === STORE_FAULT.REQUEST_LOST) {
      request.socket.destroy();
      return;
    }
    const unavailable = fault === STORE_FAULT.UNAVAILABLE;
    const answer = unavailable ? UNAVAILABLE_ANSWER : await perform(request, url, body);
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
      rule = next ?? (() => undefined);
    },
    setDelay: (milliseconds) => {
      delay = milliseconds;
    },
  };
}
