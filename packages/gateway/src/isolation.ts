/** Keeps a request that crashes servers from being run again and again. */
import { createHash } from 'node:crypto';
import type { Stopwatch } from '@bulrushspar/clock';
import { createRefusal, REFUSAL, type Refusal } from '@bulrushspar/errors';
import type { Turns } from '@bulrushspar/placement';
import { isStoreError } from '@bulrushspar/store';
import type { Suspects } from '@bulrushspar/routing';
import {
  EXCHANGE_FAULT,
  isExchangeError,
  PROGRESS,
  reportOf,
  type ServerView,
  type TargetRegistry,
} from '@bulrushspar/targets';
import type { ChatRequest } from './chat.js';
import { whileOpen, type RequestContext } from './context.js';

/** Right to run a request now. */
export interface Isolated {
  /** Tells whether it still holds: nothing new is known of the request. */
  holds(): boolean;
  /** Ends the right; must be called once. */
  leave(): void;
}

/** Watches one request over its tries. */
export interface Watch {
  /**
   * Waits until the request may run: alone among the suspected ones of its model where a server
   * crashed under it. Rejects with a refusal where two did.
   */
  enter(): Promise<Isolated>;
  /**
   * Finds out whether the server crashed.
   * @param sinceSent began when the request was sent there
   */
  inspect(server: ServerView, error: unknown, sinceSent: Stopwatch): Promise<void>;
  /** The refusal of a request that crashed two servers; undefined for any other. */
  verdict(): Refusal | undefined;
  /** Notes that the request was served. */
  clear(): void;
}

/** Creates the watch of a request. */
export type Isolation = (context: RequestContext, chat: ChatRequest) => Watch;

/** Options of {@link createIsolation}. */
export interface IsolationOptions {
  readonly registry: TargetRegistry;
  readonly suspects: Suspects;
  /** Turns of the suspected requests of a model, one at a time over all hosts. */
  readonly turnsOf: (model: string) => Turns;
}

const MOST_CRASHES = 2;

const crashesServers = (): Refusal =>
  createRefusal({
    status: 422,
    code: REFUSAL.CRASHES_SERVERS,
    message: 'two servers ended while they ran this request, so it is not run again',
  });

const storeAway = (cause: unknown): Refusal =>
  createRefusal({
    status: 503,
    code: REFUSAL.STORE_UNAVAILABLE,
    message: 'a server ended under this request, and without the store it cannot be run alone',
    retryAfterSeconds: 2,
    cause,
  });

/** Names a request by its content, so that it is known again whoever sends it on. */
function fingerprintOf(context: RequestContext, chat: ChatRequest): string {
  const { workspace } = context.identity!;
  const path = context.request.url!.split('?')[0]!;
  return createHash('sha256')
    .update(JSON.stringify([workspace, path, chat.body]))
    .digest('hex');
}

const isCut = (error: unknown): boolean =>
  isExchangeError(error) &&
  error.fault === EXCHANGE_FAULT.CUT &&
  error.progress !== PROGRESS.NOT_SENT;

/** Creates the isolation of one host. */
export function createIsolation(options: IsolationOptions): Isolation {
  const { registry, suspects, turnsOf } = options;

  /** Tells whether a server's process has ended; a connection may break for other reasons. */
  const hasCrashed = async (server: ServerView, model: string): Promise<boolean> => {
    // A report that was under way may be from before the crash.
    await registry.refresh(server);
    await registry.refresh(server);
    return server.refuses || (server.missed === 0 && reportOf(server, model) === undefined);
  };

  return (context, chat) => {
    const { model } = chat;
    let known: string | undefined;
    /** Is made once and only where it is needed, since it takes a hash of the whole body. */
    const fingerprint = (): string => {
      known ??= fingerprintOf(context, chat);
      return known;
    };
    const crashes = (): number => (suspects.isEmpty() ? 0 : suspects.crashes(fingerprint()));
    const isSuspected = (): boolean => crashes() > 0;
    const isBlocked = (): boolean => crashes() >= MOST_CRASHES;

    const awaitTurn = async (): Promise<Isolated> => {
      const turns = turnsOf(model);
      const name = `${fingerprint()}/${context.tracer.id}`;
      const { priority } = chat.route.route;
      context.tracer.add('waits for a turn alone');
      turns.want({ name, priority, remainingMilliseconds: context.remainingMilliseconds() });
      try {
        await whileOpen(context, turns.acquire(name));
      } catch (error) {
        turns.finish(name);
        throw isStoreError(error) ? storeAway(error) : error;
      }
      return { holds: () => !isBlocked(), leave: () => turns.finish(name) };
    };

    return {
      enter: async () => {
        if (isBlocked()) throw crashesServers();
        if (!isSuspected()) return { holds: () => !isSuspected(), leave: () => {} };
        const turn = await awaitTurn();
        if (turn.holds()) return turn;
        turn.leave();
        throw crashesServers();
      },
      inspect: async (server, error, sinceSent) => {
        if (!isCut(error)) return;
        if (!(await hasCrashed(server, model))) return;
        suspects.noteCrash(fingerprint(), server.name, sinceSent);
        context.tracer.add('crashed', server.name);
      },
      verdict: () => (isBlocked() ? crashesServers() : undefined),
      clear: () => {
        if (isSuspected()) suspects.clear(fingerprint());
      },
    };
  };
}
