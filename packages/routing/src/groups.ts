/** The groups of prompt parts that are blocked, computed again when the record of losses changes. */
import type { Clock } from '@bulrushspar/clock';
import { groupCandidates, type Candidate, type CandidateGroup } from './candidates.js';

/** Blocked groups, by the number of crashes from which parts are blocked. */
export interface BlockedGroups {
  list(minCrashes: number): readonly CandidateGroup[];
  /** Computes the groups again with the next lookup, as the record has changed. */
  invalidate(): void;
  /**
   * Reports which parts have become blocked, or are not blocked any more, since the last report. That takes
   * time in proportion to the whole record, so that it follows after a delay which many calls share.
   */
  report(): void;
}

/** Options of {@link createBlockedGroups}. */
export interface BlockedGroupsOptions {
  readonly clock: Clock;
  /** Number of crashes from which parts count as blocked in reports. */
  readonly minCrashes: number;
  /** @returns the parts with at least that many crashes */
  readonly listCandidates: (minCrashes: number) => readonly Candidate[];
  /** Called when requests with all of the parts become blocked. */
  readonly onBlocked: (parts: readonly string[]) => void;
  /** Called when blocked parts are not blocked any more. */
  readonly onUnblocked: (parts: readonly string[]) => void;
}

interface CachedGroups {
  readonly version: number;
  readonly at: number;
  readonly groups: readonly CandidateGroup[];
}

/** Time after which the blocked parts are computed again, as crashes expire. */
const LIFETIME_MILLISECONDS = 1000;
const REPORT_DELAY_MILLISECONDS = 50;

/** Creates the groups of one host. */
export function createBlockedGroups(options: BlockedGroupsOptions): BlockedGroups {
  const { clock, minCrashes: reportedMinCrashes, listCandidates } = options;
  const { onBlocked, onUnblocked } = options;
  const cachedGroups = new Map<number, CachedGroups>();
  let reported = new Map<string, readonly string[]>();
  let version = 0;
  let isReportPending = false;

  const list = (minCrashes: number): readonly CandidateGroup[] => {
    const now = clock.monotonic();
    const cached = cachedGroups.get(minCrashes);
    if (cached?.version === version && now - cached.at < LIFETIME_MILLISECONDS)
      return cached.groups;
    const groups = groupCandidates(listCandidates(minCrashes), minCrashes);
    cachedGroups.set(minCrashes, { version, at: now, groups });
    return groups;
  };

  const reportChanges = (): void => {
    const before = reported;
    reported = new Map(
      list(reportedMinCrashes).map(({ parts }) => [[...parts].sort().join(), parts]),
    );
    reported.forEach((parts, key) => {
      if (!before.has(key)) onBlocked(parts);
    });
    before.forEach((parts, key) => {
      if (!reported.has(key)) onUnblocked(parts);
    });
  };

  return {
    list,
    invalidate: () => {
      version += 1;
    },
    report: () => {
      if (isReportPending) return;
      isReportPending = true;
      clock.after(REPORT_DELAY_MILLISECONDS, () => {
        isReportPending = false;
        reportChanges();
      });
    },
  };
}
