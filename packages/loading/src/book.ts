import type { EngineProfile, ServerEntry } from '@bulrushspar/catalogue';
import type { Clock } from '@bulrushspar/clock';
import { OPERATION, type OrderRequest, type ServerReport } from './engine.js';
import type { PlannedServer } from './plan.js';

/** What the holder of the orders believes of one server. */
export interface ServerBook {
  entry: ServerEntry;
  /** Orders that the server has accepted; unknown until it was asked. */
  sequence: number | undefined;
  /** Adapters by model. */
  models: Map<string, Set<string>>;
  /** Order that the server is carrying out. */
  underWay?: UnderWay;
  /** Loads without an answer; they may still happen while the sequence has not moved on. */
  doubtful: { model: string; adapter?: string }[];
  /** When each model was loaded here, by the monotonic clock. */
  readonly loadedAt: Map<string, number>;
  /** No order goes out before this moment, by the monotonic clock. */
  notBefore: number;
  /** The server carries out an order of another giver. */
  foreignOrder: boolean;
  /** When the last order went out, by the monotonic clock. */
  orderedAt: number;
  /** When the last order was counted, by the monotonic clock. */
  countedAt: number;
}

/** An order that was accepted and is not done yet. */
export interface UnderWay {
  readonly order: OrderRequest;
  readonly begunAt: number;
  readonly expectedMilliseconds: number;
}

/** Options of {@link viewForPlan}. */
export interface ViewOptions {
  readonly clock: Clock;
  readonly profile: EngineProfile;
  /** Requests of all hosts that run on a server, by model. */
  readonly running: (server: string) => ReadonlyMap<string, number>;
  /** Change of a server whose orders are being given. */
  readonly change: (server: string) => Change | undefined;
}

/** A load with the models that make way for it. */
export interface Change {
  readonly model: string;
  readonly victims: readonly string[];
}

/** Time that a loaded model is kept for the requests that waited for it. */
const FRESH_MILLISECONDS = 700;
/** Time in which a server's entry follows its last order: a heartbeat and some more. */
const ENTRY_MILLISECONDS = 2000;
/** A report may be older than the last order by some hundred milliseconds. */
const REPORT_LAG_MILLISECONDS = 600;
/** Time until a server that carries out another giver's order is asked again. */
const FOREIGN_ORDER_MILLISECONDS = 250;
/** Rest of a load that another giver began, as far as anybody can tell: half of a slow one. */
const FOREIGN_REST_MILLISECONDS = 3000;

const adaptersOf = (entry: Pick<ServerEntry, 'models'>): Map<string, Set<string>> =>
  new Map(entry.models.map(({ name, adapters }) => [name, new Set(adapters)]));

/** Opens the book of a server that was just seen. */
export function openBook(entry: ServerEntry): ServerBook {
  return {
    entry,
    sequence: undefined,
    models: adaptersOf(entry),
    doubtful: [],
    loadedAt: new Map(),
    notBefore: 0,
    foreignOrder: false,
    orderedAt: -Infinity,
    countedAt: -Infinity,
  };
}

/** Forgets what was known from orders of an earlier lease; the server is asked anew. */
export function reopenBook(book: ServerBook): void {
  const opened = book;
  Object.assign(opened, { ...openBook(book.entry), loadedAt: book.loadedAt });
  delete opened.underWay;
}

/** Tells whether what a server says already shows that the order under way is done. */
function showsDone({ order }: UnderWay, models: ReadonlyMap<string, Set<string>>): boolean {
  return models.has(order.model) === (order.operation === OPERATION.LOAD);
}

/** Notes that the order under way is done. */
export function finishOrder(book: ServerBook, clock: Clock): void {
  const opened = book;
  const { underWay } = opened;
  if (!underWay) return;
  const { operation, model } = underWay.order;
  if (operation === OPERATION.LOAD) {
    if (!book.models.has(model)) book.models.set(model, new Set());
    book.loadedAt.set(model, clock.monotonic());
  } else {
    book.models.delete(model);
    book.loadedAt.delete(model);
  }
  delete opened.underWay;
}

/**
 * Takes what a server wrote about itself. The entry lags and does not say how many orders it
 * follows, so it only confirms orders, and shows what must be asked anew.
 */
export function takeEntry(book: ServerBook, entry: ServerEntry, clock: Clock): void {
  const opened = book;
  const restarted = entry.born !== opened.entry.born;
  opened.entry = entry;
  if (restarted) {
    reopenBook(opened);
    return;
  }
  const models = adaptersOf(entry);
  if (opened.sequence === undefined) {
    opened.models = models;
    return;
  }
  const { underWay } = opened;
  if (underWay && showsDone(underWay, models)) {
    finishOrder(opened, clock);
    return;
  }
  const late = opened.doubtful.some(({ model }) => models.has(model) && !opened.models.has(model));
  if (late) opened.sequence = undefined;
}

