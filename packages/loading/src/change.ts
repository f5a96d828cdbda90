/** Replaces the models on a server, one order after another. */
import type { EngineProfile } from '@bulrushspar/catalogue';
import type { Clock } from '@bulrushspar/clock';
import { errorMessage } from '@bulrushspar/errors';
import type { Logger } from '@bulrushspar/logging';
import { completePendingOrder, applyReport, type ColdLoad, type ServerState } from './book.js';
import {
  ORDER_OPERATION,
  ORDER_OUTCOME,
  type EngineControl,
  type OrderOutcome,
  type OrderRequest,
} from './engine.js';
import type { SendOrder } from './issue.js';

/** Replaces models on servers. */
export interface ModelReplacer {
  /**
   * Unloads the victims in the given order, then loads the model.
   * @returns whether the server accepted the order to load the model, or already holds it
   */
  replace(state: ServerState, victims: readonly string[], model: string): Promise<boolean>;
  /** Takes over a load from the weight store that a server executes for an earlier leader. */
  adopt(state: ServerState, load: ColdLoad): void;
}

/** Options of {@link createModelReplacer}. */
export interface ModelReplacerOptions {
  readonly clock: Clock;
  readonly control: EngineControl;
  readonly logger: Logger;
  readonly sendOrder: SendOrder;
  readonly profile: (service: string) => EngineProfile | undefined;
  /** Returns whether this host still holds the lease for orders. */
  readonly holdsLease: () => boolean;
  /** Called before the order to unload a model is sent. */
  readonly onUnloading: (server: string, model: string) => void;
  /** Called when a report that was requested for an overdue load shows that it is finished. */
  readonly onLoadFinished: () => void;
}

/** Delays between attempts while an unload is in progress, which waits for running requests. */
const BUSY_RETRY_DELAYS_MILLISECONDS = [30, 30, 60, 120, 240, 480, 960] as const;
/** Duration of an unload without running requests. */
const UNLOAD_MILLISECONDS = 45;
/** Time for the announcement of an unload to reach the other hosts before the order is sent. */
const UNLOAD_ANNOUNCEMENT_MILLISECONDS = 4;
/** Time past the expected end of a load after which the server's report is requested. */
const LOAD_OVERDUE_MILLISECONDS = 400;

/**
 * Estimates how long a server takes to load a model. That depends on its nearest copy of the
 * weights: main memory, disk, or the weight store (a cold load).
 */
export function estimateLoad(
  entry: { readonly inMemory: readonly string[]; readonly onDisk: readonly string[] },
  profile: EngineProfile,
  name: string,
): { readonly milliseconds: number; readonly cold: boolean } {
  const model = profile.models.get(name);
  if (!model) return { milliseconds: 0, cold: false };
  if (entry.inMemory.includes(name)) return { milliseconds: model.memoryMilliseconds, cold: false };
  if (entry.onDisk.includes(name)) return { milliseconds: model.diskMilliseconds, cold: false };
  return { milliseconds: model.coldMilliseconds, cold: true };
}

/** Creates the model replacer of one host. */
export function createModelReplacer(options: ModelReplacerOptions): ModelReplacer {
  const { clock, control, logger, sendOrder, profile, holdsLease, onUnloading, onLoadFinished } =
    options;

  /** Requests reports of a server whose load is overdue until they show that it is finished. */
  const pollOverdueLoad = (state: ServerState, expectedMilliseconds: number): void => {
    const { pendingOrder } = state;
    clock.after(expectedMilliseconds + LOAD_OVERDUE_MILLISECONDS, () => {
      if (state.pendingOrder !== pendingOrder || !holdsLease()) return;
      if (state.entry.evacuated) {
        pollOverdueLoad(state, LOAD_OVERDUE_MILLISECONDS);
        return;
      }
      control
        .report(state.entry)
        .then((report) => applyReport(state, report, clock))
        .catch((error: unknown) =>
          logger.warn('report of server unavailable', {
            server: state.entry.id,
            error: errorMessage(error),
          }),
        )
        .finally(() => {
          if (state.pendingOrder === pendingOrder)
            pollOverdueLoad(state, LOAD_OVERDUE_MILLISECONDS);
          else onLoadFinished();
        });
    });
  };

  /**
   * Records an accepted order as pending. A server executes one order at a time, so that the order
   * before it is complete.
   */
  const recordAcceptedOrder = (state: ServerState, request: OrderRequest): void => {
    const updated = state;
    const engine = profile(state.entry.service)!;
    completePendingOrder(updated, clock);
    const isLoad = request.operation === ORDER_OPERATION.LOAD;
    const estimate = estimateLoad(state.entry, engine, request.model);
    const expectedMilliseconds = isLoad ? estimate.milliseconds : 0;
    updated.pendingOrder = {
      request,
      startedAt: clock.monotonic(),
      expectedMilliseconds,
      isCold: isLoad && estimate.cold,
    };
    if (isLoad) pollOverdueLoad(updated, expectedMilliseconds);
  };

  /** Sends an order and retries it while the preceding unload is still in progress. */
  const sendWhenIdle = async (state: ServerState, request: OrderRequest): Promise<boolean> => {
    const isLoad = request.operation === ORDER_OPERATION.LOAD;
    const initialDelay = state.pendingOrder ? UNLOAD_MILLISECONDS : 0;
    for (const delayMilliseconds of [initialDelay, ...BUSY_RETRY_DELAYS_MILLISECONDS]) {
      // eslint-disable-next-line no-await-in-loop -- attempts are sequential
      if (delayMilliseconds > 0) await clock.delay(delayMilliseconds);
      // eslint-disable-next-line no-await-in-loop -- attempts are sequential
      const outcome: OrderOutcome = await sendOrder(state, request);
      if (outcome === ORDER_OUTCOME.ACCEPTED) {
        recordAcceptedOrder(state, request);
        return true;
      }
      if (outcome === ORDER_OUTCOME.HOLDS) {
        completePendingOrder(state, clock);
        if (isLoad) state.models.set(request.model, new Set());
        else state.models.delete(request.model);
        return true;
      }
      if (outcome !== ORDER_OUTCOME.CONFLICT || !state.pendingOrder) return false;
    }
    return false;
  };

  const unload = async (state: ServerState, model: string): Promise<boolean> => {
    onUnloading(state.entry.id, model);
    await clock.delay(UNLOAD_ANNOUNCEMENT_MILLISECONDS);
    return sendWhenIdle(state, { operation: ORDER_OPERATION.UNLOAD, model });
  };

  return {
    replace: async (state, victims, model) => {
      for (const victim of victims) {
        // eslint-disable-next-line no-await-in-loop -- a server executes one order at a time
        if (!(await unload(state, victim))) return false;
      }
      return sendWhenIdle(state, { operation: ORDER_OPERATION.LOAD, model });
    },
    adopt: (state, { model, milliseconds }) => {
      const found = profile(state.entry.service)?.models.get(model);
      if (!found || state.models.has(model)) return;
      const updated = state;
      updated.pendingOrder = {
        request: { operation: ORDER_OPERATION.LOAD, model },
        startedAt: clock.monotonic() - milliseconds,
        expectedMilliseconds: found.coldMilliseconds,
        isCold: true,
        isInherited: true,
      };
      pollOverdueLoad(updated, Math.max(0, found.coldMilliseconds - milliseconds));
    },
  };
}
