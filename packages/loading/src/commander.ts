import type { EngineProfile, ServerView } from '@bulrushspar/catalogue';
import { every, type Clock, type Stop } from '@bulrushspar/clock';
import { messageOf } from '@bulrushspar/errors';
import type { Logger } from '@bulrushspar/logging';
import { createAdapterLoader } from './adapters.js';
import {
  checkAgainstEntry,
  openBook,
  reopenBook,
  takeEntry,
  viewForPlan,
  type ServerBook,
} from './book.js';
import { createChanger, loadTime } from './change.js';
import type { Demand } from './demand.js';
import { OPERATION, type EngineControl } from './engine.js';
import { createIssuer } from './issue.js';
import { planLoads, type PlannedLoad, type Want } from './plan.js';
import { findReplicaNeeds } from './replicas.js';

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
  /** Fencing number while this host has the duty, also while it takes it over. */
  readonly term: () => number | undefined;
  /** Fencing number if this host may give a server an order at this very moment. */
  readonly fencing: (server: string) => number | undefined;
  /** Milliseconds until this host may give a server orders, while it takes the duty over. */
  readonly ordersIn: (server: string) => number;
  readonly profile: (service: string) => EngineProfile | undefined;
  readonly demand: Demand;
  /** Requests of all hosts that run on a server, by model. */
  readonly running: (server: string) => ReadonlyMap<string, number>;
  /** Called after each plan with when wanted models will be ready, and the hosts that wait. */
  readonly onOutlook?: (outlook: readonly Outlook[], hosts: readonly string[]) => void;
  /** Called before a server is told to unload a model. */
  readonly onUnloading?: (server: string, model: string) => void;
}

/** Time between plans without news. */
const PLAN_MILLISECONDS = 100;
/** Time between plans with news: many hosts tell what they wait for. */
const LEAST_PLAN_MILLISECONDS = 20;
/** Time between tellings of when models will be ready; the plans between them differ little. */
const OUTLOOK_MILLISECONDS = 50;
/** Requests a second from which on a model is loaded again before anybody waits for it. */
const BUSY_RATE = 1;
/** Time until somebody asks for a busy model that was lost. */
const SOON_MILLISECONDS = 500;
/** Time before the first orders in which the servers are asked what they hold. */
const LEARN_MILLISECONDS = 300;
const WINDOW_MILLISECONDS = 5000;
/** Loads that the weight store serves at full speed. */
const COLD_LOADS_AT_ONCE = 4;
const MILLISECONDS_PER_SECOND = 1000;

