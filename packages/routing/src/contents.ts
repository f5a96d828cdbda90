/** Which contents of requests crash servers. Unlike other parts, no request holds two of them. */
import type { Candidate } from './candidates.js';

/** Contents that ran at as many crashes as block a part. */
export interface ContentVerdicts {
  /** Contents that crash servers. */
  readonly blocked: readonly Candidate[];
  /** Contents whose crashes other parts may explain; in the same order at all hosts. */
  readonly suspected: readonly string[];
}

/** Number of crashes from which a content may be the cause of any of them. */
export const MIN_CRASHES_OF_CONTENT = 2;

/**
 * Tells contents that crash servers from those that ran beside them. A content is blocked
 * - for as many crashes as block a part at which no other such content, and no stronger shared part, ran, or
 * - for a later crash at which no content ran that also ran at another one: from then on suspected contents
 *   run apart from each other.
 * @param contents candidates that are contents, with {@link MIN_CRASHES_OF_CONTENT} crashes or more
 * @param sharedParts candidates that requests share
 * @param minCrashes number of crashes from which a part is blocked
 */
export function judgeContents(
  contents: readonly Candidate[],
  sharedParts: readonly Candidate[],
  minCrashes: number,
): ContentVerdicts {
  const judged = contents.filter(({ crashes }) => crashes.size >= minCrashes);
  const contentsAt = countByProcess(contents);
  const judgedAt = countByProcess(judged);
  const isBlocked = ({ crashes, score }: Candidate): boolean => {
    const stronger = sharedParts.filter((part) => part.score > score);
    const ranAlone = (process: string, counts: ReadonlyMap<string, number>): boolean =>
      counts.get(process) === 1 && !stronger.some((part) => part.crashes.has(process));
    const inOrder = [...crashes];
    return (
      inOrder.filter((process) => ranAlone(process, judgedAt)).length >= minCrashes ||
      inOrder.slice(minCrashes).some((process) => ranAlone(process, contentsAt))
    );
  };
  const blocked = judged.filter(isBlocked);
  const blockedContents = new Set(blocked);
  const suspected = judged.filter((content) => !blockedContents.has(content));
  return { blocked, suspected: suspected.map(({ part }) => part).sort() };
}

/** Counts the contents that ran at each crash. */
function countByProcess(contents: readonly Candidate[]): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  contents.forEach(({ crashes }) =>
    crashes.forEach((process) => counts.set(process, (counts.get(process) ?? 0) + 1)),
  );
  return counts;
}
