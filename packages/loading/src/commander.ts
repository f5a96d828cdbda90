import type { EngineProfile, ServerView } from '@bulrushspar/catalogue';
import { every, type Clock, type Stop } from '@bulrushspar/clock';
import { messageOf } from '@bulrushspar/errors';
import type { Logger } from '@bulrushspar/logging';
import {
  finishOrder,
  openBook,
  reopenBook,
  takeEntry,
  takeReport,
  viewForPlan,
  type ServerBook,
} from './book.js';
import type { Demand } from './demand.js';
import { OPERATION, ORDER_OUTCOME, type EngineControl, type OrderOutcome } from './engine.js';
import { createIssuer, hasRoom, type OrderRequest } from './issue.js';
import { planLoads, type PlannedLoad, type Want } from './plan.js';

/** When a wanted model will be ready. */
export interface Outlook {
  readonly model: string;
  /** Absent where no server can take the model now. */
  readonly readyMilliseconds?: number;
  readonly server?: string;
}

/** Gives the orders to all servers while this host holds the lease for that. */
export interface Commander {
  setServers(servers: ServerView): void;
  /** Replaces what a host's requests wait for. */
  setWants(host: string, wants: readonly Want[]): void;
  /** Forgets a host that is gone. */
  forgetHost(host: string): void;
  outlook(): readonly Outlook[];
  /** Has an adapter loaded at a server that holds its model. @returns whether it is there soon */
  ensureAdapter(server: string, model: string, adapter: string): Promise<boolean>;
  stop(): void;
}

/** Options of {@link createCommander}. */
export interface CommanderOptions {
  readonly clock: Clock;
  readonly control: EngineControl;
  readonly logger: Logger;
  readonly holder: string;
  readonly fencing: () => number | undefined;
  readonly profile: (service: string) => EngineProfile | undefined;
  readonly demand: Demand;
  readonly inUse: (server: string, model: string) => boolean;
  /** Called after each plan with when wanted models will be ready, and the hosts that wait. */
  readonly onOutlook?: (outlook: readonly Outlook[], hosts: readonly string[]) => void;
  /** Called before a server is told to unload a model. */
  readonly onUnloading?: (server: string, model: string) => void;
}

/** Time between plans without news. */
const PLAN_MILLISECONDS = 100;
/** Longest wait for an unload whose model has no running requests. */
const UNLOAD_RETRY_MILLISECONDS = [8, 15, 30, 60, 120, 240, 480, 960] as const;
/** Time beyond the expected one after which a server is asked whether the load is done. */
const OVERDUE_MILLISECONDS = 400;
/** Longest wait of an adapter for a model's load at the same server. */
const ADAPTER_WAIT_MILLISECONDS = 1500;
const ADAPTER_LOOK_MILLISECONDS = 15;
/** Time in which the other hosts learn of an unload before the server does. */
const ANNOUNCE_MILLISECONDS = 4;
const WINDOW_MILLISECONDS = 5000;
/** Loads that the weight store serves at full speed. */
const COLD_LOADS_AT_ONCE = 4;
const MILLISECONDS_PER_SECOND = 1000;

