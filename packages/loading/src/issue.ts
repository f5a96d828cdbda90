import type { EngineProfile } from '@bulrushspar/catalogue';
import type { Clock } from '@bulrushspar/clock';
import { errorMessage } from '@bulrushspar/errors';
import type { Logger } from '@bulrushspar/logging';
import { adapterKey, applyReport, usedMegabytes, type ServerState } from './book.js';
import {
  ORDER_OPERATION,
  ORDER_OUTCOME,
  type EngineControl,
  type OrderOutcome,
  type OrderRequest,
} from './engine.js';

/** Options of {@link createOrderSender}. */
export interface OrderSenderOptions {
  readonly clock: Clock;
  readonly control: EngineControl;
  readonly logger: Logger;
  /** Name of this host, sent as the holder of the lease. */
  readonly holder: string;
  /** Returns the fencing token if this host may send the server an order now. */
  readonly fencing: (server: string) => number | undefined;
  readonly profile: (service: string) => EngineProfile | undefined;
}

/** An order with the number of orders that the server was to have accepted before. */
type SentOrder = OrderRequest & { readonly expectedSequence: number };

/** Sends an order to a server, after all earlier orders to that server. */
export type SendOrder = (state: ServerState, request: OrderRequest) => Promise<OrderOutcome>;

/**
 * Delay before the report is requested after a conflict; reports lag by some hundred milliseconds.
 */
const CONFLICT_PAUSE_MILLISECONDS = 300;
/** Pause in orders to a server after an order without an answer. */
const UNKNOWN_OUTCOME_PAUSE_MILLISECONDS = 250;
/** Interval of the reports while a server waits to unload an adapter; longer than reports lag. */
const UNLOAD_REPORT_INTERVAL_MILLISECONDS = 600;
/** Pause in orders to a server after it rejected one. */
const REJECTION_PAUSE_MILLISECONDS = 1000;

/**
 * Returns whether a server has the memory and the adapter slot that a load needs. The memory of a
 * model that is being unloaded counts as free: the server takes the next order only once the unload
 * is complete.
 */
export function hasRoom(
  state: ServerState,
  profile: EngineProfile,
  request: OrderRequest,
): boolean {
  const { pendingOrder } = state;
  if (pendingOrder?.request.operation !== ORDER_OPERATION.UNLOAD)
    return fitsServer(state, profile, request);
  const models = new Map(state.models);
  models.delete(pendingOrder.request.model);
  return fitsServer({ ...state, models }, profile, request);
}

function fitsServer(state: ServerState, profile: EngineProfile, request: OrderRequest): boolean {
  const model = profile.models.get(request.model);
  if (!model) return false;
  const used = usedMegabytes(state, profile);
  if (request.adapter === undefined) return used + model.megabytes <= profile.weightsMegabytes;
  return (
    countAdapters(state) < profile.adapterSlots &&
    used + model.adapterMegabytes <= profile.weightsMegabytes
  );
}

/** @returns the adapter slots that are taken, or may be by loads without an answer */
function countAdapters({ models, unconfirmedLoads }: ServerState): number {
  const held = [...models.values()].reduce((sum, adapters) => sum + adapters.size, 0);
  return held + unconfirmedLoads.filter(({ adapter }) => adapter !== undefined).length;
}

/** Sends the orders of one host. */
export interface OrderSender {
  readonly sendOrder: SendOrder;
  /**
   * Requests a server's report if its sequence is unknown, unless such a request is in flight or
   * orders to the server are paused.
   */
  refreshState(state: ServerState): void;
}

