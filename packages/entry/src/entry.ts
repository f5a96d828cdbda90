import { randomUUID } from 'node:crypto';
import { createAdmissionQueue } from '@bulrushspar/admission';
import {
  acceptsRequests,
  createServerDirectory,
  type FleetConfiguration,
  type ServerEntry,
} from '@bulrushspar/catalogue';
import { createPauseMonitor, runPeriodically, startMonotonicStopwatch } from '@bulrushspar/clock';
import { errorMessage } from '@bulrushspar/errors';
import { createDemandTracker, type Outlook } from '@bulrushspar/loading';
import { answerBytesOfHost, createByteMemory } from '@bulrushspar/routing';
import {
  createAdmission,
  createBalancing,
  createModelWaits,
  createRequestHandler,
  createServerStates,
  createServingMetrics,
  createStoppingRefusal,
  createStreamVersions,
  listGroupServers,
  type Call,
  type ServerState,
  type ServerNotice,
} from '@bulrushspar/serving';
import { createRetryBudget, type Reservation } from '@bulrushspar/shares';
import { createEraTracker, type Incarnation, type ObjectView } from '@bulrushspar/store';
import { createPausingControl } from './control.js';
import { createCrashWatch } from './crashes.js';
import { createEntrySend } from './ends.js';
import { createEvacuations, type Evacuations } from './evacuations.js';
import { createFleet, type Fleet } from './fleet.js';
import { createForwarding, type Forwarding } from './forward.js';
import { createGossip } from './gossip.js';
import { HOST_KIND } from './group.js';
import { createHandlers } from './handlers.js';
import { createFleetLimits } from './limits.js';
import { createLoadMetrics } from './load-metrics.js';
import {
  MESSAGE,
  type AdapterMessage,
  type ChangesMessage,
  type DepartureMessage,
  type UnloadingMessage,
  type WantsMessage,
} from './messages.js';
import type { Entry, EntryOptions } from './options.js';
import { createOrderLeadership, type OrderLeadership } from './orders.js';
import { createQuotas } from './quotas.js';
import { createServerRelays } from './relays.js';
import { createKindFollower } from './source.js';
import { countRunningRequests } from './totals.js';
import { createVersionsKeeper } from './versions.js';

/** Interval of the state messages to other hosts. */
const STATE_INTERVAL_MILLISECONDS = 200;
/** Interval of the reports to the leader on the models that requests wait for. */
const WANTS_INTERVAL_MILLISECONDS = 100;
/** Longest wait for an adapter: the time of a load in progress on its server and of the order. */
const ADAPTER_TIMEOUT_MILLISECONDS = 2000;
/** Time before which a request was sent at the earliest whose answer arrives now: that of a report. */
const MAX_ANSWER_MILLISECONDS = 300;
/** Longest wait for the leader's answer to a reservation. */
const RESERVATION_TIMEOUT_MILLISECONDS = 300;
/** Longest wait for a host that has passed on an answer; it answers at once. */
const UPTIME_TIMEOUT_MILLISECONDS = 300;
/** Time to wait for the first view from a hub before the host reads the store itself. */
const FIRST_VIEW_TIMEOUT_MILLISECONDS = 800;
/** Longest wait of a watch on the host records; they change rarely, so it exceeds the default. */
const HOSTS_WATCH_SECONDS = 3;
/** All hosts write their records when a fleet starts; few messages carry them to the others. */
const HOSTS_BATCH_MILLISECONDS = 500;
/**
 * Longest wait of a watch on the evacuations. Half of the time within which they must be obeyed, since a
 * watch that the store does not answer is noticed one second after it.
 */
const EVACUATIONS_WATCH_SECONDS = 2;
/** Servers write often: changes within this time are read with one call to the store. */
const SERVER_BATCH_MILLISECONDS = 50;

