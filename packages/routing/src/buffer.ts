import type { ByteMemory } from './memory.js';
import { BLOCK_BYTES, type BlockPool } from './pool.js';

/** Queue of bytes, copied into blocks. */
export interface BlockQueue {
  append(chunk: Buffer): void;
  /** Removes the oldest block. */
  shift(): Buffer | undefined;
  bytes(): number;
  /** Bytes of the blocks, also those that are still free. */
  allocatedBytes(): number;
  blocks(): readonly Buffer[];
  clear(): void;
}

/** Buffer of the body of one answer. */
export interface AnswerBuffer {
  /** @returns whether the chunk was added; false if the answer is too large */
  append(chunk: Buffer): boolean;
  bytes(): number;
  /** @returns the bytes, until the buffer is cleared */
  blocks(): readonly Buffer[];
  /** @returns the bytes, which are not counted in the memory any more; the buffer is empty then */
  detach(): readonly Buffer[];
  clear(): void;
}

/** Options of {@link createBlockQueue}. */
export interface BlockQueueOptions {
  /** Gives the largest blocks, and gets them back with `clear`; nobody may use them any more then. */
  readonly pool?: BlockPool;
  /** Blocks up to this size are not taken from the pool, so that few bytes take little memory; 8192 by default. */
  readonly maxSmallBytes?: number;
}

const DEFAULT_MAX_SMALL_BYTES = 8192;

/**
 * Creates an empty queue. Chunks are copied into blocks, since a chunk of one byte would keep the whole
 * buffer of the socket in memory.
 */
export function createBlockQueue(options: BlockQueueOptions = {}): BlockQueue {
  const { pool, maxSmallBytes = DEFAULT_MAX_SMALL_BYTES } = options;
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
        const size = Math.max(rest, Math.min(heldBytes, BLOCK_BYTES));
        const isPooled = pool && size > maxSmallBytes && size <= BLOCK_BYTES;
        const block = isPooled ? pool.take() : Buffer.alloc(size);
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
    allocatedBytes: () => heldBytes + freeBytes,
    blocks: () => {
      const last = blocks.at(-1);
      if (!last || freeBytes === 0) return blocks;
      return [...blocks.slice(0, -1), last.subarray(0, last.length - freeBytes)];
    },
    clear: () => {
      if (pool) blocks.filter(({ length }) => length === BLOCK_BYTES).forEach(pool.give);
      blocks = [];
      heldBytes = 0;
      freeBytes = 0;
    },
  };
}

/** Creates an empty buffer, whose bytes count in the memory of its host. */
export function createAnswerBuffer(memory: ByteMemory): AnswerBuffer {
  const queue = createBlockQueue({ pool: memory.pool, maxSmallBytes: BLOCK_BYTES / 2 });
  const holding = memory.open();
  const clear = (): void => {
    holding.close();
    queue.clear();
  };
  return {
    append: (chunk) => {
      if (!holding.resize(queue.bytes() + chunk.length)) return false;
      queue.append(chunk);
      return true;
    },
    bytes: queue.bytes,
    blocks: queue.blocks,
    detach: () => {
      // A block of the pool is used again, while what is sent is read later.
      const blocks = queue
        .blocks()
        .map((block) => (block.buffer.byteLength > block.length ? Buffer.from(block) : block));
      clear();
      return blocks;
    },
    clear,
  };
}
