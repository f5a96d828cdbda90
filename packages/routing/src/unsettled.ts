/**
 * Runs that ended without a sign of whether their server has crashed: answers whose end only the end of their
 * connection marks, and runs without a whole answer. What the process does next shows it.
 */
import { startMonotonicStopwatch, type Clock, type Stopwatch } from '@bulrushspar/clock';

/** A run that has ended. */
export interface UnsettledRun {
  readonly parts: readonly string[];
  /** Started when the server began an answer that may be whole; undefined if there was none. */
  readonly sinceBegun: Stopwatch | undefined;
  readonly sinceEnd: Stopwatch;
  /** Milliseconds after the run within which the end of its process counts as its end. */
  readonly noticeMilliseconds: number;
}

/** Recent runs of one host, by server process. */
export interface UnsettledRuns {
  add(process: string, run: Omit<UnsettledRun, 'sinceEnd'>): void;
  /**
   * Removes the runs of a process that ended before a later request was sent to it.
   * @param sinceSent stopwatch started when that request was sent, which the process has answered
   */
  takeAnswered(process: string, sinceSent: Stopwatch): readonly UnsettledRun[];
  /** Removes the runs of a process that has ended. @returns those that its end may have ended */
  takeEnded(process: string, sinceEnd: number): readonly UnsettledRun[];
  /** @returns the processes with runs */
  listProcesses(): readonly string[];
}

const MAX_RUNS_PER_PROCESS = 200;

/** Creates an empty record. */
export function createUnsettledRuns(clock: Clock): UnsettledRuns {
  const runsByProcess = new Map<string, readonly UnsettledRun[]>();

  const isRecent = ({ sinceEnd, noticeMilliseconds }: UnsettledRun): boolean =>
    sinceEnd() <= noticeMilliseconds;

  const setRuns = (process: string, runs: readonly UnsettledRun[]): void => {
    if (runs.length === 0) runsByProcess.delete(process);
    else runsByProcess.set(process, runs);
  };

  const removeExpired = (): void =>
    runsByProcess.forEach((runs, process) => setRuns(process, runs.filter(isRecent)));

  return {
    add: (process, run) => {
      removeExpired();
      const runs = runsByProcess.get(process) ?? [];
      const added = { ...run, sinceEnd: startMonotonicStopwatch(clock) };
      setRuns(process, [...runs, added].slice(-MAX_RUNS_PER_PROCESS));
    },
    takeAnswered: (process, sinceSent) => {
      const runs = runsByProcess.get(process);
      if (!runs) return [];
      const milliseconds = sinceSent();
      setRuns(
        process,
        runs.filter(({ sinceEnd }) => sinceEnd() < milliseconds),
      );
      return runs.filter(({ sinceEnd }) => sinceEnd() >= milliseconds);
    },
    takeEnded: (process, sinceEnd) => {
      const runs = runsByProcess.get(process) ?? [];
      runsByProcess.delete(process);
      return runs.filter((run) => run.sinceEnd() <= sinceEnd + run.noticeMilliseconds);
    },
    listProcesses: () => [...runsByProcess.keys()],
  };
}
