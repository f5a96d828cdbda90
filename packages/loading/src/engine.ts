import type { ResidentModel, ServerEntry } from '@bulrushspar/catalogue';

/** What an order does. */
export const OPERATION = { LOAD: 'load', UNLOAD: 'unload' } as const;

/** One of {@link OPERATION}. */
export type Operation = (typeof OPERATION)[keyof typeof OPERATION];

/** What an order asks for. */
export interface OrderRequest {
  readonly operation: Operation;
  readonly model: string;
  /** Absent where the order concerns the model itself. */
  readonly adapter?: string;
}

/** An order to a server. */
export interface Order extends OrderRequest {
  /** Orders that the server must have accepted so far; it refuses the order otherwise. */
  readonly expectedSequence: number;
  readonly holder: string;
  readonly fencing: number;
}

/** What a server answered to an order. */
export const ORDER_OUTCOME = {
  ACCEPTED: 'accepted',
  /** There was nothing to do. */
  HOLDS: 'holds',
  /** Another order is under way, or the sequence differs. */
  CONFLICT: 'conflict',
  /** The server will not carry this order out: another holder, another server, a bad order. */
  REJECTED: 'rejected',
  /** The order was not sent: the server has no room for what it loads. */
  NO_ROOM: 'no-room',
  /** No answer: it may have been accepted, or may be later. */
  UNKNOWN: 'unknown',
} as const;

/** One of {@link ORDER_OUTCOME}. */
export type OrderOutcome = (typeof ORDER_OUTCOME)[keyof typeof ORDER_OUTCOME];

/** What a server reports of itself, as of some hundred milliseconds ago. */
export interface ServerReport {
  readonly born: number;
  readonly busy: boolean;
  readonly sequence: number;
  readonly models: readonly ResidentModel[];
}

/** Port to the servers for orders. */
export interface EngineControl {
  /** Rejects when there is no usable answer. */
  report(server: ServerEntry): Promise<ServerReport>;
  order(server: ServerEntry, order: Order): Promise<OrderOutcome>;
}
