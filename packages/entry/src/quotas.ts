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
  /**
   * Takes what another host says that it has taken since its start.
   * @param counts false where a hub's totals count it already
   */
  hear(from: Incarnation, taken: Readonly<Record<string, number>>, counts: boolean): void;
  /**
   * Takes what a hub says that all hosts but this one have taken.
   * @param counts false where another hub's totals are counted
   */
  hearTotals(hub: Incarnation, taken: Readonly<Record<string, number>>, counts: boolean): void;
  /** Forgets what hubs have told: this host hears the others itself now. */
  forgetTotals(): void;
  /** What all hosts have taken as far as they have told this one, less what one of them has. */
  totalsWithout(host: string): Record<string, number>;
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

type Tokens = Readonly<Record<string, number>>;

/** What one process has told last. */
interface Told {
  readonly incarnation: string;
  readonly taken: Tokens;
}

const add = (sums: Map<string, number>, taken: Tokens): void =>
  Object.entries(taken).forEach(([workspace, tokens]) =>
    sums.set(workspace, (sums.get(workspace) ?? 0) + tokens),
  );

/**
 * Turns the totals of several hubs, which began to count at different times, into what the hosts
 * have taken since this one began to listen. All hubs are followed, so that the change from one to
 * another counts nothing twice and leaves nothing out.
 */
function createHubTotals() {
  /** For each hub what must be added to its totals. */
  const offsets = new Map<string, Map<string, number>>();
  const counted = new Map<string, number>();
  return {
    /** @returns what has been taken since the last call that counted, by workspace */
    hear: ({ host, incarnation }: Incarnation, taken: Tokens, counts: boolean): Tokens => {
      const key = `${host}/${incarnation}`;
      const offset = offsets.get(key) ?? new Map<string, number>();
      offsets.set(key, offset);
      const more: Record<string, number> = {};
      Object.entries(taken).forEach(([workspace, tokens]) => {
        const before = counted.get(workspace) ?? 0;
        if (!offset.has(workspace)) offset.set(workspace, before - tokens);
        const now = tokens + offset.get(workspace)!;
        if (!counts || now === before) return;
        counted.set(workspace, now);
        more[workspace] = now - before;
      });
      return more;
    },
    clear: () => offsets.clear(),
  };
}

/** Creates the quotas of one host. */
export function createQuotas(options: QuotasOptions): Quotas {
  const { clock, linkedPart, firstStart, tolerance } = options;
  const buckets = new Map<string, ReplicatedBucket>();
  /** What each host has told last. */
  const heard = new Map<string, Told>();
  /** What ended processes had taken. */
  const ended = new Map<string, number>();
  const hubs = createHubTotals();

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

  const ownTaken = (): Record<string, number> =>
    Object.fromEntries([...buckets].map(([name, bucket]) => [name, Math.round(bucket.taken())]));

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
    taken: ownTaken,
    hear: ({ host, incarnation }, taken, counts) => {
      const before = heard.get(host);
      heard.set(host, { incarnation, taken });
      if (before && before.incarnation !== incarnation) add(ended, before.taken);
      // What a process had taken before it was first heard was taken out of this bucket's past.
      if (!counts || before?.incarnation !== incarnation) return;
      Object.entries(taken).forEach(([workspace, tokens]) => {
        const more = tokens - (before.taken[workspace] ?? 0);
        if (more !== 0) buckets.get(workspace)?.takenElsewhere(more);
      });
    },
    hearTotals: (hub, taken, counts) =>
      Object.entries(hubs.hear(hub, taken, counts)).forEach(([workspace, more]) =>
        buckets.get(workspace)?.takenElsewhere(more),
      ),
    forgetTotals: hubs.clear,
    totalsWithout: (host) => {
      const sums = new Map(ended);
      add(sums, ownTaken());
      heard.forEach(({ taken }, other) => {
        if (other !== host) add(sums, taken);
      });
      return Object.fromEntries(sums);
    },
  };
}
