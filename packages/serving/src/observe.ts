/** Learns from this host's own requests how loaded and how slow servers are. */
import {
  createKindEstimate,
  estimateRequests,
  estimateSlowness,
  recordRejection,
  recordReport,
  recordSlowness,
  type KindEstimate,
} from '@bulrushspar/balancing';
import type { Logger } from '@bulrushspar/logging';
import type { Call, ServerLoad } from './call.js';
import { countTokens, createUncachedCounter } from './prompts.js';
import type { ServerState } from './servers.js';
import type { SlownessExchange } from './slowness.js';

/** One request as sent to a server, until it ends. */
export interface BalancedSend {
  /** Records the load that the server reported; undefined if the answer told none. */
  recordHead(load: ServerLoad | undefined, wasRejected: boolean): void;
  /** Records that the first event of the answer has arrived. */
  recordFirstEvent(): void;
  /** Records the end of the request; only the first call counts. */
  recordEnd(succeeded: boolean): void;
}

/** What this host has observed of its requests. */
export interface Observations {
  /** @returns the estimate for the requests of a service, or of one of its models */
  kindOf(service: string, model?: string): KindEstimate;
  /** Records that a request is sent to a server; called before it counts as outstanding there. */
  recordSend(state: ServerState, call: Call): BalancedSend;
}

/** Kinds of requests that are told apart; a fleet has some hundred models. */
const MAX_KINDS = 2000;
/** Slowness from which a server is logged as slow, and below which it is logged as usual again. */
export const SLOW_SERVER = 2;
const USUAL_SERVER = 1.4;

/**
 * Creates the observations of one host.
 * @param now returns the time on the monotonic clock, in milliseconds
 */
export function createObservations(
  now: () => number,
  logger?: Logger,
  exchange?: SlownessExchange,
): Observations {
  const kinds = new Map<string, KindEstimate>();
  const uncachedCounter = createUncachedCounter();
  const slowServers = new Set<string>();

  const kindOf = (service: string, model = ''): KindEstimate => {
    const key = `${service}/${model}`;
    let kind = kinds.get(key);
    if (!kind) {
      for (const oldest of kinds.keys()) {
        if (kinds.size < MAX_KINDS) break;
        kinds.delete(oldest);
      }
      kind = createKindEstimate();
      kinds.set(key, kind);
    }
    return kind;
  };

  const logSlowness = ({ entry, knowledge }: ServerState): void => {
    const slowness = estimateSlowness(knowledge, now());
    const { id, service } = entry;
    if (slowness > SLOW_SERVER && !slowServers.has(id)) {
      slowServers.add(id);
      logger?.info('server is slower than the others', { server: id, service, slowness });
    } else if (slowness < USUAL_SERVER && slowServers.delete(id))
      logger?.info('server is as fast as the others again', { server: id, service, slowness });
  };

  const recordSend = (sentTo: ServerState, call: Call): BalancedSend => {
    const state = sentTo;
    const { entry, knowledge } = state;
    const { requirements } = call;
    const sentAt = now();
    const kind = kindOf(entry.service, requirements?.model);
    uncachedCounter.begin(requirements);
    const uncached = uncachedCounter.count(state, sentAt);
    const others = state.outstandingFromOtherHosts;
    const requests = estimateRequests(knowledge, state.outstanding, others, true, sentAt);
    // At a full server the wait would be taken for slowness.
    const isMeasured = requests < entry.slots;
    const expected = kind.firstEventMilliseconds(uncached);
    const tokens = countTokens(call);
    let hasEnded = false;
    knowledge.ownTokens += tokens;
    let hasAnswered = false;
    let hasBegun = false;
    return {
      recordHead: (load, wasRejected) => {
        hasAnswered = true;
        if (load?.slowdown !== undefined) exchange?.recordOwn(entry.id, load.slowdown);
        if (load) recordReport(knowledge, load, state.outstanding, now());
        else if (wasRejected) recordRejection(knowledge, entry.slots, state.outstanding, now());
      },
      recordFirstEvent: () => {
        if (hasBegun) return;
        hasBegun = true;
        if (!isMeasured) return;
        const milliseconds = now() - sentAt;
        recordSlowness(knowledge, milliseconds, expected, now());
        kind.recordFirstEvent(uncached, milliseconds);
        logSlowness(state);
      },
      recordEnd: (succeeded) => {
        if (hasEnded) return;
        hasEnded = true;
        knowledge.ownTokens -= tokens;
        const milliseconds = now() - sentAt;
        // A server that has not answered so far is at least so slow.
        if (isMeasured && !hasAnswered && milliseconds > expected * SLOW_SERVER) {
          recordSlowness(knowledge, milliseconds, expected, now());
          logSlowness(state);
        }
        if (succeeded) kind.recordEnd(milliseconds, tokens);
      },
    };
  };

  return { kindOf, recordSend };
}
