import type { FleetConfiguration } from '@bulrushspar/catalogue';
import type { Clock } from '@bulrushspar/clock';
import { createReplicatedBucket, type ReplicatedBucket } from '@bulrushspar/shares';
import type { Incarnation } from '@bulrushspar/store';

/** This host's replicas of the quota buckets of all workspaces. */
export interface Quotas {
  bucketOf(workspace: string): ReplicatedBucket | undefined;
  update(configuration: FleetConfiguration): void;
  /** Tokens that this host has taken since its start, by workspace. */
  taken(): Record<string, number>;
  /**
   * Applies another host's report of the tokens it has taken since its start.
   * @param isCounted false if the totals of a hub already include them
   */
  receiveTaken(
    from: Incarnation,
    taken: Readonly<Record<string, number>>,
    isCounted: boolean,
  ): void;
  /**
   * Applies a hub's report of the tokens that all hosts except this one have taken.
   * @param isCounted false if the totals of another hub are in use
   */
  receiveHubTotals(
    hub: Incarnation,
    taken: Readonly<Record<string, number>>,
    isCounted: boolean,
  ): void;
  /** Discards the totals of the hubs, once this host receives the states of all hosts directly. */
  clearHubTotals(): void;
  /**
   * Tokens that all hosts except one have taken since they first reported to this one, by workspace.
   * It grows only by what is taken, also when further hosts begin to report.
   */
  totalsExcept(host: string): Record<string, number>;
}

/** Options of {@link createQuotas}. */
export interface QuotasOptions {
  readonly clock: Clock;
  /** Fraction of the fleet that exchanges states with this host, itself included; from 0 to 1. */
  readonly linkedFraction: () => number;
  /** The fleet starts for the first time, so that no tokens have been taken yet. */
  readonly isFirstStart: boolean;
  readonly tolerance: QuotaTolerance;
}

/** Limit on the tokens that a fleet may take beyond a quota within a window. */
export interface QuotaTolerance {
  readonly windowMilliseconds: number;
  /** Fraction of the tokens that the quota allows in a window, the burst included. */
  readonly overshoot: number;
  /** Additional tokens per window. */
  readonly slack: number;
}

/** Fraction of the tolerance in use; the rest covers usage that hosts have not yet reported. */
const USED_TOLERANCE_FRACTION = 0.5;
const MILLISECONDS_PER_SECOND = 1000;

type TokensByWorkspace = Readonly<Record<string, number>>;

/** Last report of one process. */
interface TakenReport {
  readonly incarnation: string;
  readonly taken: TokensByWorkspace;
}

const addTokens = (sums: Map<string, number>, taken: TokensByWorkspace, sign: 1 | -1 = 1): void =>
  Object.entries(taken).forEach(([workspace, tokens]) =>
    sums.set(workspace, (sums.get(workspace) ?? 0) + sign * tokens),
  );

const subtractTokens = (taken: TokensByWorkspace, before: TokensByWorkspace): TokensByWorkspace =>
  Object.fromEntries(
    Object.entries(taken).map(([workspace, tokens]) => [
      workspace,
      tokens - (before[workspace] ?? 0),
    ]),
  );

/**
 * Converts the totals of several hubs, which started to count at different times, into the tokens
 * that the hosts have taken since this host received the first totals. It tracks all hubs, so that
 * a change of the primary hub neither counts tokens twice nor misses any.
 */
function createHubTotals() {
  /** Offsets to add to the totals of each process of a hub, by workspace. */
  const offsetsByHub = new Map<string, Map<string, number>>();
  const counted = new Map<string, number>();
  return {
    /** @returns tokens taken since the last call with isCounted set, by workspace */
    receive: (
      { host, incarnation }: Incarnation,
      taken: TokensByWorkspace,
      isCounted: boolean,
    ): TokensByWorkspace => {
      const key = `${host}/${incarnation}`;
      const hubOffsets = offsetsByHub.get(key) ?? new Map<string, number>();
      offsetsByHub.set(key, hubOffsets);
      const increases: Record<string, number> = {};
      Object.entries(taken).forEach(([workspace, tokens]) => {
        const before = counted.get(workspace) ?? 0;
        if (!hubOffsets.has(workspace)) hubOffsets.set(workspace, before - tokens);
        const now = tokens + hubOffsets.get(workspace)!;
        if (!isCounted || now === before) return;
        counted.set(workspace, now);
        increases[workspace] = now - before;
      });
      return increases;
    },
    clear: () => offsetsByHub.clear(),
  };
}

