/**
 * Replicated record of the prompt parts that were running when servers crashed. The content of a
 * request counts as a part of its own, which only the same request holds.
 */
import type { Stopwatch } from '@bulrushspar/clock';
import type { Candidate } from './candidates.js';
import { MIN_CRASHES_OF_CONTENT } from './contents.js';
import { createBlockedGroups } from './groups.js';
import { createIsolation } from './isolation.js';
import { createLossRecord, type Losses } from './losses.js';
import {
  doubtLossesAtOnce,
  ensureRecord,
  type ProcessRecord,
  type ProcessRecords,
} from './processes.js';
import type {
  ListedProcess,
  PromptPartTracker,
  PromptPartTrackerOptions,
  PromptPartUpdate,
  ServerProcess,
} from './tracker.js';
import { createUnsettledRuns, type UnsettledRun } from './unsettled.js';

/** Number of crashes from which a part is blocked. */
const MIN_CRASHES = 3;
/** Time in which a crash must be confirmed; a server's entry expires before. */
const CONFIRMATION_MILLISECONDS = 10_000;
/** Time for which a cleared part is known, so that evidence that arrives late does not count. */
const SERVED_RETENTION_MILLISECONDS = 60_000;
/** Answers to a part that began within this time of each other are told as one. */
const SAME_ANSWER_MILLISECONDS = 1000;
/** Time between the end of an answer and the notice that its server has crashed. */
const NOTICE_MILLISECONDS = 1000;
const MAX_PROCESSES = 500;
const CONTENT_PREFIX = 'content:';

/** Returns the part that represents the content of a request. */
export const createContentPart = (fingerprint: string): string => `${CONTENT_PREFIX}${fingerprint}`;

const isContent = (part: string): boolean => part.startsWith(CONTENT_PREFIX);

const processKey = ({ id, born }: ServerProcess): string => `${id}/${born}`;

