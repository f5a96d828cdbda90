import type { Clock } from '@bulrushspar/clock';
import { messageOf, wrapError } from '@bulrushspar/errors';
import type { Incarnation } from '@bulrushspar/store';
import type { Connection, PeerMessage } from './connection.js';

/** Answers messages of one type; what it returns goes back where an answer is expected. */
export type PeerHandler = (body: unknown, from: Incarnation) => unknown;

/** Handlers by the types of messages that they answer. */
export type PeerHandlers = Readonly<Record<string, PeerHandler>>;

/** An authenticated connection to another node. */
export interface Link {
  readonly peer: Incarnation;
  /** Sends without waiting for an answer. */
  send(type: string, body: unknown): void;
  /** Sends and waits for the answer; rejects when there is none in time. */
  request<Answer>(type: string, body: unknown, milliseconds: number): Promise<Answer>;
  /** Handles messages until the connection has closed or was silent for too long. */
  run(): Promise<void>;
  close(): void;
}

/** Options of {@link createLink}. */
export interface LinkOptions {
  readonly connection: Connection;
  readonly peer: Incarnation;
  readonly handlers: PeerHandlers;
  readonly clock: Clock;
  /** Silence after which the link counts as broken, in milliseconds. */
  readonly silenceMilliseconds: number;
}

const ANSWER = 'answer';
const FAILURE = 'failure';

interface Waiting {
  readonly resolve: (answer: unknown) => void;
  readonly reject: (error: Error) => void;
}

/** Creates a link on a connection whose ends have proved themselves. */
export function createLink(options: LinkOptions): Link {
  const { connection, peer, handlers, clock, silenceMilliseconds } = options;
  const waiting = new Map<number, Waiting>();
  let nextId = 1;

  const settle = ({ type, id, body }: PeerMessage): void => {
    const request = waiting.get(id!);
    waiting.delete(id!);
    if (type === ANSWER) request?.resolve(body);
    else request?.reject(new Error(String(body)));
  };

  const answer = async ({ type, id, body }: PeerMessage): Promise<void> => {
    const handler = Object.hasOwn(handlers, type) ? handlers[type] : undefined;
    try {
      if (!handler) throw new Error(`there is no handler for ${type}`);
      const result = await handler(body, peer);
      if (id !== undefined) connection.send({ type: ANSWER, id, body: result });
    } catch (error) {
      if (id !== undefined) connection.send({ type: FAILURE, id, body: messageOf(error) });
    }
  };

  const abandon = (): void => {
    connection.close();
    waiting.forEach(({ reject }) => reject(new Error(`the link to ${peer.host} is broken`)));
    waiting.clear();
  };

  return {
    peer,
    send: (type, body) => connection.send({ type, body }),
    request: <Answer>(type: string, body: unknown, milliseconds: number) =>
      new Promise<Answer>((resolve, reject) => {
        const id = nextId;
        nextId += 1;
        const cancel = clock.after(milliseconds, () => {
          waiting.delete(id);
          reject(new Error(`${peer.host} did not answer ${type}`));
        });
        waiting.set(id, {
          resolve: (value) => {
            cancel();
            resolve(value as Answer);
          },
          reject: (error) => {
            cancel();
            reject(wrapError(error, `${peer.host} failed at ${type}`));
          },
        });
        connection.send({ type, id, body });
      }),
    run: async () => {
      let message = await connection.receive(silenceMilliseconds);
      while (message) {
        if (message.type === ANSWER || message.type === FAILURE) settle(message);
        else answer(message).catch(() => {});
        // eslint-disable-next-line no-await-in-loop -- messages follow one another
        message = await connection.receive(silenceMilliseconds);
      }
      abandon();
    },
    close: abandon,
  };
}
