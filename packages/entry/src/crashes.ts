/** Finds the prompt parts on which servers crash, and confirms the crashes that this host notices. */
import type { ServerEntry, ServerView } from '@bulrushspar/catalogue';
import { startMonotonicStopwatch, type Clock } from '@bulrushspar/clock';
import { errorMessage } from '@bulrushspar/errors';
import type { Logger } from '@bulrushspar/logging';
import {
  createPromptPartTracker,
  type PromptPartTracker,
  type PromptPartUpdate,
  type RunUpdate,
  type ServerProcess,
} from '@bulrushspar/routing';
import { EXCHANGE_FAULT, EXCHANGE_PROGRESS, isExchangeError } from '@bulrushspar/targets';

/** Options of {@link createCrashWatch}. */
export interface CrashWatchOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  /** @returns the listed servers */
  readonly current: () => ServerView;
  /** Fetches a server's report over a new connection. */
  readonly report: (server: ServerEntry) => Promise<unknown>;
  /** Called with each update that must be sent to the other hosts. */
  readonly onUpdate: (update: PromptPartUpdate) => void;
  /** Called with each update on runs of suspected contents that must be sent to the other hosts. */
  readonly onRun: (update: RunUpdate) => void;
}

/**
 * Pauses before the reports that are fetched from a server after it has broken a connection. The first
 * one lets the losses be noticed that a failure of this host's own link causes at other servers.
 */
const PROBE_PAUSES_MILLISECONDS: readonly number[] = [100, 300, 600, 1000];
/** Further pauses if no probe was answered; a server that stands still for a moment answers the last one. */
const SILENT_PROBE_PAUSES_MILLISECONDS: readonly number[] = [2000, 3000];
const ALL_PAUSES_MILLISECONDS = [...PROBE_PAUSES_MILLISECONDS, ...SILENT_PROBE_PAUSES_MILLISECONDS];

const PROBE_RESULT = {
  /** The server process is known to have ended. */
  ENDED: 'ended',
  /** The process has answered or closed the connection. */
  REACTED: 'reacted',
  /** The request was sent, and nothing has come. */
  SILENT: 'silent',
} as const;

type ProbeResult = (typeof PROBE_RESULT)[keyof typeof PROBE_RESULT];

/** Number of prompt parts named in a line of the log. */
const MAX_LOGGED_PARTS = 20;

/** Creates the tracker of one host's fleet, whose crashes are confirmed as soon as possible. */
export function createCrashWatch(options: CrashWatchOptions): PromptPartTracker {
  const { clock, logger, current, report, onUpdate, onRun } = options;

  const probedProcesses = new Set<string>();

  const describeParts = (parts: readonly string[]) => ({
    parts: parts.slice(0, MAX_LOGGED_PARTS).join(' '),
    partCount: parts.length,
  });

  const probe = async (server: ServerProcess): Promise<ProbeResult> => {
    const entry = current().get(server.id);
    if (entry?.born !== server.born) {
      tracker.updateServers(current());
      return PROBE_RESULT.ENDED;
    }
    const sinceSent = startMonotonicStopwatch(clock);
    try {
      await report(entry);
      tracker.recordAlive(server, sinceSent);
      // A process that ends may close its connections before it stops to accept new ones.
      return PROBE_RESULT.REACTED;
    } catch (error) {
      if (!isExchangeError(error)) return PROBE_RESULT.REACTED;
      const isReplaced = error.fault === EXCHANGE_FAULT.REPLACED;
      if (!isReplaced && error.progress !== EXCHANGE_PROGRESS.NOT_SENT)
        return error.fault === EXCHANGE_FAULT.CUT ? PROBE_RESULT.REACTED : PROBE_RESULT.SILENT;
      if (isReplaced) tracker.recordAnswer();
      tracker.recordUnreachable(server);
      return PROBE_RESULT.ENDED;
    }
  };

  const probeUntilEnded = async (server: ServerProcess): Promise<void> => {
    let isSilent = true;
    for (const [index, pause] of ALL_PAUSES_MILLISECONDS.entries()) {
      if (index >= PROBE_PAUSES_MILLISECONDS.length && !isSilent) return;
      /* eslint-disable no-await-in-loop -- the probes run in sequence */
      await clock.delay(pause);
      const result = await probe(server);
      /* eslint-enable no-await-in-loop */
      if (result === PROBE_RESULT.ENDED) return;
      isSilent &&= result === PROBE_RESULT.SILENT;
    }
    if (isSilent) tracker.recordSilent(server);
  };

  const tracker = createPromptPartTracker({
    clock,
    onUpdate,
    onRun,
    onLoss: (server) => {
      const process = `${server.id}/${server.born}`;
      if (probedProcesses.has(process)) return;
      probedProcesses.add(process);
      probeUntilEnded(server)
        .catch((error: unknown) =>
          logger.error('confirming a crash failed', { process, error: errorMessage(error) }),
        )
        .finally(() => probedProcesses.delete(process));
    },
    onCrash: (process, parts) =>
      logger.warn('server crashed while it ran prompt parts', { process, ...describeParts(parts) }),
    onBlocked: (parts) =>
      logger.warn('requests with prompt parts are blocked', describeParts(parts)),
    onUnblocked: (parts) =>
      logger.info('requests with prompt parts are not blocked any more', describeParts(parts)),
    onSuspected: (contents) =>
      logger.warn('requests that may crash servers run one at a time', describeParts(contents)),
  });
  return tracker;
}