/** Creates the tracker of one host, without suspected parts. */
export function createPromptPartTracker(options: PromptPartTrackerOptions): PromptPartTracker {
  const { clock, onUpdate = () => {}, onLoss = () => {}, onCrash = () => {} } = options;
  const { onRun = () => {}, onSuspected = () => {} } = options;
  const { onBlocked = () => {}, onUnblocked = () => {} } = options;
  const { retentionMilliseconds = 600_000, blockMilliseconds = 120_000 } = options;
  const processes: ProcessRecords = new Map();
  /** Time on the monotonic clock of the last answer of any server. */
  let lastAnswerAt = -Infinity;
  const losses = createLossRecord();
  const unsettledRuns = createUnsettledRuns(clock);
  let listed: ReadonlyMap<string, ListedProcess> | undefined;
  /** When a server began the last answer that cleared a part. */
  const servedTimes = new Map<string, number>();

  const forgetProcess = (process: string): void => {
    processes.delete(process);
    losses.forget(process);
    blockedGroups.invalidate();
  };

  const removeExpired = (): void => {
    const now = clock.monotonic();
    processes.forEach(({ at, isConfirmed }, process) => {
      const lifetime = isConfirmed ? retentionMilliseconds : CONFIRMATION_MILLISECONDS;
      if (now - at > lifetime || processes.size > MAX_PROCESSES) forgetProcess(process);
    });
    servedTimes.forEach((at, part) => {
      if (now - at > SERVED_RETENTION_MILLISECONDS) servedTimes.delete(part);
    });
  };

  const listCrashes = (lossesOfPart: Losses): readonly string[] =>
    [...lossesOfPart.keys()].filter((process) => processes.get(process)?.isConfirmed);

  const createCandidate = (part: string, lossesOfPart: Losses): Candidate => {
    const crashes = [...listCrashes(lossesOfPart)];
    // Only for contents does it matter which crashes came later.
    if (isContent(part) && crashes.length > MIN_CRASHES)
      crashes.sort((first, second) => lossesOfPart.get(first)! - lossesOfPart.get(second)!);
    const wasServed = servedTimes.has(part);
    return { part, crashes: new Set(crashes), score: crashes.length - (wasServed ? 1 : 0) };
  };

  const isRecent = (part: string, lossesOfPart: Losses): boolean =>
    isContent(part) || clock.monotonic() - Math.max(...lossesOfPart.values()) <= blockMilliseconds;

  const listCandidates = (minCrashes: number): readonly Candidate[] => {
    removeExpired();
    const includesContents = minCrashes >= MIN_CRASHES;
    return [...losses.entries()].flatMap(([part, lossesOfPart]) => {
      if (!includesContents && isContent(part)) return [];
      const leastCrashes = isContent(part) ? MIN_CRASHES_OF_CONTENT : minCrashes;
      if (lossesOfPart.size < leastCrashes || !isRecent(part, lossesOfPart)) return [];
      const candidate = createCandidate(part, lossesOfPart);
      return candidate.crashes.size < leastCrashes ? [] : [candidate];
    });
  };

  const blockedGroups = createBlockedGroups({
    clock,
    minCrashes: MIN_CRASHES,
    listCandidates,
    isContent,
    onBlocked,
    onUnblocked,
    onSuspected,
  });

  const isolation = createIsolation({
    clock,
    listSuspects: () => (losses.isEmpty() ? [] : blockedGroups.listSuspectedContents()),
    findLastCrash: (contents) => {
      const times = contents.flatMap((content) => {
        const lossesOfContent = losses.lossesOf(content);
        return listCrashes(lossesOfContent).map((process) => lossesOfContent.get(process)!);
      });
      return times.reduce((last, at) => Math.max(last, at), -Infinity);
    },
    onUpdate: onRun,
  });

  /** @returns the parts that were not recorded for the process before */
  const addLoss = (process: string, parts: readonly string[], at: number): readonly string[] => {
    const unserved = parts.filter((part) => (servedTimes.get(part) ?? -Infinity) < at);
    const added = losses.add(process, unserved, at);
    if (added.length > 0) blockedGroups.invalidate();
    return added;
  };

  const createCrashUpdate = (process: string, { at }: ProcessRecord): PromptPartUpdate => ({
    process,
    parts: losses.listParts(process),
    age: clock.monotonic() - at,
  });

  /** Returns the parts of the unsettled runs that the end of their server process may have ended. */
  const takeEndedParts = (process: string, sinceEnd: number): readonly string[] => {
    const runs = unsettledRuns.takeEnded(process, sinceEnd);
    return [...new Set(runs.flatMap(({ parts }) => parts))];
  };

  const confirm = (process: string, record: ProcessRecord): void => {
    const ended = takeEndedParts(process, clock.monotonic() - record.at);
    const added = addLoss(process, ended, record.at);
    Object.assign(record, { isConfirmed: true, isOwn: record.isOwn || added.length > 0 });
    blockedGroups.invalidate();
    if (record.isOwn) {
      const update = createCrashUpdate(process, record);
      onCrash(process, update.parts);
      onUpdate(update);
    }
    blockedGroups.report();
  };

  const recordServedTimes = (parts: readonly string[], at: number): void =>
    parts.forEach((part) =>
      servedTimes.set(part, Math.max(at, servedTimes.get(part) ?? -Infinity)),
    );

  /** Finds the blocked parts again after losses were removed or the score of a part has changed. */
  const refreshBlocked = (): void => {
    blockedGroups.invalidate();
    blockedGroups.report();
  };

  const recordLoss = (server: ServerProcess, parts: readonly string[]): void => {
    const process = processKey(server);
    const now = clock.monotonic();
    removeExpired();
    const record = ensureRecord(processes, process, now);
    const added = addLoss(process, parts, now);
    if (!record.isConfirmed) {
      Object.assign(record, { at: now, isOwn: true });
      doubtLossesAtOnce(processes, now);
      onLoss(server);
    } else if (added.length > 0) {
      onUpdate({ process, parts: added, age: 0 });
      blockedGroups.report();
    }
  };

  /** Records the crash of a process that is not listed any more, of which only unsettled runs are known. */
  const endUnlistedRuns = (process: string): void => {
    const parts = takeEndedParts(process, 0);
    if (parts.length === 0) return;
    const now = clock.monotonic();
    const record = ensureRecord(processes, process, now);
    addLoss(process, parts, now);
    Object.assign(record, { isOwn: true });
    confirm(process, record);
  };

  const addUnsettledRun = (server: ServerProcess, run: Omit<UnsettledRun, 'sinceEnd'>): void => {
    const process = processKey(server);
    if (processes.get(process)?.isConfirmed) {
      recordLoss(server, run.parts);
      return;
    }
    unsettledRuns.add(process, run);
    if (listed && listed.get(server.id)?.born !== server.born) endUnlistedRuns(process);
    else if (run.parts.some(losses.has)) onLoss(server);
  };

  const recordServed = (parts: readonly string[], sinceBegun: Stopwatch): void => {
    if (losses.isEmpty()) return;
    const age = sinceBegun();
    const at = clock.monotonic() - age;
    const cleared = losses.clear(parts, at);
    if (cleared.parts.length === 0) return;
    recordServedTimes(cleared.parts, at);
    refreshBlocked();
    onUpdate({ parts: cleared.parts, clearedProcesses: cleared.processes, age });
  };

  return {
    isolation,
    isEmpty: losses.isEmpty,
    isSuspected: losses.has,
    countCrashes: (part) => {
      removeExpired();
      return listCrashes(losses.lossesOf(part)).length;
    },
    recordLoss,
    recordUnmarkedAnswer: (server, parts, sinceBegun) => {
      const noticeMilliseconds = NOTICE_MILLISECONDS;
      addUnsettledRun(server, { parts, sinceBegun, noticeMilliseconds });
    },
    recordUnfinished: (server, parts, wasSilent) => {
      const noticeMilliseconds = wasSilent ? CONFIRMATION_MILLISECONDS : NOTICE_MILLISECONDS;
      addUnsettledRun(server, { parts, sinceBegun: undefined, noticeMilliseconds });
    },
    recordUnreachable: (server) => {
      const process = processKey(server);
      const record = processes.get(process);
      if (!record) {
        // Not confirmed yet: this host may have lost its own link.
        const parts = takeEndedParts(process, 0);
        if (parts.length > 0) recordLoss(server, parts);
        return;
      }
      if (record.isConfirmed) return;
      record.isUnreachable = true;
      if (!record.isDoubtful) confirm(process, record);
    },
    recordSilent: (server) => {
      const process = processKey(server);
      const record = processes.get(process);
      if (record && !record.isConfirmed && lastAnswerAt > record.at) confirm(process, record);
    },
    recordAnswer: () => {
      lastAnswerAt = clock.monotonic();
      processes.forEach((record, process) => {
        if (record.isConfirmed || !record.isDoubtful) return;
        Object.assign(record, { isDoubtful: false });
        if (record.isUnreachable) confirm(process, record);
      });
    },
    recordAlive: (server, sinceSent) =>
      unsettledRuns.takeAnswered(processKey(server), sinceSent).forEach(({ parts, sinceBegun }) => {
        if (sinceBegun) recordServed(parts, sinceBegun);
      }),
    updateServers: (servers) => {
      listed = servers;
      removeExpired();
      const hasUnconfirmed = [...processes.values()].some(({ isConfirmed }) => !isConfirmed);
      if (!hasUnconfirmed && unsettledRuns.listProcesses().length === 0) return;
      const listedProcesses = new Set([...servers.values()].map(processKey));
      processes.forEach((record, process) => {
        if (!record.isConfirmed && !listedProcesses.has(process)) confirm(process, record);
      });
      // A server that is leaving ends without a crash.
      servers.forEach((server) => {
        if (server.leaving) unsettledRuns.takeEnded(processKey(server), 0);
      });
      unsettledRuns
        .listProcesses()
        .filter((process) => !listedProcesses.has(process))
        .forEach(endUnlistedRuns);
    },
    recordServed,
    findBlocked: (parts, minCrashes = MIN_CRASHES) => {
      if (processes.size < minCrashes) return undefined;
      const held = new Set(parts);
      return blockedGroups
        .list(minCrashes)
        .find((group) => group.parts.every((part) => held.has(part)))?.parts;
    },
    applyUpdate: ({ process, parts, clearedProcesses, age }) => {
      const at = clock.monotonic() - age;
      if (process === undefined) {
        const isKnown = parts.every(
          (part) => (servedTimes.get(part) ?? -Infinity) >= at - SAME_ANSWER_MILLISECONDS,
        );
        const cleared = losses.clear(parts, at, clearedProcesses);
        recordServedTimes(parts, at);
        // Other parts cannot be blocked, and a host that was cut off learns of many at once.
        if (cleared.parts.length > 0 || parts.some(losses.has)) refreshBlocked();
        return cleared.parts.length > 0 || !isKnown;
      }
      const record = ensureRecord(processes, process, at);
      const added = addLoss(process, parts, at);
      if (record.isConfirmed) blockedGroups.report();
      else confirm(process, record);
      return added.length > 0;
    },
    listUpdates: () => {
      removeExpired();
      const now = clock.monotonic();
      const crashes = [...processes]
        .filter(([, { isConfirmed }]) => isConfirmed)
        .map(([process, record]) => createCrashUpdate(process, record));
      const served = [...servedTimes].map(([part, at]) => ({ parts: [part], age: now - at }));
      return [...crashes, ...served];
    },
  };
}
