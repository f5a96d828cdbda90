import { createBlockQueue } from './buffer.js';
import { BLOCK_BYTES, type BlockPool } from './pool.js';

/** Incremental parser that splits an event stream into complete events. */
export interface EventSplitter {
  /** @returns the bytes up to the end of the last complete event; undefined if none is complete */
  push(chunk: Buffer): Buffer | undefined;
  /** Id of the last complete event that has one. */
  lastEventId(): string | undefined;
  /** Number of buffered bytes of an incomplete event. */
  pendingBytes(): number;
  /** Releases the buffered bytes of an incomplete event. */
  clear(): void;
}

/** Finds the ends of events in a stream whose lines end with LF, CR or CRLF. */
export interface EventScanner {
  /** @returns the number of bytes of the chunk up to the end of its last complete event */
  scan(chunk: Buffer): number;
  /** @returns whether the bytes so far end inside an event */
  isInsideEvent(): boolean;
}

const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;
const ID_LINE = /(?:^|[\r\n])id:[ ]?([^\r\n]*)/g;

/** Creates a scanner for one event stream. */
export function createEventScanner(): EventScanner {
  let isInsideEvent = false;
  let isInsideLine = false;
  let followsCarriageReturn = false;
  return {
    scan: (chunk) => {
      let completeBytes = 0;
      for (let index = 0; index < chunk.length; index += 1) {
        const byte = chunk[index];
        const endsSameLine = byte === LINE_FEED && followsCarriageReturn;
        followsCarriageReturn = byte === CARRIAGE_RETURN;
        if (byte !== LINE_FEED && byte !== CARRIAGE_RETURN) {
          isInsideLine = true;
          isInsideEvent = true;
        } else {
          if (!endsSameLine && !isInsideLine) isInsideEvent = false;
          isInsideLine = false;
          if (!isInsideEvent) completeBytes = index + 1;
        }
      }
      return completeBytes;
    },
    isInsideEvent: () => isInsideEvent,
  };
}

/**
 * Creates a splitter for one event stream.
 * @param pool gives the blocks for large incomplete events
 */
export function createEventSplitter(pool?: BlockPool): EventSplitter {
  const scanner = createEventScanner();
  const pending = createBlockQueue({ ...(pool ? { pool } : {}), maxSmallBytes: BLOCK_BYTES / 2 });
  let lastEventId: string | undefined;

  const hold = (bytes: Buffer): void => {
    if (bytes.length > 0) pending.append(bytes);
  };

  return {
    push: (chunk) => {
      const completeBytes = scanner.scan(chunk);
      if (completeBytes === 0) {
        hold(chunk);
        return undefined;
      }
      const complete = Buffer.concat([...pending.blocks(), chunk.subarray(0, completeBytes)]);
      pending.clear();
      hold(chunk.subarray(completeBytes));
      for (const match of complete.toString('latin1').matchAll(ID_LINE)) [, lastEventId] = match;
      return complete;
    },
    lastEventId: () => lastEventId,
    pendingBytes: pending.bytes,
    clear: pending.clear,
  };
}
