import type { AuditTrail } from '@bulrushspar/audit';
import type { Clock } from '@bulrushspar/clock';
import type { AcceptedConfiguration } from '@bulrushspar/configuration';
import type { Incarnation } from '@bulrushspar/store';
import {
  createCreditCollector,
  createLimits,
  createSlotManager,
  type BucketSize,
  type Credit,
  type Limits,
  type SlotManager,
} from '@bulrushspar/limits';
import type { FleetCoordination } from './agreement.js';
import { createLenders } from './peers.js';
import type { PlatformClients } from './platform.js';

/** This host's share of the workspaces' credit. */
export interface CreditShare {
  readonly slots: SlotManager;
  readonly limits: Limits;
}

/** Options of {@link createCreditShare}. */
export interface CreditShareOptions {
  readonly self: Incarnation;
  readonly platform: PlatformClients;
  readonly clock: Clock;
  readonly coordination: FleetCoordination;
  readonly audit: AuditTrail;
}

/** Returns the token bucket size (rate and burst) of each workspace. */
export function getBucketSizes({ configuration }: AcceptedConfiguration): Map<string, BucketSize> {
  return new Map(
    Object.entries(configuration.workspaces).map(([name, workspace]) => [
      name,
      { rate: workspace.rate_tokens_per_second, burst: workspace.burst_tokens },
    ]),
  );
}

function getBurstTokens(accepted: AcceptedConfiguration): Credit {
  const sizes = [...getBucketSizes(accepted)];
  return Object.fromEntries(sizes.map(([name, { burst }]) => [name, burst]));
}

/** Creates this host's credit slots, its token buckets, and credit loans between hosts. */
export function createCreditShare(options: CreditShareOptions): CreditShare {
  const { self, platform, clock, coordination, audit } = options;
  const { follower, membership, freshness } = coordination;
  const slots = createSlotManager({
    store: platform.store,
    hostList: platform.hostList,
    clock,
    self,
    onShareChanged: () => limits.applyShare(),
    getBursts: () => getBurstTokens(follower.current()),
    onCreditReceived: (credit) => limits.depositCredit(credit),
    withdrawCredit: (fraction) => limits.withdrawCredit(fraction),
    onTakeover: (slot, former) => {
      audit.record({ action: 'slot.taken', subject: slot, detail: `from ${former.host}` });
    },
    storeDownForAll: freshness.isStoreUnreachableForAll,
    linkedWithMajority: membership.isLinkedWithMajority,
  });
  const limits = createLimits({
    clock,
    share: slots.share,
    isUsable: slots.isUsable,
    collectCredit: createCreditCollector({ clock, lenders: () => createLenders(membership) }),
  });
  return { slots, limits };
}
