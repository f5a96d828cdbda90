/** Bounds the bytes that a host holds of answers that are not complete yet. */
export interface AnswerMemory {
  /** @returns whether a buffer that holds the given bytes may take further ones */
  take(held: number, bytes: number): boolean;
  release(bytes: number): void;
}

/** Options of {@link createAnswerMemory}. */
export interface AnswerMemoryOptions {
  /** Most bytes of all answers together. */
  readonly totalBytes?: number;
  /** Most bytes of one answer. */
  readonly answerBytes?: number;
}

/** Buffer of the body of one answer. */
export interface AnswerBuffer {
  /** @returns whether the chunk was added; false if the answer is too large */
  append(chunk: Buffer): boolean;
  bytes(): number;
  blocks(): readonly Buffer[];
  clear(): void;
}

const DEFAULT_TOTAL_BYTES = 64_000_000;
const DEFAULT_ANSWER_BYTES = 16_000_000;
const MAX_BLOCK_BYTES = 65_536;

/**
 * Creates a bound for the answers of one host. An answer may hold at most as much as is left for all
 * others, so that large answers always leave room for small ones.
 */
export function createAnswerMemory(options: AnswerMemoryOptions = {}): AnswerMemory {
  const { totalBytes = DEFAULT_TOTAL_BYTES, answerBytes = DEFAULT_ANSWER_BYTES } = options;
  let usedBytes = 0;
  return {
    take: (held, bytes) => {
      const size = held + bytes;
      if (size > answerBytes || size > totalBytes - usedBytes - bytes) return false;
      usedBytes += bytes;
      return true;
    },
    release: (bytes) => {
      usedBytes -= bytes;
    },
  };
}

/**
 * Creates an empty buffer. Chunks are copied into blocks, since a chunk of one byte would keep the
 * whole buffer of the socket in memory.
 */
export function createAnswerBuffer(memory: AnswerMemory): AnswerBuffer {
  let blocks: Buffer[] = [];
  let heldBytes = 0;
  let freeBytes = 0;
  return {
    append: (chunk) => {
      if (!memory.take(heldBytes, chunk.length)) return false;
      const fitting = Math.min(freeBytes, chunk.length);
      const last = blocks.at(-1);
      if (last && fitting > 0) chunk.copy(last, last.length - freeBytes, 0, fitting);
      freeBytes -= fitting;
      const rest = chunk.length - fitting;
      if (rest > 0) {
        const block = Buffer.alloc(Math.max(rest, Math.min(heldBytes, MAX_BLOCK_BYTES)));
        chunk.copy(block, 0, fitting);
        blocks.push(block);
        freeBytes = block.length - rest;
      }
      heldBytes += chunk.length;
      return true;
    },
    bytes: () => heldBytes,
    blocks: () => {
      const last = blocks.at(-1);
      if (!last || freeBytes === 0) return blocks;
      return [...blocks.slice(0, -1), last.subarray(0, last.length - freeBytes)];
    },
    clear: () => {
      memory.release(heldBytes);
      blocks = [];
      heldBytes = 0;
      freeBytes = 0;
    },
  };
}
