/** Size of the blocks of a pool, that of the largest read from a connection. */
export const BLOCK_BYTES = 65_536;

/**
 * Blocks that are used again. Blocks that are released to the garbage collector pile up, as it counts its own heap,
 * and leave gaps among other allocations.
 */
export interface BlockPool {
  /** @returns a block of {@link BLOCK_BYTES}, whose content is undefined */
  take(): Buffer;
  give(block: Buffer): void;
}

/** Large enough for the system to map it apart from smaller allocations. */
const BLOCKS_PER_SLAB = 16;

/** Creates an empty pool, which grows as long as blocks are taken and keeps all that are given back. */
export function createBlockPool(): BlockPool {
  const free: Buffer[] = [];
  return {
    take: () => {
      if (free.length === 0) {
        const slab = Buffer.allocUnsafeSlow(BLOCKS_PER_SLAB * BLOCK_BYTES);
        for (let start = 0; start < slab.length; start += BLOCK_BYTES)
          free.push(slab.subarray(start, start + BLOCK_BYTES));
      }
      return free.pop()!;
    },
    give: (block) => free.push(block),
  };
}
