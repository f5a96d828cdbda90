import { randomUUID } from 'node:crypto';
import { runEffects, tap } from '@most/core';
import { createAuditTrail } from '@bulrushspar/audit';
import { every, type Clock } from '@bulrushspar/clock';
import { createCommitter, type AcceptedConfiguration } from '@bulrushspar/configuration';
import {
  createGateway,
  createGatewayMetrics,
  createIsolation,
  createModelQueues,
  createTraceBook,
} from '@bulrushspar/gateway';
import { createKeyring } from '@bulrushspar/keys';
import { createLedger } from '@bulrushspar/ledger';
import type { Logger } from '@bulrushspar/logging';
import { createMetrics } from '@bulrushspar/metrics';
import { createOperations, createOperatorServer } from '@bulrushspar/operator';
import { createPlacer, createTurns } from '@bulrushspar/placement';
import type { Incarnation } from '@bulrushspar/store';
import { createSuspects } from '@bulrushspar/routing';
import type { Settings } from '@bulrushspar/settings';
import { createTargetRegistry, isLoading } from '@bulrushspar/targets';
import { createAgreement } from './agreement.js';
import { createChores } from './chores.js';
import { bucketSizes, createCreditShare } from './credit.js';
import { awaitMajority, findTrace, MESSAGE, spreadConfiguration } from './peers.js';
import { openPlatform } from './platform.js';
import { describeStatus } from './status.js';
import { createTurnsByName } from './turns.js';

