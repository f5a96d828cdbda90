/** Which of the prompt parts that ran when servers crashed may be the cause. */

/** A part that may be the cause of its crashes. */
export interface Candidate {
  readonly part: string;
  /** Server processes that crashed while they ran the part. */
  readonly crashes: ReadonlySet<string>;
  /** Number of crashes, less one for a part that was served a short time ago. */
  readonly score: number;
}

/** Parts that the crashes do not tell apart. */
export interface CandidateGroup {
  readonly head: Candidate;
  readonly parts: string[];
}

/**
 * Groups the candidates. A candidate is left out if the crashes that a stronger one does not explain
 * are too few to block it. Equally strong ones form a group, of which any may be the cause.
 */
export function groupCandidates(
  candidates: readonly Candidate[],
  minCrashes: number,
): readonly CandidateGroup[] {
  const groups: CandidateGroup[] = [];
  [...candidates]
    .sort((first, second) => second.score - first.score)
    .forEach((candidate) => {
      const { part, crashes, score } = candidate;
      const explaining = groups.filter(
        ({ head }) =>
          [...crashes].filter((process) => !head.crashes.has(process)).length < minCrashes,
      );
      if (explaining.length === 0) groups.push({ head: candidate, parts: [part] });
      else if (explaining.every(({ head }) => head.score === score))
        explaining.forEach(({ parts }) => parts.push(part));
    });
  return groups;
}
