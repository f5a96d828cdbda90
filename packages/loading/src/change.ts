/** Carries out changes of what a server holds, one order after another. */
import type { EngineProfile } from '@bulrushspar/catalogue';
import type { Clock } from '@bulrushspar/clock';
import { messageOf } from '@bulrushspar/errors';
import type { Logger } from '@bulrushspar/logging';
import { finishOrder, takeReport, type ServerBook } from './book.js';
import {
  OPERATION,
  ORDER_OUTCOME,
  type EngineControl,
  type OrderOutcome,
  type OrderRequest,
} from './engine.js';
import type { Issue } from './issue.js';

/** Changes which models a server holds. */
export interface Changer {
  /**
   * Unloads the victims, then loads the model.
   * @returns whether the server has accepted the load
   */
  replace(book: ServerBook, victims: readonly string[], model: string): Promise<boolean>;
}

/** Options of {@link createChanger}. */
export interface ChangerOptions {
  readonly clock: Clock;
  readonly control: EngineControl;
  readonly logger: Logger;
  readonly issue: Issue;
  readonly profile: (service: string) => EngineProfile | undefined;
  /** Tells whether this host still gives the orders. */
  readonly mayOrder: () => boolean;
  /** Called before a server is told to unload a model. */
  readonly onUnloading: (server: string, model: string) => void;
  /** Called when a load is done. */
  readonly onDone: () => void;
}

/** Pauses between tries of an order while an unload is under way, which waits for its requests. */
const BUSY_RETRY_MILLISECONDS = [30, 30, 60, 120, 240, 480, 960] as const;
/** Time that an unload without running requests takes. */
const UNLOAD_MILLISECONDS = 45;
/** Time in which the other hosts learn of an unload before the server does. */
const ANNOUNCE_MILLISECONDS = 4;
/** Time beyond the expected one after which a server is asked whether a load is done. */
const OVERDUE_MILLISECONDS = 400;

/** Time that a server needs for a load, by where its nearest copy of the model is. */
export function loadTime(
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

/** Creates the changer of one host. */
export function createChanger(options: ChangerOptions): Changer {
  const { clock, control, logger, issue, profile, mayOrder, onUnloading, onDone } = options;

  /** Asks a server about a load that it should have reported by now. */
  const watchLoad = (book: ServerBook, expected: number): void => {
    const { underWay } = book;
    clock.after(expected + OVERDUE_MILLISECONDS, () => {
      if (book.underWay !== underWay || !mayOrder()) return;
      control
        .report(book.entry)
        .then((report) => takeReport(book, report, clock))
        .catch((error: unknown) =>
          logger.warn('server gave no report', { server: book.entry.id, error: messageOf(error) }),
        )
        .finally(() => {
          if (book.underWay === underWay) watchLoad(book, OVERDUE_MILLISECONDS);
          else onDone();
        });
    });
  };

  /** Notes an order that the server carries out now; those before it are done. */
  const begin = (book: ServerBook, request: OrderRequest): void => {
    const opened = book;
    const engine = profile(book.entry.service)!;
    finishOrder(opened, clock);
    const loads = request.operation === OPERATION.LOAD;
    const expected = loads ? loadTime(book.entry, engine, request.model).milliseconds : 0;
    opened.underWay = {
      order: request,
      begunAt: clock.monotonic(),
      expectedMilliseconds: expected,
    };
    if (loads) watchLoad(opened, expected);
  };

  /** Sends an order until the unload before it is done. */
  const issueWhenIdle = async (book: ServerBook, request: OrderRequest): Promise<boolean> => {
    const loads = request.operation === OPERATION.LOAD;
    const first = book.underWay ? UNLOAD_MILLISECONDS : 0;
    for (const pause of [first, ...BUSY_RETRY_MILLISECONDS]) {
      // eslint-disable-next-line no-await-in-loop -- one try after another
      if (pause > 0) await clock.delay(pause);
      // eslint-disable-next-line no-await-in-loop -- one try after another
      const outcome: OrderOutcome = await issue(book, request);
      if (outcome === ORDER_OUTCOME.ACCEPTED) {
        begin(book, request);
        return true;
      }
      if (outcome === ORDER_OUTCOME.HOLDS) {
        finishOrder(book, clock);
        if (loads) book.models.set(request.model, new Set());
        else book.models.delete(request.model);
        return true;
      }
      if (outcome !== ORDER_OUTCOME.CONFLICT || !book.underWay) return false;
    }
    return false;
  };

  const unload = async (book: ServerBook, model: string): Promise<boolean> => {
    onUnloading(book.entry.id, model);
    await clock.delay(ANNOUNCE_MILLISECONDS);
    return issueWhenIdle(book, { operation: OPERATION.UNLOAD, model });
  };

  return {
    replace: async (book, victims, model) => {
      for (const victim of victims) {
        // eslint-disable-next-line no-await-in-loop -- a server carries out one order at a time
        if (!(await unload(book, victim))) return false;
      }
      return issueWhenIdle(book, { operation: OPERATION.LOAD, model });
    },
  };
}
