import {
  afterEarlierTry,
  createRefusal,
  isRefusal,
  RAN,
  REFUSAL,
  type Refusal,
} from '@bulrushspar/errors';
import { findKey, removeCredentials, type CleanRequest } from '@bulrushspar/keys';
import { fingerprintCall, type Performed, type RecordedAnswer } from '@bulrushspar/ledger';
import { sendUntilAnswered } from '@bulrushspar/routing';
import {
  exchange,
  EXCHANGE_FAULT,
  isExchangeError,
  PROGRESS,
  type AnswerHead,
  type ServiceView,
} from '@bulrushspar/targets';
import { applyDeadline, authenticate, authorize, refuseKeyInside } from './access.js';
import { REQUEST_ID_HEADER } from './answer.js';
import { readBody } from './body.js';
import { whileOpen, type RequestContext } from './context.js';
import { checkPath, findRoute, splitPath } from './path.js';
import type { GatewayServices, NamedRoute } from './services.js';

/** A call of a plain service, ready to be sent. */
interface ServiceCall {
  readonly named: NamedRoute;
  readonly method: string;
  readonly clean: CleanRequest;
  readonly body: Buffer;
}

const LARGEST_ANSWER = 16_000_000;
const MOST_TRIES = 3;
const MILLISECONDS_PER_SECOND = 1000;
const BAD_GATEWAY = 502;

const wasNotSent = (error: unknown): boolean =>
  isExchangeError(error) && error.progress === PROGRESS.NOT_SENT;

const DROPPED_ANSWER_HEADERS = new Set([
  'connection',
  'keep-alive',
  'transfer-encoding',
  'content-length',
  'upgrade',
]);

function collectHeaders({ headers }: AnswerHead): Record<string, string> {
  const kept = Object.entries(headers).flatMap(([name, value]): [string, string][] => {
    if (value === undefined || DROPPED_ANSWER_HEADERS.has(name)) return [];
    return [[name, Array.isArray(value) ? value.join(', ') : value]];
  });
  return Object.fromEntries(kept);
}

