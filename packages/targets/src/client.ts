import { buildConnector, Client, type Dispatcher } from 'undici';

/** Options of {@link createTargetClient}. */
export interface TargetClientOptions {
  /** Such as http://127.0.0.1:8000. */
  readonly origin: string;
  readonly connectTimeoutMilliseconds: number;
  /** Time after which an idle connection is closed; the default of the HTTP client if omitted. */
  readonly keepAliveMilliseconds?: number;
}

/** Answer that a client receives. */
interface ClientState {
  /** Ends a pause of the answer. */
  resume: () => void;
}

/**
 * Records how to resume an answer, and drops the empty chunk with which a resumed answer begins, so
 * that its receiver does not pause again. A pool passes handlers of undici's older interface.
 */
function watchAnswer(
  handler: Dispatcher.DispatchHandler,
  state: ClientState,
): Dispatcher.DispatchHandler {
  const watched = state;
  const watchers: Partial<Dispatcher.DispatchHandler> = {
    onResponseStart: (controller, ...event) => {
      watched.resume = () => controller.resume();
      handler.onResponseStart!(controller, ...event);
    },
    onResponseData: (controller, chunk) => {
      if (chunk.length > 0) handler.onResponseData!(controller, chunk);
    },
    onHeaders: (status, headers, resume, text) => {
      watched.resume = resume;
      return handler.onHeaders!(status, headers, resume, text);
    },
    onData: (chunk) => chunk.length === 0 || handler.onData!(chunk),
  };
  return new Proxy(handler, {
    get: (target, name: keyof Dispatcher.DispatchHandler) => {
      const method = target[name];
      if (typeof method !== 'function') return method;
      return watchers[name] ?? method.bind(target);
    },
  });
}

/**
 * Creates an HTTP client with one connection to a target. Compensates for two properties of undici's
 * client, which concern answers that end with their connection: it reports them as complete after a
 * reset, and it throws outside of the exchange if the connection ends while the answer is paused.
 */
export function createTargetClient(options: TargetClientOptions): Client {
  const { origin, connectTimeoutMilliseconds, keepAliveMilliseconds } = options;
  const state: ClientState = { resume: () => {} };
  const connect = buildConnector({ timeout: connectTimeoutMilliseconds });
  const client = new Client(origin, {
    pipelining: 1,
    // The listeners run before those of undici's client.
    connect: (connectOptions, callback) =>
      connect(connectOptions, (...result) => {
        const [, socket] = result;
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
