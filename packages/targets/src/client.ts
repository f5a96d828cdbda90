import type { Socket } from 'node:net';
import { buildConnector, Client, type Dispatcher } from 'undici';
import { createReadSchedule, type ReadSchedule } from './reads.js';
import { detectResets } from './resets.js';

/** Options of {@link createTargetClient}. */
export interface TargetClientOptions {
  /** Such as http://127.0.0.1:8000. */
  readonly origin: string;
  readonly connectTimeoutMilliseconds: number;
  /** Opens the connection, instead of a direct one; it must keep to the timeout itself. */
  readonly openSocket?: () => Promise<Socket>;
  /** Time after which an idle connection is closed; the default of the HTTP client if omitted. */
  readonly keepAliveMilliseconds?: number;
  /** Shares the time for reading with other connections; by default with all of the process. */
  readonly reads?: ReadSchedule;
}

/** Connection of a client and the answer that it receives. */
interface ClientState {
  socket?: Socket;
  /** Whether a request was sent whose answer has not ended. */
  isExchanging: boolean;
  /** Bytes that the socket had received before the exchange. */
  earlierBytes: number;
  /** Bytes of the body that were passed on. */
  bodyBytes: number;
  /** Lines that were parsed since the last byte of a body, such as those of a head. */
  lines: number;
  /** Value of `bodyBytes` at the last slice. */
  earlierBodyBytes: number;
  /** Ends a pause of the answer. */
  resume: () => void;
}

/** Most bytes of an answer besides its body and the framing of its chunks. */
const MAX_OVERHEAD_BYTES = 256 * 1024;
/** Most lines of heads and trailers, each of which the parser handles by itself. */
const MAX_OVERHEAD_LINES = 512;
/** Chunks of one byte have five bytes around each byte of the body. */
const MAX_OVERHEAD_PER_BODY_BYTE = 8;

/**
 * Records how to resume an answer, and drops the empty chunk with which a resumed answer begins, so
 * that its receiver does not pause again. A pool passes handlers of undici's older interface.
 */
function watchAnswer(
  handler: Dispatcher.DispatchHandler,
  state: ClientState,
): Dispatcher.DispatchHandler {
  const watched = state;
  const begin = (): void => {
    watched.isExchanging = true;
    watched.earlierBytes = state.socket?.bytesRead ?? 0;
    watched.bodyBytes = 0;
    watched.earlierBodyBytes = 0;
    watched.lines = 0;
  };
  const end = (): void => {
    watched.isExchanging = false;
  };
  const watchers: Partial<Dispatcher.DispatchHandler> = {
    onRequestStart: (...event) => {
      begin();
      handler.onRequestStart!(...event);
    },
    onConnect: (...event) => {
      begin();
      handler.onConnect!(...event);
    },
    onResponseStart: (controller, ...event) => {
      watched.resume = () => controller.resume();
      handler.onResponseStart!(controller, ...event);
    },
    onResponseData: (controller, chunk) => {
      watched.bodyBytes += chunk.length;
      if (chunk.length > 0) handler.onResponseData!(controller, chunk);
    },
    onResponseEnd: (...event) => {
      end();
      handler.onResponseEnd!(...event);
    },
    onResponseError: (...event) => {
      end();
      handler.onResponseError!(...event);
    },
    onHeaders: (status, headers, resume, text) => {
      watched.resume = resume;
      return handler.onHeaders!(status, headers, resume, text);
    },
    onData: (chunk) => {
      watched.bodyBytes += chunk.length;
      return chunk.length === 0 || handler.onData!(chunk);
    },
    onComplete: (...event) => {
      end();
      handler.onComplete!(...event);
    },
    onError: (...event) => {
      end();
      handler.onError!(...event);
    },
  };
  return new Proxy(handler, {
    get: (target, name: keyof Dispatcher.DispatchHandler) => {
      const method = target[name];
      if (typeof method !== 'function') return method;
      return watchers[name] ?? method.bind(target);
    },
  });
}

/** Ends a connection whose bytes are no answer, such as blank lines or chunk extensions without end. */
function endIfNoAnswer(socket: Socket, { earlierBytes, bodyBytes }: ClientState): void {
  const parsedBytes = socket.bytesRead - socket.readableLength - earlierBytes;
  const overheadBytes = parsedBytes - bodyBytes;
  if (overheadBytes > MAX_OVERHEAD_BYTES + MAX_OVERHEAD_PER_BODY_BYTE * bodyBytes) {
    socket.destroy(new Error(`received ${overheadBytes} bytes that are no part of an answer`));
  }
}

/**
 * Counts the lines of the bytes that are parsed next, and ends a connection that has sent too many besides a
 * body. @returns whether the bytes may be parsed
 */
function countLines(socket: Socket, state: ClientState, lines: number): boolean {
  const counted = state;
  if (counted.bodyBytes !== counted.earlierBodyBytes) counted.lines = 0;
  counted.earlierBodyBytes = counted.bodyBytes;
  counted.lines += lines;
  if (counted.lines <= MAX_OVERHEAD_LINES) return true;
  socket.destroy(new Error(`received ${counted.lines} lines that are no part of a body`));
  return false;
}

/** Default of all clients, which share the time of their process. */
export const processReads = createReadSchedule();

/** Adapts a function that opens sockets to the HTTP client. */
const createSocketConnector =
  (openSocket: () => Promise<Socket>): buildConnector.connector =>
  (_options, callback) => {
    openSocket().then(
      (socket) => callback(null, socket),
      (error: unknown) => callback(error instanceof Error ? error : new Error(String(error)), null),
    );
  };

/**
 * Creates an HTTP client with one connection to a target. Compensates for two properties of undici's
 * client, which concern answers that end with their connection: it reports them as complete after a
 * reset, and it throws outside of the exchange if the connection ends while the answer is paused.
 * An answer is complete only if its connection has ended in order after all of the request was sent.
 */
export function createTargetClient(options: TargetClientOptions): Client {
  const { origin, connectTimeoutMilliseconds, keepAliveMilliseconds, openSocket } = options;
  const { reads = processReads } = options;
  const state: ClientState = {
    isExchanging: false,
    earlierBytes: 0,
    bodyBytes: 0,
    lines: 0,
    earlierBodyBytes: 0,
    resume: () => {},
  };
  const connect = openSocket
    ? createSocketConnector(openSocket)
    : buildConnector({ timeout: connectTimeoutMilliseconds });
  const client = new Client(origin, {
    pipelining: 1,
    // The listeners run before those of undici's client.
    connect: (connectOptions, callback) =>
      connect(connectOptions, (...result) => {
        const [, socket] = result;
        state.socket = socket ?? undefined;
        if (socket) {
          reads.bound(socket, (lines) => countLines(socket, state, lines));
          detectResets(socket, { isNeeded: () => state.isExchanging });
        }
        socket?.on('readable', () => endIfNoAnswer(socket, state));
        socket?.on('end', () => state.resume());
        socket?.on('error', (error: NodeJS.ErrnoException) => {
          if (error.code === 'ECONNRESET') Object.assign(error, { code: 'UND_ERR_SOCKET' });
        });
        callback(...result);
      }),
    ...(keepAliveMilliseconds === undefined ? {} : { keepAliveTimeout: keepAliveMilliseconds }),
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  const dispatch = client.dispatch.bind(client);
  return Object.assign(client, {
    dispatch: (dispatchOptions: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler) =>
      dispatch(dispatchOptions, watchAnswer(handler, state)),
  });
}
