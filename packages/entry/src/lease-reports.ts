import { startMonotonicStopwatch, type Clock, type Stopwatch } from '@bulrushspar/clock';
import type { OrderLease } from './messages.js';

/** Last report of a host on its lease. */
export interface ReceivedLease extends OrderLease {
  readonly host: string;
  /** Time since the host sent the report. */
  readonly since: Stopwatch;
  /** Time since this host first received a report that the term is over. */
  readonly sinceOver?: Stopwatch;
}

/** Last reports of the other hosts on their leases for orders. */
export interface LeaseReports {
  /** @param age milliseconds since the host sent the report */
  receive(host: string, report: OrderLease, age: number): void;
  of(host: string): ReceivedLease | undefined;
  /** The report with the highest fencing number. */
  newest(): ReceivedLease | undefined;
}

/** Creates an empty record of reports. */
export function createLeaseReports(clock: Clock): LeaseReports {
  const byHost = new Map<string, ReceivedLease>();

  return {
    receive: (host, report, age) => {
      const sinceReceived = startMonotonicStopwatch(clock);
      const previous = byHost.get(host);
      // Several hubs forward the same report: the most recent one applies.
      if (previous && previous.fencing >= report.fencing && previous.since() < age) return;
      const { fencing, over } = report;
      const overBefore = previous?.fencing === fencing ? previous.sinceOver : undefined;
      byHost.set(host, {
        host,
        fencing,
        over,
        sinceOrder: report.sinceOrder,
        sinceOrderAt: report.sinceOrderAt,
        coldLoadLimit: report.coldLoadLimit,
        coldLoads: report.coldLoads,
        since: () => age + sinceReceived(),
        sinceOver: over ? (overBefore ?? sinceReceived) : undefined,
      });
    },
    of: (host) => byHost.get(host),
    newest: () => {
      let found: ReceivedLease | undefined;
      byHost.forEach((report) => {
        if (!found || report.fencing > found.fencing) found = report;
      });
      return found;
    },
  };
}
