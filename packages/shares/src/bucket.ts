import type { Clock } from '@bulrushspar/clock';

/** Rate and burst of one workspace, in tokens. */
export interface BucketLimits {
  readonly perSecond: number;
  readonly burst: number;
}

/** The group of hosts that can reach each other. */
export interface BucketGroup {
  /** Fraction of the fleet that is linked to this host, including itself; from 0 to 1. */
  readonly linkedFraction: number;
}

/** A token bucket of which every host keeps a replica; each host reports its use to the others. */
export interface ReplicatedBucket {
  /** Takes tokens. @returns false, without taking any, if there are too few */
  take(tokens: number): boolean;
  /** Returns the tokens of a request that did not run. */
  refund(tokens: number): void;
  /** Deducts the tokens that another host has used since its last report. */
  deductRemoteUse(tokens: number): void;
  /** @returns the tokens left; negative if other hosts used more than were available */
  availableTokens(): number;
  /** @returns the time until this many tokens are available; infinite if they never will be */
  millisecondsUntil(tokens: number): number;
  /** @returns the tokens that this host has used since its start, minus refunds */
  taken(): number;
  update(limits: BucketLimits): void;
}

/** Options of {@link createReplicatedBucket}. */
export interface ReplicatedBucketOptions {
  readonly clock: Clock;
  readonly limits: BucketLimits;
  readonly group: () => BucketGroup;
  /** Initial tokens; a restarted host does not know how many tokens were used before. */
  readonly initialTokens: number;
  /**
   * Tokens per second that hosts without links to each other may use beyond the limits, in total.
   * Without them a host whose peers have failed would refuse requests that no other host serves.
   */
  readonly slackPerSecond: number;
}

const MILLISECONDS_PER_SECOND = 1000;

/**
 * Creates one host's replica of a bucket. A host that is linked to only a fraction of the fleet
 * refills its replica at that fraction of the rate, so that the groups of a network partition stay
 * within the limits in total.
 */
export function createReplicatedBucket(options: ReplicatedBucketOptions): ReplicatedBucket {
  const { clock, group, slackPerSecond } = options;
  let { limits } = options;
  let available = Math.min(options.initialTokens, limits.burst);
  let refilledAt = clock.monotonic();
  let used = 0;

  const refillPerSecond = (): number => {
    const { linkedFraction } = group();
    if (linkedFraction >= 1) return limits.perSecond;
    return Math.min(limits.perSecond, (limits.perSecond + slackPerSecond) * linkedFraction);
  };

  const refill = (): void => {
    const now = clock.monotonic();
    const seconds = Math.max(0, now - refilledAt) / MILLISECONDS_PER_SECOND;
    available = Math.min(limits.burst, available + seconds * refillPerSecond());
    refilledAt = now;
  };

  return {
    take: (tokens) => {
      refill();
      if (available < tokens) return false;
      available -= tokens;
      used += tokens;
      return true;
    },
    refund: (tokens) => {
      refill();
      available = Math.min(limits.burst, available + tokens);
      used -= tokens;
    },
    deductRemoteUse: (tokens) => {
      refill();
      // A deficit larger than one burst would cause refusals long after a load peak has ended.
      available = Math.max(-limits.burst, Math.min(limits.burst, available - tokens));
    },
    availableTokens: () => {
      refill();
      return available;
    },
    millisecondsUntil: (tokens) => {
      refill();
      if (tokens > limits.burst || refillPerSecond() <= 0) return Number.POSITIVE_INFINITY;
      return Math.max(0, ((tokens - available) / refillPerSecond()) * MILLISECONDS_PER_SECOND);
    },
    taken: () => used,
    update: (next) => {
      refill();
      limits = next;
      available = Math.min(available, limits.burst);
    },
  };
}
