import type { ServerState } from '@bulrushspar/serving';

/** Requests that run, by server and model; without a model under the empty name. */
export type RunningRequests = Readonly<Record<string, Readonly<Record<string, number>>>>;

/** Requests of a host that run, as it knows its servers. */
export function runningOf(servers: Iterable<ServerState>): RunningRequests {
  const byServer: Record<string, Record<string, number>> = {};
  for (const { entry, outstanding, outstandingByModel } of servers) {
    if (outstanding > 0) {
      const models = [...outstandingByModel].filter(([, count]) => count > 0);
      byServer[entry.id] = models.length > 0 ? Object.fromEntries(models) : { '': outstanding };
    }
  }
  return byServer;
}

/** Sums of what runs for several hosts, kept up to date by what changes. */
export interface RunningTotals {
  /** Replaces what runs for one host. */
  set(host: string, running: RunningRequests): void;
  forget(host: string): void;
  /** Requests of all hosts that run on a server. */
  of(server: string): number;
  /** The same by model. */
  byModel(server: string): ReadonlyMap<string, number>;
  /** Requests by server, less those of one host. */
  without(host: string): Record<string, number>;
}

const NONE: ReadonlyMap<string, number> = new Map();

/** Requests of all models together. */
export function sumOf(models: Readonly<Record<string, number>> = {}): number {
  return Object.values(models).reduce((sum, count) => sum + count, 0);
}

/** Creates sums over no host. */
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

  const forget = (host: string): void => {
    const known = byHost.get(host);
    if (known) add(known, -1);
    byHost.delete(host);
  };

  const of = (server: string): number => {
    let sum = 0;
    totals.get(server)?.forEach((count) => {
      sum += count;
    });
    return sum;
  };

  return {
    set: (host, running) => {
      forget(host);
      byHost.set(host, running);
      add(running, 1);
    },
    forget,
    of,
    byModel: (server) => totals.get(server) ?? NONE,
    without: (host) => {
      const own = byHost.get(host) ?? {};
      const left: Record<string, number> = {};
      totals.forEach((_models, server) => {
        const count = of(server) - sumOf(own[server]);
        if (count > 0) left[server] = count;
      });
      return left;
    },
  };
}
