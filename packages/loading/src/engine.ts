import type { ResidentModel, ServerEntry } from '@bulrushspar/catalogue';

/** Operations of an order. */
export const ORDER_OPERATION = { LOAD: 'load', UNLOAD: 'unload' } as const;

/** One of {@link ORDER_OPERATION}. */
export type OrderOperation = (typeof ORDER_OPERATION)[keyof typeof ORDER_OPERATION];

/** The operation of an order and the model or adapter that it applies to. */
export interface OrderRequest {
  readonly operation: OrderOperation;
  readonly model: string;
  /** Absent if the order applies to the model itself. */
  readonly adapter?: string;
}

/** An order as it is sent to a server. */
export interface Order extends OrderRequest {
  /**
   * Number of orders that the server must have accepted so far; otherwise it reports a conflict.
   */
  readonly expectedSequence: number;
  /** Host that holds the lease for orders. */
  readonly holder: string;
  /** Fencing token of that lease; a server rejects an order whose token is outdated. */
  readonly fencing: number;
}

/** Outcomes of an order. */
export const ORDER_OUTCOME = {
  ACCEPTED: 'accepted',
  /** The server already is in the requested state. */
  HOLDS: 'holds',
  /** Another order is in progress, or the expected sequence differs from the server's. */
  CONFLICT: 'conflict',
  /** The server refuses the order: wrong lease holder, wrong server or invalid order. */
  REJECTED: 'rejected',
  /** The order was not sent: the server lacks the memory or adapter slot that the load needs. */
  NO_ROOM: 'no-room',
  /** No answer: the server may have accepted the order, or may still do so. */
  UNKNOWN: 'unknown',
} as const;

/** One of {@link ORDER_OUTCOME}. */
export type OrderOutcome = (typeof ORDER_OUTCOME)[keyof typeof ORDER_OUTCOME];

/** State that a server reports about itself; it lags by some hundred milliseconds. */
export interface ServerReport {
  readonly born: number;
  /** Whether the server is executing an order. */
  readonly busy: boolean;
  /** Number of orders accepted since the server started. */
  readonly sequence: number;
  readonly models: readonly ResidentModel[];
}

/** Client interface for the servers' reports and orders. */
export interface EngineControl {
  /** Fetches a server's report. Rejects if there is no usable answer. */
  report(server: ServerEntry): Promise<ServerReport>;
  /** Sends an order; resolves to `UNKNOWN` if there is no answer. */
  order(server: ServerEntry, order: Order): Promise<OrderOutcome>;
}
