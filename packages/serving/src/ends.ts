/**
 * Confirms the ends of answers that only the end of their connection marks. The connections of a process
 * that is killed end in the same way, so that such an answer is whole only if its server process answers
 * something that was sent to it afterwards.
 */
import type { ServerEntry } from '@bulrushspar/catalogue';
import { startMonotonicStopwatch, type Clock, type Stopwatch } from '@bulrushspar/clock';
import type { Logger } from '@bulrushspar/logging';
import type { ServerProcess } from '@bulrushspar/routing';
import { createExchangeError, EXCHANGE_FAULT, EXCHANGE_PROGRESS } from '@bulrushspar/targets';
import { isAnswerTo } from './answer.js';
import type { AnswerHead, Call, PassingHost, SendCall } from './call.js';

/** What a question to a process shows. */
export const PROCESS_STATE = {
  /** The process has answered. */
  ALIVE: 'alive',
  /** Another process has answered in its place. */
  ENDED: 'ended',
  /** No connection to the process could be opened. */
  UNREACHABLE: 'unreachable',
  /** The process has not answered, or was not asked. */
  UNKNOWN: 'unknown',
} as const;

/** One of {@link PROCESS_STATE}. */
export type ProcessState = (typeof PROCESS_STATE)[keyof typeof PROCESS_STATE];

/** Confirms the ends of answers for one host. */
export interface EndConfirmation {
  /**
   * Resolves to whether the process of a server has outlived the connection that has just ended; to false if
   * that is not known in time or the signal is aborted.
   */
  confirm(server: ServerEntry, signal: AbortSignal): Promise<boolean>;
  /**
   * Records that a server process has answered this host.
   * @param sinceSent stopwatch started when the request was sent to the server
   */
  recordAnswer(server: ServerProcess, sinceSent: Stopwatch): void;
}

/** Options of {@link createEndConfirmation}. */
export interface EndConfirmationOptions {
  readonly clock: Clock;
  /** Asks a server process for an answer of any kind; never rejects. */
  readonly ask: (server: ServerEntry) => Promise<ProcessState>;
  /** Longest wait for the confirmation of one end, in milliseconds; 1000 by default. */
  readonly timeoutMilliseconds?: number;
}

/** An end that is not confirmed yet. */
interface PendingEnd {
  readonly sinceEnd: Stopwatch;
  settle(isConfirmed: boolean): void;
}

/** Pause between questions; a server that resets connections beyond its limit may accept the next one. */
const PAUSE_MILLISECONDS = 50;
/** Failed connections in sequence after which a process counts as ended. */
const MAX_UNREACHABLE = 2;

const processKey = ({ id, born }: ServerProcess): string => `${id}/${born}`;

