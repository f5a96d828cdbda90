import { randomUUID } from 'node:crypto';
import { runEffects, tap } from '@most/core';
import { createAuditTrail } from '@bulrushspar/audit';
import { runPeriodically, type Clock } from '@bulrushspar/clock';
import { createCommitter, type AcceptedConfiguration } from '@bulrushspar/configuration';
import {
  createGateway,
  createGatewayMetrics,
  createCrashGuardFactory,
  createModelQueues,
  createTraceBuffer,
} from '@bulrushspar/gateway';
import { createKeyring } from '@bulrushspar/keys';
import { createLedger } from '@bulrushspar/ledger';
import type { Logger } from '@bulrushspar/logging';
import { createMetrics } from '@bulrushspar/metrics';
import { createOperations, createOperatorServer } from '@bulrushspar/operator';
import { createPlacer, createTurnQueue } from '@bulrushspar/placement';
import type { Incarnation } from '@bulrushspar/store';
import { createByteMemory, createSuspectTracker } from '@bulrushspar/routing';
import type { Settings } from '@bulrushspar/settings';
import { createTargetRegistry, isLoading } from '@bulrushspar/targets';
import { createFleetCoordination } from './agreement.js';
import { createMaintenanceTasks } from './chores.js';
import { getBucketSizes, createCreditShare } from './credit.js';
import { waitForMajority, fetchTrace, MESSAGE_TYPE, broadcastConfiguration } from './peers.js';
import { createPlatformClients } from './platform.js';
import { describeStatus } from './status.js';
import { createModelTurnsLookup } from './turns.js';

/** A running node. */
export interface Node {
  /** Shuts down gracefully: drains open requests, releases the credit slots, then closes. */
  stop(): Promise<void>;
  readonly callersPort: number;
  readonly operatorsPort: number;
}

/** Options of {@link startNode}. */
export interface NodeOptions {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Random numbers from 0 up to but not including 1. */
  readonly random?: () => number;
}

const MILLISECONDS_PER_SECOND = 1000;
const MAJORITY_TIMEOUT_MILLISECONDS = 3000;
const FRESHNESS_CHECK_INTERVAL_MILLISECONDS = 250;
const FAILED_CHECKS_BEFORE_ABORT = 4;

