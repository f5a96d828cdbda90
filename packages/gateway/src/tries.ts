import { startStopwatch, type Stopwatch } from '@bulrushspar/clock';
import {
  afterEarlierTry,
  createRefusal,
  isRefusal,
  RAN,
  REFUSAL,
  type Refusal,
  type RefusalCode,
} from '@bulrushspar/errors';
import { sendUntilAnswered } from '@bulrushspar/routing';
import { exchange, isExchangeError, PROGRESS, type ServerView } from '@bulrushspar/targets';
import { REQUEST_ID_HEADER } from './answer.js';
import type { ChatRequest } from './chat.js';
import type { RequestContext } from './context.js';
import type { Isolated, Watch } from './isolation.js';
import type { Picker } from './pick.js';
import { createModelRelay, decodeModelHead, isNotRun, type ModelRelay } from './relay.js';
import type { GatewayServices } from './services.js';

const MOST_TRIES = 4;
const MOST_FAILURES = 2;
const REPEATED_CODES = new Set<RefusalCode>([REFUSAL.ANSWER_MISMATCHED, REFUSAL.ANSWER_CUT]);
const MILLISECONDS_PER_SECOND = 1000;

/** A server, if there is one, and the right to run the request there. */
interface Prepared {
  readonly turn: Isolated;
  readonly server: ServerView | undefined;
}

/** One try of a request. */
interface Try {
  readonly turn: Isolated;
  readonly server: ServerView;
  readonly sinceSent: Stopwatch;
}

const unreachable = (cause: unknown): Refusal =>
  createRefusal({
    status: 502,
    code: REFUSAL.TARGET_UNREACHABLE,
    message: 'no server could be reached',
    retryAfterSeconds: 1,
    cause,
  });

const interrupted = (cause: unknown): Refusal =>
  createRefusal({
    status: 502,
    code: REFUSAL.TARGET_FAILED,
    message: 'the server failed while it answered',
    ran: RAN.UNKNOWN,
    retryAfterSeconds: 1,
    cause,
  });

/** Turns a failure into the refusal that ends the request, or undefined to try again. */
const judge = (context: RequestContext, error: unknown, begun: boolean): Refusal | undefined => {
  if (context.signal.aborted) return context.signal.reason as Refusal;
  if (isNotRun(error)) return undefined;
  if (isRefusal(error)) return begun || !REPEATED_CODES.has(error.refusal.code) ? error : undefined;
  return begun || !isExchangeError(error) ? interrupted(error) : undefined;
};

const certainlyNotRun = (error: unknown): boolean =>
  isNotRun(error) || (isExchangeError(error) && error.progress === PROGRESS.NOT_SENT);

/** Makes the refusal of a further try honest about the tries before it. */
const refuseAfter = (failuresAfterSending: number) => (error: unknown) => {
  throw failuresAfterSending > 0 && isRefusal(error) ? afterEarlierTry(error) : error;
};

const leaveAndThrow = (turn: Isolated) => (error: unknown) => {
  turn.leave();
  throw error;
};

/**
 * Sends a request until it is answered; it may fail after it was sent only once.
 * Rejects with the refusal that ends it.
 */
export type Serve = (
  context: RequestContext,
  chat: ChatRequest,
  watch: Watch,
) => Promise<ModelRelay>;

/** Creates the tries of requests to models. */
export function createServe(services: GatewayServices, picker: Picker): Serve {
  const { clock, registry, metrics } = services;

  const send = async (
    context: RequestContext,
    chat: ChatRequest,
    server: ServerView,
    relay: ModelRelay,
  ): Promise<void> => {
    const view = server;
    const { hosts } = services.accepted().configuration;
    const sink = relay.openSink();
    view.outstanding += 1;
    context.markSent();
    context.tracer.add('sent', server.name);
    try {
      await exchange({
        dispatcher: server.engine.connections.shared,
        call: {
          method: 'POST',
          path: context.request.url!.split('?')[0]!,
          headers: {
            'content-type': 'application/json',
            accept: chat.stream ? 'text/event-stream' : 'application/json',
            [REQUEST_ID_HEADER]: context.tracer.id,
          },
          body: chat.body,
        },
        receiver: {
          onHead: (head, flow) => sink.onHead(decodeModelHead(head, chat.stream), flow),
          onData: sink.onData,
        },
        signal: context.signal,
        silenceMilliseconds: hosts.silence_seconds * MILLISECONDS_PER_SECOND,
      });
      relay.finish();
    } finally {
      view.outstanding -= 1;
    }
  };

  /** Finds a server for a try, with the right to run the request there. */
  const prepare = async (
    context: RequestContext,
    chat: ChatRequest,
    watch: Watch,
    failed: ReadonlyMap<string, ServerView>,
  ): Promise<Prepared> => {
    // The load comes first, so that no turn is held during it.
    await picker.ensureLoaded(context, chat);
    const turn = await watch.enter();
    const server = await picker.pick(context, chat, failed).catch(leaveAndThrow(turn));
    if (!server || turn.holds()) return { turn, server };
    // A server crashed under this request elsewhere while it waited for a load here.
    turn.leave();
    return prepare(context, chat, watch, failed);
  };

  return (context, chat, watch) => {
    const { tracer } = context;
    const failed = new Map<string, ServerView>();
    const relay = createModelRelay({
      response: context.response,
      requestId: tracer.id,
      stream: chat.stream,
      onFirstToken: () => metrics.firstToken.record(context.age()),
    });
    let tries = 0;
    let failuresAfterSending = 0;

    const giveUp = (last: unknown): Refusal => {
      const verdict = watch.verdict();
      if (verdict) return afterEarlierTry(verdict);
      return failuresAfterSending > 0 ? interrupted(last) : unreachable(last);
    };

    const next = async (last: unknown): Promise<Try> => {
      if (tries >= MOST_TRIES || failuresAfterSending >= MOST_FAILURES) throw giveUp(last);
      const { turn, server } = await prepare(context, chat, watch, failed).catch(
        refuseAfter(failuresAfterSending),
      );
      if (!server) {
        turn.leave();
        throw giveUp(last);
      }
      if (tries > 0) metrics.retries.add();
      tries += 1;
      return { turn, server, sinceSent: startStopwatch(clock) };
    };

    const sendOnce = async ({ turn, server }: Try): Promise<ModelRelay> => {
      await send(context, chat, server, relay);
      watch.clear();
      turn.leave();
      return relay;
    };

    const judgeTry = async ({ turn, server, sinceSent }: Try, error: unknown): Promise<void> => {
      try {
        const inspected = watch.inspect(server, error, sinceSent);
        const refusal = judge(context, error, relay.begun());
        if (refusal) throw refusal;
        await inspected;
        tracer.add('failed', `${server.name}: ${(error as Error).message}`);
        if (!certainlyNotRun(error)) failuresAfterSending += 1;
        failed.set(server.name, server);
        await registry.refresh(server);
      } finally {
        turn.leave();
      }
    };

    return sendUntilAnswered({ next, send: sendOnce, judge: judgeTry });
  };
}