/** Creates the commander of one host; it gives no order while it has no fencing number. */
export function createCommander(options: CommanderOptions): Commander {
  const { clock, control, logger, fencing, profile, demand, inUse } = options;
  const { onOutlook = () => {}, onUnloading = () => {} } = options;
  const issue = createIssuer(options);
  const books = new Map<string, ServerBook>();
  const wantsByHost = new Map<string, { readonly at: number; readonly wants: readonly Want[] }>();
  const starting = new Set<string>();
  const adapterUse = new Map<string, number>();
  let coldBegun: number[] = [];
  let outlook: readonly Outlook[] = [];
  let planned = false;
  let lastToken: number | undefined;

  const engineOf = (book: ServerBook): EngineProfile | undefined => profile(book.entry.service);

  const mergeWants = (): readonly Want[] => {
    const now = clock.monotonic();
    const merged = new Map<string, Want>();
    wantsByHost.forEach(({ at, wants }) =>
      wants.forEach((want) => {
        const known = merged.get(want.model);
        const objective = want.objectiveMilliseconds - (now - at);
        merged.set(want.model, {
          model: want.model,
          count: want.count + (known?.count ?? 0),
          credit: want.credit + (known?.credit ?? 0),
          objectiveMilliseconds: Math.min(objective, known?.objectiveMilliseconds ?? Infinity),
        });
      }),
    );
    return [...merged.values()];
  };

  const coldLoadsLeft = (engine: EngineProfile): number => {
    const oldest = clock.monotonic() - WINDOW_MILLISECONDS;
    coldBegun = coldBegun.filter((at) => at > oldest);
    const allowed = (engine.coldLoadsPerSecond * WINDOW_MILLISECONDS) / MILLISECONDS_PER_SECOND;
    const running = [...books.values()].filter(
      ({ underWay, entry }) =>
        underWay?.order.operation === OPERATION.LOAD &&
        !entry.inMemory.includes(underWay.order.model) &&
        !entry.onDisk.includes(underWay.order.model),
    ).length;
    return Math.min(Math.floor(allowed) - coldBegun.length, COLD_LOADS_AT_ONCE - running);
  };

  const expectedMilliseconds = (book: ServerBook, { model, adapter }: OrderRequest): number => {
    const known = engineOf(book)?.models.get(model);
    if (!known || adapter !== undefined) return 0;
    if (book.entry.inMemory.includes(model)) return known.memoryMilliseconds;
    if (book.entry.onDisk.includes(model)) return known.diskMilliseconds;
    return known.coldMilliseconds;
  };

  const begin = (book: ServerBook, request: OrderRequest, outcome: OrderOutcome): void => {
    const opened = book;
    if (outcome === ORDER_OUTCOME.HOLDS) {
      if (request.operation === OPERATION.LOAD) opened.models.set(request.model, new Set());
      return;
    }
    const expected = expectedMilliseconds(book, request);
    opened.underWay = {
      order: {
        ...request,
        expectedSequence: book.sequence! - 1,
        holder: options.holder,
        fencing: fencing() ?? 0,
      },
      begunAt: clock.monotonic(),
      expectedMilliseconds: expected,
    };
    if (request.operation === OPERATION.LOAD) watchLoad(opened, expected);
  };

  /** Asks a server about a load that it should have reported by now. */
  const watchLoad = (book: ServerBook, expected: number): void => {
    const { underWay } = book;
    clock.after(expected + OVERDUE_MILLISECONDS, () => {
      if (book.underWay !== underWay || fencing() === undefined) return;
      control
        .report(book.entry)
        .then((report) => takeReport(book, report, clock))
        .catch((error: unknown) =>
          logger.warn('server gave no report', { server: book.entry.id, error: messageOf(error) }),
        )
        .finally(() => {
          if (book.underWay === underWay) watchLoad(book, OVERDUE_MILLISECONDS);
          else planSoon();
        });
    });
  };

  const unload = async (book: ServerBook, model: string): Promise<boolean> => {
    onUnloading(book.entry.id, model);
    await clock.delay(ANNOUNCE_MILLISECONDS);
    const outcome = await issue(book, { operation: OPERATION.UNLOAD, model });
    if (outcome === ORDER_OUTCOME.HOLDS) book.models.delete(model);
    if (outcome === ORDER_OUTCOME.ACCEPTED) {
      begin(book, { operation: OPERATION.UNLOAD, model }, outcome);
      return true;
    }
    return outcome === ORDER_OUTCOME.HOLDS;
  };

  /** Loads a model as soon as the unload before it is done. */
  const load = async (book: ServerBook, model: string, afterUnload: boolean): Promise<boolean> => {
    const request = { operation: OPERATION.LOAD, model } as const;
    const pauses = afterUnload ? UNLOAD_RETRY_MILLISECONDS : [];
    for (let attempt = 0; attempt <= pauses.length; attempt += 1) {
      const engine = engineOf(book);
      const unloading = book.underWay?.order.operation === OPERATION.UNLOAD;
      const freed = unloading ? book.models.get(book.underWay!.order.model) : undefined;
      // The server takes the load only after the unload, so that memory counts as free here.
      if (freed) book.models.delete(book.underWay!.order.model);
      const fits = engine !== undefined && hasRoom(book, engine, request);
      if (freed) book.models.set(book.underWay!.order.model, freed);
      if (!fits) return false;
      // eslint-disable-next-line no-await-in-loop -- one try after another
      const outcome = await issue(book, request);
      if (outcome === ORDER_OUTCOME.ACCEPTED || outcome === ORDER_OUTCOME.HOLDS) {
        finishOrder(book, clock);
        begin(book, request, outcome);
        return true;
      }
      if (outcome !== ORDER_OUTCOME.CONFLICT || attempt === pauses.length) return false;
      // eslint-disable-next-line no-await-in-loop -- one try after another
      await clock.delay(pauses[attempt]!);
    }
    return false;
  };

  const start = async (book: ServerBook, { model, victims, cold }: PlannedLoad): Promise<void> => {
    for (const victim of victims) {
      // eslint-disable-next-line no-await-in-loop -- a server carries out one order at a time
      if (!(await unload(book, victim))) return;
      // eslint-disable-next-line no-await-in-loop -- the next unload waits for this one
      if (victim !== victims.at(-1)) await untilIdle(book);
    }
    if (cold) coldBegun.push(clock.monotonic());
    await load(book, model, victims.length > 0);
  };

  const untilIdle = async (book: ServerBook): Promise<void> => {
    for (const pause of UNLOAD_RETRY_MILLISECONDS) {
      if (!book.underWay) return;
      const { model } = book.underWay.order;
      // eslint-disable-next-line no-await-in-loop -- one look after another
      await clock.delay(pause);
      if (!inUse(book.entry.id, model)) finishOrder(book, clock);
    }
  };

  /** Waits for the order under way; a server takes none for an adapter meanwhile. */
  const untilFree = async (book: ServerBook): Promise<void> => {
    const until = clock.monotonic() + ADAPTER_WAIT_MILLISECONDS;
    while ((book.underWay || starting.has(book.entry.id)) && clock.monotonic() < until) {
      // eslint-disable-next-line no-await-in-loop -- one look after another
      await clock.delay(ADAPTER_LOOK_MILLISECONDS);
    }
  };

  const startLoad = (load_: PlannedLoad): void => {
    const book = books.get(load_.server);
    if (!book || starting.has(load_.server)) return;
    starting.add(load_.server);
    logger.info('load decided', {
      model: load_.model,
      server: load_.server,
      victims: load_.victims.join(' '),
      readyMilliseconds: Math.round(load_.readyMilliseconds),
      cold: load_.cold,
    });
    start(book, load_)
      .catch((error: unknown) =>
        logger.error('load failed', { server: load_.server, error: messageOf(error) }),
      )
      .finally(() => {
        starting.delete(load_.server);
        planSoon();
      });
  };

  const planService = (service: string, wants: readonly Want[]): Outlook[] => {
    const engine = profile(service)!;
    const usable = [...books.values()].filter(
      ({ entry }) => entry.service === service && !entry.leaving,
    );
    const known = wants.filter(({ model }) => engine.models.has(model));
    const underWay = new Map<string, Outlook>();
    usable.forEach((book) => {
      const { entry } = book;
      const order = book.underWay?.order;
      if (order?.operation !== OPERATION.LOAD) return;
      const view = viewForPlan(book, { clock, profile: engine, inUse });
      underWay.set(order.model, {
        model: order.model,
        readyMilliseconds: view.busyMilliseconds,
        server: entry.id,
      });
    });
    const resident = (model: string): boolean => usable.some(({ models }) => models.has(model));
    const missing = known.filter(({ model }) => !resident(model) && !underWay.has(model));
    const servers = usable.map((book) => {
      const view = viewForPlan(book, { clock, profile: engine, inUse });
      return starting.has(view.id)
        ? { ...view, busyMilliseconds: Math.max(1, view.busyMilliseconds) }
        : view;
    });
    const loads = planLoads({
      profile: engine,
      servers,
      wants: missing,
      creditPerSecond: demand.creditPerSecond,
      idleMilliseconds: demand.idleMilliseconds,
      coldLoads: coldLoadsLeft(engine),
    });
    loads.filter(({ startsNow }) => startsNow).forEach(startLoad);
    const byModel = new Map(loads.map((load_) => [load_.model, load_]));
    return known.map(({ model }) => {
      if (resident(model)) return { model, readyMilliseconds: 0 };
      const planned_ = byModel.get(model);
      const { readyMilliseconds, server } = planned_ ?? {};
      return underWay.get(model) ?? { model, readyMilliseconds, server };
    });
  };

  const plan = (): void => {
    planned = false;
    const token = fencing();
    if (token !== lastToken) books.forEach(reopenBook);
    lastToken = token;
    if (token === undefined) return;
    const wants = mergeWants();
    const services = new Set([...books.values()].map(({ entry }) => entry.service));
    const engines = [...services].filter((service) => profile(service) !== undefined);
    outlook = engines.flatMap((service) => planService(service, wants));
    if (outlook.length > 0) onOutlook(outlook, [...wantsByHost.keys()]);
  };

  /** Plans once for all news of this turn of the event loop. */
  const planSoon = (): void => {
    if (planned) return;
    planned = true;
    clock.after(0, plan);
  };

  const evictAdapter = async (book: ServerBook): Promise<boolean> => {
    const held = [...book.models].flatMap(([model, adapters]) =>
      [...adapters].map((adapter) => ({ model, adapter })),
    );
    const usedAt = ({ model, adapter }: { model: string; adapter: string }): number =>
      adapterUse.get(`${book.entry.id} ${model}/${adapter}`) ?? 0;
    const oldest = held.sort((a, b) => usedAt(a) - usedAt(b))[0];
    if (!oldest) return false;
    const outcome = await issue(book, { operation: OPERATION.UNLOAD, ...oldest });
    return outcome === ORDER_OUTCOME.ACCEPTED || outcome === ORDER_OUTCOME.HOLDS;
  };

  const ensureAdapter = async (id: string, model: string, adapter: string): Promise<boolean> => {
    const book = books.get(id);
    const engine = book && engineOf(book);
    if (!book || !engine || fencing() === undefined) return false;
    const held = book.models.get(model);
    if (!held) return false;
    adapterUse.set(`${id} ${model}/${adapter}`, clock.monotonic());
    if (held.has(adapter)) return true;
    const request = { operation: OPERATION.LOAD, model, adapter } as const;
    await untilFree(book);
    if (!book.models.has(model)) return false;
    if (held.has(adapter)) return true;
    if (!hasRoom(book, engine, request) && !(await evictAdapter(book))) return false;
    if (!hasRoom(book, engine, request)) return false;
    const outcome = await issue(book, request);
    return outcome === ORDER_OUTCOME.ACCEPTED || outcome === ORDER_OUTCOME.HOLDS;
  };

  const stopPlanning: Stop = every(clock, PLAN_MILLISECONDS, () => {
    if (wantsByHost.size > 0) planSoon();
  });

  return {
    setServers: (servers) => {
      [...books.keys()].forEach((id) => {
        if (!servers.has(id)) books.delete(id);
      });
      servers.forEach((entry, id) => {
        if (!profile(entry.service)) return;
        const book = books.get(id);
        if (!book) books.set(id, openBook(entry));
        else takeEntry(book, entry, clock);
      });
      planSoon();
    },
    setWants: (host, wants) => {
      if (wants.length === 0) wantsByHost.delete(host);
      else wantsByHost.set(host, { at: clock.monotonic(), wants });
      planSoon();
    },
    forgetHost: (host) => {
      wantsByHost.delete(host);
    },
    outlook: () => outlook,
    ensureAdapter,
    stop: stopPlanning,
  };
}
