import { randomUUID } from 'node:crypto';
import { createDirectory, type FleetConfiguration, type ServerEntry } from '@bulrushspar/catalogue';
import { every, startSlowStopwatch, type Clock } from '@bulrushspar/clock';
import { messageOf } from '@bulrushspar/errors';
import { createDemand, type EngineControl, type Outlook } from '@bulrushspar/loading';
import type { Logger } from '@bulrushspar/logging';
import type { Metrics } from '@bulrushspar/metrics';
import { createSuspects } from '@bulrushspar/routing';
import {
  createAdmission,
  createModelWaits,
  createServe,
  createServerStates,
  createServingMetrics,
  stoppingRefusal,
  type Call,
  type SendCall,
  type Serve,
} from '@bulrushspar/serving';
import { createRetryBudget } from '@bulrushspar/shares';
import type { Incarnation, ObjectStore, ObjectView } from '@bulrushspar/store';
import { createFleet, type Fleet } from './fleet.js';
import { createGossip } from './gossip.js';
import { HOST_KIND } from './group.js';
import { createHandlers } from './handlers.js';
import {
  MESSAGE,
  type AdapterMessage,
  type ChangesMessage,
  type UnloadingMessage,
  type WantsMessage,
} from './messages.js';
import { createOrderDuty, type OrderDuty } from './orders.js';
import { createQuotas, type QuotaTolerance } from './quotas.js';
import { createSource } from './source.js';
import { runningOf } from './totals.js';

/** Where a host is and listens for the others. */
export interface EntryHost {
  readonly name: string;
  readonly failureDomain: string;
  readonly address: string;
  readonly port: number;
  /** Processor that the host has, in cores; the strongest hosts carry what one must do for all. */
  readonly cores: number;
}

/** How far the fleet's limits may be off, and how fast it must act. */
export interface FleetBounds {
  readonly quota: QuotaTolerance;
  readonly repeatsPerRequest: number;
  readonly repeatSlack: number;
  readonly repeatWindowMilliseconds: number;
  /** Pause between orders of two hosts to one server. */
  readonly handoverMilliseconds: number;
}

/** Options of {@link startEntry}. */
export interface EntryOptions<SomeCall extends Call> {
  readonly host: EntryHost;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly store: ObjectStore;
  /** Kinds under which the platform keeps what the entry follows. */
  readonly kinds: { readonly configuration: string; readonly servers: string };
  /** @returns undefined where there is no usable configuration */
  readonly decodeConfiguration: (view: ObjectView<unknown>) => FleetConfiguration | undefined;
  /** @returns undefined where an entry names no server to use */
  readonly decodeServer: (name: string, value: unknown) => ServerEntry | undefined;
  readonly control: EngineControl;
  readonly send: SendCall<SomeCall>;
  readonly bounds: FleetBounds;
  /** The fleet starts for the first time. */
  readonly firstStart: boolean;
  readonly onConfiguration?: (configuration: FleetConfiguration) => void;
  readonly onServers?: (servers: ReadonlyMap<string, ServerEntry>) => void;
  readonly random?: () => number;
}

/** One running entry host of a fleet. */
export interface Entry<SomeCall extends Call> {
  readonly serve: Serve<SomeCall>;
  /** Knows a configuration, so that it can serve. */
  ready(): boolean;
  /** Refuses new requests from now on. */
  refuseNewWork(): void;
  /** Gives up the duty of giving orders, so that another host takes it over. */
  release(): Promise<void>;
  stop(): Promise<void>;
}

/** Time between two states that a host tells the others. */
const STATE_MILLISECONDS = 200;
/** Time between two tellings of what requests wait for. */
const WANTS_MILLISECONDS = 100;
/** Longest wait for an adapter: a load that is under way at its server, and the order. */
const ADAPTER_MILLISECONDS = 2000;
/** Time in which a hub gives a host its first view; after it the host reads the store itself. */
const FIRST_VIEW_MILLISECONDS = 800;
/** Hosts come and go rarely, so that their records are watched with longer waits. */
const HOSTS_WATCH_SECONDS = 3;
/** Servers write often: changes within this time come with one call to the store. */
const GATHER_MILLISECONDS = 50;

