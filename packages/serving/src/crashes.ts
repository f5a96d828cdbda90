/** Refuses requests that crash the servers that run them. */
import type { ServerEntry } from '@bulrushspar/catalogue';
import type { Clock, Stopwatch } from '@bulrushspar/clock';
import { createRefusal, REFUSAL, type Refusal } from '@bulrushspar/errors';
import { createContentPart, type PromptPartTracker } from '@bulrushspar/routing';
import { EXCHANGE_FAULT, EXCHANGE_PROGRESS, isExchangeError } from '@bulrushspar/targets';
import type { AdmittedRequest } from './admit.js';
import { ANSWER_FAULT, isAnswerError, isSuccess } from './answer.js';
import type { AnswerHead, Call } from './call.js';

/** A request as far as the guard looks at it. */
export interface GuardedRequest {
  readonly call: Call;
  readonly admitted: Pick<AdmittedRequest, 'workspace'>;
}

/** The crashes that this host knows of, as far as they concern its requests. */
export interface CrashGuard {
  /**
   * Throws the refusal of a request that may crash the server that it is sent to next.
   * @param wasLost a server that ran the request may have crashed, and it has not been answered since
   */
  check(request: GuardedRequest, wasLost: boolean): void;
  /**
   * Checks a request that is sent to a server next, and keeps it apart from others that may crash servers;
   * rejects with its refusal.
   * @returns a function to call when the server has answered or the send has failed
   */
  beginRun(request: GuardedRequest, wasLost: boolean): Promise<() => void>;
  /** Records what the failure of an attempt that a server may have run tells about the server. */
  recordFailure(request: GuardedRequest, server: ServerEntry, error: unknown): void;
  /** Records that a server has answered with a failure, which was passed on. */
  recordServerError(request: GuardedRequest, server: ServerEntry): void;
  /**
   * Records that a server has begun an answer.
   * @param sinceSent stopwatch started when the request was sent to the server
   */
  recordAnswer(server: ServerEntry, head: AnswerHead, sinceSent: Stopwatch): void;
  /** Records that this host could not connect to a server. */
  recordUnreachable(server: ServerEntry): void;
  /**
   * Clears a request and its prompt parts after it was served, as connections can be lost for reasons
   * other than a crash.
   */
  recordServed(request: GuardedRequest, server: ServerEntry, answer: BegunAnswer): void;
}

/** A successful answer that a server has begun. */
export interface BegunAnswer {
  /** Whether the answer marks its own end; otherwise it may be one that a crash has cut short. */
  readonly framed: boolean;
  /** Started when the server began the answer. */
  readonly sinceBegun: Stopwatch;
}

/** Options of {@link createCrashGuard}. */
export interface CrashGuardOptions {
  readonly clock: Clock;
  /** @returns a number from 0 up to but not including 1 */
  readonly random: () => number;
  readonly promptParts: PromptPartTracker;
}

/**
 * Number of crashes from which a request that was itself lost is not sent again; a new request is
 * refused from one more.
 */
const MIN_CRASHES_OF_LOST_REQUEST = 2;

/** Far longer than a message between hosts takes; a turn leaves room for it. */
const MAX_RUN_DELAY_MILLISECONDS = 300;
const MILLISECONDS_PER_SECOND = 1000;

const createTurnRefusal = (content: string, waitMilliseconds: number): Refusal =>
  createRefusal({
    status: 503,
    code: REFUSAL.CRASHES_SERVERS,
    message: `several servers crashed while running ${content} beside others, so that they run one at a time`,
    retryAfterSeconds: waitMilliseconds / MILLISECONDS_PER_SECOND,
  });

/** Prompt parts that other requests may share; the last one belongs to the request alone. */
const listSharedParts = ({ call }: GuardedRequest): readonly string[] =>
  call.requirements?.promptParts.slice(0, -1).map(({ id }) => id) ?? [];

