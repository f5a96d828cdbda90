/** Refuses requests that crash the servers that run them. */
import type { ServerEntry } from '@bulrushspar/catalogue';
import type { Stopwatch } from '@bulrushspar/clock';
import { createRefusal, REFUSAL } from '@bulrushspar/errors';
import { createContentPart, type PromptPartTracker } from '@bulrushspar/routing';
import type { AdmittedRequest } from './admit.js';
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
  /** Records that a server broke the connection of a request, or that its answer was incomplete. */
  recordLoss(request: GuardedRequest, server: ServerEntry): void;
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
  readonly promptParts: PromptPartTracker;
}

/**
 * Number of crashes from which a request that was itself lost is not sent again; a new request is
 * refused from one more.
 */
const MIN_CRASHES_OF_LOST_REQUEST = 2;

/** Prompt parts that other requests may share; the last one belongs to the request alone. */
const listSharedParts = ({ call }: GuardedRequest): readonly string[] =>
  call.requirements?.promptParts.slice(0, -1).map(({ id }) => id) ?? [];

/** Creates the guard of one host. */
export function createCrashGuard({ promptParts }: CrashGuardOptions): CrashGuard {
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
    return promptParts.findBlocked(listSharedParts(request), MIN_CRASHES_OF_LOST_REQUEST);
  };

  return {
    check: (request, wasLost) => {
      const blocked = findBlocked(request, wasLost);
      if (!blocked) return;
      throw createRefusal({
        status: 503,
        code: REFUSAL.CRASHES_SERVERS,
        message: `the request is blocked because several servers crashed while running ${blocked.join(', ')}`,
      });
    },
    recordLoss: (request, server) => {
      // A server that is leaving closes its connections without a crash.
      if (!server.leaving) promptParts.recordLoss(server, listParts(request));
    },
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