/**
 * Trusts a server's entry again once it had time to follow the last order: what it holds then
 * differs from the book only if the book is wrong, so that the server must be asked.
 */
export function checkAgainstEntry(book: ServerBook, clock: Clock): void {
  const opened = book;
  if (book.sequence === undefined || book.underWay) return;
  if (clock.monotonic() - book.orderedAt < ENTRY_MILLISECONDS) return;
  const models = adaptersOf(book.entry);
  const same =
    models.size === book.models.size && [...models.keys()].every((name) => book.models.has(name));
  if (same) return;
  opened.models = models;
  opened.sequence = undefined;
}

/** Takes a report that was asked for after the last order had been answered. */
export function takeReport(book: ServerBook, report: ServerReport, clock: Clock): void {
  const opened = book;
  if (report.born !== book.entry.born) return;
  const mayLag = clock.monotonic() - book.countedAt < REPORT_LAG_MILLISECONDS;
  if (mayLag && book.sequence !== undefined && report.sequence < book.sequence) return;
  if (report.sequence !== book.sequence) opened.doubtful = [];
  opened.sequence = report.sequence;
  const models = adaptersOf(report);
  const { underWay } = book;
  // An order of an earlier giver is under way; what it loads is not in the report yet.
  if (report.busy && !underWay) {
    opened.sequence = undefined;
    opened.notBefore = clock.monotonic() + FOREIGN_ORDER_MILLISECONDS;
    opened.foreignOrder = true;
    return;
  }
  opened.foreignOrder = false;
  if (underWay && (report.busy || !showsDone(underWay, models))) return;
  if (underWay) finishOrder(opened, clock);
  opened.models = models;
}

/** Memory that a server's models and adapters take, with those that may come still. */
export function usedMegabytes(book: ServerBook, profile: EngineProfile): number {
  let sum = doubtfulMegabytes(book, profile);
  const order = book.underWay?.order;
  if (order?.operation === OPERATION.LOAD && !book.models.has(order.model)) {
    sum += profile.models.get(order.model)?.megabytes ?? 0;
  }
  book.models.forEach((adapters, name) => {
    const model = profile.models.get(name);
    sum += model ? model.megabytes + adapters.size * model.adapterMegabytes : 0;
  });
  return sum;
}

/** Memory that orders without an answer may take. */
export function doubtfulMegabytes(book: ServerBook, profile: EngineProfile): number {
  const absent = book.doubtful.filter(
    ({ model, adapter }) => adapter !== undefined || !book.models.has(model),
  );
  return absent.reduce((sum, { model, adapter }) => {
    const known = profile.models.get(model);
    if (!known) return sum;
    return sum + (adapter === undefined ? known.megabytes : known.adapterMegabytes);
  }, 0);
}

/** The models as they will be once the change under way is done, with their adapters. */
function modelsAfter(book: ServerBook, change: Change | undefined): Map<string, Set<string>> {
  const models = new Map(book.models);
  change?.victims.forEach((name) => models.delete(name));
  const order = book.underWay?.order;
  if (order?.operation === OPERATION.UNLOAD) models.delete(order.model);
  const loading = order?.operation === OPERATION.LOAD ? order.model : change?.model;
  if (loading !== undefined && !models.has(loading)) models.set(loading, new Set());
  return models;
}

/** Shows a server to the planner. */
export function viewForPlan(book: ServerBook, options: ViewOptions): PlannedServer {
  const { clock, profile } = options;
  const now = clock.monotonic();
  const { underWay, entry } = book;
  const running = options.running(entry.id);
  const change = options.change(entry.id);
  const remaining = underWay
    ? Math.max(1, underWay.begunAt + underWay.expectedMilliseconds - now)
    : 0;
  return {
    id: entry.id,
    models: [...modelsAfter(book, change)].map(([name, adapters]) => ({
      name,
      adapters: adapters.size,
      running: running.get(name) ?? 0,
      // One that is not there yet is being loaded.
      fresh:
        !book.models.has(name) || now - (book.loadedAt.get(name) ?? -Infinity) < FRESH_MILLISECONDS,
    })),
    doubtfulMegabytes: doubtfulMegabytes(book, profile),
    busyMilliseconds: Math.max(
      remaining,
      book.notBefore - now,
      book.foreignOrder ? FOREIGN_REST_MILLISECONDS : 0,
    ),
    running: [...running.values()].reduce((sum, count) => sum + count, 0),
    inMemory: new Set(entry.inMemory),
    onDisk: new Set(entry.onDisk),
  };
}
