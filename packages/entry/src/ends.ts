/** Asks servers and other hosts whether they have outlived a connection that ended in order. */
import type { ServerEntry } from '@bulrushspar/catalogue';
import type { Clock } from '@bulrushspar/clock';
import { errorMessage } from '@bulrushspar/errors';
import type { EngineControl } from '@bulrushspar/loading';
import type { Logger } from '@bulrushspar/logging';
import {
  createConfirmedSend,
  createEndConfirmation,
  PROCESS_STATE,
  type Call,
  type PassingHost,
  type ProcessState,
  type SendCall,
} from '@bulrushspar/serving';
import { EXCHANGE_FAULT, EXCHANGE_PROGRESS, isExchangeError } from '@bulrushspar/targets';

/** Options of {@link createServerQuestion}. */
export interface ServerQuestionOptions {
  readonly report: EngineControl['report'];
  /** Whether nothing may be sent to a server now. */
  readonly isClosed: (server: ServerEntry) => boolean;
}

/**
 * Creates a function that asks a server process for its report, over a new connection. A server without
 * engine has none, and any answer of it shows that the process runs.
 */
export function createServerQuestion({
  report,
  isClosed,
}: ServerQuestionOptions): (server: ServerEntry) => Promise<ProcessState> {
  return async (server) => {
    if (isClosed(server)) return PROCESS_STATE.UNKNOWN;
    try {
      const { born } = await report(server);
      return born === server.born ? PROCESS_STATE.ALIVE : PROCESS_STATE.ENDED;
    } catch (error) {
      if (!isExchangeError(error)) return PROCESS_STATE.ALIVE;
      if (error.fault === EXCHANGE_FAULT.REPLACED) return PROCESS_STATE.ENDED;
      const isUnreachable = error.progress === EXCHANGE_PROGRESS.NOT_SENT;
      return isUnreachable ? PROCESS_STATE.UNREACHABLE : PROCESS_STATE.UNKNOWN;
    }
  };
}

/** Options of {@link createHostQuestion}. */
export interface HostQuestionOptions {
  readonly logger: Logger;
  /** Requests the time for which the process of a host has run, in milliseconds. */
  readonly requestUptime: (host: string) => Promise<unknown>;
}

/**
 * Creates a function that asks a host whether its process has run since it opened a connection. A host of
 * an older build does not answer, and does not count as having run.
 */
export function createHostQuestion({
  logger,
  requestUptime,
}: HostQuestionOptions): (host: PassingHost) => Promise<boolean> {
  return async ({ host, sinceOpened }) => {
    try {
      const uptime = await requestUptime(host);
      return typeof uptime === 'number' && uptime >= sinceOpened();
    } catch (error) {
      logger.warn('a host that passed on a connection does not answer', {
        peer: host,
        error: errorMessage(error),
      });
      return false;
    }
  };
}

/** Options of {@link createEntrySend}. */
export interface EntrySendOptions<SomeCall extends Call>
  extends ServerQuestionOptions, HostQuestionOptions {
  readonly clock: Clock;
  readonly send: SendCall<SomeCall>;
}

/** Creates the function with which a host sends requests; it fails for answers whose ends are not confirmed. */
export function createEntrySend<SomeCall extends Call>(
  options: EntrySendOptions<SomeCall>,
): SendCall<SomeCall> {
  const { clock, logger, send } = options;
  return createConfirmedSend({
    clock,
    logger,
    send,
    confirmation: createEndConfirmation({ clock, ask: createServerQuestion(options) }),
    outlivedConnection: createHostQuestion(options),
  });
}
