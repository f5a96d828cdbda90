import type { Clock } from '@bulrushspar/clock';
import { errorMessage, wrapError } from '@bulrushspar/errors';
import type { Incarnation } from '@bulrushspar/store';
import { encodeMessage, type Connection, type PeerMessage } from './connection.js';

/** Handles messages of one type. The result is sent as the answer if the sender expects one. */
export type PeerHandler = (body: unknown, from: Incarnation) => unknown;

/** Handlers by message type. */
export type PeerHandlers = Readonly<Record<string, PeerHandler>>;

/** An authenticated connection to another node. */
export interface Link {
  readonly peer: Incarnation;
  /** Sends without waiting for an answer. The message is dropped if the other end does not read. */
  send(type: string, body: unknown): void;
  /** Sends a message that {@link encodeMessage} has encoded. */
  sendEncoded(data: Buffer): void;
  /** Sends a request and waits for the answer; rejects if none arrives within the timeout. */
  request<Answer>(type: string, body: unknown, milliseconds: number): Promise<Answer>;
  /** Handles messages until the connection has closed or the silence timeout has expired. */
  run(): Promise<void>;
  close(): void;
}

/** Options of {@link createLink}. */
export interface LinkOptions {
  readonly connection: Connection;
  readonly peer: Incarnation;
  readonly handlers: PeerHandlers;
  readonly clock: Clock;
  /** Time without a message after which the link counts as broken, in milliseconds. */
  readonly silenceTimeoutMilliseconds: number;
}

const ANSWER = 'answer';
const FAILURE = 'failure';

interface PendingRequest {
  readonly resolve: (answer: unknown) => void;
  readonly reject: (error: Error) => void;
}

/** Sends a message on several links; it is encoded once. */
export function sendToAll(links: readonly Link[], type: string, body: unknown): void {
  if (links.length === 0) return;
  const data = encodeMessage({ type, body });
  links.forEach((link) => link.sendEncoded(data));
}

/** Creates a link on a connection whose ends have authenticated each other. */
export function createLink(options: LinkOptions): Link {
  const { connection, peer, handlers, clock, silenceTimeoutMilliseconds } = options;
  const pendingRequests = new Map<number, PendingRequest>();
  let nextId = 1;

  const settleRequest = ({ type, id, body }: PeerMessage): void => {
    const request = pendingRequests.get(id!);
    pendingRequests.delete(id!);
    if (type === ANSWER) request?.resolve(body);
    else request?.reject(new Error(String(body)));
  };

  const handleMessage = async ({ type, id, body }: PeerMessage): Promise<void> => {
    const handler = Object.hasOwn(handlers, type) ? handlers[type] : undefined;
    try {
      if (!handler) throw new Error(`there is no handler for messages of type ${type}`);
      const result = await handler(body, peer);
      if (id !== undefined) connection.send({ type: ANSWER, id, body: result });
    } catch (error) {
      if (id !== undefined) connection.send({ type: FAILURE, id, body: errorMessage(error) });
    }
  };

  const closeAndRejectPending = (): void => {
    connection.close();
    pendingRequests.forEach(({ reject }) =>
      reject(new Error(`the link to host ${peer.host} is broken`)),
    );
    pendingRequests.clear();
  };

  return {
    peer,
    send: (type, body) => {
      connection.send({ type, body });
    },
    sendEncoded: (data) => {
      connection.sendEncoded(data);
    },
    request: <Answer>(type: string, body: unknown, timeoutMilliseconds: number) =>
      new Promise<Answer>((resolve, reject) => {
        const id = nextId;
        nextId += 1;
        const cancelTimeout = clock.after(timeoutMilliseconds, () => {
          pendingRequests.delete(id);
          reject(new Error(`host ${peer.host} did not answer the request ${type} in time`));
        });
        pendingRequests.set(id, {
          resolve: (value) => {
            cancelTimeout();
            resolve(value as Answer);
          },
          reject: (error) => {
            cancelTimeout();
            reject(wrapError(error, `host ${peer.host} failed to handle the request ${type}`));
          },
        });
        if (connection.send({ type, id, body })) return;
        pendingRequests.delete(id);
        cancelTimeout();
        reject(new Error(`the request ${type} was not sent: host ${peer.host} takes no messages`));
      }),
    run: async () => {
      let message = await connection.receive(silenceTimeoutMilliseconds);
      while (message) {
        if (message.type === ANSWER || message.type === FAILURE) settleRequest(message);
        else handleMessage(message).catch(() => {});
        // eslint-disable-next-line no-await-in-loop -- messages are received in sequence
        message = await connection.receive(silenceTimeoutMilliseconds);
      }
      closeAndRejectPending();
    },
    close: closeAndRejectPending,
  };
}
