/** Lets requests wait for their turn at servers that limit the requests of all hosts. */
import { startStopwatch, type Clock } from '@bulrushspar/clock';
import type { Refusal } from '@bulrushspar/errors';
import type { ActiveRequest } from './attempts.js';
import type { Call } from './call.js';
import type { ServerLimits } from './limits.js';
import type { ServingMetrics } from './metrics.js';
import type { ServerState, ServerStates } from './servers.js';

/** Options of {@link createReservationWait}. */
export interface ReservationWaitOptions<SomeCall extends Call> {
  readonly clock: Clock;
  readonly metrics: ServingMetrics;
  readonly servers: ServerStates;
  readonly limits: ServerLimits;
  /** @returns the longest time that the request waits for the limit of a server */
  readonly getMaxLimitMilliseconds: (request: ActiveRequest<SomeCall>) => number;
}

/** Waits for the reservation of a request to a server. Resolves to false if the wait would be too long. */
export type AwaitReservation<SomeCall extends Call> = (
  request: ActiveRequest<SomeCall>,
  state: ServerState,
) => Promise<boolean>;

/** Creates the wait of one host's requests. */
export function createReservationWait<SomeCall extends Call>(
  options: ReservationWaitOptions<SomeCall>,
): AwaitReservation<SomeCall> {
  const { clock, metrics, servers, limits, getMaxLimitMilliseconds } = options;

  const waitUnlessAborted = (milliseconds: number, signal: AbortSignal): Promise<void> =>
    new Promise((resolve) => {
      const cancel = clock.after(milliseconds, resolve);
      const end = (): void => {
        cancel();
        resolve();
      };
      signal.addEventListener('abort', end, { once: true });
    });

  return async (request, state) => {
    const { entry } = state;
    if (limits.limitOf(entry.id) === undefined) return true;
    const sinceStart = startStopwatch(clock);
    const maxMilliseconds = getMaxLimitMilliseconds(request);
    const { isGranted, delayMilliseconds } = await limits.reserve(entry, maxMilliseconds);
    if (isGranted && delayMilliseconds > 0)
      await waitUnlessAborted(delayMilliseconds, request.signal);
    metrics.limitWait.record(sinceStart());
    if (request.signal.aborted) throw request.signal.reason as Refusal;
    // The place is one of a process that may have ended meanwhile.
    const isCurrent = servers.get(entry.id) === state;
    return isGranted && isCurrent && servers.closedMilliseconds(entry.id) === 0;
  };
}
