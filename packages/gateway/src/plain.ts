import {
  markPossiblyRan,
  createRefusal,
  isRefusal,
  RAN,
  REFUSAL,
  type Refusal,
} from '@bulrushspar/errors';
import { extractBearerKey, removeCredentials, type SanitizedRequest } from '@bulrushspar/keys';
import { fingerprintCall, type AttemptResult, type RecordedAnswer } from '@bulrushspar/ledger';
import { sendUntilAnswered } from '@bulrushspar/routing';
import {
  exchange,
  EXCHANGE_FAULT,
  isExchangeError,
  EXCHANGE_PROGRESS,
  type AnswerHead,
  type ServiceView,
} from '@bulrushspar/targets';
import { applyDeadline, authenticate, authorize, rejectEmbeddedKey } from './access.js';
import { REQUEST_ID_HEADER } from './answer.js';
import { readBody } from './body.js';
import { waitUnlessAborted, type RequestContext } from './context.js';
import { rejectAmbiguousPath, findServiceRoute, parseServicePath } from './path.js';
import type { GatewayServices, NamedRoute } from './services.js';

/** A call of a plain service, without credentials. */
interface ServiceCall {
  readonly namedRoute: NamedRoute;
  readonly method: string;
  readonly sanitized: SanitizedRequest;
  readonly body: Buffer;
}

const MAX_ANSWER_BYTES = 16_000_000;
const MAX_ATTEMPTS = 3;
const MILLISECONDS_PER_SECOND = 1000;
const BAD_GATEWAY = 502;

const wasNotSent = (error: unknown): boolean =>
  isExchangeError(error) && error.progress === EXCHANGE_PROGRESS.NOT_SENT;

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

