/** The groups of prompt parts that are blocked, computed again when the record of losses changes. */
import type { Clock } from '@bulrushspar/clock';
import { groupCandidates, type Candidate, type CandidateGroup } from './candidates.js';
import { judgeContents } from './contents.js';

/** Blocked groups, by the number of crashes from which parts are blocked. */
export interface BlockedGroups {
  list(minCrashes: number): readonly CandidateGroup[];
  /** @returns the contents of requests that are not blocked and ran at as many crashes; sorted */
  listSuspectedContents(): readonly string[];
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
  /** @returns the parts with at least that many crashes, and contents that may be the cause of fewer */
  readonly listCandidates: (minCrashes: number) => readonly Candidate[];
  /** @returns whether a part is the content of a request, which no other request holds */
  readonly isContent: (part: string) => boolean;
  /** Called when requests with all of the parts become blocked. */
  readonly onBlocked: (parts: readonly string[]) => void;
  /** Called when blocked parts are not blocked any more. */
  readonly onUnblocked: (parts: readonly string[]) => void;
  /** Called when the contents have changed that are suspected and not blocked. */
  readonly onSuspected: (contents: readonly string[]) => void;
}

interface CachedGroups {
  readonly version: number;
  readonly at: number;
  readonly groups: readonly CandidateGroup[];
  readonly suspectedContents: readonly string[];
}

/** Time after which the blocked parts are computed again, as crashes expire. */
const LIFETIME_MILLISECONDS = 1000;
const REPORT_DELAY_MILLISECONDS = 50;

/** Creates the groups of one host. */
export function createBlockedGroups(options: BlockedGroupsOptions): BlockedGroups {
  const { clock, minCrashes: reportedMinCrashes, listCandidates, isContent } = options;
  const { onBlocked, onUnblocked, onSuspected } = options;
  const cachedGroups = new Map<number, CachedGroups>();
  let reported = new Map<string, readonly string[]>();
  let reportedContents = '';
  let version = 0;
  let isReportPending = false;

  const compute = (minCrashes: number): CachedGroups => {
    const candidates = listCandidates(minCrashes);
    const counted = candidates.filter(({ crashes }) => crashes.size >= minCrashes);
    // A content explains the crashes of a shared part as well, but is blocked by itself.
    const sharedGroups = groupCandidates(counted, minCrashes).filter(
      ({ parts }) => !parts.some(isContent),
    );
    const contents = candidates.filter(({ part }) => isContent(part));
    const sharedParts = sharedGroups.map(({ head }) => head);
    const { blocked, suspected } = judgeContents(contents, sharedParts, minCrashes);
    return {
      version,
      at: clock.monotonic(),
      groups: [...sharedGroups, ...blocked.map((head) => ({ head, parts: [head.part] }))],
      suspectedContents: suspected,
    };
  };

  const find = (minCrashes: number): CachedGroups => {
    const cached = cachedGroups.get(minCrashes);
    if (cached?.version === version && clock.monotonic() - cached.at < LIFETIME_MILLISECONDS)
      return cached;
    const computed = compute(minCrashes);
    cachedGroups.set(minCrashes, computed);
    return computed;
  };

  const list = (minCrashes: number): readonly CandidateGroup[] => find(minCrashes).groups;

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
    const { suspectedContents } = find(reportedMinCrashes);
    if (suspectedContents.join() === reportedContents) return;
    reportedContents = suspectedContents.join();
    onSuspected(suspectedContents);
  };

  return {
    list,
    listSuspectedContents: () => find(reportedMinCrashes).suspectedContents,
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
