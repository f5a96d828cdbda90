import type { FlowControl } from '@bulrushspar/targets';
import { createEventSplitter, type EventSplitter } from './events.js';

/** The caller's end of an answer. */
export interface AnswerOutlet {
  /** The caller has received a part of the answer. */
  begun(): boolean;
  /**
   * @param headers names and values in turn
   * @param framed false where nobody can tell whether the answer is whole
   */
  begin(status: number, headers: readonly string[], framed: boolean): void;
  /** @returns whether the caller keeps up; otherwise onDrain tells when it does again */
  write(chunk: Buffer): boolean;
  onDrain(action: () => void): void;
  end(): void;
}

/** What a relay must know of the head of an answer. */
export interface RelayedHead {
  readonly status: number;
  /** Headers for the caller, names and values in turn. */
  readonly headers: readonly string[];
  /** The answer says where it ends; otherwise it ends with its connection. */
  readonly framed: boolean;
}

/** Receives an answer; throwing ends the exchange with that error. */
export interface AnswerSink<Head> {
  onHead(head: Head, flow: FlowControl): void;
  onData(chunk: Buffer): void;
}

/** Passes the answer to one request on, over as many tries as it takes. */
export interface Relay<Head> {
  /** Receives the answer of one try. */
  openSink(): AnswerSink<Head>;
  /** The caller has received a part of the answer. */
  begun(): boolean;
  /** Event after which an answer that broke off goes on. */
  lastEventId(): string | undefined;
  /** Ends the answer after a try brought all of it; throws where it is not whole. */
  finish(): void;
}

/** Options of {@link createWholeRelay}. */
export interface RelayOptions<Head extends RelayedHead> {
  readonly outlet: AnswerOutlet;
  /** Called when the first byte of an answer has come. */
  readonly onFirst?: () => void;
  /** Called with each piece that reaches the caller. */
  readonly onPiece?: (chunk: Buffer) => void;
  /** Throws where an answer must not reach the caller. */
  readonly check: (head: Head) => void;
  /** Throws where an answer that ended in order is not whole. */
  readonly checkEnd?: (head: Head, bytes: number) => void;
  /** Makes the error of an answer that is too large to be held back. */
  readonly tooLarge: (bytes: number) => Error;
}

/** Options of {@link createStreamRelay}. */
export interface StreamRelayOptions<Head extends RelayedHead> extends Omit<
  RelayOptions<Head>,
  'tooLarge'
> {
  /** Event after which the caller wants the stream to go on. */
  readonly lastEventId?: string;
  /** Passes on whole events only, so that the stream can go on at another server. */
  readonly resumable: boolean;
  /** Makes the error of a stream that ended within an event, or that another one cannot follow. */
  readonly broken: (head: Head) => Error;
}

const OK = 200;
const FIRST_REDIRECT = 300;
/** Largest answer that is held back until it is whole, in bytes. */
const LARGEST_WHOLE_ANSWER = 16_000_000;

const isSuccess = (status: number): boolean => status >= OK && status < FIRST_REDIRECT;

/** Creates a relay that delivers an answer once it is whole. */
export function createWholeRelay<Head extends RelayedHead>(
  options: RelayOptions<Head>,
): Relay<Head> {
  const { outlet, onFirst = () => {}, onPiece = () => {}, checkEnd = () => {} } = options;
  let head: Head | undefined;
  let chunks: Buffer[] = [];
  let size = 0;
  return {
    openSink: () => {
      head = undefined;
      chunks = [];
      size = 0;
      return {
        onHead: (answered) => {
          options.check(answered);
          head = answered;
        },
        onData: (chunk) => {
          if (size === 0) onFirst();
          size += chunk.length;
          if (size > LARGEST_WHOLE_ANSWER) throw options.tooLarge(LARGEST_WHOLE_ANSWER);
          chunks.push(chunk);
        },
      };
    },
    begun: () => false,
    lastEventId: () => undefined,
    finish: () => {
      if (!head) return;
      checkEnd(head, size);
      const length = head.framed ? ['content-length', String(size)] : [];
      outlet.begin(head.status, [...head.headers, ...length], head.framed);
      chunks.forEach((chunk) => {
        onPiece(chunk);
        outlet.write(chunk);
      });
      outlet.end();
    },
  };
}

/**
 * Creates a relay that passes events on as they arrive, with backpressure. The head waits for the
 * first event: until then another server may still answer.
 */
export function createStreamRelay<Head extends RelayedHead>(
  options: StreamRelayOptions<Head>,
): Relay<Head> {
  const { outlet, resumable, onFirst = () => {}, onPiece = () => {} } = options;
  const { checkEnd = () => {} } = options;
  let lastId = options.lastEventId;
  let flow: FlowControl | undefined;
  let splitter: EventSplitter | undefined;
  let head: Head | undefined;
  let rest = 0;
  let size = 0;
  outlet.onDrain(() => flow?.resume());

  const begin = (): void => {
    if (outlet.begun() || !head) return;
    onFirst();
    outlet.begin(head.status, head.headers, head.framed);
  };

  const pass = (chunk: Buffer): void => {
    begin();
    size += chunk.length;
    onPiece(chunk);
    if (!outlet.write(chunk)) flow?.pause();
  };

  const passWhole = (chunk: Buffer): void => {
    const events = splitter!.push(chunk);
    rest = splitter!.rest();
    if (!events) return;
    lastId = splitter!.lastId() ?? lastId;
    pass(events);
  };

  return {
    openSink: () => {
      splitter = resumable ? createEventSplitter() : undefined;
      rest = 0;
      return {
        onHead: (answered, control) => {
          options.check(answered);
          // A stream that goes on elsewhere keeps the head of its first server.
          if (outlet.begun() && !isSuccess(answered.status)) throw options.broken(answered);
          if (!outlet.begun()) head = answered;
          flow = control;
        },
        onData: passAny,
      };
    },
    begun: outlet.begun,
    lastEventId: () => lastId,
    finish: () => {
      if (rest > 0) throw options.broken(head!);
      checkEnd(head!, size);
      begin();
      outlet.end();
    },
  };

  /** Bodies of failures are no events. */
  function passAny(chunk: Buffer): void {
    if (splitter && head && isSuccess(head.status)) passWhole(chunk);
    else pass(chunk);
  }
}