/** Starts an entry host; it serves as soon as it has a configuration. */
export function startEntry<SomeCall extends Call>(
  options: EntryOptions<SomeCall>,
): Entry<SomeCall> {
  const { host, clock, logger, store, kinds, bounds, random = Math.random } = options;
  const { onConfiguration = () => {}, onServers = () => {} } = options;
  const self: Incarnation = { host: host.name, incarnation: randomUUID() };
  const stopping = new AbortController();
  const releasing = new AbortController();
  const sinceStart = startSlowStopwatch(clock);
  let configuration: FleetConfiguration | undefined;
  let refusing = false;

  const servers = createServerStates(clock, (server) => gossip.elsewhere(server));
  const demand = createDemand({ clock });
  const quotas = createQuotas({
    clock,
    linkedPart: () => gossip.heardPart(),
    firstStart: options.firstStart,
    tolerance: bounds.quota,
  });
  const suspects = createSuspects({
    clock,
    onNews: (news) => fleet.broadcast(MESSAGE.SUSPECT, news),
  });
  const budget = createRetryBudget({
    clock,
    ratio: bounds.repeatsPerRequest,
    slack: bounds.repeatSlack,
    windowMilliseconds: bounds.repeatWindowMilliseconds,
    hosts: () => fleet.topology.size(),
  });

  const isLoaded = (model: string): boolean =>
    [...servers.all()].some((state) => servers.holdsModel(state, model));
  const waits = createModelWaits({ clock, onWant: () => tellWants() });
  const admission = createAdmission({ bucketOf: quotas.of, random });

  const directory = createDirectory({
    clock,
    onChange: (view) => {
      servers.update(view);
      duty.setServers(view);
      onServers(view);
      waits.noteReady(isLoaded);
    },
  });

  const takeConfiguration = (view: ObjectView<unknown>): void => {
    const next = options.decodeConfiguration(view);
    if (!next || (configuration && next.version <= configuration.version)) return;
    logger.info('configuration in force', { version: next.version, routes: next.routes.length });
    configuration = next;
    admission.update(next);
    quotas.update(next);
    onConfiguration(next);
    duty.setServers(directory.current());
  };

  const takeServers = (view: ObjectView<unknown>): void => {
    const entries = [...view].flatMap(([name, { value }]): [string, ServerEntry][] => {
      const entry = options.decodeServer(name, value);
      return entry ? [[name, entry]] : [];
    });
    directory.update(new Map(entries));
  };

  const sourceOptions = {
    store,
    clock,
    logger,
    watchersBefore: (kind: string) => gossip.watchersBefore(kind),
    onChanges: (message: ChangesMessage) => fleet.broadcast(MESSAGE.CHANGES, message),
  };
  /** A hub gives a host that has just started what it has already; records tell who is a hub. */
  const awaitsHub = (): boolean => {
    const { topology } = fleet;
    const mayComeFromHub = topology.size() === 1 || !topology.isHub();
    return mayComeFromHub && sinceStart() < FIRST_VIEW_MILLISECONDS;
  };
  const configurations = createSource({
    ...sourceOptions,
    kind: kinds.configuration,
    awaitsOthers: awaitsHub,
    onView: takeConfiguration,
  });
  const serverEntries = createSource({
    ...sourceOptions,
    kind: kinds.servers,
    awaitsOthers: awaitsHub,
    gatherMilliseconds: GATHER_MILLISECONDS,
    onView: takeServers,
    onRegained: directory.noteOutage,
  });
  const hostRecords = createSource({
    ...sourceOptions,
    kind: HOST_KIND,
    watchSeconds: HOSTS_WATCH_SECONDS,
    onView: (view) => fleet.takeHosts(view),
  });
  const sources = [configurations, serverEntries, hostRecords];

  const takeOutlook = (outlook: readonly Outlook[]): void => waits.noteOutlook(outlook);

  const duty: OrderDuty = createOrderDuty({
    store,
    clock,
    logger,
    self,
    control: options.control,
    demand,
    configuration: () => configuration,
    running: (server) => gossip.running(server),
    handoverMilliseconds: bounds.handoverMilliseconds,
    othersReachStore: () => gossip.othersReachStore(),
    rank: () => fleet.rank(),
    onOutlook: (outlook, waiting) => {
      takeOutlook(outlook);
      waiting.forEach((name) => fleet.links.to(name)?.send(MESSAGE.OUTLOOK, outlook));
    },
    onUnloading: (server, model) => {
      servers.noteUnloading(server, model);
      fleet.broadcast(MESSAGE.UNLOADING, { server, model } satisfies UnloadingMessage);
    },
  });

  let toldWants = false;
  const tellWants = (): void => {
    const wants: WantsMessage = waits.wants();
    if (wants.length === 0 && !toldWants) return;
    toldWants = wants.length > 0;
    const leader = duty.leader();
    if (leader === host.name) duty.commander.setWants(host.name, wants);
    else if (leader !== undefined) fleet.links.to(leader)?.send(MESSAGE.WANTS, wants);
  };

  const ensureAdapter = async (server: string, model: string, adapter: string) => {
    const leader = duty.leader();
    if (leader === host.name) return duty.commander.ensureAdapter(server, model, adapter);
    const link = leader === undefined ? undefined : fleet.links.to(leader);
    if (!link) return false;
    const body: AdapterMessage = { server, model, adapter };
    return link.request<boolean>(MESSAGE.ADAPTER, body, ADAPTER_MILLISECONDS).catch((error) => {
      logger.warn('adapter not ordered', { server, model, adapter, error: messageOf(error) });
      return false;
    });
  };

  const handlers = createHandlers({
    fleet: () => fleet,
    gossip: () => gossip,
    sources,
    commander: duty.commander,
    suspects,
    servers,
    takeOutlook,
  });

  const fleet: Fleet = createFleet({
    self,
    record: {
      address: host.address,
      port: host.port,
      failureDomain: host.failureDomain,
      cores: host.cores,
      firstStart: options.firstStart,
    },
    store,
    clock,
    logger,
    handlers,
    onLink: (link) => {
      suspects.news().forEach((news) => link.send(MESSAGE.SUSPECT, news));
      gossip.greet(link);
    },
    onLost: (name) => {
      gossip.forget(name);
      duty.commander.forgetHost(name);
    },
    leader: () => duty.leader(),
    reliesOnThis: (name) => gossip.reliesOnThis(name),
  });

  const gossip = createGossip({
    clock,
    self: host.name,
    topology: fleet.topology,
    quotas,
    demand,
    ownRunning: () => runningOf(servers.all()),
    sources: () => sources,
    duty: () => duty,
  });

  const serve = createServe<SomeCall>({
    clock,
    logger,
    metrics: createServingMetrics(options.metrics),
    random,
    failureDomain: host.failureDomain,
    admission,
    servers,
    waits,
    demand: { ...demand, note: (model, credit) => gossip.noteAsked(model, credit) },
    budget,
    suspects,
    send: options.send,
    ensureAdapter,
    closed: () => (refusing ? stoppingRefusal() : undefined),
  });

  const running = [
    configurations.run(stopping.signal),
    serverEntries.run(stopping.signal),
    fleet.links.open().then(() => hostRecords.run(stopping.signal)),
  ];
  const ordering = duty.run(AbortSignal.any([stopping.signal, releasing.signal]));
  [...running, ordering].forEach((work) =>
    work.catch((error: unknown) =>
      logger.error('a task of the host ended', { error: messageOf(error) }),
    ),
  );
  const stopTelling = every(clock, STATE_MILLISECONDS, () => {
    gossip.tell(fleet.links.all());
  });
  const stopWants = every(clock, WANTS_MILLISECONDS, tellWants);

  return {
    serve,
    ready: () => configuration !== undefined && !refusing,
    refuseNewWork: () => {
      refusing = true;
      // A wait may last longer than the stop, and its request has not run yet.
      waits.close();
    },
    release: () => {
      releasing.abort();
      return ordering;
    },
    stop: async () => {
      stopTelling();
      stopWants();
      stopping.abort();
      await Promise.allSettled([...running, ordering]);
      fleet.stop();
      await fleet.links.close();
    },
  };
}
