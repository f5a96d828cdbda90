import { runPeriodically, type Clock, type Stop } from '@bulrushspar/clock';
import { createLease } from '@bulrushspar/lease';
import { sweepCalls } from '@bulrushspar/ledger';
import type { Logger } from '@bulrushspar/logging';
import { isAssignedRole, type Membership } from '@bulrushspar/membership';
import type { Placer } from '@bulrushspar/placement';
import type { Incarnation, ObjectStore } from '@bulrushspar/store';

/** Maintenance tasks that at most one host of the fleet runs at a time, under a lease. */
export interface MaintenanceTasks {
  /** Contends for the lease until the signal is aborted. */
  run(signal: AbortSignal): Promise<void>;
  stop: Stop;
}

/** Options of {@link createMaintenanceTasks}. */
export interface MaintenanceTasksOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly self: Incarnation;
  readonly membership: Membership;
  readonly placer: Placer;
  readonly logger: Logger;
}

const SWEEPER_LEASE_NAME = 'sweeper';
const MAX_LEASE_CONTENDERS = 3;
const RELEASE_INTERVAL_MILLISECONDS = 5000;
const EXPIRY_INTERVAL_MILLISECONDS = 60_000;

/**
 * Creates the maintenance tasks: they complete unfinished releases, release the models of
 * leaving servers, and delete expired call records.
 */
export function createMaintenanceTasks(options: MaintenanceTasksOptions): MaintenanceTasks {
  const { store, clock, self, membership, placer, logger } = options;
  const lease = createLease({
    store,
    clock,
    name: SWEEPER_LEASE_NAME,
    self,
    isContender: () =>
      isAssignedRole(membership.listed(), self.host, SWEEPER_LEASE_NAME, MAX_LEASE_CONTENDERS),
    onChange: (held) =>
      logger.info(held ? 'lease acquired' : 'lease no longer held', { lease: SWEEPER_LEASE_NAME }),
  });
  const isLeaseHeld = (): boolean => lease.currentFencing() !== undefined;
  const stopReleases = runPeriodically(clock, RELEASE_INTERVAL_MILLISECONDS, () => {
    if (isLeaseHeld()) placer.sweep().catch(() => {});
  });
  const stopExpiry = runPeriodically(clock, EXPIRY_INTERVAL_MILLISECONDS, () => {
    if (isLeaseHeld()) sweepCalls({ store, clock, mayRemove: isLeaseHeld }).catch(() => {});
  });
  return {
    run: lease.run,
    stop: () => {
      stopReleases();
      stopExpiry();
    },
  };
}
