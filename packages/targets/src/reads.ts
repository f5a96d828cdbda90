/**
 * Bounds the processor time that bytes from outside take in one turn of the event loop. What is read costs
 * by its bytes and by its lines, as the parser handles each header and each chunk by itself.
 */
import type { Socket } from 'node:net';
import { Readable } from 'node:stream';

/** Options of {@link createReadSchedule}. */
export interface ReadScheduleOptions {
  /** Runs an action after the input of the current turn was handled; `setImmediate` by default. */
  readonly runInNextTurn?: (action: () => void) => void;
  /** Most bytes that are parsed at once. */
  readonly sliceBytes?: number;
  /** Most lines that are parsed at once. */
  readonly sliceLines?: number;
  /** Slices that all waiting connections together are given in one turn. */
  readonly slicesPerTurn?: number;
}

/** Bytes that are parsed at once. */
export interface Slice {
  readonly bytes: number;
  /** Line ends in the bytes. */
  readonly lines: number;
}

/** Shares the time for reading between the connections of one process. */
export interface ReadSchedule {
  /**
   * Bounds what `read` without a size returns. Bytes that are left over are read in later turns, in which
   * `readable` is emitted again.
   * @param mayParse called with the number of line ends in the bytes that are read next
   */
  bound(socket: Socket, mayParse: (lines: number) => boolean): void;
  /** Measures how much of some bytes may be parsed at once. */
  measure(bytes: Buffer): Slice;
  /** @returns whether a connection that has parsed so much has to wait for its turn */
  isLarge(slice: Slice): boolean;
  /** Reads on in a later turn, behind the connections that wait already. */
  defer(socket: Socket, readOn: () => void): void;
  /** Number of slices that had to wait for a later turn. */
  deferredCount(): number;
}

const DEFAULT_SLICE_BYTES = 16_384;
/** 64 chunks of one byte take about 0.2 ms. */
const DEFAULT_SLICE_LINES = 128;
/** 4 ms of chunks of one byte; the overload control takes turns of 10 ms for long. */
const DEFAULT_SLICES_PER_TURN = 16;
const LINE_FEED = 10;

/** Lines of a buffer up to a limit, and the bytes that they take. */
function measureLines(bytes: Buffer, maxLines: number): { lines: number; lineBytes: number } {
  let lines = 0;
  let lineBytes = 0;
  while (lines < maxLines) {
    const index = bytes.indexOf(LINE_FEED, lineBytes);
    if (index < 0) return { lines, lineBytes: bytes.length };
    lines += 1;
    lineBytes = index + 1;
  }
  return { lines, lineBytes };
}

/** Creates the schedule of one process. */
export function createReadSchedule(options: ReadScheduleOptions = {}): ReadSchedule {
  const { runInNextTurn = setImmediate, sliceBytes = DEFAULT_SLICE_BYTES } = options;
  const { sliceLines = DEFAULT_SLICE_LINES, slicesPerTurn = DEFAULT_SLICES_PER_TURN } = options;
  /** Connections with bytes that are left over, each with the action that reads on. */
  const waiting = new Map<Socket, () => void>();
  let deferred = 0;
  let isScheduled = false;

  const runTurn = (): void => {
    isScheduled = false;
    let slices = Math.min(slicesPerTurn, waiting.size);
    // A connection that reads on may wait again, behind all others.
    for (const [socket, readOn] of waiting) {
      if (slices === 0) break;
      slices -= 1;
      waiting.delete(socket);
      readOn();
    }
    schedule();
  };
  const schedule = (): void => {
    if (isScheduled || waiting.size === 0) return;
    isScheduled = true;
    runInNextTurn(runTurn);
  };

  const defer = (socket: Socket, readOn: () => void): void => {
    deferred += 1;
    waiting.set(socket, readOn);
    schedule();
  };
  const isLarge = ({ bytes, lines }: Slice): boolean =>
    bytes >= sliceBytes / 2 || lines >= sliceLines / 2;

  return {
    defer,
    isLarge,
    measure: (bytes) => {
      const { lines, lineBytes } = measureLines(bytes.subarray(0, sliceBytes), sliceLines);
      return { lines, bytes: lineBytes };
    },
    bound: (socket, mayParse) => {
      // The method of sockets with a buffer of their own reads on even while enough bytes are waiting.
      const readAll = Readable.prototype.read.bind(socket) as (size?: number) => Buffer | null;
      /** Whether the next slice has to wait for its turn, after one that was large or left bytes over. */
      let mustWait = false;
      /** Bytes that the next slice may have; few while lines are short, so that few are put back. */
      let nextBytes = sliceBytes;

      const readOn = (): void => {
        mustWait = false;
        if (!socket.destroyed) socket.emit('readable');
      };

      const readSlice = (): Buffer | null => {
        const bytes = readAll(Math.min(nextBytes, socket.readableLength));
        if (!bytes) return null;
        const { lines, lineBytes } = measureLines(bytes, sliceLines);
        if (!mayParse(lines)) return null;
        nextBytes = Math.min(sliceBytes, lines < sliceLines ? 2 * nextBytes : lineBytes);
        if (lineBytes < bytes.length) socket.unshift(bytes.subarray(lineBytes));
        mustWait = socket.readableLength > 0 || isLarge({ bytes: lineBytes, lines });
        return bytes.subarray(0, lineBytes);
      };

      const read = (size?: number): Buffer | null => {
        if (size !== undefined || socket.readableLength === 0) return readAll(size);
        if (socket.destroyed || waiting.has(socket)) return null;
        if (!mustWait) return readSlice();
        defer(socket, readOn);
        return null;
      };
      Object.assign(socket, { read });
    },
    deferredCount: () => deferred,
  };
}
