import { request } from 'undici';
import { createConnections, type Connections } from './exchange.js';

/** A model loaded on a server, with its number of running and waiting requests. */
export interface LoadedModel {
  readonly model: string;
  readonly adapters: readonly string[];
  readonly running: number;
  readonly waiting: number;
}

/** Checkpoints, by model name, that an engine caches outside of accelerator memory. */
export interface CachedCheckpoints {
  readonly memory: readonly string[];
  readonly disk: readonly string[];
}

/** Answer of an engine to `GET /engine/state`; `loading` holds model names. */
export interface EngineState {
  readonly loaded: readonly LoadedModel[];
  readonly loading: readonly string[];
  readonly cached: CachedCheckpoints;
}

/** Kinds of orders to an engine. */
export const ORDER = {
  LOAD: 'load',
  UNLOAD: 'unload',
  LOAD_ADAPTER: 'load-adapter',
} as const;

/** An order to an engine; idempotent for the same model and fencing number. */
export interface EngineOrder {
  readonly order: (typeof ORDER)[keyof typeof ORDER];
  readonly model: string;
  readonly adapter?: string;
  /** Fencing number; increases with each decision about the same model. */
  readonly fencing: number;
}

/** Answers of an engine to an order. */
export const ORDER_ANSWER = {
  ACCEPTED: 'accepted',
  STALE: 'stale',
  NO_MEMORY: 'no-memory',
} as const;

/** One of {@link ORDER_ANSWER}. */
export type OrderAnswer = (typeof ORDER_ANSWER)[keyof typeof ORDER_ANSWER];

/** Interface to one engine. `state` and `order` reject when the engine does not answer. */
export interface Engine {
  readonly connections: Connections;
  state(): Promise<EngineState>;
  order(order: EngineOrder): Promise<OrderAnswer>;
  close(): Promise<void>;
}

const CONTROL_TIMEOUT_MILLISECONDS = 2000;
const ACCEPTED = 202;
const CONFLICT = 409;
const INSUFFICIENT_STORAGE = 507;

/**
 * Creates an {@link Engine} that is called over HTTP.
 * @param origin such as http://127.0.0.1:8000
 */
export function createHttpEngine(origin: string): Engine {
  const connections = createConnections(origin);
  const sendControlRequest = (method: 'GET' | 'POST', path: string, body?: unknown) =>
    request(new URL(path, origin), {
      dispatcher: connections.pool,
      method,
      headers: { 'content-type': 'application/json' },
      body: body === undefined ? null : JSON.stringify(body),
      signal: AbortSignal.timeout(CONTROL_TIMEOUT_MILLISECONDS),
    });
  return {
    connections,
    state: async () => {
      const answer = await sendControlRequest('GET', '/engine/state');
      return (await answer.body.json()) as EngineState;
    },
    order: async (order) => {
      const answer = await sendControlRequest('POST', '/engine/orders', order);
      await answer.body.dump();
      if (answer.statusCode === ACCEPTED) return ORDER_ANSWER.ACCEPTED;
      if (answer.statusCode === CONFLICT) return ORDER_ANSWER.STALE;
      if (answer.statusCode === INSUFFICIENT_STORAGE) return ORDER_ANSWER.NO_MEMORY;
      throw new Error(
        `engine ${origin} answered ${answer.statusCode} to order "${order.order}" for model "${order.model}"`,
      );
    },
    close: () => connections.close(),
  };
}
