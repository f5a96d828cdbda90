/**
 * Answers whose end only the end of their connection marks. Whether the server has written all of such
 * an answer or has crashed shows in what its process does next.
 */
import { startMonotonicStopwatch, type Clock, type Stopwatch } from '@bulrushspar/clock';

/** An answer that the end of its connection has ended. */
export interface UnmarkedAnswer {
  readonly parts: readonly string[];
  readonly sinceBegun: Stopwatch;
  readonly sinceEnd: Stopwatch;
}

/** Recent answers of one host, by server process. */
export interface UnmarkedAnswers {
  add(process: string, parts: readonly string[], sinceBegun: Stopwatch): void;
  /**
   * Removes the answers of a process that ended before a later request was sent to it.
   * @param sinceSent stopwatch started when that request was sent, which the process has answered
   */
  takeAnswered(process: string, sinceSent: Stopwatch): readonly UnmarkedAnswer[];
  /** Removes the answers of a process that has ended. @returns those that its end may have ended */
  takeEnded(process: string, sinceEnd: number): readonly UnmarkedAnswer[];
}

/** Time between the end of an answer and the notice that its server has crashed. */
const MAX_NOTICE_MILLISECONDS = 1000;
const MAX_ANSWERS_PER_PROCESS = 200;

/** Creates an empty record. */
export function createUnmarkedAnswers(clock: Clock): UnmarkedAnswers {
  const answersByProcess = new Map<string, readonly UnmarkedAnswer[]>();

  const isRecent = ({ sinceEnd }: UnmarkedAnswer): boolean => sinceEnd() <= MAX_NOTICE_MILLISECONDS;

  const setAnswers = (process: string, answers: readonly UnmarkedAnswer[]): void => {
    if (answers.length === 0) answersByProcess.delete(process);
    else answersByProcess.set(process, answers);
  };

  const removeExpired = (): void =>
    answersByProcess.forEach((answers, process) => setAnswers(process, answers.filter(isRecent)));

  return {
    add: (process, parts, sinceBegun) => {
      removeExpired();
      const answers = answersByProcess.get(process) ?? [];
      const added = { parts, sinceBegun, sinceEnd: startMonotonicStopwatch(clock) };
      setAnswers(process, [...answers, added].slice(-MAX_ANSWERS_PER_PROCESS));
    },
    takeAnswered: (process, sinceSent) => {
      const answers = answersByProcess.get(process);
      if (!answers) return [];
      const milliseconds = sinceSent();
      setAnswers(
        process,
        answers.filter(({ sinceEnd }) => sinceEnd() < milliseconds),
      );
      return answers.filter(({ sinceEnd }) => sinceEnd() >= milliseconds);
    },
    takeEnded: (process, sinceEnd) => {
      const answers = answersByProcess.get(process) ?? [];
      answersByProcess.delete(process);
      return answers.filter((answer) => answer.sinceEnd() <= sinceEnd + MAX_NOTICE_MILLISECONDS);
    },
  };
}
