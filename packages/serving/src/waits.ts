import type { Clock } from '@bulrushspar/clock';
import { MIN_SERVING_MILLISECONDS, type Outlook, type Want } from '@bulrushspar/loading';

/** Reason why a wait for a model ended. */
export const WAIT_END = {
  READY: 'ready',
  /** The model is expected too late to answer the request in time. */
  TOO_LATE: 'too-late',
  /** No server has room for the model. */
  NO_SERVER: 'no-place',
  /** All servers that could load the model are in evacuated failure domains. */
  EVACUATED: 'evacuated',
  /** No leader has reported on the model. */
  NO_LEADER: 'no-commander',
  CALLER_GONE: 'gone',
  /** This host is stopping; another one can wait for the model. */
  STOPPING: 'stopping',
} as const;

/** Outcome of a wait for a model. */
export interface WaitResult {
  readonly end: (typeof WAIT_END)[keyof typeof WAIT_END];
  /** Time until the model is expected to be ready, if known. */
  readonly readyMilliseconds?: number;
}

/** A request that waits for a model. */
export interface ModelWait {
  readonly model: string;
  readonly credit: number;
  /** Remaining time within the route's latency objective. */
  readonly objectiveMilliseconds: number;
  /** Remaining time until the request must be answered. */
  readonly remainingMilliseconds: number;
  readonly signal: AbortSignal;
}

/** Requests of this host that wait for models. */
export interface ModelWaits {
  wait(request: ModelWait): Promise<WaitResult>;
  /** Ends the waits for models that a server now holds. */
  endReadyWaits(isReady: (model: string) => boolean): void;
  /** Ends the waits for models whose servers are all evacuated. */
  endEvacuatedWaits(isEvacuated: (model: string) => boolean): void;
  /** Ends the waits that would last too long according to the leader's outlook. */
  applyOutlook(outlook: readonly Outlook[]): void;
  /** Ends all current and future waits, since this host is stopping. */
  close(): void;
  /** Demand of the waiting requests by model, to be sent to the leader. */
  wants(): readonly Want[];
}

/** Options of {@link createModelWaits}. */
export interface ModelWaitsOptions {
  readonly clock: Clock;
  /** Called when a request waits for a model that no other request waits for. */
  readonly onNewModel?: () => void;
  /** Time without an outlook for a model after which its requests are refused. */
  readonly outlookTimeoutMilliseconds?: number;
  /** Time for which the leader may plan no load of a model before its requests are refused. */
  readonly unplannedTimeoutMilliseconds?: number;
  /** Random number from 0 to 1; if present, the times told to refused callers are spread. */
  readonly random?: () => number;
}

/** Part of the time until a model is ready over which the return of refused callers is spread. */
const RETURN_SPREAD_FACTOR = 0.1;
/** Least spread, in milliseconds: the interval in which hosts learn that the model is ready. */
const MIN_RETURN_SPREAD_MILLISECONDS = 300;

interface Waiter {
  readonly request: ModelWait;
  readonly since: number;
  readonly settle: (result: WaitResult) => void;
}

