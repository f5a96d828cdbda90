/** The path of one request from its arrival to its end. */
import { ROUTE_KIND, type Route } from '@bulrushspar/catalogue';
import { startStopwatch, type Stopwatch } from '@bulrushspar/clock';
import { createRefusal, isRefusal, RAN, REFUSAL, type Refusal } from '@bulrushspar/errors';
import type { Demand } from '@bulrushspar/loading';
import type { Admission, Admitted } from './admit.js';
import { DELIVERY, openRelay, type Delivery } from './answer.js';
import { createAttempts, type AttemptsOptions, type Work } from './attempts.js';
import { callerGone, failedAfterSending } from './refusals.js';
import type { Call, Reply } from './call.js';

/** Serves one request; never rejects. */
export type Serve<SomeCall extends Call> = (call: SomeCall, reply: Reply) => Promise<void>;

/** Options of {@link createServe}. */
export interface ServeOptions<SomeCall extends Call> extends AttemptsOptions<SomeCall> {
  readonly admission: Admission;
  readonly demand: Demand;
  /** Refusal of all new work, while this host stops. */
  readonly closed: () => Refusal | undefined;
}

/** Crashes of servers under one request after which it is refused. */
const MOST_CRASHES = 3;
const MILLISECONDS_PER_SECOND = 1000;

const deadlinePassed = (): Refusal =>
  createRefusal({
    status: 504,
    code: REFUSAL.DEADLINE,
    message: 'the time for the request has passed',
    ran: RAN.UNKNOWN,
  });

const deliveryOf = ({ kind, resumable }: Route): Delivery => {
  if (kind !== ROUTE_KIND.STREAM) return DELIVERY.WHOLE;
  return resumable ? DELIVERY.RESUMABLE : DELIVERY.STREAM;
};

/** Creates the path of requests of one host. */
export function createServe<SomeCall extends Call>(
  options: ServeOptions<SomeCall>,
): Serve<SomeCall> {
  const { clock, logger, metrics, admission, demand, suspects, closed } = options;
  const attempts = createAttempts(options);

  const refuse = (call: SomeCall, reply: Reply, error: unknown, milliseconds: number): void => {
    const { refusal, message } = isRefusal(error) ? error : failedAfterSending(error);
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
    if (reply.begun()) reply.breakOff();
    else {
      const { retryAfterSeconds } = refusal;
      const wait =
        retryAfterSeconds === undefined ? undefined : retryAfterSeconds * MILLISECONDS_PER_SECOND;
      reply.refuse(refusal.status, message, wait);
    }
  };

  const admit = (call: SomeCall): Admitted => {
    const refusal = closed();
    if (refusal) throw refusal;
    if (!suspects.isEmpty() && suspects.crashes(call.fingerprint()) >= MOST_CRASHES) {
      throw createRefusal({
        status: 503,
        code: REFUSAL.CRASHES_SERVERS,
        message: 'servers have crashed under this request',
      });
    }
    return admission.admit(call);
  };

  /** A connection may break for other reasons than a crash: whatever is served crashes no server. */
  const clearSuspicion = (call: SomeCall): void => {
    if (suspects.isEmpty()) return;
    const fingerprint = call.fingerprint();
    if (suspects.crashes(fingerprint) > 0) suspects.clear(fingerprint);
  };

  /** Ends the work for a request when its time is over or its caller gone. */
  const limit = (reply: Reply, milliseconds: number) => {
    const controller = new AbortController();
    const cancel = clock.after(milliseconds, () => controller.abort(deadlinePassed()));
    const onGone = (): void => controller.abort(callerGone());
    reply.gone.addEventListener('abort', onGone, { once: true });
    if (reply.gone.aborted) onGone();
    return { signal: controller.signal, cancel };
  };

  const serveAdmitted = async (
    call: SomeCall,
    reply: Reply,
    admitted: Admitted,
    age: Stopwatch,
  ): Promise<void> => {
    const { route } = admitted;
    const allowed = Math.min(route.timeoutMilliseconds, call.patienceMilliseconds ?? Infinity);
    const { signal, cancel } = limit(reply, allowed);
    let firstByteMilliseconds: number | undefined;
    const relay = openRelay(deliveryOf(route), {
      reply,
      callId: call.id,
      lastEventId: call.lastEventId,
      onFirst: () => {
        firstByteMilliseconds = Math.round(age());
        metrics.firstByte.record(firstByteMilliseconds);
      },
      mayRepeat: () => attempts.mayRunAgain(work),
    });
    const work: Work<SomeCall> = {
      call,
      reply,
      admitted,
      relay,
      signal,
      ageMilliseconds: age,
      remainingMilliseconds: () => Math.max(1, allowed - age()),
      tried: new Set(),
      sends: 0,
      runs: 0,
    };
    if (call.need) demand.note(call.need.model, 1);
    try {
      const state = await attempts.run(work);
      clearSuspicion(call);
      logger.info('served', {
        request: call.id,
        server: state.entry.id,
        service: admitted.service,
        workspace: admitted.workspace?.name,
        model: call.need?.model,
        sends: work.sends,
        firstByteMilliseconds,
        configuration: admission.version(),
        milliseconds: Math.round(age()),
      });
    } catch (error) {
      if (isRefusal(error) && error.refusal.ran === RAN.NO) admitted.refund();
      throw error;
    } finally {
      cancel();
    }
  };

  const serve: Serve<SomeCall> = async (call, reply) => {
    const age = startStopwatch(clock);
    try {
      const admitted = admit(call);
      metrics.requests.add(1, { route: admitted.route.name });
      await serveAdmitted(call, reply, admitted, age);
      metrics.whole.record(age());
    } catch (error) {
      refuse(call, reply, error, age());
    }
  };
  return serve;
}
