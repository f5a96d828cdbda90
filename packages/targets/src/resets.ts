/**
 * Tells connections that were reset from those that have ended in order. libuv reports an end instead of an error
 * if a reset has arrived together with the last bytes, a failed write may take the error before the read, and
 * some senders end a connection before they reset it.
 */
import type { Socket } from 'node:net';

/** Options of {@link detectResets}. */
export interface ResetDetectionOptions {
  /** Asked when the connection ends; by default each end is examined. */
  readonly isNeeded?: () => boolean;
  /** Time for which a reset may follow an end, in milliseconds; 20 by default. */
  readonly pauseMilliseconds?: number;
  /** Runs an action after a time in milliseconds; `setTimeout` by default. */
  readonly runAfter?: (action: () => void, milliseconds: number) => void;
}

const DEFAULT_PAUSE_MILLISECONDS = 20;

/** Recipients of requests ignore it between them, and the writer of an end has no use for more. */
const EMPTY_LINE = '\r\n';

/**
 * Makes a connection to a server fail with an error, instead of ending, if it was reset, or if it has ended before
 * all that was written to it was sent. Writes an empty line to it, as only a system call tells a reset.
 */
export function detectResets(socket: Socket, options: ResetDetectionOptions = {}): void {
  const { isNeeded = () => true, pauseMilliseconds = DEFAULT_PAUSE_MILLISECONDS } = options;
  const { runAfter = setTimeout } = options;
  const push = socket.push.bind(socket);
  const end = (): void => {
    if (!socket.destroyed) push(null);
  };

  const probe = (): void => {
    if (!socket.writable) end();
    // A failed write destroys the socket with its error.
    else socket.write(EMPTY_LINE, (error) => error ?? end());
  };

  const examineEnd = (): void => {
    if (socket.writableLength === 0) runAfter(probe, pauseMilliseconds);
    else socket.destroy(new Error('the connection has ended before all of the request was sent'));
  };

  Object.assign(socket, {
    push: (chunk: Buffer | null, encoding?: BufferEncoding): boolean => {
      if (chunk !== null || !isNeeded()) return push(chunk, encoding);
      examineEnd();
      return false;
    },
  });
}
