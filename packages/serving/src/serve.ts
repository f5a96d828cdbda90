/** Handles a request from its arrival until it is answered or refused. */
import { ROUTE_KIND, type Route } from '@bulrushspar/catalogue';
import { startStopwatch, type Stopwatch } from '@bulrushspar/clock';
import {
  createRefusal,
  isRefusal,
  RAN,
  REFUSAL,
  type Ran,
  type Refusal,
} from '@bulrushspar/errors';
import type { DemandTracker } from '@bulrushspar/loading';
import { createByteMemory, type ByteMemory } from '@bulrushspar/routing';
import type { Admission, AdmittedRequest } from './admit.js';
import { DELIVERY, openRelay, type Delivery } from './answer.js';
import { createAttemptRunner, type AttemptRunnerOptions, type ActiveRequest } from './attempts.js';
import {
  createCallerGoneRefusal,
  createTargetFailedRefusal,
  createUnreadRefusal,
  createVersionUnknownRefusal,
} from './refusals.js';
import type { Call, Reply } from './call.js';
import { createCrashGuard, type CrashGuardOptions } from './crashes.js';

/** Answers or refuses one request; never rejects. */
export type RequestHandler<SomeCall extends Call> = (call: SomeCall, reply: Reply) => Promise<void>;

/** Options of {@link createRequestHandler}. */
export interface RequestHandlerOptions<SomeCall extends Call>
  extends Omit<AttemptRunnerOptions<SomeCall>, 'crashGuard'>, CrashGuardOptions {
  readonly admission: Admission;
  readonly demand: DemandTracker;
  /** Bounds the bytes of answers that are held. */
  readonly answerMemory?: ByteMemory;
  /** Whether unread bytes are held and count in the memory; false by default. */
  readonly buffersUnread?: boolean;
}

const MILLISECONDS_PER_SECOND = 1000;

const createDeadlineRefusal = (ran: Ran): Refusal =>
  createRefusal({
    status: 504,
    code: REFUSAL.DEADLINE,
    message: 'the request exceeded its deadline',
    ran,
  });

const selectDelivery = ({ kind, resumable }: Route): Delivery => {
  if (kind !== ROUTE_KIND.STREAM) return DELIVERY.WHOLE;
  return resumable ? DELIVERY.RESUMABLE : DELIVERY.STREAM;
};

