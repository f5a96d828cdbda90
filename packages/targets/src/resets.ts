/**
 * Tells connections that were reset from those that have ended in order. libuv reports an end instead of an error
 * if a reset has arrived together with the last bytes, and a failed write may take the error before the read.
 */
import type { Socket } from 'node:net';

/** Options of {@link detectResets}. */
export interface ResetDetectionOptions {
  /** Asked when the connection ends; by default each end is examined. */
  readonly isNeeded?: () => boolean;
}

/** Recipients of requests ignore it between them, and the writer of an end has no use for more. */
const EMPTY_LINE = '\r\n';

/**
 * Makes a connection to a server fail with an error, instead of ending, if it was reset, or if it has ended before
 * all that was written to it was sent. Writes an empty line to it, as only a system call tells a reset.
 */
export function detectResets(socket: Socket, options: ResetDetectionOptions = {}): void {
  const { isNeeded = () => true } = options;
  const push = socket.push.bind(socket);
  const end = (): void => {
    push(null);
  };

  const examineEnd = (): void => {
    if (!socket.writable) end();
    else if (socket.writableLength > 0)
      socket.destroy(new Error('the connection has ended before all of the request was sent'));
    else
      socket.write(EMPTY_LINE, (error) => {
        // A failed write destroys the socket with its error.
        if (!error && !socket.destroyed) end();
      });
  };

  Object.assign(socket, {
    push: (chunk: Buffer | null, encoding?: BufferEncoding): boolean => {
      if (chunk !== null || !isNeeded()) return push(chunk, encoding);
      examineEnd();
      return false;
    },
  });
}
