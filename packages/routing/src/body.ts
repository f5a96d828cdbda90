import type { IncomingMessage } from 'node:http';
import type { Clock, Stop } from '@bulrushspar/clock';
import { createBlockQueue } from './buffer.js';
import type { ByteMemory, Holding } from './memory.js';

/** Reasons for which a body is not read to its end. */
export const BODY_FAULT = {
  /** It is larger than the limit. */
  TOO_LARGE: 'too-large',
  /** It comes in so many small chunks that reading it would keep the host from other work. */
  TOO_FRAGMENTED: 'too-fragmented',
  /** The host holds too many bytes of requests, and this body has the most of them or does not fit. */
  NO_MEMORY: 'no-memory',
  /** Its caller has sent nothing of it for too long. */
  STALLED: 'stalled',
} as const;

/** One of {@link BODY_FAULT}. */
export type BodyFault = (typeof BODY_FAULT)[keyof typeof BODY_FAULT];

/** A body that was read, or why it was not. */
export type BodyResult =
  | {
      readonly content: Buffer;
      /** To be closed once the content is not needed any more. */
      readonly holding: Holding;
      readonly fault?: undefined;
    }
  | { readonly content?: undefined; readonly holding?: undefined; readonly fault: BodyFault };

/** Longest time without a byte of a body. */
export interface IdleLimit {
  readonly clock: Clock;
  readonly milliseconds: number;
}

/** Options of {@link collectBody}. */
export interface CollectBodyOptions {
  /** Most bytes of the body. */
  readonly maxBytes: number;
  /** Bounds the bytes of all bodies that are held. */
  readonly memory: ByteMemory;
  /** Longest time without a byte of the body; without a limit by default. */
  readonly idle?: IdleLimit;
  /** Ends the reading; the rest is dropped then, and the result rejects with the reason of the signal. */
  readonly signal?: AbortSignal;
}

/** Time in which input that has arrived is handled. */
const INPUT_MILLISECONDS = 100;
/** Small chunks that any body may have, whatever its length. */
const MAX_SMALL_CHUNKS = 1024;
/** Fewer bytes in a chunk, on average, cost more for the chunk than for the bytes. */
const MIN_CHUNK_BYTES = 16;

const isTooFragmented = (chunks: number, bytes: number): boolean =>
  chunks > MAX_SMALL_CHUNKS + bytes / MIN_CHUNK_BYTES;

/** Drops what the parser hands over from the block that it has read, and lets it read no further block. */
function stopReading(request: IncomingMessage): void {
  Object.assign(request, { push: () => false });
}

/** Reads on without keeping anything, and closes the connection after too many bytes or chunks. */
export function dropBody(request: IncomingMessage, maxBytes: number): void {
  let size = 0;
  let chunks = 0;
  request.on('data', (chunk: Buffer) => {
    size += chunk.length;
    chunks += 1;
    if (size <= maxBytes && !isTooFragmented(chunks, size)) return;
    stopReading(request);
    request.socket.destroy();
  });
  passChunksOn(request);
}

/** Without it the first chunks are queued, which takes 200 times the memory of chunks of one byte. */
function passChunksOn(request: IncomingMessage): void {
  request.read(0);
}

/**
 * Reads the body of a request. A body that is too large or for which there is no memory is read on and dropped;
 * one that is too fragmented is not, so that its connection has to be closed. Rejects if the connection ends early. Should be called as the
 * request arrives; chunks that arrive before are queued.
 */
export function collectBody(
  request: IncomingMessage,
  options: CollectBodyOptions,
): Promise<BodyResult> {
  const { maxBytes, memory, idle, signal } = options;
  return new Promise((resolve, reject) => {
    const holding = memory.open(() => fail(BODY_FAULT.NO_MEMORY));
    const declaredBytes = Number(request.headers['content-length'] ?? NaN);
    const blocks = createBlockQueue({ pool: memory.pool });
    /** The body, if it came in one chunk, which needs no copy then. */
    let onlyChunk: Buffer | undefined;
    let size = 0;
    let chunks = 0;
    let isSettled = false;
    let cancelIdle: Stop = () => {};

    const settle = (): void => {
      isSettled = true;
      cancelIdle();
      signal?.removeEventListener('abort', onAbort);
      blocks.clear();
    };
    const release = (): void => {
      settle();
      request.removeListener('data', onData);
      onlyChunk = undefined;
      holding.close();
    };
    const fail = (fault: BodyFault): void => {
      release();
      resolve({ fault });
      if (fault === BODY_FAULT.TOO_FRAGMENTED) stopReading(request);
      else dropBody(request, maxBytes);
    };
    const onAbort = (): void => {
      release();
      const { reason } = signal as { readonly reason: Error };
      reject(reason);
      dropBody(request, maxBytes);
    };
    let readAt = idle?.clock.monotonic() ?? 0;
    let isStalled = false;
    /** Checks the time since the last byte, in place of a timer for each chunk. */
    const watchIdle = ({ clock, milliseconds }: IdleLimit, waitMilliseconds: number): void => {
      cancelIdle = clock.after(waitMilliseconds, () => {
        const leftMilliseconds = milliseconds - (clock.monotonic() - readAt);
        if (isStalled) fail(BODY_FAULT.STALLED);
        else {
          // A process that was stopped itself handles its timers before the bytes that have arrived.
          isStalled = leftMilliseconds <= 0;
          watchIdle({ clock, milliseconds }, isStalled ? INPUT_MILLISECONDS : leftMilliseconds);
        }
      });
    };
    const onData = (chunk: Buffer): void => {
      size += chunk.length;
      chunks += 1;
      if (idle) readAt = idle.clock.monotonic();
      isStalled = false;
      if (size > maxBytes) fail(BODY_FAULT.TOO_LARGE);
      else if (isTooFragmented(chunks, size)) fail(BODY_FAULT.TOO_FRAGMENTED);
      else {
        if (chunk.length === declaredBytes) onlyChunk = chunk;
        else blocks.append(chunk);
        if (!holding.resize(onlyChunk?.length ?? blocks.allocatedBytes()))
          fail(BODY_FAULT.NO_MEMORY);
      }
    };
    if (declaredBytes > maxBytes) {
      fail(BODY_FAULT.TOO_LARGE);
      return;
    }
    request.on('data', onData);
    request.once('end', () => {
      if (isSettled) return;
      if (!holding.keep()) {
        fail(BODY_FAULT.NO_MEMORY);
        return;
      }
      const content = onlyChunk ?? Buffer.concat(blocks.blocks());
      settle();
      resolve({ content, holding });
    });
    request.once('error', reject);
    request.once('close', () => {
      if (isSettled) return;
      release();
      reject(new Error('the connection ended before the request'));
    });
    signal?.addEventListener('abort', onAbort, { once: true });
    const hasBody = declaredBytes > 0 || request.headers['transfer-encoding'] !== undefined;
    if (idle && hasBody) watchIdle(idle, idle.milliseconds);
    passChunksOn(request);
    if (signal?.aborted) onAbort();
  });
}
