import { randomUUID } from 'node:crypto';
import { createDirectory, type FleetConfiguration, type ServerEntry } from '@bulrushspar/catalogue';
import { every, type Clock } from '@bulrushspar/clock';
import { messageOf } from '@bulrushspar/errors';
import { createDemand, type EngineControl, type Outlook } from '@bulrushspar/loading';
import type { Logger } from '@bulrushspar/logging';
import type { Metrics } from '@bulrushspar/metrics';
import type { PeerHandlers } from '@bulrushspar/peer';
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
import { createGossip } from './gossip.js';
import { HOST_KIND, peersOf } from './group.js';
import { createFleetLinks, type FleetLinks } from './links.js';
import {
  MESSAGE,
  type AdapterMessage,
  type ChangesMessage,
  type HostState,
  type OutlookMessage,
  type PullMessage,
  type SuspectMessage,
  type UnloadingMessage,
  type WantsMessage,
} from './messages.js';
import { createOrderDuty, type OrderDuty } from './orders.js';
import { createQuotas, type QuotaTolerance } from './quotas.js';
import { createSource } from './source.js';

/** Where a host is and listens for the others. */
export interface EntryHost {
  readonly name: string;
  readonly failureDomain: string;
  readonly address: string;
  readonly port: number;
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
/** Starts an entry host; it serves as soon as it has a configuration. */
export function startEntry<SomeCall extends Call>(
  options: EntryOptions<SomeCall>,
): Entry<SomeCall> {
  const { host, clock, logger, store, kinds, bounds, random = Math.random } = options;
  const { onConfiguration = () => {}, onServers = () => {} } = options;
  const self: Incarnation = { host: host.name, incarnation: randomUUID() };
  const stopping = new AbortController();
  const releasing = new AbortController();
  let configuration: FleetConfiguration | undefined;
  let hosts = 1;
  let refusing = false;

  const servers = createServerStates(clock);
  const demand = createDemand({ clock });
  const quotas = createQuotas({
    clock,
    linkedPart: () => Math.min(1, (links.all().length + 1) / hosts),
    firstStart: options.firstStart,
    tolerance: bounds.quota,
  });
  const suspects = createSuspects({
    clock,
    onNews: (news) => links.broadcast(MESSAGE.SUSPECT, news),
  });
  const budget = createRetryBudget({
    clock,
    ratio: bounds.repeatsPerRequest,
    slack: bounds.repeatSlack,
    windowMilliseconds: bounds.repeatWindowMilliseconds,
    hosts: () => hosts,
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

  const gossip = createGossip({
    clock,
    self: host.name,
    quotas,
    servers,
    demand,
    sources: () => sources,
    duty: () => duty,
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
    onChanges: (message: ChangesMessage) => links.broadcast(MESSAGE.CHANGES, message),
  };
  const configurations = createSource({
    ...sourceOptions,
    kind: kinds.configuration,
    onView: takeConfiguration,
  });
  const serverEntries = createSource({
    ...sourceOptions,
    kind: kinds.servers,
    onView: takeServers,
    onRegained: directory.noteOutage,
  });
  const hostRecords = createSource({
    ...sourceOptions,
    kind: HOST_KIND,
    onView: (view) => {
      const peers = peersOf(view, host.name);
      hosts = peers.length + 1;
      links.connectTo(peers);
    },
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
    running: gossip.running,
    handoverMilliseconds: bounds.handoverMilliseconds,
    othersReachStore: gossip.othersReachStore,
    rank: () => links.all().filter(({ peer }) => peer.host < host.name).length,
    onOutlook: (outlook, waiting) => {
      takeOutlook(outlook);
      waiting.forEach((name) => links.to(name)?.send(MESSAGE.OUTLOOK, outlook));
    },
    onUnloading: (server, model) => {
      servers.noteUnloading(server, model);
      links.broadcast(MESSAGE.UNLOADING, { server, model } satisfies UnloadingMessage);
    },
  });

  let toldWants = false;
  const tellWants = (): void => {
    const wants: WantsMessage = waits.wants();
    if (wants.length === 0 && !toldWants) return;
    toldWants = wants.length > 0;
    const leader = duty.leader();
    if (leader === host.name) duty.commander.setWants(host.name, wants);
    else if (leader !== undefined) links.to(leader)?.send(MESSAGE.WANTS, wants);
  };

  const ensureAdapter = async (server: string, model: string, adapter: string) => {
    const leader = duty.leader();
    if (leader === host.name) return duty.commander.ensureAdapter(server, model, adapter);
    const link = leader === undefined ? undefined : links.to(leader);
    if (!link) return false;
    const body: AdapterMessage = { server, model, adapter };
    return link.request<boolean>(MESSAGE.ADAPTER, body, ADAPTER_MILLISECONDS).catch((error) => {
      logger.warn('adapter not ordered', { server, model, adapter, error: messageOf(error) });
      return false;
    });
  };

  const handlers: PeerHandlers = {
    [MESSAGE.STATE]: (body, from) => {
      const link = links.to(from.host);
      if (link) gossip.hear(link, body as HostState);
    },
    [MESSAGE.WANTS]: (body, from) => duty.commander.setWants(from.host, body as WantsMessage),
    [MESSAGE.OUTLOOK]: (body) => takeOutlook(body as OutlookMessage),
    [MESSAGE.ADAPTER]: (body) => {
      const { server, model, adapter } = body as AdapterMessage;
      return duty.commander.ensureAdapter(server, model, adapter);
    },
    [MESSAGE.UNLOADING]: (body) => {
      const { server, model } = body as UnloadingMessage;
      servers.noteUnloading(server, model);
    },
    [MESSAGE.CHANGES]: (body, from) => {
      const message = body as ChangesMessage;
      const link = links.to(from.host);
      const source = sources.find(({ kind }) => kind === message.kind);
      if (link) source?.take(link, message);
    },
    [MESSAGE.PULL]: (body) => {
      const { kind } = body as PullMessage;
      return sources.find((source) => source.kind === kind)?.snapshot();
    },
    [MESSAGE.SUSPECT]: (body) => suspects.hear(body as SuspectMessage),
  };

  const links: FleetLinks = createFleetLinks({
    self,
    address: host.address,
    port: host.port,
    store,
    clock,
    logger,
    handlers,
    onLink: (link) => {
      suspects.news().forEach((news) => link.send(MESSAGE.SUSPECT, news));
      link.send(MESSAGE.STATE, gossip.state());
    },
    onLost: (name) => {
      gossip.forget(name);
      duty.commander.forgetHost(name);
    },
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
    demand: { ...demand, note: gossip.noteAsked },
    budget,
    suspects,
    send: options.send,
    ensureAdapter,
    closed: () => (refusing ? stoppingRefusal() : undefined),
  });

  const running = [
    configurations.run(stopping.signal),
    serverEntries.run(stopping.signal),
    links.open().then(() => hostRecords.run(stopping.signal)),
  ];
  const ordering = duty.run(AbortSignal.any([stopping.signal, releasing.signal]));
  [...running, ordering].forEach((work) =>
    work.catch((error: unknown) =>
      logger.error('a task of the host ended', { error: messageOf(error) }),
    ),
  );
  const stopTelling = every(clock, STATE_MILLISECONDS, () => {
    links.broadcast(MESSAGE.STATE, gossip.nextState());
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
      await links.close();
    },
  };
}