/** Handles calls of plain services. */
export function createServiceHandler(services: GatewayServices) {
  const { registry, ledger, limits, metrics, random } = services;

  const pickTarget = (named: NamedRoute, excluded: ReadonlySet<string>) => {
    const { configuration } = services.accepted();
    const { targets } = configuration.services[named.route.service!]!;
    const views = targets
      .filter((name) => !excluded.has(name))
      .flatMap((name) => registry.service(name) ?? [])
      .filter(({ target }) => !target.leaving);
    const least = Math.min(...views.map(({ outstanding }) => outstanding));
    const best = views.filter(({ outstanding }) => outstanding === least);
    return best[Math.floor(random() * best.length)];
  };

  /** Sends a call once and collects the whole answer. */
  const sendOnce = async (
    context: RequestContext,
    call: ServiceCall,
    target: ServiceView,
    signal: AbortSignal,
    ownConnection: boolean,
  ): Promise<RecordedAnswer> => {
    const view = target;
    const { hosts } = services.accepted().configuration;
    const { connections } = target;
    const dispatcher = ownConnection ? connections.single() : connections.shared;
    const chunks: Buffer[] = [];
    let size = 0;
    let head: AnswerHead | undefined;
    view.outstanding += 1;
    context.markSent();
    context.tracer.add('sent', target.name);
    try {
      await exchange({
        dispatcher,
        call: {
          method: call.method,
          path: call.clean.path,
          headers: { ...call.clean.headers, [REQUEST_ID_HEADER]: context.tracer.id },
          ...(call.body.length > 0 ? { body: call.body } : {}),
        },
        receiver: {
          onHead: (answered) => {
            head = answered;
          },
          onData: (chunk) => {
            size += chunk.length;
            if (size > LARGEST_ANSWER) throw new Error('the answer is too large');
            chunks.push(chunk);
          },
        },
        signal,
        silenceMilliseconds: hosts.silence_seconds * MILLISECONDS_PER_SECOND,
      });
    } finally {
      view.outstanding -= 1;
      if (ownConnection) dispatcher.close().catch(() => {});
    }
    return {
      status: head!.status,
      headers: collectHeaders(head!),
      body: Buffer.concat(chunks).toString('base64'),
    };
  };

  const refusalOf = (context: RequestContext, error: unknown): Refusal => {
    if (isRefusal(error)) return error;
    if (context.signal.aborted) return context.signal.reason as Refusal;
    const silent = isExchangeError(error) && error.fault === EXCHANGE_FAULT.SILENT;
    const notSent = wasNotSent(error);
    const whenSent = silent ? REFUSAL.TARGET_SILENT : REFUSAL.TARGET_FAILED;
    const code = notSent ? REFUSAL.TARGET_UNREACHABLE : whenSent;
    return createRefusal({
      status: BAD_GATEWAY,
      code,
      message: notSent ? 'the service could not be reached' : 'the service did not answer',
      ran: notSent ? RAN.NO : RAN.UNKNOWN,
      retryAfterSeconds: 1,
      cause: error,
    });
  };

  const noTarget = (): Refusal =>
    createRefusal({
      status: 503,
      code: REFUSAL.NO_CAPACITY,
      message: 'no target of the service takes work now',
      retryAfterSeconds: 1,
    });

  /**
   * Sends a call to one target after another until it is answered.
   * @param send sends it once
   * @param mayGoOn tells whether the call may go to another target after a failure
   */
  const sendAround = (
    { tracer }: RequestContext,
    { named }: ServiceCall,
    send: (target: ServiceView) => Promise<RecordedAnswer>,
    mayGoOn: (error: unknown) => boolean,
  ): Promise<RecordedAnswer> => {
    const tried = new Set<string>();
    return sendUntilAnswered<ServiceView, RecordedAnswer>({
      next: (last) => {
        const target = tried.size < MOST_TRIES ? pickTarget(named, tried) : undefined;
        if (!target) return Promise.reject(last ?? noTarget());
        if (tried.size > 0) metrics.retries.add();
        tried.add(target.name);
        return Promise.resolve(target);
      },
      send,
      judge: (target, error) => {
        if (!mayGoOn(error)) throw error;
        tracer.add('failed', `${target.name}: ${(error as Error).message}`);
      },
    });
  };

  const callRepeatable = async (
    context: RequestContext,
    call: ServiceCall,
  ): Promise<RecordedAnswer> => {
    let mayHaveRun = false;
    const send = (target: ServiceView) => sendOnce(context, call, target, context.signal, false);
    const mayGoOn = (error: unknown): boolean => {
      mayHaveRun ||= !wasNotSent(error);
      return !context.signal.aborted;
    };
    try {
      return await sendAround(context, call, send, mayGoOn);
    } catch (error) {
      if (context.signal.aborted) throw context.signal.reason;
      const refusal = refusalOf(context, error);
      throw mayHaveRun ? afterEarlierTry(refusal) : refusal;
    }
  };

  const performOnce = async (context: RequestContext, call: ServiceCall): Promise<Performed> => {
    const send = (target: ServiceView) => {
      const limit = AbortSignal.timeout(Math.max(1, Math.ceil(context.remainingMilliseconds())));
      return sendOnce(context, call, target, limit, true);
    };
    try {
      return { sent: true, answer: await sendAround(context, call, send, wasNotSent) };
    } catch (error) {
      const certainlyNotSent = isRefusal(error) || wasNotSent(error);
      return { sent: certainlyNotSent ? false : 'unknown', refusal: refusalOf(context, error) };
    }
  };

  const callOnce = async (context: RequestContext, call: ServiceCall): Promise<RecordedAnswer> => {
    const idempotencyKey = context.request.headers['idempotency-key'];
    if (typeof idempotencyKey !== 'string' || idempotencyKey === '') {
      throw createRefusal({
        status: 400,
        code: REFUSAL.IDEMPOTENCY_KEY_REQUIRED,
        message: 'a call that may not be repeated needs an Idempotency-Key header',
      });
    }
    const { workspace } = context.identity!;
    // An earlier try may be running at its target already.
    context.markSent();
    const { answer, repeated } = await ledger.run({
      identity: { workspace, route: call.named.name, idempotencyKey },
      fingerprint: fingerprintCall(call.method, call.clean.path, call.body),
      remainingMilliseconds: context.remainingMilliseconds,
      perform: () => performOnce(context, call),
    });
    if (repeated) context.tracer.add('answered from the record');
    return repeated
      ? { ...answer, headers: { ...answer.headers, 'idempotency-replayed': 'true' } }
      : answer;
  };

  const deliver = (context: RequestContext, answer: RecordedAnswer): void => {
    const body = Buffer.from(answer.body, 'base64');
    context.response.writeHead(answer.status, {
      ...answer.headers,
      'content-length': body.length,
      [REQUEST_ID_HEADER]: context.tracer.id,
    });
    context.response.end(body);
  };

  const perform = async (context: RequestContext, call: ServiceCall): Promise<void> => {
    const { workspace } = context.identity ?? {};
    const cost = call.named.route.cost_tokens;
    const admission = workspace === undefined ? undefined : await limits.admit(workspace, cost);
    try {
      const run = call.named.route.repeatable ? callRepeatable : callOnce;
      // The work goes on without its caller where it may not be repeated.
      deliver(context, await whileOpen(context, run(context, call)));
    } catch (error) {
      if (isRefusal(error) && error.refusal.ran === RAN.NO) admission?.settle(0);
      throw error;
    } finally {
      admission?.settle(cost);
    }
  };

  return async (context: RequestContext): Promise<void> => {
    const { configuration } = services.accepted();
    const method = context.request.method!;
    const path = context.request.url!;
    applyDeadline(context, undefined, configuration);
    checkPath(path);
    const target = splitPath(path);
    const named = findRoute(configuration, target, method);
    applyDeadline(context, named.route, configuration);
    if (!named.route.open) {
      authorize(named.route, named.name, authenticate(context, services.keyring()));
    }
    metrics.requests.add(1, { route: named.name });
    const body = await readBody(context.request, configuration.hosts.body_bytes);
    refuseKeyInside(context, body);
    const key = findKey(context.request.headers);
    const clean = removeCredentials(context.request.headers, target.rest, key);
    await perform(context, { named, method, clean, body });
  };
}