/** Creates the order sender of one host. */
export function createOrderSender(options: OrderSenderOptions): OrderSender {
  const { clock, control, logger, holder, fencing, profile } = options;
  const queues = new Map<string, Promise<unknown>>();
  const refreshing = new Set<ServerState>();
  const reportRequestedAt = new WeakMap<ServerState, number>();

  const requestReport = async (state: ServerState): Promise<void> => {
    if (state.entry.evacuated) return;
    reportRequestedAt.set(state, clock.monotonic());
    try {
      applyReport(state, await control.report(state.entry), clock);
    } catch (error) {
      logger.warn('report of server unavailable', {
        server: state.entry.id,
        error: errorMessage(error),
      });
    }
  };

  /** Whether an adapter that was in use may be gone, so that a report is due. */
  const mayHaveUnloaded = (state: ServerState): boolean => {
    if (state.unloadingAdapters.size === 0) return false;
    const now = clock.monotonic();
    const sinceRequested = now - (reportRequestedAt.get(state) ?? -Infinity);
    const [acceptedAt = now] = state.unloadingAdapters.values();
    return Math.min(sinceRequested, now - acceptedAt) > UNLOAD_REPORT_INTERVAL_MILLISECONDS;
  };

  const pauseOrders = (state: ServerState, milliseconds: number): void => {
    Object.assign(state, { ordersPausedUntil: clock.monotonic() + milliseconds });
  };

  /** Updates the state of a server with the outcome of an order. */
  const recordOutcome = (
    state: ServerState,
    { operation, model, adapter, expectedSequence }: SentOrder,
    outcome: OrderOutcome,
  ): void => {
    const updated = state;
    const isLoad = operation === ORDER_OPERATION.LOAD;
    const isAdapterUnload = !isLoad && adapter !== undefined;
    if (outcome === ORDER_OUTCOME.UNKNOWN) {
      if (isLoad)
        updated.unconfirmedLoads.push({ model, ...(adapter === undefined ? {} : { adapter }) });
      else if (isAdapterUnload)
        updated.unansweredUnloads.set(adapterKey(model, adapter), expectedSequence);
      pauseOrders(updated, UNKNOWN_OUTCOME_PAUSE_MILLISECONDS);
      return;
    }
    if (outcome === ORDER_OUTCOME.REJECTED) {
      updated.sequence = undefined;
      pauseOrders(updated, REJECTION_PAUSE_MILLISECONDS);
      return;
    }
    // A server confirms both the unload of an idle adapter, which it counts, and an order without effect, such
    // as an unload that it has accepted before and that waits for requests. Only a report tells them apart then.
    if (isAdapterUnload && outcome === ORDER_OUTCOME.HOLDS) {
      const key = adapterKey(model, adapter);
      if (updated.unansweredUnloads.has(key) || updated.unloadingAdapters.has(key)) {
        updated.unloadingAdapters.set(key, clock.monotonic());
        updated.sequence = undefined;
        return;
      }
    }
    const advancesSequence = outcome === ORDER_OUTCOME.ACCEPTED || isAdapterUnload;
    if (advancesSequence && updated.sequence !== undefined) {
      updated.sequence += 1;
      updated.sequenceAdvancedAt = clock.monotonic();
      // Unanswered orders expected the sequence number that this order has used, so that the server
      // can no longer accept them.
      updated.unconfirmedLoads = [];
      updated.unansweredUnloads.forEach((sequence, key) => {
        if (sequence === expectedSequence) updated.unansweredUnloads.delete(key);
      });
    }
    if (adapter === undefined) return;
    const held = updated.models.get(model);
    if (isLoad) held?.add(adapter);
    // The server waits for the requests that use the adapter.
    else if (outcome === ORDER_OUTCOME.ACCEPTED)
      updated.unloadingAdapters.set(adapterKey(model, adapter), clock.monotonic());
    else held?.delete(adapter);
  };

  const send = async (state: ServerState, request: OrderRequest): Promise<OrderOutcome> => {
    if (state.sequence === undefined) await requestReport(state);
    if (state.entry.evacuated) return ORDER_OUTCOME.REJECTED;
    const fencingToken = fencing(state.entry.id);
    if (fencingToken === undefined || state.sequence === undefined) return ORDER_OUTCOME.REJECTED;
    const engineProfile = profile(state.entry.service);
    const isLoad = request.operation === ORDER_OPERATION.LOAD;
    if (isLoad && (!engineProfile || !hasRoom(state, engineProfile, request))) {
      const held = [...state.models.keys()].join(' ');
      const { id: server } = state.entry;
      logger.info('order not sent', { server, ...request, held, why: 'no room' });
      return ORDER_OUTCOME.NO_ROOM;
    }
    const sentAt = clock.monotonic();
    Object.assign(state, { lastOrderSentAt: sentAt });
    const expectedSequence = state.sequence;
    const adapters = countAdapters(state);
    const outcome = await control.order(state.entry, {
      ...request,
      expectedSequence,
      holder,
      fencing: fencingToken,
    });
    if (outcome !== ORDER_OUTCOME.CONFLICT)
      recordOutcome(state, { ...request, expectedSequence }, outcome);
    logger.info('order', {
      server: state.entry.id,
      operation: request.operation,
      model: request.model,
      adapter: request.adapter,
      adapters,
      expectedSequence,
      fencing: fencingToken,
      outcome,
      milliseconds: Math.round(clock.monotonic() - sentAt),
    });
    return outcome;
  };

  /** Sends an order; after a conflict without a pending order, requests the server's report. */
  const sendAndRefreshOnConflict = async (state: ServerState, request: OrderRequest) => {
    const outcome = await send(state, request);
    if (outcome !== ORDER_OUTCOME.CONFLICT || state.pendingOrder) return outcome;
    await clock.delay(CONFLICT_PAUSE_MILLISECONDS);
    await requestReport(state);
    return outcome;
  };

  /** Runs a task for a server after all tasks queued for it before. */
  const enqueue = <Result>(state: ServerState, task: () => Promise<Result>): Promise<Result> => {
    const previous = queues.get(state.entry.id) ?? Promise.resolve();
    const result = previous.then(task);
    queues.set(
      state.entry.id,
      result.catch(() => {}),
    );
    return result;
  };

  return {
    sendOrder: (state, request) => enqueue(state, () => sendAndRefreshOnConflict(state, request)),
    refreshState: (state) => {
      if (refreshing.has(state)) return;
      if (state.sequence !== undefined && !mayHaveUnloaded(state)) return;
      if (clock.monotonic() < state.ordersPausedUntil) return;
      refreshing.add(state);
      enqueue(state, () => requestReport(state)).finally(() => refreshing.delete(state));
    },
  };
}