/** Starts an entry host; it serves requests once it has a configuration. */
export function startEntry<SomeCall extends Call>(
  options: EntryOptions<SomeCall>,
): Entry<SomeCall> {
  const { host, clock, logger, store, kinds, bounds, random = Math.random } = options;
  const { onConfiguration = () => {}, onServers = () => {} } = options;
  const { eras = createEraTracker(), rankConfiguration } = options;
  const self: Incarnation = { host: host.name, incarnation: randomUUID() };
  const stopping = new AbortController();
  const releasing = new AbortController();
  const sinceStart = startMonotonicStopwatch(clock);
  let configuration: FleetConfiguration | undefined;
  let isRefusing = false;
  /** Other hosts were told to use no connections through this one any more. */
  let isRelayingStopped = false;

  const servers = createServerStates(clock, (server) => gossip.runningOnOtherHosts(server));
  const balancing = options.sharesCapacity
    ? createBalancing({ now: clock.monotonic, logger, servers, metrics: options.metrics })
    : undefined;
  const demand = createDemandTracker({ clock });
  const pauses = createPauseMonitor({ clock });
  const quotas = createQuotas({
    clock,
    linkedFraction: () => gossip.linkedFraction(),
    isFirstStart: options.isFirstStart,
    tolerance: bounds.quota,
  });
  const promptParts = createCrashWatch({
    clock,
    logger,
    current: () => directory.current(),
    report: (server) => pausingControl.report(server),
    onUpdate: (update) => fleet.broadcast(MESSAGE.PROMPT_PARTS, update),
    onRun: (update) => fleet.broadcast(MESSAGE.CONTENT_RUN, update),
  });
  const retryBudget = createRetryBudget({
    clock,
    retriesPerRequest: bounds.retriesPerRequest,
    slack: bounds.retrySlack,
    windowMilliseconds: bounds.retryWindowMilliseconds,
    hosts: () => fleet.topology.size(),
  });

  const { limits, cold, reserve, charge } = createFleetLimits({
    clock,
    logger,
    host: host.name,
    random,
    countHosts: () => fleet.topology.size(),
    leader: () => leadership.leader(),
    requestReservation: (leader, request) =>
      forwarding.request<Reservation>(
        leader,
        MESSAGE.RESERVATION,
        request,
        RESERVATION_TIMEOUT_MILLISECONDS,
      ),
    metrics: options.metrics,
    coldStartOf: (service) => configuration?.services.get(service)?.coldStart,
    onUpdate: (update) => fleet.broadcast(MESSAGE.LIMIT, update),
    onColdUpdate: (update) => fleet.broadcast(MESSAGE.COLD, update),
  });

  /** Whether requests need not wait for a load of the model; the leader plans loads by the same rule. */
  const isLoaded = (model: string): boolean => {
    const isLimited = ({ entry }: ServerState): boolean =>
      !acceptsRequests(entry) || limits.isNamed(entry.id);
    return [...servers.all()].some(
      (state) =>
        servers.canServeModel(state, model) &&
        (!isLimited(state) || servers.ofService(state.entry.service).every(isLimited)),
    );
  };
  /** Whether all servers that could load the model are in evacuated failure domains. */
  const isEvacuatedModel = (model: string): boolean => {
    const capable = [...servers.all()].filter(({ entry }) =>
      configuration?.services.get(entry.service)?.engine?.models.has(model),
    );
    return capable.length > 0 && capable.every(({ entry }) => entry.evacuated);
  };
  const waits = createModelWaits({
    clock,
    onNewModel: () => sendWants(),
    ...(options.sharesCapacity ? { random } : {}),
  });
  const admission = createAdmission({ bucketOf: quotas.bucketOf, random });

  const places = options.sharesCapacity
    ? createAdmissionQueue({
        clock,
        random,
        fleet: () => ({
          hosts: fleet.topology.size(),
          linkedFraction: gossip.linkedFraction(),
        }),
        waitingElsewhere: () => gossip.waitingOnOtherHosts(),
        listServers: (group) => listGroupServers(servers, group),
      })
    : undefined;

  const streams = createStreamVersions({
    clock,
    onBegun: (stream) => fleet.broadcast(MESSAGE.BEGUN, stream),
    isFirstStart: options.isFirstStart,
    confirmHistory: () => versions.confirm(),
  });
  const versions = createVersionsKeeper({
    store,
    clock,
    logger,
    random,
    eras,
    streams,
    isFirstStart: options.isFirstStart,
    watcherRank: () =>
      serverFollower.isWatching() ? gossip.countBetterRankedWatchers(kinds.servers) : undefined,
    doAllHostsReport: () => gossip.linkedFraction() >= 1 && !pauses.hasPaused(),
    onRecorded: (update) => fleet.broadcast(MESSAGE.VERSIONS, update),
  });

  const directory = createServerDirectory({
    clock,
    onChange: (view, ageMilliseconds) => {
      servers.update(view, ageMilliseconds);
      cold.updateServers(view);
      limits.updateServers(view);
      promptParts.updateServers(view);
      streams.updateServers(view);
      versions.updateServers(view);
      leadership.setServers(view);
      evacuations.updateServers(view);
      onServers(view);
      if (evacuations.domains().size > 0) waits.endEvacuatedWaits(isEvacuatedModel);
      waits.endReadyWaits(isLoaded);
    },
  });

  /** Configuration that is not in force before the evacuations are known. */
  let heldConfiguration: ObjectView<unknown> | undefined;
  const evacuations: Evacuations = createEvacuations({
    clock,
    logger,
    metrics: options.metrics,
    eras,
    decode: options.decodeEvacuation,
    onChange: (domains) => {
      directory.setEvacuatedDomains(domains);
      if (!heldConfiguration) return;
      const held = heldConfiguration;
      heldConfiguration = undefined;
      applyConfiguration(held);
    },
  });

  /** Applies what a server has told about itself with an answer to this host. */
  const applyNotice = ({ id, born }: ServerEntry, notice: ServerNotice): void => {
    const { isLeaving, closedMilliseconds, limitPerSecond, coldMilliseconds } = notice;
    if (coldMilliseconds !== undefined)
      cold.recordAnswer({ id, born }, coldMilliseconds, () => MAX_ANSWER_MILLISECONDS);
    if (limitPerSecond !== undefined) limits.recordNamed({ id, born }, limitPerSecond);
    if (isLeaving && directory.recordLeaving({ id, born })) {
      logger.info('server has told that it is leaving', { server: id });
      fleet.broadcast(MESSAGE.DEPARTURE, { id, born } satisfies DepartureMessage);
    }
    if (closedMilliseconds === undefined) return;
    if (servers.closedMilliseconds(id) === 0)
      logger.info('server accepts nothing for a time', { server: id, closedMilliseconds });
    servers.close(id, closedMilliseconds);
  };

  const pausingControl = createPausingControl({
    control: options.createEngineControl(applyNotice),
    closedMilliseconds: servers.closedMilliseconds,
    isEvacuated: ({ failureDomain }) => evacuations.covers(failureDomain),
    charge,
  });

  const applyConfiguration = (view: ObjectView<unknown>): void => {
    if (!evacuations.isKnown()) {
      heldConfiguration = view;
      return;
    }
    const rank = Math.max(...[...view.values()].map(({ value }) => rankConfiguration(value)));
    if (configuration && rank <= configuration.version) return;
    const next = options.decodeConfiguration(view);
    if (!next || (configuration && next.version <= configuration.version)) return;
    logger.info('configuration in force', { version: next.version, routes: next.routes.length });
    configuration = next;
    admission.update(next);
    quotas.update(next);
    cold.updateServices();
    onConfiguration(next);
    leadership.setServers(directory.current());
  };

  const applyServerEntries = (view: ObjectView<unknown>, ageMilliseconds: number): void => {
    const entries = [...view].flatMap(([name, { value }]): [string, ServerEntry][] => {
      const entry = options.decodeServer(name, value);
      return entry ? [[name, entry]] : [];
    });
    directory.update(new Map(entries), ageMilliseconds);
  };

  const followerOptions = {
    store,
    clock,
    logger,
    eras,
    countBetterRankedWatchers: (kind: string) => gossip.countBetterRankedWatchers(kind),
    onChanges: (message: ChangesMessage) => fleet.broadcast(MESSAGE.CHANGES, message),
  };
  /**
   * Whether the first view may come from a hub. Only the host records show whether this host is a
   * hub; until they are read, the fleet has size 1.
   */
  const awaitsHubView = (): boolean => {
    const { topology } = fleet;
    const mayComeFromHub = topology.size() === 1 || !topology.isHub();
    return mayComeFromHub && sinceStart() < FIRST_VIEW_TIMEOUT_MILLISECONDS;
  };
  const configurationFollower = createKindFollower({
    ...followerOptions,
    kind: kinds.configuration,
    stalenessMilliseconds: bounds.configurationMilliseconds,
    awaitsFirstView: awaitsHubView,
    rankOf: rankConfiguration,
    onView: applyConfiguration,
  });
  const serverFollower = createKindFollower({
    ...followerOptions,
    kind: kinds.servers,
    stalenessMilliseconds: bounds.departureMilliseconds,
    awaitsFirstView: awaitsHubView,
    batchMilliseconds: SERVER_BATCH_MILLISECONDS,
    onView: applyServerEntries,
    onStoreRecovered: directory.recordOutage,
  });
  const hostFollower = createKindFollower({
    ...followerOptions,
    kind: HOST_KIND,
    watchSeconds: HOSTS_WATCH_SECONDS,
    batchMilliseconds: HOSTS_BATCH_MILLISECONDS,
    onView: (view) => fleet.updateHosts(view),
  });
  const evacuationFollowers =
    kinds.evacuations === undefined
      ? []
      : [
          createKindFollower({
            ...followerOptions,
            kind: kinds.evacuations,
            watchSeconds: EVACUATIONS_WATCH_SECONDS,
            awaitsFirstView: awaitsHubView,
            onView: evacuations.applyView,
          }),
        ];
  if (evacuationFollowers.length === 0) evacuations.applyView(new Map());
  const followers = [configurationFollower, serverFollower, hostFollower, ...evacuationFollowers];

  const receiveOutlook = (outlook: readonly Outlook[]): void => waits.applyOutlook(outlook);

  const leadership: OrderLeadership = createOrderLeadership({
    store,
    clock,
    logger,
    self,
    control: pausingControl,
    demand,
    configuration: () => configuration,
    runningByModel: (server) => gossip.runningByModel(server),
    isLimited: limits.isNamed,
    handoverMilliseconds: bounds.handoverMilliseconds,
    eras,
    isFirstStart: options.isFirstStart,
    sharesCapacity: options.sharesCapacity ?? false,
    ...createLoadMetrics(options.metrics),
    reachesServers: options.reachesServers,
    canOthersReachStore: () => gossip.canOthersReachStore(),
    contentionRank: () => fleet.contentionRank(),
    onOutlook: (outlook, waiting) => {
      receiveOutlook(outlook);
      const others = waiting.filter((name) => name !== host.name);
      forwarding.send(others, MESSAGE.OUTLOOK, outlook);
    },
    onUnloading: (server, model) => {
      servers.recordUnloadOrder(server, model);
      fleet.broadcast(MESSAGE.UNLOADING, { server, model } satisfies UnloadingMessage);
    },
  });

  let hasSentWants = false;
  const sendWants = (): void => {
    const wants: WantsMessage = waits.wants();
    if (wants.length === 0 && !hasSentWants) return;
    hasSentWants = wants.length > 0;
    const leader = leadership.leader();
    if (leader === host.name) leadership.commander.setWants(host.name, wants);
    else if (leader !== undefined) forwarding.send([leader], MESSAGE.WANTS, wants);
  };

  const ensureAdapter = async (server: string, model: string, adapter: string) => {
    const leader = leadership.leader();
    if (leader === host.name) return leadership.commander.ensureAdapter(server, model, adapter);
    if (leader === undefined) return false;
    const body: AdapterMessage = { server, model, adapter };
    return forwarding
      .request<boolean>(leader, MESSAGE.ADAPTER, body, ADAPTER_TIMEOUT_MILLISECONDS)
      .catch((error) => {
        logger.warn('requesting an adapter from the leader failed', {
          server,
          model,
          adapter,
          error: errorMessage(error),
        });
        return false;
      });
  };

  const handlers = createHandlers({
    fleet: () => fleet,
    gossip: () => gossip,
    forwarding: () => forwarding,
    followers,
    commander: leadership.commander,
    promptParts,
    servers,
    limits,
    cold,
    reserve,
    directory,
    streams,
    versions,
    evacuations,
    receiveOutlook,
    sinceStart,
    recordStopping: (name) => relays.recordStopping(name),
  });

  const relays = createServerRelays({
    clock,
    random,
    failureDomain: host.failureDomain,
    listHosts: () => fleet.otherHosts(),
    openTunnel: (peer, address, signal) => fleet.links.openTunnel(peer, address, signal),
    servers: () => directory.current(),
    isEvacuated: ({ failureDomain }) => evacuations.covers(failureDomain),
    openDirect: options.openDirect,
    canOpenForHosts: () => !isRelayingStopped && evacuations.isKnown() && options.reachesServers(),
    onUnusable: options.onUnusable,
  });

  const fleet: Fleet = createFleet({
    self,
    record: {
      address: host.address,
      port: host.port,
      failureDomain: host.failureDomain,
      cores: host.cores,
      isFirstStart: options.isFirstStart,
    },
    store,
    clock,
    logger,
    random,
    handlers,
    onLink: (link) => {
      relays.recordStarted(link.peer.host);
      cold.listUpdates().forEach((update) => link.send(MESSAGE.COLD, update));
      limits.listUpdates().forEach((update) => link.send(MESSAGE.LIMIT, update));
      promptParts.listUpdates().forEach((update) => link.send(MESSAGE.PROMPT_PARTS, update));
      const recorded = versions.latest();
      if (recorded) link.send(MESSAGE.VERSIONS, recorded);
      const lostEvacuations = evacuations.listLost();
      if (lostEvacuations.length > 0) link.send(MESSAGE.LOST_EVACUATIONS, lostEvacuations);
      gossip.sendInitialState(link);
    },
    onLost: (name) => {
      gossip.removeHost(name);
      forwarding.removeHost(name);
      leadership.commander.removeHost(name);
    },
    leader: () => leadership.leader(),
    hasReported: (name) => gossip.hasReported(name),
    needsRelay: (name) => gossip.needsRelay(name),
    primaryHub: () => gossip.primaryHub(),
    openTarget: relays.openForHost,
  });

  const forwarding: Forwarding = createForwarding({
    self,
    linkTo: (name) => fleet.links.linkTo(name),
    primaryHub: () => gossip.primaryHub(),
    handlers: () => handlers,
  });

  const gossip = createGossip({
    clock,
    self: host.name,
    incarnation: self.incarnation,
    topology: fleet.topology,
    quotas,
    demand,
    ownRunning: () => countRunningRequests(servers.all()),
    slowness: balancing?.exchange,
    ownWaiting: () => places?.waiting() ?? {},
    followers: () => followers,
    leadership: () => leadership,
    onExpired: (name) => leadership.commander.removeHost(name),
  });

  const answerMemory = createByteMemory(
    options.memoryBytes !== undefined ? { totalBytes: answerBytesOfHost(options.memoryBytes) } : {},
  );
  options.metrics.gauge(
    'held_answer_bytes',
    'Bytes of answers that are incomplete or that their callers have not read.',
    answerMemory.heldBytes,
  );
  const serve = createRequestHandler<SomeCall>({
    clock,
    logger,
    metrics: createServingMetrics(options.metrics),
    random,
    failureDomain: host.failureDomain,
    admission,
    servers,
    waits,
    demand: { ...demand, recordRequests: (model, credit) => gossip.recordRequest(model, credit) },
    budget: retryBudget,
    promptParts,
    limits,
    places,
    send: createEntrySend({
      clock,
      logger,
      send: options.send,
      report: pausingControl.report,
      isClosed: ({ id, failureDomain }) =>
        servers.closedMilliseconds(id) > 0 || evacuations.covers(failureDomain),
      requestUptime: (peer) =>
        forwarding.request(peer, MESSAGE.UPTIME, {}, UPTIME_TIMEOUT_MILLISECONDS),
    }),
    streams,
    onNotice: applyNotice,
    balancing,
    cacheTokensOf: (service) => configuration?.services.get(service)?.engine?.cacheTokens,
    ensureAdapter,
    isEvacuated: ({ failureDomain }) => evacuations.covers(failureDomain),
    answerMemory,
    buffersUnread: options.buffersUnread ?? false,
    getStoppingRefusal: () => (isRefusing ? createStoppingRefusal() : undefined),
  });

  eras.onChange((era) => {
    logger.warn('the store has come back from an older copy', {
      era,
      configuration: configuration?.version,
    });
    directory.recordRollback();
    fleet.recordRollback();
  });

  const tasks = [
    configurationFollower.run(stopping.signal),
    serverFollower.run(stopping.signal),
    ...evacuationFollowers.map((follower) => follower.run(stopping.signal)),
    fleet.links.open().then(() => hostFollower.run(stopping.signal)),
  ];
  const leadershipTask = leadership.run(AbortSignal.any([stopping.signal, releasing.signal]));
  [...tasks, leadershipTask].forEach((work) =>
    work.catch((error: unknown) =>
      logger.error('background task of the host failed', { error: errorMessage(error) }),
    ),
  );
  const stopStateReports = runPeriodically(clock, STATE_INTERVAL_MILLISECONDS, () => {
    pauses.tick();
    gossip.sendState(fleet.links.all());
  });
  const stopWantsReports = runPeriodically(clock, WANTS_INTERVAL_MILLISECONDS, () => {
    // The limit of a server can end without a change of its entry.
    waits.endReadyWaits(isLoaded);
    sendWants();
  });

  return {
    serve,
    openThroughHost: relays.openThroughHost,
    isUsable: relays.isUsable,
    findPassingHost: relays.findPassingHost,
    stopRelaying: () => {
      isRelayingStopped = true;
      fleet.broadcast(MESSAGE.STOPPING, { host: host.name });
    },
    countRelayed: relays.countRelayed,
    resetRelayed: relays.resetRelayed,
    isEvacuated: (address) =>
      evacuations.domains().size > 0 &&
      [...directory.current().values()].some(
        (server) => server.address === address && server.evacuated === true,
      ),
    isReady: () => configuration !== undefined && !isRefusing,
    refuseNewRequests: () => {
      isRefusing = true;
      // A waiting request has not run yet, and its wait may outlast the shutdown.
      waits.close();
      places?.close(createStoppingRefusal);
    },
    releaseOrderLease: () => {
      releasing.abort();
      return leadershipTask;
    },
    stop: async () => {
      stopStateReports();
      stopWantsReports();
      versions.stop();
      stopping.abort();
      await Promise.allSettled([...tasks, leadershipTask]);
      fleet.stop();
      await fleet.links.close();
    },
  };
}
