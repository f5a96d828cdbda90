import type { Clock } from '@bulrushspar/clock';

/** Limits of one workspace. */
export interface BucketLimits {
  readonly perSecond: number;
  readonly burst: number;
}

/** What a group of hosts may use of a workspace's limits. */
export interface BucketGroup {
  /** Part of the fleet that hears each other, this host included; from 0 to 1. */
  readonly linkedPart: number;
}

/** A token bucket of which every host keeps a copy; each tells the others what it has taken. */
export interface ReplicatedBucket {
  /** Takes tokens if there are enough. */
  take(tokens: number): boolean;
  /** Gives back what was taken for a request that did not run. */
  giveBack(tokens: number): void;
  /** Counts what another host has taken since it last told. */
  takenElsewhere(tokens: number): void;
  /** Tokens that are left now; negative where other hosts have taken more than there were. */
  level(): number;
  /** Milliseconds until there will be this many tokens; infinite where there never will. */
  millisecondsUntil(tokens: number): number;
  /** Tokens that this host has taken since its start, less what it gave back. */
  taken(): number;
  update(limits: BucketLimits): void;
}

/** Options of {@link createReplicatedBucket}. */
export interface ReplicatedBucketOptions {
  readonly clock: Clock;
  readonly limits: BucketLimits;
  readonly group: () => BucketGroup;
  /** Tokens in the bucket at first; a host that comes back does not know what was used. */
  readonly initial: number;
  /**
   * Tokens beyond the limits that hosts which do not hear each other may use together, a second.
   * They keep a host whose peers are dead from refusing what nobody else serves.
   */
  readonly slackPerSecond: number;
}

const MILLISECONDS_PER_SECOND = 1000;

/**
 * Creates one host's copy of a bucket. A group of hosts that hears only a part of the fleet refills
 * its copy with that part of the rate, so that groups cut off from each other stay within the
 * limits together.
 */
export function createReplicatedBucket(options: ReplicatedBucketOptions): ReplicatedBucket {
  const { clock, group, slackPerSecond } = options;
  let { limits } = options;
  let level = Math.min(options.initial, limits.burst);
  let refilledAt = clock.monotonic();
  let taken = 0;

  const rate = (): number => {
    const { linkedPart } = group();
    if (linkedPart >= 1) return limits.perSecond;
    return Math.min(limits.perSecond, (limits.perSecond + slackPerSecond) * linkedPart);
  };

  const refill = (): void => {
    const now = clock.monotonic();
    const seconds = Math.max(0, now - refilledAt) / MILLISECONDS_PER_SECOND;
    level = Math.min(limits.burst, level + seconds * rate());
    refilledAt = now;
  };

  return {
    take: (tokens) => {
      refill();
      if (level < tokens) return false;
      level -= tokens;
      taken += tokens;
      return true;
    },
    giveBack: (tokens) => {
      refill();
      level = Math.min(limits.burst, level + tokens);
      taken -= tokens;
    },
    takenElsewhere: (tokens) => {
      refill();
      // A deficit beyond one burst would refuse work long after a flood has ended.
      level = Math.max(-limits.burst, Math.min(limits.burst, level - tokens));
    },
    level: () => {
      refill();
      return level;
    },
    millisecondsUntil: (tokens) => {
      refill();
      if (tokens > limits.burst || rate() <= 0) return Number.POSITIVE_INFINITY;
      return Math.max(0, ((tokens - level) / rate()) * MILLISECONDS_PER_SECOND);
    },
    taken: () => taken,
    update: (next) => {
      refill();
      limits = next;
      level = Math.min(level, limits.burst);
    },
  };
}
