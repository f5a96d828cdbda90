import { createBlockPool, type BlockPool } from './pool.js';

/**
 * Bounds the bytes that a host holds: of answers until they are complete or their callers read them, of
 * bodies of requests until the requests have ended.
 */
export interface ByteMemory {
  /**
   * @param onShortage ends an answer or a request whose bytes are needed for others; its holding is closed
   * then. Without it the holding is never ended for others
   */
  open(onShortage?: (heldBytes: number) => void): Holding;
  /** Unread bytes from which on a stream is paused: fewer, the more the host holds already. */
  streamBytes(): number;
  heldBytes(): number;
  /** Blocks for what is held. */
  readonly pool: BlockPool;
}

/** Bytes that one answer holds. */
export interface Holding {
  /**
   * Changes the held bytes. If the memory is short, the holdings with the most bytes are ended first.
   * @returns false if the bytes stay as they are, because no holding that may be ended has more
   */
  resize(bytes: number): boolean;
  /**
   * Lets the holding not be ended for others any more.
   * @returns false if less than as many bytes would be free beside it, so that it has to be closed
   */
  keep(): boolean;
  bytes(): number;
  close(): void;
}

/** Options of {@link createByteMemory}. */
export interface ByteMemoryOptions {
  /** Most bytes of all holdings together. */
  readonly totalBytes?: number;
  /** Most bytes of one holding that is opened without `onShortage`. */
  readonly holdingBytes?: number;
  /** Most unread bytes of one stream. */
  readonly streamBytes?: number;
}

const DEFAULT_TOTAL_BYTES = 64_000_000;
const DEFAULT_HOLDING_BYTES = 16_000_000;
/** Over ten seconds of a stream of 100 tokens a second with 200 bytes for each. */
const DEFAULT_STREAM_BYTES = 262_144;
/**
 * A stream is paused once it holds this fraction of what is free. 500 slow streams then settle at 8/9 of
 * the memory, and the rest is free for the answers of callers that read.
 */
const STREAM_FRACTION = 1 / 64;
/**
 * Fraction of a host's memory. A host without callers uses 85 to 96 MiB; the smallest hosts have 210 MB,
 * and a sixth of it still holds the largest answer of 16 MB, which may take half.
 */
const ANSWER_FRACTION = 1 / 6;
/** Less than for answers, as 32 MB of what was read may wait for the garbage collector as well. */
const REQUEST_FRACTION = 1 / 10;

/** @returns the most bytes of all answers together, for a host with so much memory */
export function answerBytesOfHost(memoryBytes: number): number {
  return Math.floor(memoryBytes * ANSWER_FRACTION);
}

/** @returns the most bytes of all bodies of requests together, for a host with so much memory */
export function requestBytesOfHost(memoryBytes: number): number {
  return Math.floor(memoryBytes * REQUEST_FRACTION);
}

interface OpenHolding {
  bytes: number;
  readonly onShortage: ((heldBytes: number) => void) | undefined;
}

/**
 * Creates a memory of one host. A holding that may not be ended for others may have at most as many bytes as
 * are left for them, so that large ones always leave room for small ones.
 */
export function createByteMemory(options: ByteMemoryOptions = {}): ByteMemory {
  const { totalBytes = DEFAULT_TOTAL_BYTES, holdingBytes = DEFAULT_HOLDING_BYTES } = options;
  const { streamBytes = DEFAULT_STREAM_BYTES } = options;
  /** Holdings that may be ended for others. */
  const endable = new Set<OpenHolding>();
  let usedBytes = 0;

  const release = (holding: OpenHolding): void => {
    const released = holding;
    usedBytes -= released.bytes;
    released.bytes = 0;
    endable.delete(released);
  };

  /** Ends the holding with the most bytes, if it has more than the given ones. */
  const endLargest = (bytes: number): boolean => {
    let largest: OpenHolding | undefined;
    endable.forEach((holding) => {
      if (holding.bytes > (largest?.bytes ?? bytes)) largest = holding;
    });
    if (!largest) return false;
    const held = largest.bytes;
    release(largest);
    largest.onShortage!(held);
    return true;
  };

  return {
    open: (onShortage) => {
      const holding: OpenHolding = { bytes: 0, onShortage };
      if (onShortage) endable.add(holding);
      return {
        resize: (bytes) => {
          const growth = bytes - holding.bytes;
          if (!onShortage && bytes > holdingBytes) return false;
          const neededBytes = onShortage ? growth : growth + bytes;
          if (growth > 0)
            while (neededBytes > totalBytes - usedBytes) if (!endLargest(bytes)) return false;
          usedBytes += bytes - holding.bytes;
          holding.bytes = bytes;
          return true;
        },
        keep: () => {
          while (holding.bytes > totalBytes - usedBytes)
            if (!endLargest(holding.bytes)) return false;
          endable.delete(holding);
          return true;
        },
        bytes: () => holding.bytes,
        close: () => release(holding),
      };
    },
    streamBytes: () => Math.min(streamBytes, Math.max(0, totalBytes - usedBytes) * STREAM_FRACTION),
    heldBytes: () => usedBytes,
    pool: createBlockPool(),
  };
}
