/** Refusals on the path of a request. */
import { createRefusal, messageOf, RAN, REFUSAL, type Refusal } from '@bulrushspar/errors';
import type { ModelNeed } from './call.js';
import { WAIT_END, type WaitResult } from './waits.js';

/** Time that a new giver of orders needs until it may load a model. */
const COMMANDER_SECONDS = 3;
const MILLISECONDS_PER_SECOND = 1000;
/** Another host takes the request at once. */
const STOPPING_SECONDS = 0.05;
/** Time in which a server usually has room for another model: a load and its use. */
const NO_PLACE_SECONDS = 1;
const NO_CAPACITY_SECONDS = 0.25;

/** Refusal of a request that has not run, for want of a server. */
export const notRun = (status: number, message: string, retryAfterSeconds?: number): Refusal =>
  createRefusal({ status, code: REFUSAL.NO_CAPACITY, message, retryAfterSeconds });

/** Refusal of a request that a server may have run. */
export const failedAfterSending = (cause: unknown): Refusal =>
  createRefusal({
    status: 502,
    code: REFUSAL.TARGET_FAILED,
    message: `the server failed: ${messageOf(cause)}`,
    ran: RAN.UNKNOWN,
    cause,
  });

/** Refusal of a request by a host that stops. */
export const stoppingRefusal = (): Refusal =>
  createRefusal({
    status: 503,
    code: REFUSAL.STOPPING,
    message: 'this host is stopping',
    retryAfterSeconds: STOPPING_SECONDS,
  });

/** End of a request whose caller is gone. */
export const callerGone = (): Refusal =>
  createRefusal({
    status: 499,
    code: REFUSAL.BAD_REQUEST,
    message: 'the caller has closed the connection',
    ran: RAN.UNKNOWN,
  });

/** Refusal of a request whose wait for a model has ended. */
export const refuseWait = ({ end, readyMilliseconds }: WaitResult, model: string): Refusal => {
  if (end === WAIT_END.GONE) return callerGone();
  if (end === WAIT_END.STOPPING) return stoppingRefusal();
  if (end === WAIT_END.NO_PLACE) {
    return notRun(503, `no server has room for model "${model}" now`, NO_PLACE_SECONDS);
  }
  if (end === WAIT_END.NO_COMMANDER || readyMilliseconds === undefined) {
    return notRun(503, `nobody loads model "${model}" now`, COMMANDER_SECONDS);
  }
  const seconds = readyMilliseconds / MILLISECONDS_PER_SECOND;
  return notRun(503, `model "${model}" will not be loaded in time`, seconds);
};

/** Refusal of a request whose adapter no server has. */
export const noAdapter = ({ model, adapter }: ModelNeed): Refusal =>
  notRun(503, `adapter "${adapter}" of "${model}" is not loaded`, NO_PLACE_SECONDS);

/** Refusal of a request that no server of its service takes. */
export const noServer = (service: string): Refusal =>
  notRun(503, `no server of "${service}" takes the request`, NO_CAPACITY_SECONDS);
