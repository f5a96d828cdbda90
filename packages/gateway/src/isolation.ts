/** Limits how many servers a request that crashes its server can bring down. */
import { createHash } from 'node:crypto';
import type { Stopwatch } from '@bulrushspar/clock';
import { createRefusal, isRefusal, REFUSAL, type Refusal } from '@bulrushspar/errors';
import type { TurnQueue } from '@bulrushspar/placement';
import { isStoreError } from '@bulrushspar/store';
import type { SuspectTracker } from '@bulrushspar/routing';
import {
  EXCHANGE_FAULT,
  isExchangeError,
  EXCHANGE_PROGRESS,
  findLoadedModel,
  type ServerView,
  type TargetRegistry,
} from '@bulrushspar/targets';
import type { ChatRequest } from './chat.js';
import { waitUnlessAborted, type RequestContext } from './context.js';

/** Permission to run a request now. */
export interface RunPermit {
  /** @returns whether no crash recorded since the permit was granted forbids the request to run */
  isValid(): boolean;
  /** Releases the permit; must be called exactly once. */
  release(): void;
}

/** Tracks the server crashes of one request across its attempts. */
export interface CrashGuard {
  /**
   * Waits until the request may run. If a server crashed while it ran the request, no other suspected
   * request of the model runs at the same time. Rejects with a refusal if two servers crashed.
   */
  acquirePermit(): Promise<RunPermit>;
  /**
   * Checks after a failed attempt whether the server crashed, and records the crash.
   * @param sinceSent stopwatch started when the request was sent to the server
   */
  detectCrash(server: ServerView, error: unknown, sinceSent: Stopwatch): Promise<void>;
  /** @returns the refusal of a request that crashed two servers; undefined for any other */
  getRefusal(): Refusal | undefined;
  /** Removes the crashes recorded for the request after it was served. */
  recordSuccess(): void;
}

/** Creates the crash guard of a request. */
export type CreateCrashGuard = (context: RequestContext, chat: ChatRequest) => CrashGuard;

/** Options of {@link createCrashGuardFactory}. */
export interface CrashGuardOptions {
  readonly registry: TargetRegistry;
  readonly suspects: SuspectTracker;
  /** @returns the queue that runs the suspected requests of a model one at a time across all hosts */
  readonly getTurnQueue: (model: string) => TurnQueue;
}

const MAX_CRASHES = 2;

const createCrashesServersRefusal = (): Refusal =>
  createRefusal({
    status: 422,
    code: REFUSAL.CRASHES_SERVERS,
    message: 'two servers crashed while they ran this request, so it is not run again',
  });

const createStoreUnavailableRefusal = (cause: unknown): Refusal =>
  createRefusal({
    status: 503,
    code: REFUSAL.STORE_UNAVAILABLE,
    message:
      'a server crashed during this request, and its exclusive retry needs the store, which is unavailable',
    retryAfterSeconds: 2,
    cause,
  });

/** Hashes the content of a request, so that a retry through any host has the same fingerprint. */
function computeFingerprint(context: RequestContext, chat: ChatRequest): string {
  const { workspace } = context.identity!;
  const path = context.request.url!.split('?')[0]!;
  return createHash('sha256')
    .update(JSON.stringify([workspace, path, chat.body]))
    .digest('hex');
}

const isConnectionCut = (error: unknown): boolean =>
  isExchangeError(error) &&
  error.fault === EXCHANGE_FAULT.CUT &&
  error.progress !== EXCHANGE_PROGRESS.NOT_SENT;

/** A server that crashes may end its stream in order, without the last event. */
const isAnswerIncomplete = (error: unknown): boolean =>
  isRefusal(error) && error.refusal.code === REFUSAL.ANSWER_CUT;

/** Creates the function with which one host creates the crash guards of its requests. */
export function createCrashGuardFactory(options: CrashGuardOptions): CreateCrashGuard {
  const { registry, suspects, getTurnQueue } = options;

  /** @returns whether the process of a server has ended; a connection can break for other reasons */
  const hasCrashed = async (server: ServerView, model: string): Promise<boolean> => {
    // The first refresh can return a report that was in flight and predates the crash.
    await registry.refresh(server);
    await registry.refresh(server);
    return (
      server.refusesConnections ||
      (server.consecutiveFailures === 0 && findLoadedModel(server, model) === undefined)
    );
  };

  return (context, chat) => {
    const { model } = chat;
    let cachedFingerprint: string | undefined;
    /** Computed lazily and cached, because it hashes the complete body. */
    const getFingerprint = (): string => {
      cachedFingerprint ??= computeFingerprint(context, chat);
      return cachedFingerprint;
    };
    const countCrashes = (): number =>
      suspects.isEmpty() ? 0 : suspects.countCrashes(getFingerprint());
    const isSuspected = (): boolean => countCrashes() > 0;
    const isBlocked = (): boolean => countCrashes() >= MAX_CRASHES;

    const waitForTurn = async (): Promise<RunPermit> => {
      const turns = getTurnQueue(model);
      const name = `${getFingerprint()}/${context.tracer.id}`;
      const { priority } = chat.route.route;
      context.tracer.addStep('waits for a turn alone');
      turns.register({ name, priority, remainingMilliseconds: context.remainingMilliseconds() });
      try {
        await waitUnlessAborted(context, turns.acquire(name));
      } catch (error) {
        turns.release(name);
        throw isStoreError(error) ? createStoreUnavailableRefusal(error) : error;
      }
      return { isValid: () => !isBlocked(), release: () => turns.release(name) };
    };

    return {
      acquirePermit: async () => {
        if (isBlocked()) throw createCrashesServersRefusal();
        if (!isSuspected()) return { isValid: () => !isSuspected(), release: () => {} };
        const permit = await waitForTurn();
        if (permit.isValid()) return permit;
        permit.release();
        throw createCrashesServersRefusal();
      },
      detectCrash: async (server, error, sinceSent) => {
        if (!isConnectionCut(error) && !isAnswerIncomplete(error)) return;
        if (!(await hasCrashed(server, model))) return;
        suspects.recordCrash(getFingerprint(), server.name, sinceSent);
        context.tracer.addStep('crashed', server.name);
      },
      getRefusal: () => (isBlocked() ? createCrashesServersRefusal() : undefined),
      recordSuccess: () => {
        if (isSuspected()) suspects.clear(getFingerprint());
      },
    };
  };
}
