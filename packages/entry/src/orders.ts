import type { FleetConfiguration, ServerView } from '@bulrushspar/catalogue';
import { startSlowStopwatch, type Clock, type Stopwatch } from '@bulrushspar/clock';
import { createLease } from '@bulrushspar/lease';
import {
  createCommander,
  type Commander,
  type Demand,
  type EngineControl,
  type Outlook,
} from '@bulrushspar/loading';
import type { Logger } from '@bulrushspar/logging';
import type { Incarnation, ObjectStore } from '@bulrushspar/store';

/** The duty of giving orders to the servers, which one host has at a time. */
export interface OrderDuty {
  readonly commander: Commander;
  /** Fencing number of this host's lease, if it holds it. */
  leads(): number | undefined;
  /** Notes which host says that it gives the orders. */
  hear(host: string, fencing: number | undefined): void;
  /** The host that gives the orders, this one included, as far as is known. */
  leader(): string | undefined;
  setServers(servers: ServerView): void;
  run(signal: AbortSignal): Promise<void>;
}

/** Options of {@link createOrderDuty}. */
export interface OrderDutyOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly self: Incarnation;
  readonly control: EngineControl;
  readonly demand: Demand;
  readonly configuration: () => FleetConfiguration | undefined;
  readonly inUse: (server: string, model: string) => boolean;
  /** Called with when models will be ready, and the hosts that wait for them. */
  readonly onOutlook: (outlook: readonly Outlook[], hosts: readonly string[]) => void;
  /** Called before a server is told to unload a model. */
  readonly onUnloading: (server: string, model: string) => void;
  /** Pause between the last order of one host and the first one of another, in milliseconds. */
  readonly handoverMilliseconds: number;
  /** Place of this host among those that contend, so that not all do at once. */
  readonly rank: () => number;
}

/** Time for which one renewal lasts; short, since nobody loads models until it has passed. */
const TERM_MILLISECONDS = 2000;
/** Time without word from the giver of orders after which others contend. */
const SILENT_MILLISECONDS = 700;
const RANK_MILLISECONDS = 200;

interface Heard {
  readonly host: string;
  readonly fencing: number;
  readonly since: Stopwatch;
}

/** Creates the duty of one host; it gives no order until it runs and holds the lease. */
export function createOrderDuty(options: OrderDutyOptions): OrderDuty {
  const { store, clock, logger, self, control, demand, configuration, inUse } = options;
  const { onOutlook, onUnloading, handoverMilliseconds, rank } = options;
  let heard: Heard | undefined;
  let heldSince: Stopwatch | undefined;

  const othersLead = (): boolean =>
    heard !== undefined && heard.since() < SILENT_MILLISECONDS + rank() * RANK_MILLISECONDS;

  const lease = createLease({
    store,
    clock,
    name: 'orders',
    self,
    termMilliseconds: TERM_MILLISECONDS,
    contends: () => !othersLead(),
    onChange: (held) => {
      heldSince = held ? startSlowStopwatch(clock) : undefined;
      logger.info(held ? 'lease for orders taken' : 'lease for orders lost', {
        fencing: lease.held(),
        former: lease.former(),
      });
    },
  });

  /** The servers must not hear two hosts within the time of a handover. */
  const mayOrder = (): boolean => {
    if (!heldSince) return false;
    const former = lease.former();
    return former === undefined || former === self.host || heldSince() >= handoverMilliseconds;
  };

  const fencing = (): number | undefined => (mayOrder() ? lease.held() : undefined);

  const commander = createCommander({
    clock,
    control,
    logger,
    holder: self.host,
    fencing,
    profile: (service) => configuration()?.services.get(service)?.engine,
    demand,
    inUse,
    onOutlook,
    onUnloading,
  });

  return {
    commander,
    leads: lease.held,
    hear: (host, number) => {
      if (number === undefined) {
        if (heard?.host === host) heard = undefined;
        return;
      }
      if (heard && heard.fencing > number && heard.since() < TERM_MILLISECONDS) return;
      heard = { host, fencing: number, since: startSlowStopwatch(clock) };
    },
    leader: () => {
      if (lease.held() !== undefined) return self.host;
      return heard && heard.since() < TERM_MILLISECONDS ? heard.host : undefined;
    },
    setServers: commander.setServers,
    run: async (signal) => {
      await lease.run(signal);
      commander.stop();
    },
  };
}
