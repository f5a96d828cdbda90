import { createBlockQueue } from './buffer.js';
import type { ByteMemory } from './memory.js';
import type { AnswerWriter } from './relay.js';

/** Writer whose unread bytes can be measured. */
export interface MeasuredWriter extends AnswerWriter {
  /** Bytes that were written and that the system has not taken over yet. */
  unreadBytes(): number;
  /** Called once the answer was sent, or its connection has ended. */
  onClose(action: () => void): void;
}

/** Writer that holds what its caller has not read. */
export interface BufferingWriter extends AnswerWriter {
  /** Counts bytes that are received and cannot be written yet, as their event is incomplete. */
  setPendingBytes(bytes: number): void;
}

/** Options of {@link createBufferingWriter}. */
export interface BufferingWriterOptions {
  readonly writer: MeasuredWriter;
  readonly memory: ByteMemory;
  /** Ends the answer, because the memory of the host is short and no other answer holds more. */
  readonly onShortage: (heldBytes: number) => void;
}

/** An answer that holds no more than a connection's own write buffer is not ended for its bytes. */
const CONNECTION_BUFFER_BYTES = 16_384;

/**
 * Creates a writer that takes bytes beyond the write buffer of a connection, so that the server is paused
 * only at the bound of the stream. It counts them in the memory of the host until they are read, also
 * after the end of the answer.
 */
export function createBufferingWriter(options: BufferingWriterOptions): BufferingWriter {
  const { writer, memory, onShortage } = options;
  const queue = createBlockQueue();
  let pendingBytes = 0;
  let isFull = false;
  let isPaused = false;
  let hasEnded = false;
  let isClosed = false;
  let onDrained: () => void = () => {};

  const unreadBytes = (): number => writer.unreadBytes() + queue.bytes() + pendingBytes;

  const close = (): void => {
    isClosed = true;
    holding.close();
    queue.clear();
  };
  const endForShortage = (heldBytes: number): void => {
    close();
    onShortage(heldBytes);
  };
  const holding = memory.open(endForShortage);

  const count = (): void => {
    if (isClosed) return;
    const bytes = unreadBytes();
    if (!holding.resize(bytes) && bytes > CONNECTION_BUFFER_BYTES) endForShortage(bytes);
  };

  const flush = (): void => {
    while (!isFull) {
      const block = queue.shift();
      if (!block) break;
      isFull = !writer.write(block);
    }
    if (hasEnded && queue.bytes() === 0) writer.end();
    count();
  };

  writer.onClose(close);
  writer.onDrain(() => {
    if (isClosed) return;
    isFull = false;
    flush();
    // Resumed at half of the bound, so that the server is not paused again by its next bytes.
    if (!isPaused || (queue.bytes() > 0 && unreadBytes() > memory.streamBytes() / 2)) return;
    isPaused = false;
    onDrained();
  });

  return {
    hasBegun: writer.hasBegun,
    writeHead: writer.writeHead,
    write: (chunk) => {
      if (isClosed) return true;
      if (isFull || queue.bytes() > 0) queue.append(chunk);
      else isFull = !writer.write(chunk);
      count();
      isPaused = !isClosed && isFull && unreadBytes() >= memory.streamBytes();
      return !isPaused;
    },
    onDrain: (action) => {
      onDrained = action;
    },
    end: () => {
      if (isClosed) return;
      hasEnded = true;
      if (queue.bytes() === 0) writer.end();
      count();
    },
    setPendingBytes: (bytes) => {
      pendingBytes = bytes;
      count();
    },
  };
}
