import type { Clock } from '@bulrushspar/clock';
import {
  createConfigurationFollower,
  type ConfigurationFollower,
} from '@bulrushspar/configuration';
import type { TraceBook } from '@bulrushspar/gateway';
import type { Incarnation } from '@bulrushspar/store';
import type { Limits } from '@bulrushspar/limits';
import type { Logger } from '@bulrushspar/logging';
import { createMembership, type Membership } from '@bulrushspar/membership';
import { createPeerNetwork, type PeerNetwork } from '@bulrushspar/peer';
import type { Suspects } from '@bulrushspar/routing';
import { createFreshness, isWatcher, type Freshness } from './freshness.js';
import { createPeerHandlers, learnFrom, MESSAGE } from './peers.js';
import type { Platform } from './platform.js';

/** What this host knows together with the others. */
export interface Agreement {
  readonly follower: ConfigurationFollower;
  readonly network: PeerNetwork;
  readonly membership: Membership;
  readonly freshness: Freshness;
}

/** Options of {@link createAgreement}. */
export interface AgreementOptions {
  readonly self: Incarnation;
  readonly secrets: readonly string[];
  readonly platform: Platform;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly traces: TraceBook;
  readonly suspects: Suspects;
  /** Lends credit to other hosts. */
  readonly limits: () => Limits;
}

/** Links this host with the others and follows the configuration with them. */
export function createAgreement(options: AgreementOptions): Agreement {
  const { self, secrets, platform, clock, logger, traces, limits, suspects } = options;
  const { store, hostList } = platform;
  const follower = createConfigurationFollower({
    store,
    clock,
    watches: () => isWatcher(membership.listed(), self.host),
  });
  const network = createPeerNetwork({
    self,
    secrets,
    clock,
    handlers: createPeerHandlers({ follower, limits, traces, suspects }),
    onLink: (link) => {
      logger.info('link established', { peer: link.peer.host });
      membership.greet(link);
      suspects.news().forEach((news) => link.send(MESSAGE.SUSPECT, news));
    },
    onLost: (peer) => logger.warn('link lost', { peer: peer.host }),
    onRejected: (from) => logger.warn('a node could not prove itself', { from }),
  });
  const membership = createMembership({
    self,
    hostList,
    network,
    clock,
    onVitals: (heard) => {
      learnFrom(heard, follower).catch(() => {});
    },
  });
  return { follower, network, membership, freshness: createFreshness(follower, membership) };
}
