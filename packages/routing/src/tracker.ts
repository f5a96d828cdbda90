/** What hosts record and tell each other about the prompt parts that ran when servers crashed. */
import type { Clock, Stopwatch } from '@bulrushspar/clock';
import type { Isolation, RunUpdate } from './isolation.js';

/** A process of a server; a restart with the same id has another start time. */
export interface ServerProcess {
  readonly id: string;
  /** Unix time of the start, in milliseconds. */
  readonly born: number;
}

/** A server process in the list of servers. */
export interface ListedProcess extends ServerProcess {
  /** The process ends its runs and then itself. */
  readonly leaving?: boolean;
}

/** Message between hosts about prompt parts. */
export interface PromptPartUpdate {
  /** Server process that crashed while it ran the parts; absent if the parts were served. */
  readonly process?: string | undefined;
  readonly parts: readonly string[];
  /**
   * Server processes that the sender cleared of the parts. Hosts learn of a crash after different
   * delays, so that the age alone may not show that the answer began after it.
   */
  readonly clearedProcesses?: readonly string[] | undefined;
  /** Milliseconds since the crash was noticed, or since the server began the answer it completed. */
  readonly age: number;
}

/**
 * Finds the prompt part on which servers crash, among the parts that ran when they crashed. A part
 * whose request was served does not crash servers.
 */
export interface PromptPartTracker {
  /** Keeps contents that may crash servers apart from each other. */
  readonly isolation: Isolation;
  /** @returns whether no crash is recorded, so that lookups can be skipped */
  isEmpty(): boolean;
  /** @returns whether a server broke the connection of a request with the part, as far as is known */
  isSuspected(part: string): boolean;
  /** @returns the number of confirmed crashes of servers that ran the part */
  countCrashes(part: string): number;
  /** Records that a server broke the connection of a request; it counts once the crash is confirmed. */
  recordLoss(server: ServerProcess, parts: readonly string[]): void;
  /** Records that this host cannot connect to the server process any more. */
  recordUnreachable(server: ServerProcess): void;
  /**
   * Records an answer whose end only the end of its connection marks: it counts as served once the
   * server process answers a later request, and as lost if the process turns out to have ended.
   * @param sinceBegun stopwatch started when the server began the answer
   */
  recordUnmarkedAnswer(
    server: ServerProcess,
    parts: readonly string[],
    sinceBegun: Stopwatch,
  ): void;
  /**
   * Records a run that ended without a successful answer and without a sign of a crash: it counts as lost if
   * the server process turns out to have ended since.
   * @param wasSilent nothing of an answer had come
   */
  recordUnfinished(server: ServerProcess, parts: readonly string[], wasSilent: boolean): void;
  /** Records that a server has begun an answer to this host, whose own link therefore works. */
  recordAnswer(): void;
  /**
   * Records that a server process has answered this host.
   * @param sinceSent stopwatch started when the request was sent to the server
   */
  recordAlive(server: ServerProcess, sinceSent: Stopwatch): void;
  /**
   * Records that a server process has stayed silent since a loss. Its crash is confirmed if other servers
   * have answered this host meanwhile.
   */
  recordSilent(server: ServerProcess): void;
  /** Confirms the crashes of the server processes that are not listed any more. */
  updateServers(servers: ReadonlyMap<string, ListedProcess>): void;
  /**
   * Clears the parts of a request that was served.
   * @param sinceBegun stopwatch started when the server began the answer
   */
  recordServed(parts: readonly string[], sinceBegun: Stopwatch): void;
  /**
   * Returns the parts for which a request with the given parts is blocked; undefined if it is not.
   * @param minCrashes number of confirmed crashes from which parts are blocked; below the default only
   *   shared parts are, whether or not the contents of requests explain the crashes as well
   */
  findBlocked(parts: readonly string[], minCrashes?: number): readonly string[] | undefined;
  /**
   * Applies an update from another host.
   * @returns whether it changed anything, so that it must be relayed
   */
  applyUpdate(update: PromptPartUpdate): boolean;
  /** @returns all confirmed crashes and cleared parts, for a host that was disconnected */
  listUpdates(): readonly PromptPartUpdate[];
}

/** Options of {@link createPromptPartTracker}. */
export interface PromptPartTrackerOptions {
  readonly clock: Clock;
  /** Called with each update that must be sent to the other hosts. */
  readonly onUpdate?: (update: PromptPartUpdate) => void;
  /** Called with each update on runs of suspected contents that must be sent to the other hosts. */
  readonly onRun?: (update: RunUpdate) => void;
  /** Called when a server breaks a connection, so that its crash can be confirmed. */
  readonly onLoss?: (server: ServerProcess) => void;
  /** Called when this host has confirmed a crash. */
  readonly onCrash?: (process: string, parts: readonly string[]) => void;
  /** Called when requests with all of the parts become blocked. */
  readonly onBlocked?: (parts: readonly string[]) => void;
  /** Called when blocked parts are not blocked any more. */
  readonly onUnblocked?: (parts: readonly string[]) => void;
  /** Called when the contents have changed that may crash servers and run one at a time. */
  readonly onSuspected?: (contents: readonly string[]) => void;
  /** Time for which a crash counts, in milliseconds; 10 minutes by default. */
  readonly retentionMilliseconds?: number;
  /**
   * Time after the last crash for which a part that requests share is blocked, in milliseconds; 2
   * minutes by default.
   */
  readonly blockMilliseconds?: number;
}
