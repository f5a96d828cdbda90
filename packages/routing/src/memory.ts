/**
 * Bounds the bytes that a host holds: of answers until they are complete or their callers read them, of
 * bodies of requests until the requests have ended.
 */
export interface ByteMemory {
  /**
   * @param onShortage ends an answer whose bytes are needed for others; its holding is closed then.
   * Without it the answer is never ended for others
   */
  open(onShortage?: (heldBytes: number) => void): Holding;
  /** Unread bytes from which on a stream is paused: fewer, the more the host holds already. */
  streamBytes(): number;
  heldBytes(): number;
}

/** Bytes that one answer holds. */
export interface Holding {
  /**
   * Changes the held bytes. If the memory is short, the answers that hold the most are ended first.
   * @returns false if the bytes stay as they are, because no answer that may be ended holds more
   */
  resize(bytes: number): boolean;
  bytes(): number;
  close(): void;
}

/** Options of {@link createByteMemory}. */
export interface ByteMemoryOptions {
  /** Most bytes of all answers together. */
  readonly totalBytes?: number;
  /** Most bytes of one answer that may not be ended for others. */
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
const HOST_FRACTION = 1 / 6;

/** @returns the most bytes of all answers together, for a host with so much memory */
export function answerBytesOfHost(memoryBytes: number): number {
  return Math.floor(memoryBytes * HOST_FRACTION);
}

interface OpenHolding {
  bytes: number;
  readonly onShortage: ((heldBytes: number) => void) | undefined;
}

/**
 * Creates the memory of one host. An answer that may not be ended for others may hold at most as much as
 * is left for them, so that large answers always leave room for small ones.
 */
export function createByteMemory(options: ByteMemoryOptions = {}): ByteMemory {
  const { totalBytes = DEFAULT_TOTAL_BYTES, holdingBytes = DEFAULT_HOLDING_BYTES } = options;
  const { streamBytes = DEFAULT_STREAM_BYTES } = options;
  /** Answers that may be ended for others. */
  const endable = new Set<OpenHolding>();
  let usedBytes = 0;

  const release = (holding: OpenHolding): void => {
    const released = holding;
    usedBytes -= released.bytes;
    released.bytes = 0;
    endable.delete(released);
  };

  /** Ends the answer that holds the most, if it holds more than the given bytes. */
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
        bytes: () => holding.bytes,
        close: () => release(holding),
      };
    },
    streamBytes: () => Math.min(streamBytes, Math.max(0, totalBytes - usedBytes) * STREAM_FRACTION),
    heldBytes: () => usedBytes,
  };
}
