/** Which part of the requests at servers is urgent. */

/** A request, as far as its priority is concerned. */
export interface PrioritizedRequest {
  readonly service: string;
  /** 0 is the most urgent. */
  readonly priority: number;
}

/** Priorities of the requests that one host has sent. */
export interface PriorityMix {
  recordSent(request: PrioritizedRequest): void;
  /**
   * Returns the fraction of the service's requests that are as urgent as one or more. Servers run requests
   * by priority, so that only these come before it there.
   */
  shareUpTo(request: PrioritizedRequest): number;
}

/**
 * Time in which what was sent loses two thirds of its weight. A host sends 2 to 3 requests a second, and the
 * requests that it has not sent itself are taken to be of the same mix.
 */
const DECAY_MILLISECONDS = 5000;
/** Requests of the priority in question that are assumed while few have been sent. */
const ASSUMED_REQUESTS = 1;

interface SentRequests {
  at: number;
  readonly byPriority: Map<number, number>;
}

/** Creates the mix of a host that has sent nothing. */
export function createPriorityMix(now: () => number): PriorityMix {
  const services = new Map<string, SentRequests>();

  const decay = (sent: SentRequests): void => {
    const changed = sent;
    const factor = Math.exp((sent.at - now()) / DECAY_MILLISECONDS);
    sent.byPriority.forEach((count, priority) => sent.byPriority.set(priority, count * factor));
    changed.at = now();
  };

  return {
    recordSent: ({ service, priority }) => {
      const sent = services.get(service) ?? { at: now(), byPriority: new Map<number, number>() };
      services.set(service, sent);
      decay(sent);
      sent.byPriority.set(priority, (sent.byPriority.get(priority) ?? 0) + 1);
    },
    shareUpTo: ({ service, priority }) => {
      let all = ASSUMED_REQUESTS;
      let urgent = ASSUMED_REQUESTS;
      services.get(service)?.byPriority.forEach((count, other) => {
        all += count;
        if (other <= priority) urgent += count;
      });
      return urgent / all;
    },
  };
}