/** Creates the confirmation of one host. One question at a time is open at each server process. */
export function createEndConfirmation(options: EndConfirmationOptions): EndConfirmation {
  const { clock, ask, timeoutMilliseconds = 1000 } = options;

  const endsByProcess = new Map<string, Set<PendingEnd>>();

  const askUntilSettled = async (server: ServerEntry, ends: Set<PendingEnd>): Promise<void> => {
    let unreachableCount = 0;
    while (ends.size > 0) {
      // Only ends before a question are confirmed by its answer.
      const asked = [...ends];
      // eslint-disable-next-line no-await-in-loop -- one question at a time
      const state = await ask(server);
      unreachableCount = state === PROCESS_STATE.UNREACHABLE ? unreachableCount + 1 : 0;
      const hasEnded = state === PROCESS_STATE.ENDED || unreachableCount >= MAX_UNREACHABLE;
      if (state === PROCESS_STATE.ALIVE) asked.forEach(({ settle }) => settle(true));
      else if (hasEnded) [...ends].forEach(({ settle }) => settle(false));
      // eslint-disable-next-line no-await-in-loop -- one question at a time
      else await clock.delay(PAUSE_MILLISECONDS);
    }
    // An end that comes from now on is asked about anew.
    endsByProcess.delete(processKey(server));
  };

  return {
    confirm: (server, signal) =>
      new Promise((resolve) => {
        const key = processKey(server);
        const known = endsByProcess.get(key);
        const ends = known ?? new Set<PendingEnd>();
        const settle = (isConfirmed: boolean): void => {
          ends.delete(end);
          cancelTimeout();
          signal.removeEventListener('abort', onAbort);
          resolve(isConfirmed);
        };
        const onAbort = (): void => settle(false);
        const cancelTimeout = clock.after(timeoutMilliseconds, onAbort);
        const end: PendingEnd = { sinceEnd: startMonotonicStopwatch(clock), settle };
        signal.addEventListener('abort', onAbort, { once: true });
        if (signal.aborted) {
          onAbort();
          return;
        }
        ends.add(end);
        if (known) return;
        endsByProcess.set(key, ends);
        askUntilSettled(server, ends).catch(() => settle(false));
      }),
    recordAnswer: (server, sinceSent) => {
      const ends = endsByProcess.get(processKey(server));
      if (!ends) return;
      const milliseconds = sinceSent();
      [...ends].forEach(({ sinceEnd, settle }) => {
        if (sinceEnd() > milliseconds) settle(true);
      });
    },
  };
}

/** Options of {@link createConfirmedSend}. */
export interface ConfirmedSendOptions<SomeCall extends Call> {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly send: SendCall<SomeCall>;
  readonly confirmation: EndConfirmation;
  /** Resolves to whether the process of a host has passed on a connection until its end; never rejects. */
  readonly outlivedConnection: (host: PassingHost) => Promise<boolean>;
}

/**
 * Creates a function that sends a request and fails with the error of a cut connection if the end of the
 * answer cannot be confirmed.
 */
export function createConfirmedSend<SomeCall extends Call>(
  options: ConfirmedSendOptions<SomeCall>,
): SendCall<SomeCall> {
  const { clock, logger, send, confirmation, outlivedConnection } = options;

  const isConfirmed = async (
    { passingHost }: AnswerHead,
    server: ServerEntry,
    signal: AbortSignal,
  ): Promise<boolean> => {
    const confirmations = [
      confirmation.confirm(server, signal),
      passingHost ? outlivedConnection(passingHost) : true,
    ];
    return (await Promise.all(confirmations)).every(Boolean);
  };

  return async (call, attempt, sink, signal) => {
    const { server } = attempt;
    const sinceSent = startMonotonicStopwatch(clock);
    let head: AnswerHead | undefined;
    let bodyBytes = 0;
    await send(
      call,
      attempt,
      {
        onHead: (answerHead, flow) => {
          head = answerHead;
          if (isAnswerTo(answerHead, call.id) && !answerHead.misdirected)
            confirmation.recordAnswer(server, sinceSent);
          sink.onHead(answerHead, flow);
        },
        onData: (chunk) => {
          bodyBytes += chunk.length;
          sink.onData(chunk);
        },
      },
      signal,
    );
    if (!head || head.framed) return;
    const answerMilliseconds = sinceSent();
    const sinceEnd = startMonotonicStopwatch(clock);
    const isWhole = await isConfirmed(head, server, signal);
    logger.info('end of an answer without a length', {
      request: call.id,
      server: server.id,
      passingHost: head.passingHost?.host,
      bodyBytes,
      answerMilliseconds: Math.round(answerMilliseconds),
      isConfirmed: isWhole,
      milliseconds: Math.round(sinceEnd()),
    });
    if (isWhole) return;
    throw createExchangeError(
      new Error(`nothing shows that server ${server.id} has ended the answer itself`),
      EXCHANGE_PROGRESS.ANSWERED,
      signal.aborted ? EXCHANGE_FAULT.ABORTED : EXCHANGE_FAULT.CUT,
    );
  };
}