/** Creates the commander of one host; it gives no order while it has no fencing number. */
export function createCommander(options: CommanderOptions): Commander {
  const { clock, control, logger, term, fencing, ordersIn, profile, demand, running } = options;
  const { onOutlook = () => {}, onUnloading = () => {} } = options;
  const books = new Map<string, ServerBook>();
  const wantsByHost = new Map<string, { readonly at: number; readonly wants: readonly Want[] }>();
  /** Loads whose orders are being given, by server. */
  const starting = new Map<string, PlannedLoad>();
  const change = (server: string): PlannedLoad | undefined => starting.get(server);
  let coldBegun: number[] = [];
  let planned = false;
  let plannedAt = -Infinity;
  let toldAt = -Infinity;
  let lastTerm: number | undefined;

  const { issue, learn } = createIssuer(options);
  const changer = createChanger({
    clock,
    control,
    logger,
    issue,
    profile,
    mayOrder: () => term() !== undefined,
    onUnloading,
    onDone: () => planSoon(),
  });
  const adapters = createAdapterLoader({
    clock,
    issue,
    isChanging: ({ underWay, entry }) => underWay !== undefined || starting.has(entry.id),
  });

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

  /** Loads out of the weight store that may begin now, and when the next one may. */
  const coldLoads = (engine: EngineProfile) => {
    const oldest = clock.monotonic() - WINDOW_MILLISECONDS;
    coldBegun = coldBegun.filter((at) => at > oldest);
    const allowed = (engine.coldLoadsPerSecond * WINDOW_MILLISECONDS) / MILLISECONDS_PER_SECOND;
    const underWay = [...books.values()].flatMap(({ underWay: order, entry }) => {
      if (order?.order.operation !== OPERATION.LOAD) return [];
      if (!loadTime(entry, engine, order.order.model).cold) return [];
      return [Math.max(0, order.begunAt + order.expectedMilliseconds - clock.monotonic())];
    });
    const left = Math.min(
      Math.floor(allowed) - coldBegun.length,
      COLD_LOADS_AT_ONCE - underWay.length,
    );
    const [first = WINDOW_MILLISECONDS] = underWay.sort((x, y) => x - y);
    return {
      coldLoads: left,
      coldWaitMilliseconds: first,
      coldLoadsAtOnce: COLD_LOADS_AT_ONCE,
    };
  };

  const startLoad = (load: PlannedLoad): void => {
    const book = books.get(load.server);
    if (!book || starting.has(load.server)) return;
    starting.set(load.server, load);
    logger.info('load decided', {
      model: load.model,
      server: load.server,
      victims: load.victims.join(' '),
      readyMilliseconds: Math.round(load.readyMilliseconds),
      cold: load.cold,
    });
    if (load.cold) coldBegun.push(clock.monotonic());
    changer
      .replace(book, load.victims, load.model)
      .catch((error: unknown) =>
        logger.error('load failed', { server: load.server, error: messageOf(error) }),
      )
      .finally(() => {
        starting.delete(load.server);
        planSoon();
      });
  };

  const replicaNeeds = (usable: readonly ServerBook[], { slots }: EngineProfile) =>
    findReplicaNeeds(
      usable.map(({ entry, models }) => ({
        slots,
        running: running(entry.id),
        models: [...models.keys()],
      })),
      (model) =>
        usable.some(
          ({ underWay, entry }) =>
            underWay?.order.model === model || starting.get(entry.id)?.model === model,
        ),
    );

  /** Busy models that nobody waits for: they are wanted as soon as their last server leaves. */
  const lostModels = (engine: EngineProfile, known: readonly Want[]): readonly Want[] => {
    const waited = new Set(known.map(({ model }) => model));
    return [...engine.models.keys()].flatMap((model) => {
      const rate = demand.creditPerSecond(model);
      if (rate < BUSY_RATE || waited.has(model)) return [];
      return [{ model, count: rate, credit: rate, objectiveMilliseconds: SOON_MILLISECONDS }];
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
      const begun = starting.get(entry.id);
      if (begun) {
        const { model, readyMilliseconds } = begun;
        underWay.set(model, { model, readyMilliseconds, server: entry.id });
      }
      if (order?.operation !== OPERATION.LOAD) return;
      const view = viewForPlan(book, { clock, profile: engine, running, change });
      underWay.set(order.model, {
        model: order.model,
        readyMilliseconds: view.busyMilliseconds,
        server: entry.id,
      });
    });
    const resident = (model: string): boolean => usable.some(({ models }) => models.has(model));
    const isMissing = (model: string): boolean => !resident(model) && !underWay.has(model);
    const missing = [...known, ...lostModels(engine, known)].filter(({ model }) =>
      isMissing(model),
    );
    const servers = usable.map((book) => {
      const view = viewForPlan(book, { clock, profile: engine, running, change });
      const least = Math.max(starting.has(view.id) ? 1 : 0, ordersIn(view.id));
      return { ...view, busyMilliseconds: Math.max(least, view.busyMilliseconds) };
    });
    const loads = planLoads({
      profile: engine,
      servers,
      wants: missing,
      creditPerSecond: demand.creditPerSecond,
      idleMilliseconds: demand.idleMilliseconds,
      replicas: replicaNeeds(usable, engine),
      ...coldLoads(engine),
    });
    loads.filter(({ startsNow }) => startsNow).forEach(startLoad);
    const byModel = new Map(loads.map((load) => [load.model, load]));
    return known.map(({ model }) => {
      if (resident(model)) return { model, readyMilliseconds: 0 };
      const { readyMilliseconds, server } = byModel.get(model) ?? {};
      return underWay.get(model) ?? { model, readyMilliseconds, server };
    });
  };

  const plan = (): void => {
    planned = false;
    plannedAt = clock.monotonic();
    const held = term();
    if (held !== lastTerm) books.forEach(reopenBook);
    lastTerm = held;
    if (held === undefined) return;
    books.forEach((book) => {
      checkAgainstEntry(book, clock);
      if (ordersIn(book.entry.id) < LEARN_MILLISECONDS) learn(book);
    });
    const wants = mergeWants();
    const services = new Set([...books.values()].map(({ entry }) => entry.service));
    const engines = [...services].filter((service) => profile(service) !== undefined);
    const outlook = engines.flatMap((service) => planService(service, wants));
    if (outlook.length === 0 || clock.monotonic() - toldAt < OUTLOOK_MILLISECONDS) return;
    toldAt = clock.monotonic();
    onOutlook(outlook, [...wantsByHost.keys()]);
  };

  /** Plans once for all news that come within a short time. */
  const planSoon = (): void => {
    if (planned) return;
    planned = true;
    const since = clock.monotonic() - plannedAt;
    clock.after(Math.max(0, LEAST_PLAN_MILLISECONDS - since), plan);
  };

  const ensureAdapter = async (id: string, model: string, adapter: string): Promise<boolean> => {
    const book = books.get(id);
    const engine = book && engineOf(book);
    if (!book || !engine || fencing(id) === undefined) return false;
    return adapters.ensure(book, engine, model, adapter);
  };

  const stopPlanning: Stop = every(clock, PLAN_MILLISECONDS, () => {
    planSoon();
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
    ensureAdapter,
    stop: stopPlanning,
  };
}