/** One running node. */
export interface Node {
  /** Stops gracefully: finishes what runs, gives back what is held, then closes. */
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
const MAJORITY_MILLISECONDS = 3000;
const PROVING_MILLISECONDS = 250;
const UNPROVED_CHECKS = 4;

/** Starts a node; resolves once it listens. */
export async function startNode(options: NodeOptions): Promise<Node> {
  const { settings, clock, logger, random = Math.random } = options;
  const { host, failure_domain: failureDomain } = settings.node;
  const self: Incarnation = { host, incarnation: randomUUID() };
  const stopping = new AbortController();
  const { signal } = stopping;
  const metrics = createMetrics();
  const platform = openPlatform(settings);
  const { store } = platform;
  const audit = createAuditTrail({ store, clock, host });
  const traces = createTraceBook({ clock, host });

  const suspects = createSuspects({
    clock,
    onNews: (news) => network.links().forEach((link) => link.send(MESSAGE.SUSPECT, news)),
  });
  const agreement = createAgreement({
    self,
    secrets: settings.peers.secrets,
    platform,
    clock,
    logger,
    traces,
    suspects,
    limits: () => limits,
  });
  const { follower, network, membership, freshness } = agreement;
  const { slots, limits } = createCreditShare({ self, platform, clock, agreement, audit });
  const configuration = () => follower.current().configuration;
  let keyring = createKeyring(configuration());

  const registry = createTargetRegistry({
    clock,
    onSilent: (server) => logger.warn('server went silent', { server }),
  });
  const queues = createModelQueues({ clock, registry, configuration });
  const turnsOf = createTurnsByName({ store, clock, self, isGone: membership.isGone });
  const turns = createTurns({
    store,
    clock,
    self,
    record: 'weight-store',
    limit: async () => (await platform.weightStore.status()).fullSpeedTransfers,
    isGone: membership.isGone,
    isUnderWay: (model) => registry.servers().some((server) => isLoading(server, model)),
  });
  const placer = createPlacer({
    store,
    clock,
    registry,
    configuration,
    turns,
    idleMilliseconds: queues.idleMilliseconds,
    onEvent: ({ action, model, server }) => {
      logger.info(action, { model, server });
      audit.record({ action, subject: model, detail: `on ${server}` });
    },
  });

  const ledger = createLedger({ store, clock, self, isGone: membership.isGone });

  const chores = createChores({ store, clock, self, membership, placer, logger });

  const gateway = createGateway({
    services: {
      clock,
      random,
      failureDomain,
      accepted: follower.current,
      keyring: () => keyring,
      limits,
      ledger,
      placer,
      registry,
      queues,
      isolation: createIsolation({ registry, suspects, turnsOf }),
      metrics: createGatewayMetrics(metrics),
    },
    metrics,
    traces,
    host,
    readiness: freshness.readiness,
    onError: (error) => logger.error('request failed unexpectedly', { error: String(error) }),
  });

  let enforced = 0;
  const enforce = (accepted: AcceptedConfiguration): void => {
    spreadConfiguration(network, follower, enforced);
    enforced = accepted.generation;
    keyring = createKeyring(accepted.configuration);
    registry.update(accepted.configuration);
    limits.update(bucketSizes(accepted));
    slots.wake();
    gateway.dropWithdrawn();
    logger.info('configuration in force', { generation: accepted.generation });
  };

  const committer = createCommitter({
    store,
    clock,
    mayCommit: () => awaitMajority(membership, clock, MAJORITY_MILLISECONDS),
  });
  const operators = createOperatorServer({
    token: settings.operators.token,
    operations: createOperations({
      store,
      committer,
      accepted: follower.current,
      audit,
      explain: (id) => findTrace(id, traces, network),
      status: () =>
        describeStatus({
          self,
          failureDomain,
          accepted: follower.current(),
          staleness: follower.staleness(),
          readiness: freshness.readiness(),
          share: slots.share(),
          credit: limits.stocks(),
          members: membership.members(),
          registry,
          queues,
          placer,
          turns,
          weightStore: platform.weightStore,
          traffic: network.traffic,
        }),
    }),
  });

  metrics.gauge('open_requests', 'Requests of callers now.', gateway.openRequests);
  metrics.gauge('configuration_generation', 'Generation in force.', () => enforced);
  metrics.gauge('credit_share', 'Part of all credit held by this host.', slots.share);
  metrics.gauge('ledger_pending', 'Records of calls still to be written.', ledger.pending);
  metrics.gauge('links', 'Links to other nodes.', () => network.links().length);
  metrics.gauge('peer_bytes', 'Bytes of messages between nodes.', () => network.traffic.bytes);

  runEffects(tap(enforce, follower.changes), clock.scheduler).catch((error: unknown) => {
    logger.error('configuration could not be put in force', { error: String(error) });
  });
  const running = [follower.run(signal), slots.run(signal), chores.run(signal)];

  // A pause of this process alone ends nothing: it can prove its freshness soon after.
  let unproved = 0;
  const stopProving = every(clock, PROVING_MILLISECONDS, () => {
    const state = freshness.readiness();
    unproved = state.ready ? 0 : unproved + 1;
    if (!state.ready && unproved >= UNPROVED_CHECKS) gateway.dropUnproved(state.why);
  });

  await network.listen(settings.peers.address, settings.peers.port);
  await operators.listen(settings.operators.address, settings.operators.port);
  // Callers come last: whoever can reach this port finds the node whole.
  await gateway.listen(settings.callers.address, settings.callers.port);
  logger.info('node started', { incarnation: self.incarnation, failureDomain });

  const finishWork = async (): Promise<void> => {
    const limit = settings.node.stop_within_seconds * MILLISECONDS_PER_SECOND;
    await Promise.race([gateway.drained(), clock.delay(limit)]);
    await Promise.race([ledger.drain(), clock.delay(limit)]);
  };

  return {
    callersPort: gateway.port(),
    operatorsPort: operators.port(),
    stop: async () => {
      logger.info('node stops', { openRequests: gateway.openRequests() });
      gateway.leaveBalancer();
      await clock.delay(settings.node.leave_seconds * MILLISECONDS_PER_SECOND);
      gateway.refuseNewWork();
      await finishWork();
      stopProving();
      chores.stop();
      stopping.abort();
      await Promise.allSettled(running);
      await slots.release().catch(() => {});
      audit.stop();
      await audit.flush();
      membership.stop();
      await Promise.all([gateway.close(), operators.close(), registry.stop(), network.close()]);
      await platform.close();
      logger.info('node stopped');
    },
  };
}
