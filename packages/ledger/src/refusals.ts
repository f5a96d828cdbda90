import { createRefusal, RAN, REFUSAL, type Refusal } from '@bulrushspar/errors';

/** Refusal for a call of which an earlier attempt was sent with unknown outcome. */
export const createMayHaveRunRefusal = (message: string): Refusal =>
  createRefusal({ status: 409, code: REFUSAL.MAY_HAVE_RUN, message, ran: RAN.UNKNOWN });

/** Refusal for an unexpected failure of the sending, after which the call may have run. */
export const createInternalRefusal = (cause: unknown): Refusal =>
  createRefusal({
    status: 500,
    code: REFUSAL.INTERNAL,
    message: 'the call failed with an unexpected error and may have run',
    ran: RAN.UNKNOWN,
    cause,
  });

/** Refusal for a call that was not sent because its intent could not be recorded in time. */
export const createStoreUnavailableRefusal = (cause?: unknown): Refusal =>
  createRefusal({
    status: 503,
    code: REFUSAL.STORE_UNAVAILABLE,
    message: 'the call could not be recorded, so it was not sent',
    retryAfterSeconds: 2,
    cause,
  });

/** Refusal for an idempotency key that was used with a different request. */
export const createKeyReusedRefusal = (): Refusal =>
  createRefusal({
    status: 422,
    code: REFUSAL.IDEMPOTENCY_KEY_REUSED,
    message: 'the idempotency key was already used with a different request',
  });