/** Creates the model waits of one host. */
export function createModelWaits(options: ModelWaitsOptions): ModelWaits {
  const { clock, onNewModel = () => {}, outlookTimeoutMilliseconds = 1500 } = options;
  const { unplannedTimeoutMilliseconds = 400, random } = options;
  const waiters = new Map<string, Set<Waiter>>();
  /** Time of the last outlook for a model, or of the first wait for it if there was none since. */
  const lastOutlookAt = new Map<string, number>();

  /** Time since which the leader's outlook has no server for a model. */
  const unplannedSince = new Map<string, number>();

  let closed = false;

  const remainingMillisecondsOf = ({ request, since }: Waiter): number =>
    request.remainingMilliseconds - (clock.monotonic() - since);

  const startOutlookTimeout = (model: string): void => {
    clock.after(outlookTimeoutMilliseconds, () => {
      const waiting = waiters.get(model);
      if (!waiting || waiting.size === 0) return;
      const sinceLastOutlook = clock.monotonic() - lastOutlookAt.get(model)!;
      if (sinceLastOutlook >= outlookTimeoutMilliseconds) {
        [...waiting].forEach(({ settle }) => settle({ end: WAIT_END.NO_LEADER }));
      } else startOutlookTimeout(model);
    });
  };

  const wait = (request: ModelWait): Promise<WaitResult> =>
    new Promise((resolve) => {
      if (closed) {
        resolve({ end: WAIT_END.STOPPING });
        return;
      }
      const { model, signal } = request;
      const isNew = !waiters.has(model);
      const waiting = waiters.get(model) ?? new Set<Waiter>();
      waiters.set(model, waiting);
      const onAbort = (): void => waiter.settle({ end: WAIT_END.CALLER_GONE });
      const waiter: Waiter = {
        request,
        since: clock.monotonic(),
        settle: (result) => {
          waiting.delete(waiter);
          if (waiting.size === 0) {
            waiters.delete(model);
            unplannedSince.delete(model);
          }
          signal.removeEventListener('abort', onAbort);
          resolve(result);
        },
      };
      waiting.add(waiter);
      signal.addEventListener('abort', onAbort, { once: true });
      if (!isNew) return;
      lastOutlookAt.set(model, clock.monotonic());
      startOutlookTimeout(model);
      onNewModel();
    });

  /** Adds a random time, so that refused callers do not all return at the same moment. */
  const spreadReturn = (readyMilliseconds: number): number => {
    if (!random) return readyMilliseconds;
    const spread = readyMilliseconds * RETURN_SPREAD_FACTOR;
    return readyMilliseconds + random() * Math.max(MIN_RETURN_SPREAD_MILLISECONDS, spread);
  };

  const endLateWaits = (waiting: ReadonlySet<Waiter>, readyMilliseconds: number): void => {
    [...waiting].forEach((waiter) => {
      if (readyMilliseconds + MIN_SERVING_MILLISECONDS <= remainingMillisecondsOf(waiter)) return;
      waiter.settle({
        end: WAIT_END.TOO_LATE,
        readyMilliseconds: spreadReturn(readyMilliseconds),
      });
    });
  };

  /**
   * Refuses requests for a model that has been missing from the plans for some time. A single plan
   * is not enough, since plans change many times a second.
   */
  const endUnplannedWaits = (model: string, waiting: ReadonlySet<Waiter>): void => {
    const since = unplannedSince.get(model) ?? clock.monotonic();
    unplannedSince.set(model, since);
    if (clock.monotonic() - since < unplannedTimeoutMilliseconds) return;
    unplannedSince.delete(model);
    [...waiting].forEach(({ settle }) => settle({ end: WAIT_END.NO_SERVER }));
  };

  const endWaits = (isEnding: (model: string) => boolean, result: WaitResult): void =>
    [...waiters].forEach(([model, waiting]) => {
      if (isEnding(model)) [...waiting].forEach(({ settle }) => settle(result));
    });

  return {
    wait,
    endReadyWaits: (isReady) => endWaits(isReady, { end: WAIT_END.READY, readyMilliseconds: 0 }),
    endEvacuatedWaits: (isEvacuated) => endWaits(isEvacuated, { end: WAIT_END.EVACUATED }),
    applyOutlook: (outlook) => {
      outlook.forEach(({ model, readyMilliseconds }) => {
        const waiting = waiters.get(model);
        if (!waiting) return;
        lastOutlookAt.set(model, clock.monotonic());
        if (readyMilliseconds === undefined) endUnplannedWaits(model, waiting);
        else {
          unplannedSince.delete(model);
          endLateWaits(waiting, readyMilliseconds);
        }
      });
    },
    close: () => {
      closed = true;
      [...waiters.values()].forEach((waiting) =>
        [...waiting].forEach(({ settle }) => settle({ end: WAIT_END.STOPPING })),
      );
    },
    wants: () =>
      [...waiters].map(([model, waiting]) => {
        const now = clock.monotonic();
        const objectives = [...waiting].map(
          ({ request, since }) => request.objectiveMilliseconds - (now - since),
        );
        return {
          model,
          count: waiting.size,
          credit: [...waiting].reduce((sum, { request }) => sum + request.credit, 0),
          objectiveMilliseconds: Math.min(...objectives),
          remainingMilliseconds: Math.max(...[...waiting].map(remainingMillisecondsOf)),
        };
      }),
  };
}
