import type { EngineProfile, ServerEntry } from '@bulrushspar/catalogue';
import type { Clock } from '@bulrushspar/clock';
import { ORDER_OPERATION, type OrderRequest, type ServerReport } from './engine.js';

/** State of one server as tracked by the coordinator, the host that holds the lease for orders. */
export interface ServerState {
  entry: ServerEntry;
  /** Number of orders that the server has accepted; undefined until its report is known. */
  sequence: number | undefined;
  /** Resident models with their adapters. */
  models: Map<string, Set<string>>;
  /** Order that the server is executing. */
  pendingOrder?: PendingOrder;
  /** Loads without an answer; the server may still execute them until its sequence advances. */
  unconfirmedLoads: { model: string; adapter?: string }[];
  /**
   * Expected sequence of each unload of an adapter that got no answer, by model and adapter. The server may
   * still execute it, or have begun to.
   */
  readonly unansweredUnloads: Map<string, number>;
  /**
   * When the server accepted to unload an adapter that requests may still use, by model and adapter. The
   * adapter keeps its slot until a report shows that it is gone.
   */
  readonly unloadingAdapters: Map<string, number>;
  /** When each model was loaded on this server, by the monotonic clock. */
  readonly loadedAt: Map<string, number>;
  /** Time before which no order is sent, by the monotonic clock. */
  ordersPausedUntil: number;
  /** Whether the server is executing an order of an earlier coordinator. */
  hasForeignOrder: boolean;
  /** When the last order was sent, by the monotonic clock. */
  lastOrderSentAt: number;
  /** When an accepted order last incremented the sequence, by the monotonic clock. */
  sequenceAdvancedAt: number;
}

/** An order that the server has accepted and not completed. */
export interface PendingOrder {
  readonly request: OrderRequest;
  /** When the order was accepted, by the monotonic clock. */
  readonly startedAt: number;
  readonly expectedMilliseconds: number;
  /** Whether it loads weights from the weight store, as of when it was accepted. */
  readonly isCold?: boolean;
  /** Whether an earlier leader has sent it. */
  readonly isInherited?: boolean;
}

/** A load from the weight store that a server is executing. */
export interface ColdLoad {
  readonly server: string;
  readonly model: string;
  /** Milliseconds since it began. */
  readonly milliseconds: number;
}

/** Time after an order within which a server's entry reflects it: one heartbeat and a margin. */
const ENTRY_LAG_MILLISECONDS = 2000;
/** Time for which a report may predate the last order; reports lag by some hundred milliseconds. */
const REPORT_LAG_MILLISECONDS = 600;
/** Delay before the next report of a server that executes an earlier coordinator's order. */
const FOREIGN_ORDER_RETRY_MILLISECONDS = 250;
const adaptersByModel = (entry: Pick<ServerEntry, 'models'>): Map<string, Set<string>> =>
  new Map(entry.models.map(({ name, adapters }) => [name, new Set(adapters)]));

/** Creates the state of a newly listed server. */
export function createServerState(entry: ServerEntry): ServerState {
  return {
    entry,
    sequence: undefined,
    models: adaptersByModel(entry),
    unconfirmedLoads: [],
    unansweredUnloads: new Map(),
    unloadingAdapters: new Map(),
    loadedAt: new Map(),
    ordersPausedUntil: 0,
    hasForeignOrder: false,
    lastOrderSentAt: -Infinity,
    sequenceAdvancedAt: -Infinity,
  };
}

/** Discards what earlier leases' orders established, so that the report is requested again. */
export function resetServerState(state: ServerState): void {
  const updated = state;
  Object.assign(updated, { ...createServerState(state.entry), loadedAt: state.loadedAt });
  delete updated.pendingOrder;
}

/** Returns whether the models that a server states show that the pending order is complete. */
function showsCompletion(
  { request }: PendingOrder,
  models: ReadonlyMap<string, Set<string>>,
): boolean {
  return models.has(request.model) === (request.operation === ORDER_OPERATION.LOAD);
}

/** Applies the result of the pending order, if there is one, and clears it. */
export function completePendingOrder(state: ServerState, clock: Clock): void {
  const updated = state;
  const { pendingOrder } = updated;
  if (!pendingOrder) return;
  const { operation, model } = pendingOrder.request;
  if (operation === ORDER_OPERATION.LOAD) {
    if (!state.models.has(model)) state.models.set(model, new Set());
    state.loadedAt.set(model, clock.monotonic());
  } else {
    state.models.delete(model);
    state.loadedAt.delete(model);
  }
  delete updated.pendingOrder;
}

/**
 * Applies the entry that a server published. An entry lags and carries no sequence number, so it
 * only confirms the pending order or shows that the report must be requested again. A restarted
 * server resets the state.
 */
