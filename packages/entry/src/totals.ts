import type { WaitingCounts } from '@bulrushspar/admission';
import type { ServerState } from '@bulrushspar/serving';

/** Running requests, by server and model; requests without a model have the empty name. */
export type RunningRequests = Readonly<Record<string, Readonly<Record<string, number>>>>;

/** Counts the running requests of this host by server and model. */
export function countRunningRequests(servers: Iterable<ServerState>): RunningRequests {
  const byServer: Record<string, Record<string, number>> = {};
  for (const { entry, outstanding, outstandingByModel } of servers) {
    if (outstanding > 0) {
      const models = [...outstandingByModel].filter(([, count]) => count > 0);
      byServer[entry.id] = models.length > 0 ? Object.fromEntries(models) : { '': outstanding };
    }
  }
  return byServer;
}

/** Sums of the running requests of several hosts, updated incrementally. */
export interface RunningTotals {
  /** Replaces the running requests of one host. */
  set(host: string, running: RunningRequests): void;
  remove(host: string): void;
  /** Running requests of all hosts on a server. */
  countOf(server: string): number;
  /** Running requests of all hosts on a server, by model. */
  countsByModel(server: string): ReadonlyMap<string, number>;
  /** Running requests by server, without those of one host. */
  countsExcept(host: string): Record<string, number>;
}

const NO_COUNTS: ReadonlyMap<string, number> = new Map();

/** Sums the running requests of all models on a server. */
export function sumCounts(models: Readonly<Record<string, number>> = {}): number {
  return Object.values(models).reduce((sum, count) => sum + count, 0);
}

/** Creates empty totals. */
export function createRunningTotals(): RunningTotals {
  const byHost = new Map<string, RunningRequests>();
  const totals = new Map<string, Map<string, number>>();

  const add = (running: RunningRequests, sign: 1 | -1): void => {
    Object.entries(running).forEach(([server, models]) => {
      const total = totals.get(server) ?? new Map<string, number>();
      totals.set(server, total);
      Object.entries(models).forEach(([model, count]) => {
        const next = (total.get(model) ?? 0) + sign * count;
        if (next === 0) total.delete(model);
        else total.set(model, next);
      });
      if (total.size === 0) totals.delete(server);
    });
  };

  const remove = (host: string): void => {
    const known = byHost.get(host);
    if (known) add(known, -1);
    byHost.delete(host);
  };

  const countOf = (server: string): number => {
    let sum = 0;
    totals.get(server)?.forEach((count) => {
      sum += count;
    });
    return sum;
  };

  return {
    set: (host, running) => {
      remove(host);
      byHost.set(host, running);
      add(running, 1);
    },
    remove,
    countOf,
    countsByModel: (server) => totals.get(server) ?? NO_COUNTS,
    countsExcept: (host) => {
      const own = byHost.get(host) ?? {};
      const remaining: Record<string, number> = {};
      totals.forEach((_models, server) => {
        const count = countOf(server) - sumCounts(own[server]);
        if (count > 0) remaining[server] = count;
      });
      return remaining;
    },
  };
}

/** Sums of the waiting requests of several hosts, updated incrementally. */
export interface WaitingTotals {
  /** Replaces the waiting requests of one host. */
  set(host: string, waiting: WaitingCounts): void;
  remove(host: string): void;
  /** Waiting requests by group and rank, without those of one host. */
  countsExcept(host: string): Record<string, number>;
}

/** Creates empty totals. */
export function createWaitingTotals(): WaitingTotals {
  const totals = createRunningTotals();
  return {
    set: (host, waiting) =>
      totals.set(
        host,
        Object.fromEntries(Object.entries(waiting).map(([key, count]) => [key, { '': count }])),
      ),
    remove: totals.remove,
    countsExcept: totals.countsExcept,
  };
}
