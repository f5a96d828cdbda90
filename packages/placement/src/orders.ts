import { startStopwatch, type Clock } from '@bulrushspar/clock';
import type { EngineOrder, ServerView, TargetRegistry } from '@bulrushspar/targets';

/** Maximum time between the check that an order is still valid and its sending, in milliseconds. */
const MAX_CHECK_AGE_MILLISECONDS = 1000;
/** Maximum time for which an abandoned order can still be in flight, in milliseconds. */
const MAX_IN_FLIGHT_MILLISECONDS = 2000;
/** Interval after which an order is resent to an engine that has not acted on it, in milliseconds. */
const RESEND_INTERVAL_MILLISECONDS = 2000;

/** Time after which no order of a withdrawn decision can still reach an engine, in milliseconds. */
export const STALE_ORDER_WINDOW_MILLISECONDS =
  MAX_CHECK_AGE_MILLISECONDS + MAX_IN_FLIGHT_MILLISECONDS + 1000;

/** An order to an engine, and the conditions that control its sending. */
export interface OrderTask {
  readonly server: ServerView;
  readonly order: EngineOrder;
  /** Returns whether the server's latest report shows the result of the order. */
  readonly isDone: (server: ServerView) => boolean;
  /** Returns whether the server's latest report shows that the engine is executing the order. */
  readonly isInProgress: (server: ServerView) => boolean;
  /** Confirms that the order is still valid; called right before each sending. */
  readonly isStillValid: () => Promise<boolean>;
}

/** Sends an order until the engine has executed it; resolves with whether it has. */
export type OrderExecutor = (task: OrderTask) => Promise<boolean>;

/** Options of {@link createOrderExecutor}. */
export interface OrderExecutorOptions {
  readonly clock: Clock;
  readonly registry: TargetRegistry;
  /** Time after which an order is abandoned, in milliseconds. */
  readonly timeoutMilliseconds: number;
  /** Pause between polls of the server's state, in milliseconds. */
  readonly pollMilliseconds: number;
}

/** Creates an order executor that tolerates lost, duplicated and delayed orders. */
export function createOrderExecutor(options: OrderExecutorOptions): OrderExecutor {
  const { clock, registry, timeoutMilliseconds, pollMilliseconds } = options;

  /** @returns whether the order was still valid */
  const sendIfValid = async (task: OrderTask): Promise<boolean> => {
    const sinceCheck = startStopwatch(clock);
    if (!(await task.isStillValid())) return false;
    // If the process was paused during the check, its result may be outdated, so it is repeated.
    if (sinceCheck() > MAX_CHECK_AGE_MILLISECONDS) return sendIfValid(task);
    await task.server.engine.order(task.order).catch(() => undefined);
    return true;
  };

  return async (task) => {
    const elapsed = startStopwatch(clock);
    let sinceSent = startStopwatch(clock);
    let sent = false;
    while (elapsed() < timeoutMilliseconds) {
      /* eslint-disable no-await-in-loop -- polls of one server are sequential */
      await registry.refresh(task.server);
      if (task.isDone(task.server)) return true;
      const shouldSend =
        !sent || (!task.isInProgress(task.server) && sinceSent() >= RESEND_INTERVAL_MILLISECONDS);
      if (shouldSend) {
        sinceSent = startStopwatch(clock);
        sent = true;
        if (!(await sendIfValid(task))) return false;
      }
      await clock.delay(pollMilliseconds);
      /* eslint-enable no-await-in-loop */
    }
    return false;
  };
}
