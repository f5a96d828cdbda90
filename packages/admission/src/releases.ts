/** When a host may send its next request to servers that are full. */

/** Releases of one host, by group of servers. */
export interface Releases {
  /**
   * Updates the rate of a group. @returns whether a release has come due; its time is used up by it, so
   * that the next call with the same time returns the release after it
   */
  take(group: string, perSecond: number): boolean;
  /** @returns the time until the next release of a group at its present rate; may be infinite */
  millisecondsUntil(group: string): number;
  /** Keeps only the groups that requests wait for. */
  retain(groups: ReadonlySet<string>): void;
}

/** Options of {@link createReleases}. */
export interface ReleasesOptions {
  /** Current time on a monotonic clock, in milliseconds. */
  readonly now: () => number;
  /** @returns a number from 0 up to but not including 1 */
  readonly random: () => number;
}

interface GroupReleases {
  at: number;
  perMillisecond: number;
  /** Expected releases that have come due since the last one. */
  accrued: number;
  threshold: number;
}

const MILLISECONDS_PER_SECOND = 1000;

/**
 * Creates the releases of one host. The expected number of releases at which the next one comes due is
 * drawn from an exponential distribution: hosts that begin to wait at the same moment then do not send at
 * the same moment, and a host that has just begun sends as often as one that has waited for long.
 */
export function createReleases({ now, random }: ReleasesOptions): Releases {
  const groups = new Map<string, GroupReleases>();
  const drawThreshold = (): number => -Math.log(1 - random());

  return {
    take: (group, perSecond) => {
      const at = now();
      const state = groups.get(group) ?? {
        at,
        perMillisecond: 0,
        accrued: 0,
        threshold: drawThreshold(),
      };
      groups.set(group, state);
      state.accrued += state.perMillisecond * (at - state.at);
      state.at = at;
      state.perMillisecond = perSecond / MILLISECONDS_PER_SECOND;
      if (state.perMillisecond === 0 || state.accrued < state.threshold) return false;
      state.accrued -= state.threshold;
      state.threshold = drawThreshold();
      return true;
    },
    millisecondsUntil: (group) => {
      const state = groups.get(group);
      if (!state || state.perMillisecond === 0) return Infinity;
      return Math.max(0, (state.threshold - state.accrued) / state.perMillisecond);
    },
    retain: (kept) =>
      groups.forEach((_state, group) => {
        if (!kept.has(group)) groups.delete(group);
      }),
  };
}
