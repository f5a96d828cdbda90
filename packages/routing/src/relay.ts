import type { FlowControl } from '@bulrushspar/targets';
import { createAnswerBuffer } from './buffer.js';
import {
  createEventScanner,
  createEventSplitter,
  type EventScanner,
  type EventSplitter,
} from './events.js';
import { createByteMemory, type ByteMemory } from './memory.js';
import type { BlockPool } from './pool.js';

/** Writes an answer to its caller. */
export interface AnswerWriter {
  /** @returns whether a part of the answer was sent to the caller */
  hasBegun(): boolean;
  /**
   * Writes the status and the headers.
   * @param headers alternating names and values
   * @param marksEnd false if only the end of the connection marks the end of the answer; true by default
   */
  writeHead(status: number, headers: readonly string[], marksEnd?: boolean): void;
  /** @returns false if the write buffer is full; the listener of onDrain is called once it drains */
  write(chunk: Buffer): boolean;
  onDrain(action: () => void): void;
  end(): void;
}

/** Head of an answer, as far as a relay needs it. */
export interface RelayedHead {
  readonly status: number;
  /** Headers for the caller: alternating names and values. */
  readonly headers: readonly string[];
  /** Whether the server has marked the end of the answer; otherwise only the end of its connection does. */
  readonly framed: boolean;
}

/** Receives one answer; an error thrown here ends the exchange with that error. */
export interface AnswerSink<Head> {
  onHead(head: Head, flow: FlowControl): void;
  onData(chunk: Buffer): void;
}

/** Options of a sink. */
export interface SinkOptions {
  /** Whether the answer goes on with that of the attempt before, which had ended; false by default. */
  readonly continues?: boolean;
}

/** Forwards the answer of one request to its caller, across all attempts of the request. */
export interface Relay<Head> {
  /** Creates the sink for the answer of the next attempt. */
  openSink(options?: SinkOptions): AnswerSink<Head>;
  /** @returns whether a part of the answer was sent to the caller */
  hasBegun(): boolean;
  /** Id of the event after which an interrupted stream resumes. */
  lastEventId(): string | undefined;
  /** @returns whether what was sent to the caller ends inside an event of a stream */
  endsInsideEvent(): boolean;
  /**
   * Whether the stream may resume after what the attempt has sent: events, and nothing of a further one, or
   * nothing at all of a stream that the caller has resumed.
   */
  endsBetweenEvents(): boolean;
  /** Ends the answer after an attempt received all of it; throws if the answer is incomplete or absent. */
  finish(): void;
  /** Releases the buffered bytes of an answer once its request has ended. */
  close(): void;
}

/** Options of {@link createBufferedRelay}. */
export interface RelayOptions<Head extends RelayedHead> {
  readonly writer: AnswerWriter;
  /** Called at the first byte of an answer. */
  readonly onFirstByte?: () => void;
  /** Called with each chunk that is sent to the caller. */
  readonly onChunk?: (chunk: Buffer) => void;
  /** Throws if the answer must not be sent to the caller. */
  readonly check: (head: Head) => void;
  /**
   * Throws if an answer whose exchange ended without error is incomplete.
   * @param bytes length of the body
   */
  readonly checkEnd?: (head: Head, bytes: number) => void;
  /**
   * Creates the error for an answer that is too large to buffer.
   * @param bytes the limit
   */
  readonly tooLarge: (bytes: number, head: Head) => Error;
  /** Bounds the bytes that several relays buffer together; created for this relay by default. */
  readonly memory?: ByteMemory;
}

/** Options of {@link createStreamRelay}. */
export interface StreamRelayOptions<Head extends RelayedHead> extends Omit<
  RelayOptions<Head>,
  'tooLarge'
> {
  /** Id of the event after which the caller asks the stream to resume. */
  readonly lastEventId?: string;
  /** Forwards only complete events, so that the stream can resume on another server. */
  readonly resumable: boolean;
  /** Gives the blocks for large incomplete events. */
  readonly pool?: BlockPool | undefined;
  /** Called with the bytes of an incomplete event that are held. */
  readonly onPending?: (bytes: number) => void;
  /** Creates the error for a stream that ended within an event or could not be resumed. */
  readonly createIncompleteError: (head: Head) => Error;
}

const OK = 200;
const FIRST_REDIRECT_STATUS = 300;
/** Events carry a few tokens each. */
const MAX_EVENT_BYTES = 1_000_000;
/** Smaller parts of events do not count in the memory, so that a stream never ends for them. */
const MIN_COUNTED_BYTES = 16_384;

const isSuccess = (status: number): boolean => status >= OK && status < FIRST_REDIRECT_STATUS;

/** @returns the media type of an answer in lower case; undefined if it names none */
function getMediaType({ headers }: RelayedHead): string | undefined {
  const index = headers.findIndex(
    (name, position) => position % 2 === 0 && name.toLowerCase() === 'content-type',
  );
  return index < 0 ? undefined : headers[index + 1]!.split(';')[0]!.trim().toLowerCase();
}

/** Whether the body of a later answer goes on with the stream that an earlier one has begun. */
const continuesStream = (begun: RelayedHead, later: RelayedHead): boolean =>
  later.status === begun.status && getMediaType(later) === getMediaType(begun);

const createNoAnswerError = (): Error => new Error('the exchange ended without an answer');

