import type { Clock } from '@bulrushspar/clock';
import type { Outlook, Want } from '@bulrushspar/loading';

/** Why a wait for a model ended. */
export const WAIT_END = {
  READY: 'ready',
  /** The model will not be ready in time. */
  TOO_LATE: 'too-late',
  /** No server can take the model now. */
  NO_PLACE: 'no-place',
  /** Nobody gives orders to servers now. */
  NO_COMMANDER: 'no-commander',
  GONE: 'gone',
  /** This host stops; another one can wait for the model. */
  STOPPING: 'stopping',
} as const;

/** Result of a wait for a model. */
export interface WaitResult {
  readonly end: (typeof WAIT_END)[keyof typeof WAIT_END];
  /** When the model is expected, in milliseconds from now, where that is known. */
  readonly readyMilliseconds?: number;
}

/** A request that waits for a model. */
export interface ModelWait {
  readonly model: string;
  readonly credit: number;
  /** Time left until the request is no longer served in time. */
  readonly objectiveMilliseconds: number;
  /** Time left until the request must be answered. */
  readonly remainingMilliseconds: number;
  readonly signal: AbortSignal;
}

/** Requests of this host that wait for models. */
export interface ModelWaits {
  wait(request: ModelWait): Promise<WaitResult>;
  /** Ends the waits for models that are on a server now. */
  noteReady(isReady: (model: string) => boolean): void;
  /** Ends the waits that the giver of orders says would last too long. */
  noteOutlook(outlook: readonly Outlook[]): void;
  /** Ends all waits, those to come too: this host stops. */
  close(): void;
  /** What is waited for, for the giver of orders. */
  wants(): readonly Want[];
}

/** Options of {@link createModelWaits}. */
export interface ModelWaitsOptions {
  readonly clock: Clock;
  /** Called when a model is waited for that was not before. */
  readonly onWant?: () => void;
  /** Time without any word about a model after which its requests are refused, in milliseconds. */
  readonly silenceMilliseconds?: number;
  /** Time for which a model may be in no plan before its requests are refused, in milliseconds. */
  readonly unplannedMilliseconds?: number;
}

/** Time that serving takes once the model is ready; a wait must leave at least this. */
const SERVING_MILLISECONDS = 800;

interface Waiter {
  readonly request: ModelWait;
  readonly since: number;
  readonly settle: (result: WaitResult) => void;
}

/** Creates the waits of one host. */
export function createModelWaits(options: ModelWaitsOptions): ModelWaits {
  const { clock, onWant = () => {}, silenceMilliseconds = 1500 } = options;
  const { unplannedMilliseconds = 400 } = options;
  const waiters = new Map<string, Set<Waiter>>();
  /** When something was last heard about a model, or it was first waited for. */
  const heardAt = new Map<string, number>();

  /** Since when no server could take a model, as the giver of orders says. */
  const unplannedSince = new Map<string, number>();

  let closed = false;

  const leftOf = ({ request, since }: Waiter): number =>
    request.remainingMilliseconds - (clock.monotonic() - since);

  const watchSilence = (model: string): void => {
    clock.after(silenceMilliseconds, () => {
      const waiting = waiters.get(model);
      if (!waiting || waiting.size === 0) return;
      const silent = clock.monotonic() - heardAt.get(model)!;
      if (silent >= silenceMilliseconds) {
        [...waiting].forEach(({ settle }) => settle({ end: WAIT_END.NO_COMMANDER }));
      } else watchSilence(model);
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
      const onGone = (): void => waiter.settle({ end: WAIT_END.GONE });
      const waiter: Waiter = {
        request,
        since: clock.monotonic(),
        settle: (result) => {
          waiting.delete(waiter);
          if (waiting.size === 0) waiters.delete(model);
          signal.removeEventListener('abort', onGone);
          resolve(result);
        },
      };
      waiting.add(waiter);
      signal.addEventListener('abort', onGone, { once: true });
      if (!isNew) return;
      heardAt.set(model, clock.monotonic());
      watchSilence(model);
      onWant();
    });

  const noteReadyAt = (waiting: ReadonlySet<Waiter>, readyMilliseconds: number): void => {
    [...waiting].forEach((waiter) => {
      if (readyMilliseconds + SERVING_MILLISECONDS <= leftOf(waiter)) return;
      waiter.settle({ end: WAIT_END.TOO_LATE, readyMilliseconds });
    });
  };

  /** Plans change many times a second: a model that is in none of them for longer has no place. */
  const noteUnplanned = (model: string, waiting: ReadonlySet<Waiter>): void => {
    const since = unplannedSince.get(model) ?? clock.monotonic();
    unplannedSince.set(model, since);
    if (clock.monotonic() - since < unplannedMilliseconds) return;
    unplannedSince.delete(model);
    [...waiting].forEach(({ settle }) => settle({ end: WAIT_END.NO_PLACE }));
  };

  return {
    wait,
    noteReady: (isReady) => {
      [...waiters].forEach(([model, waiting]) => {
        if (!isReady(model)) return;
        [...waiting].forEach(({ settle }) => settle({ end: WAIT_END.READY, readyMilliseconds: 0 }));
      });
    },
    noteOutlook: (outlook) => {
      outlook.forEach(({ model, readyMilliseconds }) => {
        const waiting = waiters.get(model);
        if (!waiting) return;
        heardAt.set(model, clock.monotonic());
        if (readyMilliseconds === undefined) noteUnplanned(model, waiting);
        else {
          unplannedSince.delete(model);
          noteReadyAt(waiting, readyMilliseconds);
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
        };
      }),
  };
}
