import type { ByteMemory } from './memory.js';

/** Queue of bytes, copied into blocks. */
export interface BlockQueue {
  append(chunk: Buffer): void;
  /** Removes the oldest block. */
  shift(): Buffer | undefined;
  bytes(): number;
  blocks(): readonly Buffer[];
  clear(): void;
}

/** Buffer of the body of one answer. */
export interface AnswerBuffer {
  /** @returns whether the chunk was added; false if the answer is too large */
  append(chunk: Buffer): boolean;
  bytes(): number;
  blocks(): readonly Buffer[];
  clear(): void;
}

const MAX_BLOCK_BYTES = 65_536;

/**
 * Creates an empty queue. Chunks are copied into blocks, since a chunk of one byte would keep the whole
 * buffer of the socket in memory.
 */
export function createBlockQueue(): BlockQueue {
  let blocks: Buffer[] = [];
  let heldBytes = 0;
  let freeBytes = 0;
  return {
    append: (chunk) => {
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
    },
    shift: () => {
      const block = blocks.shift();
      if (!block) return undefined;
      const used = blocks.length === 0 ? block.subarray(0, block.length - freeBytes) : block;
      if (blocks.length === 0) freeBytes = 0;
      heldBytes -= used.length;
      return used;
    },
    bytes: () => heldBytes,
    blocks: () => {
      const last = blocks.at(-1);
      if (!last || freeBytes === 0) return blocks;
      return [...blocks.slice(0, -1), last.subarray(0, last.length - freeBytes)];
    },
    clear: () => {
      blocks = [];
      heldBytes = 0;
      freeBytes = 0;
    },
  };
}

/** Creates an empty buffer, whose bytes count in the memory of its host. */
export function createAnswerBuffer(memory: ByteMemory): AnswerBuffer {
  const queue = createBlockQueue();
  const holding = memory.open();
  return {
    append: (chunk) => {
      if (!holding.resize(queue.bytes() + chunk.length)) return false;
      queue.append(chunk);
      return true;
    },
    bytes: queue.bytes,
    blocks: queue.blocks,
    clear: () => {
      holding.close();
      queue.clear();
    },
  };
}
