import type { EngineProfile } from '@bulrushspar/catalogue';
import type { Clock } from '@bulrushspar/clock';
import { messageOf } from '@bulrushspar/errors';
import type { Logger } from '@bulrushspar/logging';
import { takeReport, usedMegabytes, type ServerBook } from './book.js';
import {
  OPERATION,
  ORDER_OUTCOME,
  type EngineControl,
  type OrderOutcome,
  type OrderRequest,
} from './engine.js';

/** Options of {@link createIssuer}. */
export interface IssuerOptions {
  readonly clock: Clock;
  readonly control: EngineControl;
  readonly logger: Logger;
  /** Names this host to the servers. */
  readonly holder: string;
  /** Fencing number if this host may give a server an order at this very moment. */
  readonly fencing: (server: string) => number | undefined;
  readonly profile: (service: string) => EngineProfile | undefined;
}

/** Sends orders to one server one after another. */
export type Issue = (book: ServerBook, request: OrderRequest) => Promise<OrderOutcome>;

/** Pause after a conflict; reports lag by some hundred milliseconds. */
const CONFLICT_MILLISECONDS = 300;
/** Pause after an order without an answer. */
const UNKNOWN_MILLISECONDS = 250;
/** Pause after a server has rejected an order. */
const REJECTED_MILLISECONDS = 1000;

/**
 * Tells whether a server has room for what an order loads. Memory of a model whose unload is under
 * way counts as free: the server takes the next order only once that is done.
 */
export function hasRoom(book: ServerBook, profile: EngineProfile, request: OrderRequest): boolean {
  const { underWay } = book;
  if (underWay?.order.operation !== OPERATION.UNLOAD) return fits(book, profile, request);
  const models = new Map(book.models);
  models.delete(underWay.order.model);
  return fits({ ...book, models }, profile, request);
}

function fits(book: ServerBook, profile: EngineProfile, request: OrderRequest): boolean {
  const model = profile.models.get(request.model);
  if (!model) return false;
  const used = usedMegabytes(book, profile);
  if (request.adapter === undefined) return used + model.megabytes <= profile.weightsMegabytes;
  const adapters = [...book.models.values()].reduce((sum, held) => sum + held.size, 0);
  const doubtful = book.doubtful.filter(({ adapter }) => adapter !== undefined).length;
  return (
    adapters + doubtful < profile.adapterSlots &&
    used + model.adapterMegabytes <= profile.weightsMegabytes
  );
}

/** Sender of orders of one host. */
export interface Issuer {
  readonly issue: Issue;
  /** Asks a server what it holds if that is not known; once at a time. */
  learn(book: ServerBook): void;
}

/** Creates the sender of orders of one host. */
export function createIssuer(options: IssuerOptions): Issuer {
  const { clock, control, logger, holder, fencing, profile } = options;
  const queues = new Map<string, Promise<unknown>>();
  const learning = new Set<ServerBook>();

  const readReport = async (book: ServerBook): Promise<void> => {
    try {
      takeReport(book, await control.report(book.entry), clock);
    } catch (error) {
      logger.warn('server gave no report', { server: book.entry.id, error: messageOf(error) });
    }
  };

  const pauseOrders = (book: ServerBook, milliseconds: number): void => {
    Object.assign(book, { notBefore: clock.monotonic() + milliseconds });
  };

  const note = (book: ServerBook, request: OrderRequest, outcome: OrderOutcome): void => {
    const { operation, model, adapter } = request;
    const opened = book;
    const loads = operation === OPERATION.LOAD;
    if (outcome === ORDER_OUTCOME.UNKNOWN) {
      if (loads) opened.doubtful.push({ model, ...(adapter === undefined ? {} : { adapter }) });
      pauseOrders(opened, UNKNOWN_MILLISECONDS);
      return;
    }
    if (outcome === ORDER_OUTCOME.REJECTED) {
      opened.sequence = undefined;
      pauseOrders(opened, REJECTED_MILLISECONDS);
      return;
    }
    // A server answers 200 both to an order that already holds and to the unload of an idle adapter.
    const counted = outcome === ORDER_OUTCOME.ACCEPTED || (!loads && adapter !== undefined);
    if (counted && opened.sequence !== undefined) {
      opened.sequence += 1;
      opened.countedAt = clock.monotonic();
      // Orders without an answer expected the sequence that this one has used.
      opened.doubtful = [];
    }
    if (adapter === undefined) return;
    const held = opened.models.get(model);
    if (loads) held?.add(adapter);
    else held?.delete(adapter);
  };

  const send = async (book: ServerBook, request: OrderRequest): Promise<OrderOutcome> => {
    if (book.sequence === undefined) await readReport(book);
    const token = fencing(book.entry.id);
    if (token === undefined || book.sequence === undefined) return ORDER_OUTCOME.REJECTED;
    const engine = profile(book.entry.service);
    const loads = request.operation === OPERATION.LOAD;
    if (loads && (!engine || !hasRoom(book, engine, request))) {
      const held = [...book.models.keys()].join(' ');
      const { id: server } = book.entry;
      logger.info('order not sent', { server, ...request, held, why: 'no room' });
      return ORDER_OUTCOME.NO_ROOM;
    }
    const begun = clock.monotonic();
    Object.assign(book, { orderedAt: begun });
    const expectedSequence = book.sequence;
    const outcome = await control.order(book.entry, {
      ...request,
      expectedSequence,
      holder,
      fencing: token,
    });
    if (outcome !== ORDER_OUTCOME.CONFLICT) note(book, request, outcome);
    logger.info('order', {
      server: book.entry.id,
      operation: request.operation,
      model: request.model,
      adapter: request.adapter,
      expectedSequence,
      fencing: token,
      outcome,
      milliseconds: Math.round(clock.monotonic() - begun),
    });
    return outcome;
  };

  const sendAfterConflict = async (book: ServerBook, request: OrderRequest) => {
    const outcome = await send(book, request);
    if (outcome !== ORDER_OUTCOME.CONFLICT || book.underWay) return outcome;
    await clock.delay(CONFLICT_MILLISECONDS);
    await readReport(book);
    return outcome;
  };

  /** Runs work with a server after all that came before. */
  const enqueue = <Result>(book: ServerBook, work: () => Promise<Result>): Promise<Result> => {
    const before = queues.get(book.entry.id) ?? Promise.resolve();
    const result = before.then(work);
    queues.set(
      book.entry.id,
      result.catch(() => {}),
    );
    return result;
  };

  return {
    issue: (book, request) => enqueue(book, () => sendAfterConflict(book, request)),
    learn: (book) => {
      if (book.sequence !== undefined || learning.has(book)) return;
      if (clock.monotonic() < book.notBefore) return;
      learning.add(book);
      enqueue(book, () => readReport(book)).finally(() => learning.delete(book));
    },
  };
}
