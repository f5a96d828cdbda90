/**
 * Tells connections that were reset from those that have ended in order. libuv reports an end instead of the error if
 * a reset has arrived together with the last bytes, and a failed write may take the error before the read does.
 */
import type { Socket } from 'node:net';

/** Options of {@link detectResets}. */
export interface ResetDetectionOptions {
  /** Asked when the connection ends; by default each end is examined. */
  readonly isNeeded?: () => boolean;
}

/** The part of a socket that reads from the system. */
interface Handle {
  readStart(): number;
}

/**
 * Makes a connection to a server fail with an error, instead of ending, if it was reset, or if it has ended before
 * all that was written to it was sent.
 */
export function detectResets(socket: Socket, options: ResetDetectionOptions = {}): void {
  const { isNeeded = () => true } = options;
  const push = socket.push.bind(socket);
  let isReadAgain = false;

  /** Reads once more, as the system then reports the error of a reset, and an end otherwise. */
  const readAgain = (): boolean => {
    // eslint-disable-next-line no-underscore-dangle -- the methods of a socket do not read after its end
    const handle = (socket as Socket & { readonly _handle?: Handle | null })._handle;
    if (!handle) return false;
    isReadAgain = true;
    return handle.readStart() === 0;
  };

  const pushEnd = (): boolean => {
    if (socket.writableLength > 0) {
      socket.destroy(new Error('the connection has ended before all of the request was sent'));
      return false;
    }
    return !isReadAgain && readAgain() ? false : push(null);
  };

  Object.assign(socket, {
    push: (chunk: Buffer | null, encoding?: BufferEncoding): boolean =>
      chunk === null && isNeeded() ? pushEnd() : push(chunk, encoding),
  });
}
