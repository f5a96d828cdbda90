/** Decides what happens to a request: a server now, a wait, or a refusal. */

/** Kinds of {@link Decision}. */
export const DECISION = { SEND: 'send', WAIT: 'wait', REFUSE: 'refuse' } as const;

/** What happens to a request. */
export type Decision =
  /** It is sent to one of the servers. */
  | { readonly kind: typeof DECISION.SEND; readonly servers: ReadonlySet<string> }
  /** It waits, and is expected to be sent after a time. */
  | { readonly kind: typeof DECISION.WAIT; readonly expectedMilliseconds: number }
  /** It is refused; capacity for one like it is expected after a time. */
  | {
      readonly kind: typeof DECISION.REFUSE;
      readonly cause: RefusalCause;
      readonly expectedMilliseconds: number;
    };

/** Why a request is refused. */
export const REFUSAL_CAUSE = {
  /** At the observed rate it would not be served in time. */
  TOO_LATE: 'too-late',
  /** It has waited as long as it may, and its servers cannot serve it in time. */
  WAITED: 'waited',
  /** More requests wait on this host than it keeps. */
  TOO_MANY: 'too-many',
} as const;

/** One of {@link REFUSAL_CAUSE}. */
export type RefusalCause = (typeof REFUSAL_CAUSE)[keyof typeof REFUSAL_CAUSE];

/** A server that could run the request. */
export interface Candidate {
  readonly id: string;
  readonly slots: number;
  /** Requests there, beyond which it should receive no more. */
  readonly limit: number;
  /** Requests there, below which it has room that needs not be shared out. */
  readonly freeLimit: number;
  /** Requests there, from which on it is not selected beside others. */
  readonly overfullLimit: number;
  /** Estimated requests of all hosts there. */
  readonly requests: number;
  /** Waiting requests of this host that come before this one there. */
  readonly aheadHere: number;
  /** Those of them that are more urgent. */
  readonly urgentHere: number;
  /** Waiting requests of other hosts that come before this one there. */
  readonly aheadElsewhere: number;
  /** Those of them that are more urgent. */
  readonly urgentElsewhere: number;
  /** Time that a request takes there. */
  readonly serviceMilliseconds: number;
}

/** Everything that one decision is made from. */
export interface DecisionView {
  readonly candidates: readonly Candidate[];
  /** Time that the request may still wait on this host. */
  readonly boundMilliseconds: number;
  /** Time in which it must be answered. */
  readonly remainingMilliseconds: number;
  /** Whether it may be sent at its bound although more urgent ones wait. */
  readonly mayOvertake: boolean;
}

/**
 * Estimates the wait of a request until the servers, at their rate, have served those before it and the
 * more urgent ones that come meanwhile: with n of these waiting on average, a queue leaves 1 / (n + 1) of
 * its time to others.
 */
export function estimateWaitMilliseconds(candidates: readonly Candidate[]): number {
  const ahead = candidates.reduce(
    (sum, { aheadHere, aheadElsewhere, requests, limit }) =>
      sum + aheadHere + aheadElsewhere + Math.max(0, requests - limit),
    0,
  );
  const perMillisecond = candidates.reduce(
    (sum, { slots, serviceMilliseconds }) => sum + slots / serviceMilliseconds,
    0,
  );
  const urgent = candidates.reduce(
    (sum, { urgentHere, urgentElsewhere }) => sum + urgentHere + urgentElsewhere,
    0,
  );
  return ((ahead + 1) * (1 + urgent)) / perMillisecond;
}

/**
 * Whether a full server's own queue would serve the request in time. The server would have to serve
 * its queue first; one longer than its slots is not made longer, since it cannot be reordered.
 */
const canQueueAt = (
  { slots, requests, serviceMilliseconds }: Candidate,
  remainingMilliseconds: number,
): boolean => {
  const queued = Math.max(0, requests - slots);
  return queued < slots && (1 + queued / slots) * serviceMilliseconds <= remainingMilliseconds;
};

/**
 * Decides on a request. Without a server that is known to be full it is sent; without any server as well,
 * since the selection of a server then names the reason.
 */
export function decide(view: DecisionView): Decision {
  const { candidates, boundMilliseconds, remainingMilliseconds, mayOvertake } = view;
  const idsOf = (chosen: readonly Candidate[]) => new Set(chosen.map(({ id }) => id));
  const sum = (valueOf: (candidate: Candidate) => number): number =>
    candidates.reduce((total, candidate) => total + valueOf(candidate), 0);
  // An overfull server does not hide the room of the others.
  const taken = sum(
    ({ requests, limit, urgentHere, aheadElsewhere }) =>
      Math.min(requests, limit) + urgentHere + aheadElsewhere,
  );
  const hasRoom = taken < sum(({ freeLimit }) => freeLimit);
  // All hosts see the same server as the emptiest for a time, so that the selection is not narrowed to it.
  if (hasRoom || candidates.length === 0)
    return {
      kind: DECISION.SEND,
      servers: idsOf(candidates.filter(({ requests, overfullLimit }) => requests < overfullLimit)),
    };
  const expectedMilliseconds = estimateWaitMilliseconds(candidates);
  if (boundMilliseconds > 0) {
    return expectedMilliseconds > boundMilliseconds
      ? { kind: DECISION.REFUSE, cause: REFUSAL_CAUSE.TOO_LATE, expectedMilliseconds }
      : { kind: DECISION.WAIT, expectedMilliseconds };
  }
  const queueing = candidates.filter(
    (candidate) =>
      (mayOvertake || candidate.urgentHere === 0) && canQueueAt(candidate, remainingMilliseconds),
  );
  if (queueing.length > 0) return { kind: DECISION.SEND, servers: idsOf(queueing) };
  return { kind: DECISION.REFUSE, cause: REFUSAL_CAUSE.WAITED, expectedMilliseconds };
}