/** Creates the guard of one host. */
export function createCrashGuard(options: CrashGuardOptions): CrashGuard {
  const { clock, random, promptParts } = options;
  /** Kept for each request, as computing a fingerprint takes the hash of the whole body. */
  const contentParts = new WeakMap<Call, string>();

  const getContentPart = ({ call, admitted }: GuardedRequest): string => {
    const caller = admitted.workspace?.name ?? '';
    const part = contentParts.get(call) ?? createContentPart(call.fingerprint(caller));
    contentParts.set(call, part);
    return part;
  };

  const listParts = (request: GuardedRequest): readonly string[] => [
    ...listSharedParts(request),
    getContentPart(request),
  ];

  const findBlocked = (
    request: GuardedRequest,
    wasLost: boolean,
  ): readonly string[] | undefined => {
    if (promptParts.isEmpty()) return undefined;
    const content = getContentPart(request);
    if (wasLost && promptParts.countCrashes(content) >= MIN_CRASHES_OF_LOST_REQUEST)
      return [content];
    const blocked = promptParts.findBlocked(listParts(request));
    if (blocked || !(wasLost || promptParts.isSuspected(content))) return blocked;
    const shared = promptParts.findBlocked(listSharedParts(request), MIN_CRASHES_OF_LOST_REQUEST);
    // A part that ran at no other crashes than the content, like that of a session, tells nothing more.
    const ownCrashes = promptParts.countCrashes(content);
    const tellsMore = shared?.some((part) => promptParts.countCrashes(part) > ownCrashes);
    return wasLost || tellsMore ? shared : undefined;
  };

  const recordUnfinished = (
    request: GuardedRequest,
    server: ServerEntry,
    wasSilent: boolean,
  ): void => {
    if (!server.leaving) promptParts.recordUnfinished(server, listParts(request), wasSilent);
  };

  const check = (request: GuardedRequest, wasLost: boolean): void => {
    const blocked = findBlocked(request, wasLost);
    if (!blocked) return;
    throw createRefusal({
      status: 503,
      code: REFUSAL.CRASHES_SERVERS,
      message: `the request is blocked because several servers crashed while running ${blocked.join(', ')}`,
    });
  };

  return {
    check,
    beginRun: async (request, wasLost) => {
      if (promptParts.isEmpty()) return () => {};
      const { isolation } = promptParts;
      const content = getContentPart(request);
      const requireTurn = (): void => {
        check(request, wasLost);
        const waitMilliseconds = isolation.getWait(content);
        if (waitMilliseconds > 0) throw createTurnRefusal(content, waitMilliseconds);
      };
      requireTurn();
      if (!isolation.isSuspected(content)) return () => {};
      // Copies of the request may have arrived at several hosts at once; the first run is told meanwhile.
      await clock.delay(random() * MAX_RUN_DELAY_MILLISECONDS);
      requireTurn();
      return isolation.begin(content);
    },
    recordFailure: (request, server, error) => {
      const isIncomplete =
        isAnswerError(error) &&
        isSuccess(error.status) &&
        // The answer to another request tells nothing of what became of this one.
        error.answerFault !== ANSWER_FAULT.MISMATCHED;
      const isCut = isExchangeError(error) && error.fault === EXCHANGE_FAULT.CUT;
      const wasSilent = isExchangeError(error) && error.progress === EXCHANGE_PROGRESS.SENT;
      if (!isCut && !isIncomplete) recordUnfinished(request, server, wasSilent);
      // A server that is leaving closes its connections without a crash.
      else if (!server.leaving) promptParts.recordLoss(server, listParts(request));
    },
    recordServerError: (request, server) => recordUnfinished(request, server, false),
    recordAnswer: (server, { misdirected }, sinceSent) => {
      promptParts.recordAnswer();
      if (!misdirected) promptParts.recordAlive(server, sinceSent);
    },
    recordUnreachable: (server) => promptParts.recordUnreachable(server),
    recordServed: (request, server, { framed, sinceBegun }) => {
      if (!framed) promptParts.recordUnmarkedAnswer(server, listParts(request), sinceBegun);
      else if (!promptParts.isEmpty()) promptParts.recordServed(listParts(request), sinceBegun);
    },
  };
}