export function applyEntry(state: ServerState, entry: ServerEntry, clock: Clock): void {
  const updated = state;
  const restarted = entry.born !== updated.entry.born;
  updated.entry = entry;
  if (restarted) {
    resetServerState(updated);
    return;
  }
  const models = adaptersByModel(entry);
  if (updated.sequence === undefined) {
    updated.models = models;
    return;
  }
  const { pendingOrder } = updated;
  if (pendingOrder && showsCompletion(pendingOrder, models)) {
    completePendingOrder(updated, clock);
    return;
  }
  const hasLateLoad = updated.unconfirmedLoads.some(
    ({ model }) => models.has(model) && !updated.models.has(model),
  );
  if (hasLateLoad) updated.sequence = undefined;
}

/**
 * Compares the state with the server's entry once the entry has had time to reflect the last order.
 * If they differ then, the state is wrong: takes the models of the entry and has the report
 * requested again.
 */
export function reconcileWithEntry(state: ServerState, clock: Clock): void {
  const updated = state;
  if (state.sequence === undefined || state.pendingOrder) return;
  if (clock.monotonic() - state.lastOrderSentAt < ENTRY_LAG_MILLISECONDS) return;
  const models = adaptersByModel(state.entry);
  const matches =
    models.size === state.models.size && [...models.keys()].every((name) => state.models.has(name));
  if (matches) return;
  updated.models = models;
  updated.sequence = undefined;
}

/**
 * Applies a report that was requested after the last order was answered. Ignores a report of
 * another server process, and one that may predate the last order.
 */
export function applyReport(state: ServerState, report: ServerReport, clock: Clock): void {
  const updated = state;
  if (report.born !== state.entry.born) return;
  const mayLag = clock.monotonic() - state.sequenceAdvancedAt < REPORT_LAG_MILLISECONDS;
  if (mayLag && state.sequence !== undefined && report.sequence < state.sequence) return;
  if (report.sequence !== state.sequence) updated.unconfirmedLoads = [];
  updated.sequence = report.sequence;
  const models = adaptersByModel(report);
  const { pendingOrder } = state;
  // An earlier coordinator's order is in progress; the report does not list what it loads yet.
  if (report.busy && !pendingOrder) {
    updated.sequence = undefined;
    updated.ordersPausedUntil = clock.monotonic() + FOREIGN_ORDER_RETRY_MILLISECONDS;
    updated.hasForeignOrder = true;
    return;
  }
  updated.hasForeignOrder = false;
  removeUnloadedAdapters(updated, models);
  const isComplete = pendingOrder !== undefined && showsCompletion(pendingOrder, models);
  // What an earlier leader has told of an order may be out of date, unless the report is.
  const isOutdated =
    pendingOrder?.isInherited === true &&
    clock.monotonic() - pendingOrder.startedAt > REPORT_LAG_MILLISECONDS;
  if (pendingOrder && (report.busy || (!isComplete && !isOutdated))) return;
  if (isComplete) completePendingOrder(updated, clock);
  else delete updated.pendingOrder;
  updated.models = models;
}

/** Key of an adapter in {@link ServerState.unloadingAdapters}. */
export const adapterKey = (model: string, adapter: string): string => `${model}/${adapter}`;

/** Returns whether a server is to unload an adapter as soon as no request uses it. */
export function isUnloadingAdapter({ models, unloadingAdapters }: ServerState): boolean {
  return [...models].some(([model, adapters]) =>
    [...adapters].some((adapter) => unloadingAdapters.has(adapterKey(model, adapter))),
  );
}

function removeUnloadedAdapters(
  { unloadingAdapters, unansweredUnloads }: ServerState,
  models: ReadonlyMap<string, ReadonlySet<string>>,
): void {
  const held = new Set(
    [...models].flatMap(([model, adapters]) =>
      [...adapters].map((adapter) => adapterKey(model, adapter)),
    ),
  );
  [...unloadingAdapters.keys(), ...unansweredUnloads.keys()].forEach((key) => {
    if (held.has(key)) return;
    unloadingAdapters.delete(key);
    unansweredUnloads.delete(key);
  });
}

/** Returns the memory in use by models and adapters, including pending and unconfirmed loads. */
export function usedMegabytes(state: ServerState, profile: EngineProfile): number {
  let sum = unconfirmedMegabytes(state, profile);
  const request = state.pendingOrder?.request;
  if (request?.operation === ORDER_OPERATION.LOAD && !state.models.has(request.model)) {
    sum += profile.models.get(request.model)?.megabytes ?? 0;
  }
  state.models.forEach((adapters, name) => {
    const model = profile.models.get(name);
    sum += model ? model.megabytes + adapters.size * model.adapterMegabytes : 0;
  });
  return sum;
}

/** Returns the memory that unconfirmed loads may take, in megabytes. */
export function unconfirmedMegabytes(state: ServerState, profile: EngineProfile): number {
  const unconfirmed = state.unconfirmedLoads.filter(
    ({ model, adapter }) => adapter !== undefined || !state.models.has(model),
  );
  return unconfirmed.reduce((sum, { model, adapter }) => {
    const modelProfile = profile.models.get(model);
    if (!modelProfile) return sum;
    return sum + (adapter === undefined ? modelProfile.megabytes : modelProfile.adapterMegabytes);
  }, 0);
}
