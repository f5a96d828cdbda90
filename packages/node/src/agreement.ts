import type { Clock } from '@bulrushspar/clock';
import {
  createConfigurationFollower,
  type ConfigurationFollower,
} from '@bulrushspar/configuration';
import type { TraceBuffer } from '@bulrushspar/gateway';
import type { Incarnation } from '@bulrushspar/store';
import type { Limits } from '@bulrushspar/limits';
import type { Logger } from '@bulrushspar/logging';
import { createMembership, type Membership } from '@bulrushspar/membership';
import { createPeerNetwork, type PeerNetwork } from '@bulrushspar/peer';
import type { SuspectTracker } from '@bulrushspar/routing';
import { createFreshnessMonitor, isWatcher, type FreshnessMonitor } from './freshness.js';
import { createPeerHandlers, applyPeerVitals, MESSAGE_TYPE } from './peers.js';
import type { PlatformClients } from './platform.js';

/** The parts of a node that exchange state with the other hosts of the fleet. */
export interface FleetCoordination {
  readonly follower: ConfigurationFollower;
  readonly network: PeerNetwork;
  readonly membership: Membership;
  readonly freshness: FreshnessMonitor;
}

/** Options of {@link createFleetCoordination}. */
export interface FleetCoordinationOptions {
  readonly self: Incarnation;
  readonly secrets: readonly string[];
  readonly platform: PlatformClients;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly traces: TraceBuffer;
  readonly suspects: SuspectTracker;
  /** Returns the limits whose token buckets lend credit to other hosts. */
  readonly getLimits: () => Limits;
}

/** Creates the links to the other hosts and follows the configuration together with them. */
export function createFleetCoordination(options: FleetCoordinationOptions): FleetCoordination {
  const { self, secrets, platform, clock, logger, traces, getLimits, suspects } = options;
  const { store, hostList } = platform;
  const follower = createConfigurationFollower({
    store,
    clock,
    isWatcher: () => isWatcher(membership.listed(), self.host),
  });
  const network = createPeerNetwork({
    self,
    secrets,
    clock,
    handlers: createPeerHandlers({ follower, getLimits, traces, suspects }),
    onLinkOpened: (link) => {
      logger.info('link established', { peer: link.peer.host });
      membership.requestHeartbeat(link);
      suspects.listUpdates().forEach((news) => link.send(MESSAGE_TYPE.SUSPECT, news));
    },
    onLinkLost: (peer) => logger.warn('link lost', { peer: peer.host }),
    onAuthenticationFailed: (remote) =>
      logger.warn('authentication of a peer failed', { from: remote }),
  });
  const membership = createMembership({
    self,
    hostList,
    network,
    clock,
    onHeartbeat: (heardVitals) => {
      applyPeerVitals(heardVitals, follower).catch(() => {});
    },
  });
  return { follower, network, membership, freshness: createFreshnessMonitor(follower, membership) };
}
