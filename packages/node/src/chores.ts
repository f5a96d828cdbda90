import { every, type Clock, type Stop } from '@bulrushspar/clock';
import { createLease } from '@bulrushspar/lease';
import { sweepCalls } from '@bulrushspar/ledger';
import type { Logger } from '@bulrushspar/logging';
import { isRanked, type Membership } from '@bulrushspar/membership';
import type { Placer } from '@bulrushspar/placement';
import type { Incarnation, ObjectStore } from '@bulrushspar/store';

/** Chores that one host of the fleet does at a time. */
export interface Chores {
  /** Contends for the chores until the signal. */
  run(signal: AbortSignal): Promise<void>;
  stop: Stop;
}

/** Options of {@link createChores}. */
export interface ChoresOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly self: Incarnation;
  readonly membership: Membership;
  readonly placer: Placer;
  readonly logger: Logger;
}

const SWEEPER = 'sweeper';
const CONTENDERS = 3;
const RELEASES_MILLISECONDS = 5000;
const EXPIRY_MILLISECONDS = 60_000;

/** Creates the chores: unfinished releases, leaving servers, and expired records of calls. */
export function createChores(options: ChoresOptions): Chores {
  const { store, clock, self, membership, placer, logger } = options;
  const lease = createLease({
    store,
    clock,
    name: SWEEPER,
    self,
    contends: () => isRanked(membership.listed(), self.host, SWEEPER, CONTENDERS),
    onChange: (held) => logger.info(held ? 'lease taken' : 'lease ended', { lease: SWEEPER }),
  });
  const isOurs = (): boolean => lease.held() !== undefined;
  const stopReleases = every(clock, RELEASES_MILLISECONDS, () => {
    if (isOurs()) placer.sweep().catch(() => {});
  });
  const stopExpiry = every(clock, EXPIRY_MILLISECONDS, () => {
    if (isOurs()) sweepCalls({ store, clock, mayRemove: isOurs }).catch(() => {});
  });
  return {
    run: lease.run,
    stop: () => {
      stopReleases();
      stopExpiry();
    },
  };
}
