/**
 * Tells connections that were reset from those that have ended in order. libuv reports an end instead of the error if
 * a reset has arrived together with the last bytes, and a failed write may take the error before the read does.
 */
import type { Socket } from 'node:net';

/** Options of {@link detectResets}. */
export interface ResetDetectionOptions {
  /** Asked once all that came before the end was read; by default each end is examined. */
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
  const read = socket.read.bind(socket) as (size?: number) => Buffer | null;
  /** Whether the end waits until all that has come before it was read. */
  let isWaiting = false;
  let isReadAgain = false;

  /** Reads once more, as the system then reports the error of a reset, and an end otherwise. */
  const readAgain = (): boolean => {
    // eslint-disable-next-line no-underscore-dangle -- the methods of a socket do not read after its end
    const handle = (socket as Socket & { readonly _handle?: Handle | null })._handle;
    if (!handle) return false;
    isReadAgain = true;
    return handle.readStart() === 0;
  };

  const examineEnd = (): void => {
    if (socket.destroyed) return;
    if (!isNeeded()) push(null);
    else if (socket.writableLength > 0)
      socket.destroy(new Error('the connection has ended before all of the request was sent'));
    else if (isReadAgain || !readAgain()) push(null);
  };

  Object.assign(socket, {
    push: (chunk: Buffer | null, encoding?: BufferEncoding): boolean => {
      if (chunk !== null) return push(chunk, encoding);
      // An error would discard what was not read, which may be the rest of an answer that marks its end.
      isWaiting = socket.readableLength > 0;
      if (!isWaiting) examineEnd();
      return false;
    },
    read: (size?: number): Buffer | null => {
      const bytes = read(size);
      if (isWaiting && socket.readableLength === 0) {
        isWaiting = false;
        process.nextTick(examineEnd);
      }
      return bytes;
    },
  });
}