/** Creates the quotas of one host. */
export function createQuotas(options: QuotasOptions): Quotas {
  const { clock, linkedFraction, isFirstStart, tolerance } = options;
  const buckets = new Map<string, ReplicatedBucket>();
  /** Last report of each host. */
  const lastReports = new Map<string, TakenReport>();
  /** Tokens that each host has taken since its first report to this one, by workspace. */
  const takenByHost = new Map<string, Map<string, number>>();
  /** Sums of {@link takenByHost}. */
  const takenByOthers = new Map<string, number>();
  /** Hosts whose last report counts, so that the next one adds only what has changed since. */
  const hostsWithBaseline = new Set<string>();
  const hubTotals = createHubTotals();

  const createBucket = (perSecond: number, burst: number): ReplicatedBucket => {
    const windowSeconds = tolerance.windowMilliseconds / MILLISECONDS_PER_SECOND;
    const allowance = tolerance.overshoot * (perSecond * windowSeconds + burst) + tolerance.slack;
    return createReplicatedBucket({
      clock,
      limits: { perSecond, burst },
      group: () => ({ linkedFraction: linkedFraction() }),
      initialTokens: isFirstStart
        ? burst
        : Math.min(burst, allowance * USED_TOLERANCE_FRACTION * linkedFraction()),
      slackPerSecond: (allowance * USED_TOLERANCE_FRACTION) / windowSeconds,
    });
  };

  const ownTaken = (): Record<string, number> =>
    Object.fromEntries([...buckets].map(([name, bucket]) => [name, Math.round(bucket.taken())]));

  return {
    bucketOf: (workspace) => buckets.get(workspace),
    update: ({ workspaces }) => {
      const limited = new Set<string>();
      workspaces.forEach(({ name, quota }) => {
        if (!quota) return;
        limited.add(name);
        const { ratePerSecond, burst } = quota;
        const known = buckets.get(name);
        if (known) known.update({ perSecond: ratePerSecond, burst });
        else buckets.set(name, createBucket(ratePerSecond, burst));
      });
      [...buckets.keys()].forEach((name) => {
        if (!limited.has(name)) buckets.delete(name);
      });
    },
    taken: ownTaken,
    receiveTaken: ({ host, incarnation }, taken, isCounted) => {
      const before = lastReports.get(host);
      lastReports.set(host, { incarnation, taken });
      // The first report of a host is only a baseline: its tokens were taken before this host
      // started to count them. A new process of a known host has taken its tokens since.
      if (!before) return;
      const taking = subtractTokens(taken, before.incarnation === incarnation ? before.taken : {});
      const takenByThis = takenByHost.get(host) ?? new Map<string, number>();
      takenByHost.set(host, takenByThis);
      addTokens(takenByThis, taking);
      addTokens(takenByOthers, taking);
      // Until now the totals of a hub have included the host.
      const hasBaseline = hostsWithBaseline.has(host);
      if (isCounted) hostsWithBaseline.add(host);
      else hostsWithBaseline.delete(host);
      if (!isCounted || !hasBaseline) return;
      Object.entries(taking).forEach(([workspace, more]) => {
        if (more !== 0) buckets.get(workspace)?.deductRemoteUse(more);
      });
    },
    receiveHubTotals: (hub, taken, isCounted) =>
      Object.entries(hubTotals.receive(hub, taken, isCounted)).forEach(([workspace, more]) =>
        buckets.get(workspace)?.deductRemoteUse(more),
      ),
    clearHubTotals: () => {
      hubTotals.clear();
      hostsWithBaseline.clear();
    },
    totalsExcept: (host) => {
      const sums = new Map(takenByOthers);
      addTokens(sums, ownTaken());
      addTokens(sums, Object.fromEntries(takenByHost.get(host) ?? []), -1);
      return Object.fromEntries(sums);
    },
  };
}