/** Creates a relay that buffers an answer and sends it once it is complete. */
export function createBufferedRelay<Head extends RelayedHead>(
  options: RelayOptions<Head>,
): Relay<Head> {
  const { writer, onFirstByte = () => {}, onChunk = () => {}, checkEnd = () => {} } = options;
  const buffer = createAnswerBuffer(options.memory ?? createByteMemory());
  let head: Head | undefined;
  return {
    openSink: () => {
      head = undefined;
      buffer.clear();
      return {
        onHead: (answerHead) => {
          options.check(answerHead);
          head = answerHead;
        },
        onData: (chunk) => {
          if (buffer.bytes() === 0) onFirstByte();
          if (!buffer.append(chunk)) throw options.tooLarge(buffer.bytes(), head!);
        },
      };
    },
    hasBegun: () => false,
    lastEventId: () => undefined,
    endsInsideEvent: () => false,
    endsBetweenEvents: () => false,
    close: buffer.clear,
    finish: () => {
      if (!head) throw createNoAnswerError();
      const bodyBytes = buffer.bytes();
      checkEnd(head, bodyBytes);
      // A server may end a part of an answer in order and live on, so that a length could mark the part as
      // whole. All of the answer is written at once, so that the end of this host does not cut it.
      const length = head.framed ? ['content-length', String(bodyBytes)] : [];
      writer.writeHead(head.status, [...head.headers, ...length], head.framed);
      // The writer may count the bytes itself from here on.
      buffer.detach().forEach((block) => {
        onChunk(block);
        writer.write(block);
      });
      writer.end();
    },
  };
}

/**
 * Creates a relay that forwards events as they arrive, with backpressure. It sends the head together
 * with the first event, since another server may still answer until then.
 */
export function createStreamRelay<Head extends RelayedHead>(
  options: StreamRelayOptions<Head>,
): Relay<Head> {
  const { writer, resumable, onFirstByte = () => {}, onChunk = () => {} } = options;
  const { checkEnd = () => {}, onPending = () => {} } = options;
  let lastEventId = options.lastEventId;
  let flow: FlowControl | undefined;
  let splitter: EventSplitter | undefined;
  let scanner: EventScanner | undefined;
  /** Head that the caller receives: that of the first answer of which a part is sent. */
  let head: Head | undefined;
  /** Head of the answer of the current attempt. */
  let currentHead: Head | undefined;
  let pendingBytes = 0;
  /** Bytes of the body that the current attempt has sent. */
  let attemptBytes = 0;
  let bodyBytes = 0;
  /** Bytes of an incomplete event, which a server may send without end on many streams at once. */
  const holding = options.memory?.open();
  writer.onDrain(() => flow?.resume());

  const writeHead = (): void => {
    if (writer.hasBegun() || !head) return;
    onFirstByte();
    writer.writeHead(head.status, head.headers);
  };

  /** Only the end of its connection marks the end of such a stream, so that it may be a crash. */
  const isEndedBeforeFirstEvent = (): boolean =>
    currentHead !== undefined &&
    isSuccess(currentHead.status) &&
    !currentHead.framed &&
    attemptBytes === 0 &&
    (options.lastEventId === undefined || writer.hasBegun());

  const writeChunk = (chunk: Buffer): void => {
    writeHead();
    bodyBytes += chunk.length;
    attemptBytes += chunk.length;
    onChunk(chunk);
    if (!writer.write(chunk)) flow?.pause();
  };

  const writeCompleteEvents = (chunk: Buffer): void => {
    const events = splitter!.push(chunk);
    const heldBytes = splitter!.pendingBytes();
    if (heldBytes !== pendingBytes) onPending(heldBytes);
    pendingBytes = heldBytes;
    const countedBytes = pendingBytes > MIN_COUNTED_BYTES ? pendingBytes : 0;
    const hasRoom = holding?.resize(countedBytes) ?? true;
    if (!hasRoom || pendingBytes > MAX_EVENT_BYTES) throw options.createIncompleteError(head!);
    if (!events) return;
    lastEventId = splitter!.lastEventId() ?? lastEventId;
    writeChunk(events);
  };

  return {
    openSink: ({ continues = false } = {}) => {
      splitter?.clear();
      splitter = resumable ? createEventSplitter(options.pool) : undefined;
      scanner = createEventScanner();
      if (pendingBytes > 0) onPending(0);
      holding?.close();
      pendingBytes = 0;
      if (!continues) attemptBytes = 0;
      if (!continues) currentHead = undefined;
      return {
        onHead: (answerHead, control) => {
          options.check(answerHead);
          // A stream resumed on another server keeps the head that was already sent.
          if (!writer.hasBegun()) head = answerHead;
          else if (!continuesStream(head!, answerHead))
            throw options.createIncompleteError(answerHead);
          currentHead = answerHead;
          flow = control;
        },
        onData: handleChunk,
      };
    },
    hasBegun: writer.hasBegun,
    lastEventId: () => lastEventId,
    endsInsideEvent: () => !resumable && scanner?.isInsideEvent() === true,
    endsBetweenEvents: () =>
      resumable &&
      pendingBytes === 0 &&
      lastEventId !== undefined &&
      (attemptBytes > 0 || !writer.hasBegun()),
    close: () => {
      splitter?.clear();
      holding?.close();
    },
    finish: () => {
      if (!currentHead) throw createNoAnswerError();
      if (pendingBytes > 0 || scanner?.isInsideEvent() || isEndedBeforeFirstEvent())
        throw options.createIncompleteError(head!);
      checkEnd(head!, bodyBytes);
      writeHead();
      writer.end();
    },
  };

  /** Forwards a chunk; the body of an error answer is not split into events. */
  function handleChunk(chunk: Buffer): void {
    const hasEvents = head !== undefined && isSuccess(head.status);
    if (splitter && hasEvents) {
      writeCompleteEvents(chunk);
      return;
    }
    if (hasEvents) scanner!.scan(chunk);
    writeChunk(chunk);
  }
}