/** Creates the handler of calls of plain services; it rejects with the refusal of a call. */
export function createServiceHandler(services: GatewayServices) {
  const { registry, ledger, limits, metrics, random } = services;

  const selectTarget = (namedRoute: NamedRoute, excluded: ReadonlySet<string>) => {
    const { configuration } = services.getAcceptedConfiguration();
    const { targets } = configuration.services[namedRoute.route.service!]!;
    const views = targets
      .filter((name) => !excluded.has(name))
      .flatMap((name) => registry.service(name) ?? [])
      .filter(({ target }) => !target.leaving);
    const leastOutstanding = Math.min(...views.map(({ requestsInFlight }) => requestsInFlight));
    const leastLoaded = views.filter(
      ({ requestsInFlight }) => requestsInFlight === leastOutstanding,
    );
    return leastLoaded[Math.floor(random() * leastLoaded.length)];
  };

  /** Sends a call once and buffers the complete answer. */
  const sendOnce = async (
    context: RequestContext,
    call: ServiceCall,
    target: ServiceView,
    signal: AbortSignal,
    requiresNewConnection: boolean,
  ): Promise<RecordedAnswer> => {
    const view = target;
    const { hosts } = services.getAcceptedConfiguration().configuration;
    const { connections } = target;
    const dispatcher = requiresNewConnection
      ? connections.createSingleUseClient()
      : connections.pool;
    const chunks: Buffer[] = [];
    let bodyBytes = 0;
    let head: AnswerHead | undefined;
    view.requestsInFlight += 1;
    context.markSent();
    context.tracer.addStep('sent', target.name);
    try {
      await exchange({
        dispatcher,
        call: {
          method: call.method,
          path: call.sanitized.path,
          headers: { ...call.sanitized.headers, [REQUEST_ID_HEADER]: context.tracer.id },
          ...(call.body.length > 0 ? { body: call.body } : {}),
        },
        receiver: {
          onHead: (answerHead) => {
            head = answerHead;
          },
          onData: (chunk) => {
            bodyBytes += chunk.length;
            if (bodyBytes > MAX_ANSWER_BYTES)
              throw new Error('the answer of the service exceeds the size limit');
            chunks.push(chunk);
          },
        },
        signal,
        silenceMilliseconds: hosts.silence_seconds * MILLISECONDS_PER_SECOND,
      });
    } finally {
      view.requestsInFlight -= 1;
      if (requiresNewConnection) dispatcher.close().catch(() => {});
    }
    return {
      status: head!.status,
      headers: collectHeaders(head!),
      body: Buffer.concat(chunks).toString('base64'),
    };
  };

  const toServiceRefusal = (context: RequestContext, error: unknown): Refusal => {
    if (isRefusal(error)) return error;
    if (context.signal.aborted) return context.signal.reason as Refusal;
    const isSilent = isExchangeError(error) && error.fault === EXCHANGE_FAULT.SILENT;
    const isNotSent = wasNotSent(error);
    const codeAfterSending = isSilent ? REFUSAL.TARGET_SILENT : REFUSAL.TARGET_FAILED;
    const code = isNotSent ? REFUSAL.TARGET_UNREACHABLE : codeAfterSending;
    return createRefusal({
      status: BAD_GATEWAY,
      code,
      message: isNotSent
        ? 'no target of the service could be reached'
        : 'the service did not answer completely',
      ran: isNotSent ? RAN.NO : RAN.UNKNOWN,
      retryAfterSeconds: 1,
      cause: error,
    });
  };

  const createNoTargetRefusal = (): Refusal =>
    createRefusal({
      status: 503,
      code: REFUSAL.NO_CAPACITY,
      message: 'no target of the service accepts requests at present',
      retryAfterSeconds: 1,
    });

  /**
   * Sends a call to one target after another until it is answered.
   * @param send sends the call once
   * @param mayRetry returns whether the call may be sent to another target after this error
   */
  const sendToTargets = (
    { tracer }: RequestContext,
    { namedRoute }: ServiceCall,
    send: (target: ServiceView) => Promise<RecordedAnswer>,
    mayRetry: (error: unknown) => boolean,
  ): Promise<RecordedAnswer> => {
    const tried = new Set<string>();
    return sendUntilAnswered<ServiceView, RecordedAnswer>({
      selectDestination: (lastError) => {
        const target = tried.size < MAX_ATTEMPTS ? selectTarget(namedRoute, tried) : undefined;
        if (!target) return Promise.reject(lastError ?? createNoTargetRefusal());
        if (tried.size > 0) metrics.retries.add();
        tried.add(target.name);
        return Promise.resolve(target);
      },
      send,
      handleFailure: (target, error) => {
        if (!mayRetry(error)) throw error;
        tracer.addStep('failed', `${target.name}: ${(error as Error).message}`);
      },
    });
  };

  const sendRepeatable = async (
    context: RequestContext,
    call: ServiceCall,
  ): Promise<RecordedAnswer> => {
    let mayHaveRun = false;
    const send = (target: ServiceView) => sendOnce(context, call, target, context.signal, false);
    const mayRetry = (error: unknown): boolean => {
      mayHaveRun ||= !wasNotSent(error);
      return !context.signal.aborted;
    };
    try {
      return await sendToTargets(context, call, send, mayRetry);
    } catch (error) {
      if (context.signal.aborted) throw context.signal.reason;
      const refusal = toServiceRefusal(context, error);
      throw mayHaveRun ? markPossiblyRan(refusal) : refusal;
    }
  };

  const sendNonRepeatable = async (
    context: RequestContext,
    call: ServiceCall,
  ): Promise<AttemptResult> => {
    const send = (target: ServiceView) => {
      const limit = AbortSignal.timeout(Math.max(1, Math.ceil(context.remainingMilliseconds())));
      return sendOnce(context, call, target, limit, true);
    };
    try {
      return { sent: true, answer: await sendToTargets(context, call, send, wasNotSent) };
    } catch (error) {
      const isCertainlyNotSent = isRefusal(error) || wasNotSent(error);
      return {
        sent: isCertainlyNotSent ? false : 'unknown',
        refusal: toServiceRefusal(context, error),
      };
    }
  };

  const runAtMostOnce = async (
    context: RequestContext,
    call: ServiceCall,
  ): Promise<RecordedAnswer> => {
    const idempotencyKey = context.request.headers['idempotency-key'];
    if (typeof idempotencyKey !== 'string' || idempotencyKey === '') {
      throw createRefusal({
        status: 400,
        code: REFUSAL.IDEMPOTENCY_KEY_REQUIRED,
        message: 'a call of a non-repeatable route requires an Idempotency-Key header',
      });
    }
    const { workspace } = context.identity!;
    // An earlier call with the same idempotency key may already be running at its target.
    context.markSent();
    const { answer, replayed } = await ledger.run({
      identity: { workspace, route: call.namedRoute.name, idempotencyKey },
      fingerprint: fingerprintCall(call.method, call.sanitized.path, call.body),
      remainingMilliseconds: context.remainingMilliseconds,
      perform: () => sendNonRepeatable(context, call),
    });
    if (replayed) context.tracer.addStep('answered from the record');
    return replayed
      ? { ...answer, headers: { ...answer.headers, 'idempotency-replayed': 'true' } }
      : answer;
  };

  const sendAnswer = (context: RequestContext, answer: RecordedAnswer): void => {
    const body = Buffer.from(answer.body, 'base64');
    context.response.writeHead(answer.status, {
      ...answer.headers,
      'content-length': body.length,
      [REQUEST_ID_HEADER]: context.tracer.id,
    });
    context.response.end(body);
  };

  const admitAndRun = async (context: RequestContext, call: ServiceCall): Promise<void> => {
    const { workspace } = context.identity ?? {};
    const costTokens = call.namedRoute.route.cost_tokens;
    const admission =
      workspace === undefined ? undefined : await limits.admit(workspace, costTokens);
    try {
      const handleCall = call.namedRoute.route.repeatable ? sendRepeatable : runAtMostOnce;
      // A non-repeatable call continues after its caller has disconnected.
      sendAnswer(context, await waitUnlessAborted(context, handleCall(context, call)));
    } catch (error) {
      if (isRefusal(error) && error.refusal.ran === RAN.NO) admission?.settle(0);
      throw error;
    } finally {
      admission?.settle(costTokens);
    }
  };

  return async (context: RequestContext): Promise<void> => {
    const { configuration } = services.getAcceptedConfiguration();
    const method = context.request.method!;
    const path = context.request.url!;
    applyDeadline(context, undefined, configuration);
    rejectAmbiguousPath(path);
    const servicePath = parseServicePath(path);
    const namedRoute = findServiceRoute(configuration, servicePath, method);
    applyDeadline(context, namedRoute.route, configuration);
    if (!namedRoute.route.open) {
      authorize(namedRoute.route, namedRoute.name, authenticate(context, services.getKeyring()));
    }
    metrics.requests.add(1, { route: namedRoute.name });
    const body = await readBody(context, {
      maxBytes: configuration.hosts.body_bytes,
      memory: services.requestMemory,
    });
    rejectEmbeddedKey(context, body);
    const key = extractBearerKey(context.request.headers);
    const sanitized = removeCredentials(context.request.headers, servicePath.targetPath, key);
    await admitAndRun(context, { namedRoute, method, sanitized, body });
  };
}
