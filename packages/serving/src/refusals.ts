/** Creates the refusals that end a request. */
import { createRefusal, errorMessage, RAN, REFUSAL, type Refusal } from '@bulrushspar/errors';
import type { ModelRequirements } from './call.js';
import type { UnknownVersionCause } from './streams.js';
import { WAIT_END, type WaitResult } from './waits.js';

/** Time until a new leader may load models after a change of the leader. */
const NO_LEADER_RETRY_SECONDS = 3;
const MILLISECONDS_PER_SECOND = 1000;
/** Another host can accept the request immediately. */
const STOPPING_RETRY_SECONDS = 0.05;
/** Time in which a server usually gets room for another model: a load and the use of the model. */
const NO_ROOM_RETRY_SECONDS = 1;
const NO_SERVER_RETRY_SECONDS = 0.25;
/** Evacuations last from seconds to hours; callers that come back sooner are refused again. */
const EVACUATED_RETRY_SECONDS = 5;

/** Creates the refusal of a request that no server could run. */
export const createNoCapacityRefusal = (
  status: number,
  message: string,
  retryAfterSeconds?: number,
): Refusal => createRefusal({ status, code: REFUSAL.NO_CAPACITY, message, retryAfterSeconds });

/** Creates the refusal of a request that failed after a server may have run it. */
export const createTargetFailedRefusal = (cause: unknown): Refusal =>
  createRefusal({
    status: 502,
    code: REFUSAL.TARGET_FAILED,
    message: `the request failed after it was sent to a server: ${errorMessage(cause)}`,
    ran: RAN.UNKNOWN,
    cause,
  });

/** Creates the refusal of new requests while this host is stopping. */
export const createStoppingRefusal = (): Refusal =>
  createRefusal({
    status: 503,
    code: REFUSAL.STOPPING,
    message: 'this host is stopping',
    retryAfterSeconds: STOPPING_RETRY_SECONDS,
  });

/** Creates the refusal that ends a request whose caller has disconnected. */
export const createCallerGoneRefusal = (): Refusal =>
  createRefusal({
    status: 499,
    code: REFUSAL.BAD_REQUEST,
    message: 'the caller closed the connection before the answer was complete',
    ran: RAN.UNKNOWN,
  });

/** Creates the refusal that ends an answer whose unread bytes are needed for other callers. */
export const createUnreadRefusal = (): Refusal =>
  createRefusal({
    status: 502,
    code: REFUSAL.ANSWER_CUT,
    message: 'the answer was ended, as its unread bytes were the most that the host held',
    ran: RAN.UNKNOWN,
  });

/** Creates the refusal of a request whose wait for a model ended before the model was ready. */
export const createWaitRefusal = (
  { end, readyMilliseconds }: WaitResult,
  model: string,
): Refusal => {
  if (end === WAIT_END.CALLER_GONE) return createCallerGoneRefusal();
  if (end === WAIT_END.STOPPING) return createStoppingRefusal();
  if (end === WAIT_END.EVACUATED) {
    return createNoCapacityRefusal(
      503,
      `all servers that could load model "${model}" are in evacuated failure domains`,
      EVACUATED_RETRY_SECONDS,
    );
  }
  if (end === WAIT_END.NO_SERVER) {
    return createNoCapacityRefusal(
      503,
      `no server has room to load model "${model}"`,
      NO_ROOM_RETRY_SECONDS,
    );
  }
  if (end === WAIT_END.NO_LEADER || readyMilliseconds === undefined) {
    return createNoCapacityRefusal(
      503,
      `model "${model}" is not loaded and no leader is available to load it`,
      NO_LEADER_RETRY_SECONDS,
    );
  }
  const seconds = readyMilliseconds / MILLISECONDS_PER_SECOND;
  return createNoCapacityRefusal(
    503,
    `model "${model}" will not be ready before the request times out`,
    seconds,
  );
};

/** Creates the refusal of a request whose adapter could not be loaded. */
export const createNoAdapterRefusal = ({ model, adapter }: ModelRequirements): Refusal =>
  createNoCapacityRefusal(
    503,
    `adapter "${adapter}" of model "${model}" could not be loaded on a server`,
    NO_ROOM_RETRY_SECONDS,
  );

/** Creates the refusal of a request whose servers all accept nothing from this host for a time. */
export const createServersClosedRefusal = (service: string, milliseconds: number): Refusal =>
  createNoCapacityRefusal(
    503,
    `all servers of service "${service}" that could run the request have asked for a pause`,
    milliseconds / MILLISECONDS_PER_SECOND,
  );

/** Creates the refusal of a request for which its servers, by their limits, have no time left. */
export const createServersLimitedRefusal = (service: string, milliseconds: number): Refusal =>
  createNoCapacityRefusal(
    503,
    `the servers of service "${service}" that could run the request have limited their requests or are cold`,
    milliseconds / MILLISECONDS_PER_SECOND,
  );

/** Creates the refusal of a stream that must go on at a software version that no server has. */
export const createVersionGoneRefusal = (softwareVersion: string, listed: string): Refusal =>
  createNoCapacityRefusal(
    503,
    `no server of software version "${softwareVersion}", which began the stream, can go on with it; ` +
      `listed versions: "${listed}"`,
    NO_SERVER_RETRY_SECONDS,
  );

/** Creates the refusal of a stream of which this host does not know which version began it. */
export const createVersionUnknownRefusal = (
  cause: UnknownVersionCause,
  { listed, recent }: { readonly listed: string; readonly recent: string },
): Refusal =>
  createNoCapacityRefusal(
    503,
    `it is not known which software version began the stream (${cause}); ` +
      `versions in the last minute: "${recent}", listed: "${listed}"; retry, or begin the request anew`,
    NO_SERVER_RETRY_SECONDS,
  );

/** Creates the refusal of a request whose servers are all in evacuated failure domains. */
export const createServersEvacuatedRefusal = (service: string): Refusal =>
  createNoCapacityRefusal(
    503,
    `all servers of service "${service}" that could run the request are in evacuated failure domains`,
    EVACUATED_RETRY_SECONDS,
  );

/** Creates the refusal of a request that no server of its service accepts. */
export const createNoServerRefusal = (service: string): Refusal =>
  createNoCapacityRefusal(
    503,
    `no server of service "${service}" accepts the request`,
    NO_SERVER_RETRY_SECONDS,
  );

/**
 * Creates the refusal of a request whose prompt alone fills the memory of any server of its service. No
 * later time would be better.
 */
export const createTooManyTokensRefusal = (
  service: string,
  tokens: number,
  cacheTokens: number,
): Refusal =>
  createNoCapacityRefusal(
    503,
    `a prompt of ${tokens} tokens leaves no room for an answer: each server of service "${service}" holds ${cacheTokens}`,
  );
