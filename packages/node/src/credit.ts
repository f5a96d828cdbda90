import type { AuditTrail } from '@bulrushspar/audit';
import type { Clock } from '@bulrushspar/clock';
import type { AcceptedConfiguration } from '@bulrushspar/configuration';
import type { Incarnation } from '@bulrushspar/store';
import {
  createGather,
  createLimits,
  createSlotKeeper,
  type BucketSize,
  type Credit,
  type Limits,
  type SlotKeeper,
} from '@bulrushspar/limits';
import type { Agreement } from './agreement.js';
import { createLenders } from './peers.js';
import type { Platform } from './platform.js';

/** This host's part of the workspaces' credit. */
export interface CreditShare {
  readonly slots: SlotKeeper;
  readonly limits: Limits;
}

/** Options of {@link createCreditShare}. */
export interface CreditShareOptions {
  readonly self: Incarnation;
  readonly platform: Platform;
  readonly clock: Clock;
  readonly agreement: Agreement;
  readonly audit: AuditTrail;
}

/** Rate and burst of each workspace, as the limits take them. */
export function bucketSizes({ configuration }: AcceptedConfiguration): Map<string, BucketSize> {
  return new Map(
    Object.entries(configuration.workspaces).map(([name, workspace]) => [
      name,
      { rate: workspace.rate_tokens_per_second, burst: workspace.burst_tokens },
    ]),
  );
}

function burstsOf(accepted: AcceptedConfiguration): Credit {
  const sizes = [...bucketSizes(accepted)];
  return Object.fromEntries(sizes.map(([name, { burst }]) => [name, burst]));
}

/** Creates the slots of this host, its buckets, and loans between hosts. */
export function createCreditShare(options: CreditShareOptions): CreditShare {
  const { self, platform, clock, agreement, audit } = options;
  const { follower, membership, freshness } = agreement;
  const slots = createSlotKeeper({
    store: platform.store,
    hostList: platform.hostList,
    clock,
    self,
    onShare: () => limits.reshare(),
    bursts: () => burstsOf(follower.current()),
    onCredit: (credit) => limits.addCredit(credit),
    takeCredit: (fraction) => limits.takeCredit(fraction),
    onTakeover: (slot, former) => {
      audit.record({ action: 'slot.taken', subject: slot, detail: `from ${former.host}` });
    },
    storeDownForAll: freshness.storeDownForAll,
    linkedWithMajority: membership.linkedWithMajority,
  });
  const limits = createLimits({
    clock,
    share: slots.share,
    usable: slots.usable,
    gather: createGather({ clock, lenders: () => createLenders(membership) }),
  });
  return { slots, limits };
}