/** Creates the request handler of one host. */
export function createRequestHandler<SomeCall extends Call>(
  options: RequestHandlerOptions<SomeCall>,
): RequestHandler<SomeCall> {
  const { clock, logger, metrics, admission, demand, streams } = options;
  const { getStoppingRefusal, answerMemory: memory = createByteMemory() } = options;
  const { buffersUnread = false } = options;
  const crashGuard = createCrashGuard(options);
  const attemptRunner = createAttemptRunner({ ...options, crashGuard });

  const refuse = (call: SomeCall, reply: Reply, error: unknown, milliseconds: number): void => {
    const { refusal, message } = isRefusal(error) ? error : createTargetFailedRefusal(error);
    if (!isRefusal(error)) logger.error('request failed', { request: call.id, error: message });
    metrics.refusals.add(1, { code: refusal.code, status: String(refusal.status) });
    logger.info('refused', {
      request: call.id,
      path: call.path,
      status: refusal.status,
      code: refusal.code,
      why: message,
      ran: refusal.ran,
      configuration: admission.version(),
      milliseconds: Math.round(milliseconds),
    });
    if (reply.gone.aborted) return;
    if (reply.hasBegun()) reply.reset();
    else {
      const { retryAfterSeconds } = refusal;
      const retryAfterMilliseconds =
        retryAfterSeconds === undefined ? undefined : retryAfterSeconds * MILLISECONDS_PER_SECOND;
      reply.refuse(refusal.status, message, retryAfterMilliseconds);
    }
  };

  const admit = (call: SomeCall): AdmittedRequest => {
    const refusal = getStoppingRefusal();
    if (refusal) throw refusal;
    const admitted = admission.admit(call);
    try {
      crashGuard.check({ call, admitted }, false);
    } catch (error) {
      admitted.refund();
      throw error;
    }
    return admitted;
  };

  /** Creates a signal that aborts the request at its deadline or when its caller disconnects. */
  const createDeadlineSignal = (reply: Reply, milliseconds: number, wasSent: () => boolean) => {
    const controller = new AbortController();
    const cancel = clock.after(milliseconds, () =>
      controller.abort(createDeadlineRefusal(wasSent() ? RAN.UNKNOWN : RAN.NO)),
    );
    const onDisconnect = (): void => controller.abort(createCallerGoneRefusal());
    reply.gone.addEventListener('abort', onDisconnect, { once: true });
    if (reply.gone.aborted) onDisconnect();
    return { signal: controller.signal, abort: controller.abort.bind(controller), cancel };
  };

  /** Returns the software version at which a stream must go on that the caller takes up again. */
  const findRequiredVersion = async (
    call: SomeCall,
    { service }: AdmittedRequest,
    signal: AbortSignal,
  ): Promise<string | undefined> => {
    if (call.resumes === undefined || call.lastEventId === undefined) return undefined;
    const requirement = await streams.findRequirement(service, call.resumes);
    if (signal.aborted) throw signal.reason;
    if (requirement.isKnown) return requirement.softwareVersion;
    const versions = streams.describeVersions(service);
    logger.info('version of a stream is unknown', {
      request: call.id,
      began: call.resumes,
      service,
      cause: requirement.cause,
      ...versions,
    });
    throw createVersionUnknownRefusal(requirement.cause, versions);
  };

  const serveAdmitted = async (
    call: SomeCall,
    reply: Reply,
    admitted: AdmittedRequest,
    elapsed: Stopwatch,
  ): Promise<void> => {
    const { route } = admitted;
    const timeoutMilliseconds = Math.min(
      route.timeoutMilliseconds,
      call.callerTimeoutMilliseconds ?? Infinity,
    );
    const remainingMilliseconds = timeoutMilliseconds - elapsed();
    if (remainingMilliseconds <= 0) {
      admitted.refund();
      throw createDeadlineRefusal(RAN.NO);
    }
    const { signal, abort, cancel } = createDeadlineSignal(
      reply,
      remainingMilliseconds,
      () => request.sendCount > 0,
    );
    const endUnread = (unreadBytes: number): void => {
      metrics.unreadEnds.add();
      logger.warn('answer ended that its caller reads too slowly', {
        request: call.id,
        unreadBytes,
        heldBytes: memory.heldBytes(),
        milliseconds: Math.round(elapsed()),
      });
      // The answer may be complete and its request at its end already.
      abort(createUnreadRefusal());
      if (reply.hasBegun()) reply.reset();
    };
    let firstByteMilliseconds: number | undefined;
    const relay = openRelay(selectDelivery(route), {
      reply,
      callId: call.id,
      lastEventId: call.lastEventId,
      memory,
      onShortage: buffersUnread ? endUnread : undefined,
      onFirstByte: () => {
        firstByteMilliseconds = Math.round(elapsed());
        metrics.firstByte.record(firstByteMilliseconds);
      },
      mayRetry: () => attemptRunner.mayRetry(request),
    });
    const request: ActiveRequest<SomeCall> = {
      call,
      reply,
      admitted,
      relay,
      signal,
      elapsedMilliseconds: elapsed,
      remainingMilliseconds: () => Math.max(1, timeoutMilliseconds - elapsed()),
      triedServers: new Set(),
      sendCount: 0,
      possibleRunCount: 0,
      requiredVersion: undefined,
      begunAnswer: undefined,
    };
    if (call.requirements) demand.recordRequests(call.requirements.model, 1);
    try {
      const requiredVersion = await findRequiredVersion(call, admitted, signal);
      Object.assign(request, { requiredVersion });
      const state = await attemptRunner.run(request);
      if (request.begunAnswer) crashGuard.recordServed(request, state.entry, request.begunAnswer);
      logger.info('served', {
        request: call.id,
        server: state.entry.id,
        service: admitted.service,
        workspace: admitted.workspace?.name,
        model: call.requirements?.model,
        sends: request.sendCount,
        firstByteMilliseconds,
        configuration: admission.version(),
        milliseconds: Math.round(elapsed()),
      });
    } catch (error) {
      if (isRefusal(error) && error.refusal.ran === RAN.NO) admitted.refund();
      throw error;
    } finally {
      cancel();
      relay.close();
    }
  };

  const handleRequest: RequestHandler<SomeCall> = async (call, reply) => {
    const sinceRead = startStopwatch(clock);
    const elapsed: Stopwatch = () => sinceRead() + (call.waitedMilliseconds ?? 0);
    try {
      const admitted = admit(call);
      metrics.requests.add(1, { route: admitted.route.name });
      await serveAdmitted(call, reply, admitted, elapsed);
      metrics.wholeAnswer.record(elapsed());
    } catch (error) {
      refuse(call, reply, error, elapsed());
    }
  };
  return handleRequest;
}