/** Starts a node; resolves once it listens on all its ports. */
export async function startNode(options: NodeOptions): Promise<Node> {
  const { settings, clock, logger, random = Math.random } = options;
  const { host, failure_domain: failureDomain } = settings.node;
  const self: Incarnation = { host, incarnation: randomUUID() };
  const stopping = new AbortController();
  const { signal } = stopping;
  const metrics = createMetrics();
  const platform = createPlatformClients(settings);
  const { store } = platform;
  const audit = createAuditTrail({ store, clock, host });
  const traces = createTraceBuffer({ clock, host });

  const suspects = createSuspectTracker({
    clock,
    onUpdate: (news) => network.getLinks().forEach((link) => link.send(MESSAGE_TYPE.SUSPECT, news)),
  });
  const coordination = createFleetCoordination({
    self,
    secrets: settings.peers.secrets,
    platform,
    clock,
    logger,
    traces,
    suspects,
    getLimits: () => limits,
  });
  const { follower, network, membership, freshness } = coordination;
  const { slots, limits } = createCreditShare({
    self,
    platform,
    clock,
    coordination,
    audit,
  });
  const getConfiguration = () => follower.current().configuration;
  let keyring = createKeyring(getConfiguration());

  const registry = createTargetRegistry({
    clock,
    onSilent: (server) => logger.warn('server went silent', { server }),
  });
  const queues = createModelQueues({ clock, registry, getConfiguration });
  const getSuspectTurns = createModelTurnsLookup({
    store,
    clock,
    self,
    hasEnded: membership.hasEnded,
  });
  const weightStoreTurns = createTurnQueue({
    store,
    clock,
    self,
    record: 'weight-store',
    limit: async () => (await platform.weightStore.status()).fullSpeedTransfers,
    hasEnded: membership.hasEnded,
    isInProgress: (model) => registry.servers().some((server) => isLoading(server, model)),
  });
  const placer = createPlacer({
    store,
    clock,
    registry,
    configuration: getConfiguration,
    turns: weightStoreTurns,
    idleMilliseconds: queues.idleMilliseconds,
    onEvent: ({ action, model, server }) => {
      logger.info(action, { model, server });
      audit.record({ action, subject: model, detail: `on ${server}` });
    },
  });

  const ledger = createLedger({ store, clock, self, isGone: membership.hasEnded });

  const maintenanceTasks = createMaintenanceTasks({
    store,
    clock,
    self,
    membership,
    placer,
    logger,
  });

  const gateway = createGateway({
    services: {
      clock,
      random,
      failureDomain,
      getAcceptedConfiguration: follower.current,
      getKeyring: () => keyring,
      limits,
      ledger,
      placer,
      registry,
      queues,
      requestMemory: createByteMemory(),
      createCrashGuard: createCrashGuardFactory({
        registry,
        suspects,
        getTurnQueue: getSuspectTurns,
      }),
      metrics: createGatewayMetrics(metrics),
    },
    metrics,
    traces,
    host,
    getReadiness: freshness.getReadiness,
    onError: (error) =>
      logger.error('request failed with an unexpected error', { error: String(error) }),
  });

  let activeGeneration = 0;
  const activateConfiguration = (accepted: AcceptedConfiguration): void => {
    broadcastConfiguration(network, follower, activeGeneration);
    activeGeneration = accepted.generation;
    keyring = createKeyring(accepted.configuration);
    registry.update(accepted.configuration);
    limits.updateSizes(getBucketSizes(accepted));
    slots.pollNow();
    gateway.abortWithdrawnKeyRequests();
    logger.info('configuration in force', { generation: accepted.generation });
  };

  const committer = createCommitter({
    store,
    clock,
    getRefusalReason: () => waitForMajority(membership, clock, MAJORITY_TIMEOUT_MILLISECONDS),
  });
  const operatorServer = createOperatorServer({
    token: settings.operators.token,
    operations: createOperations({
      store,
      committer,
      getAcceptedConfiguration: follower.current,
      audit,
      findTrace: (id) => fetchTrace(id, traces, network),
      getStatus: () =>
        describeStatus({
          self,
          failureDomain,
          accepted: follower.current(),
          staleness: follower.staleness(),
          readiness: freshness.getReadiness(),
          creditShare: slots.share(),
          credit: limits.getAvailableTokens(),
          members: membership.members(),
          registry,
          queues,
          placer,
          turns: weightStoreTurns,
          weightStore: platform.weightStore,
          traffic: network.traffic,
        }),
    }),
  });

  metrics.gauge('open_requests', 'Requests of callers now.', gateway.countOpenRequests);
  metrics.gauge('configuration_generation', 'Generation in force.', () => activeGeneration);
  metrics.gauge('credit_share', 'Part of all credit held by this host.', slots.share);
  metrics.gauge('ledger_pending', 'Records of calls still to be written.', ledger.pending);
  metrics.gauge('links', 'Links to other nodes.', () => network.getLinks().length);
  metrics.gauge('peer_bytes', 'Bytes of messages between nodes.', () => network.traffic.bytes);

  runEffects(tap(activateConfiguration, follower.changes), clock.scheduler).catch(
    (error: unknown) => {
      logger.error('configuration could not be applied', { error: String(error) });
    },
  );
  const backgroundTasks = [follower.run(signal), slots.run(signal), maintenanceTasks.run(signal)];

  // Requests are aborted only after several failed checks in a row: after a pause of this process
  // alone, the first checks fail until other hosts or the store have confirmed the configuration.
  let failedChecks = 0;
  const stopFreshnessChecks = runPeriodically(clock, FRESHNESS_CHECK_INTERVAL_MILLISECONDS, () => {
    const readiness = freshness.getReadiness();
    failedChecks = readiness.ready ? 0 : failedChecks + 1;
    if (!readiness.ready && failedChecks >= FAILED_CHECKS_BEFORE_ABORT)
      gateway.abortAuthenticatedRequests(readiness.why);
  });

  await network.listen(settings.peers.address, settings.peers.port);
  await operatorServer.listen(settings.operators.address, settings.operators.port);
  // The callers' port opens last, so that every other part is ready when the first request arrives.
  await gateway.listen(settings.callers.address, settings.callers.port);
  logger.info('node started', { incarnation: self.incarnation, failureDomain });

  const drainWork = async (): Promise<void> => {
    const limitMilliseconds = settings.node.stop_within_seconds * MILLISECONDS_PER_SECOND;
    await Promise.race([gateway.waitUntilIdle(), clock.delay(limitMilliseconds)]);
    gateway.abortOpenRequests();
    await Promise.race([ledger.drain(), clock.delay(limitMilliseconds)]);
  };

  return {
    callersPort: gateway.port(),
    operatorsPort: operatorServer.port(),
    stop: async () => {
      logger.info('node stopping', { openRequests: gateway.countOpenRequests() });
      gateway.startDraining();
      await clock.delay(settings.node.leave_seconds * MILLISECONDS_PER_SECOND);
      gateway.refuseNewRequests();
      await drainWork();
      stopFreshnessChecks();
      maintenanceTasks.stop();
      stopping.abort();
      await Promise.allSettled(backgroundTasks);
      await slots.releaseAll().catch(() => {});
      audit.stop();
      await audit.flush();
      membership.stop();
      await Promise.all([
        gateway.close(),
        operatorServer.close(),
        registry.stop(),
        network.close(),
      ]);
      await platform.close();
      logger.info('node stopped');
    },
  };
}
