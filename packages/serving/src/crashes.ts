/** Refuses requests that crash the servers that run them. */
import type { ServerEntry } from '@bulrushspar/catalogue';
import type { Stopwatch } from '@bulrushspar/clock';
import { createRefusal, REFUSAL } from '@bulrushspar/errors';
import type { PromptPartTracker, SuspectTracker } from '@bulrushspar/routing';
import type { Call } from './call.js';

/** The crashes that this host knows of, as far as they concern its requests. */
export interface CrashGuard {
  /** Throws the refusal of a request that may crash the server that it is sent to next. */
  check(call: Call, wasLost: boolean): void;
  /**
   * Records that a server broke the connection of a request.
   * @param sinceSent stopwatch started when the request was sent to the server
   */
  recordLoss(call: Call, server: ServerEntry, sinceSent: Stopwatch): void;
  /** Records that the answer of a server was incomplete, as after a crash. */
  recordIncomplete(call: Call, server: ServerEntry): void;
  /** Records that a server has begun an answer. */
  recordAnswer(): void;
  /** Records that this host could not connect to a server. */
  recordUnreachable(server: ServerEntry): void;
  /**
   * Clears a request and its prompt parts after it was served, as connections can be lost for reasons
   * other than a crash.
   * @param sinceBegun stopwatch started when the server began the answer; undefined if its status or
   *   its end does not show that the server has written all of it, so that the parts are not cleared
   */
  recordServed(call: Call, sinceBegun: Stopwatch | undefined): void;
}

/** Options of {@link createCrashGuard}. */
export interface CrashGuardOptions {
  readonly suspects: SuspectTracker;
  readonly promptParts: PromptPartTracker;
}

/** Number of server crashes while running a request after which that request is refused. */
const MAX_CRASHES = 3;
/**
 * Number of crashes with a prompt part from which a request that was itself lost is not sent again;
 * a new request is refused from one more.
 */
const MIN_CRASHES_OF_LOST_REQUEST = 2;

/** Prompt parts that other requests may share; the last one belongs to the request alone. */
const listSharedParts = ({ requirements }: Call): readonly string[] =>
  requirements?.promptParts.slice(0, -1).map(({ id }) => id) ?? [];

/** Creates the guard of one host. */
export function createCrashGuard({ suspects, promptParts }: CrashGuardOptions): CrashGuard {
  const countCrashes = (call: Call): number =>
    suspects.isEmpty() ? 0 : suspects.countCrashes(call.fingerprint());

  const recordIncomplete = (call: Call, server: ServerEntry): void => {
    const parts = listSharedParts(call);
    // A server that is leaving closes its connections without a crash.
    if (parts.length > 0 && !server.leaving) promptParts.recordLoss(server, parts);
  };

  return {
    check: (call, wasLost) => {
      const crashes = countCrashes(call);
      if (!wasLost && crashes >= MAX_CRASHES) {
        throw createRefusal({
          status: 503,
          code: REFUSAL.CRASHES_SERVERS,
          message: 'the request is blocked because several servers crashed while running it',
        });
      }
      const minCrashes = wasLost || crashes > 0 ? MIN_CRASHES_OF_LOST_REQUEST : undefined;
      const blocked = promptParts.findBlocked(listSharedParts(call), minCrashes);
      if (!blocked) return;
      throw createRefusal({
        status: 503,
        code: REFUSAL.CRASHES_SERVERS,
        message: `the request is blocked because several servers crashed while running prompt part ${blocked.join(', ')}`,
      });
    },
    recordLoss: (call, server, sinceSent) => {
      suspects.recordCrash(call.fingerprint(), server.id, sinceSent);
      recordIncomplete(call, server);
    },
    recordIncomplete,
    recordAnswer: () => promptParts.recordAnswer(),
    recordUnreachable: (server) => promptParts.recordUnreachable(server),
    recordServed: (call, sinceBegun) => {
      if (countCrashes(call) > 0) suspects.clear(call.fingerprint());
      if (sinceBegun) promptParts.recordServed(listSharedParts(call), sinceBegun);
    },
  };
}
