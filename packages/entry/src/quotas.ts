import type { FleetConfiguration } from '@bulrushspar/catalogue';
import type { Clock } from '@bulrushspar/clock';
import { createReplicatedBucket, type ReplicatedBucket } from '@bulrushspar/shares';
import type { Incarnation } from '@bulrushspar/store';

/** Quotas of all workspaces as this host keeps them. */
export interface Quotas {
  of(workspace: string): ReplicatedBucket | undefined;
  update(configuration: FleetConfiguration): void;
  /** Quota that this host has taken since its start, by workspace. */
  taken(): Record<string, number>;
  /** Takes what another host says that it has taken since its start. */
  hear(from: Incarnation, taken: Readonly<Record<string, number>>): void;
}

/** Options of {@link createQuotas}. */
export interface QuotasOptions {
  readonly clock: Clock;
  /** Part of the fleet that hears this host, itself included; from 0 to 1. */
  readonly linkedPart: () => number;
  /** The fleet starts for the first time, so that nothing was used yet. */
  readonly firstStart: boolean;
  /** How far the fleet may go beyond a quota in a window. */
  readonly tolerance: QuotaTolerance;
}

/** How far a fleet may go beyond a quota. */
export interface QuotaTolerance {
  readonly windowMilliseconds: number;
  /** Part of rate and burst. */
  readonly overshoot: number;
  /** Tokens besides. */
  readonly slack: number;
}

/** Part of the tolerance that is used; the rest covers what hosts have not told each other yet. */
const USED_PART = 0.5;
const MILLISECONDS_PER_SECOND = 1000;

/** Creates the quotas of one host. */
export function createQuotas(options: QuotasOptions): Quotas {
  const { clock, linkedPart, firstStart, tolerance } = options;
  const buckets = new Map<string, ReplicatedBucket>();
  /** What each process has told last. */
  const heard = new Map<string, Readonly<Record<string, number>>>();

  const open = (perSecond: number, burst: number): ReplicatedBucket => {
    const windowSeconds = tolerance.windowMilliseconds / MILLISECONDS_PER_SECOND;
    const spare = tolerance.overshoot * (perSecond * windowSeconds + burst) + tolerance.slack;
    return createReplicatedBucket({
      clock,
      limits: { perSecond, burst },
      group: () => ({ linkedPart: linkedPart() }),
      initial: firstStart ? burst : Math.min(burst, spare * USED_PART * linkedPart()),
      slackPerSecond: (spare * USED_PART) / windowSeconds,
    });
  };

  return {
    of: (workspace) => buckets.get(workspace),
    update: ({ workspaces }) => {
      const limited = new Set<string>();
      workspaces.forEach(({ name, quota }) => {
        if (!quota) return;
        limited.add(name);
        const { perSecond, burst } = quota;
        const known = buckets.get(name);
        if (known) known.update({ perSecond, burst });
        else buckets.set(name, open(perSecond, burst));
      });
      [...buckets.keys()].forEach((name) => {
        if (!limited.has(name)) buckets.delete(name);
      });
    },
    taken: () =>
      Object.fromEntries([...buckets].map(([name, bucket]) => [name, Math.round(bucket.taken())])),
    hear: ({ host, incarnation }, taken) => {
      const key = `${host}/${incarnation}`;
      const before = heard.get(key);
      heard.set(key, taken);
      // What a host had taken before it was first heard was taken out of this bucket's past.
      if (!before) return;
      Object.entries(taken).forEach(([workspace, tokens]) => {
        const more = tokens - (before[workspace] ?? 0);
        if (more !== 0) buckets.get(workspace)?.takenElsewhere(more);
      });
    },
  };
}
