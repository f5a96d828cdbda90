/** Limits that servers name, shared by the hosts of a fleet: the leader schedules the requests of all. */
import type { ServerEntry } from '@bulrushspar/catalogue';
import type { Clock } from '@bulrushspar/clock';
import type { Logger } from '@bulrushspar/logging';
import type { Metrics } from '@bulrushspar/metrics';
import {
  createColdServers,
  createServerLimits,
  type ColdServers,
  type ColdServersOptions,
  type ColdUpdate,
  type LimitUpdate,
  type ServerLimits,
} from '@bulrushspar/serving';
import { createSendSchedule, type Reservation, type ReservationRequest } from '@bulrushspar/shares';

/** The limits of one host's fleet. */
export interface FleetLimits {
  readonly limits: ServerLimits;
  /** Servers that have a limit because they are cold. */
  readonly cold: ColdServers;
  /** Reserves a request for another host; throws if this host is not the leader. */
  reserve(request: ReservationRequest): Reservation;
  /** Counts a report or an order, which do not wait, against the limit of its server. */
  charge(server: ServerEntry): void;
}

/** Options of {@link createFleetLimits}. */
export interface FleetLimitsOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  /** Name of this host. */
  readonly host: string;
  readonly random: () => number;
  readonly countHosts: () => number;
  /** @returns the host that schedules the requests of all hosts, if it is known */
  readonly leader: () => string | undefined;
  /** Sends a request for a reservation to the leader; rejects if no answer arrives in time. */
  readonly requestReservation: (
    leader: string,
    request: ReservationRequest,
  ) => Promise<Reservation>;
  readonly metrics: Metrics;
  readonly coldStartOf: ColdServersOptions['coldStartOf'];
  /** Called with each update that must be sent to the other hosts. */
  readonly onUpdate: (update: LimitUpdate) => void;
  /** Called with each update on cold servers that must be sent to the other hosts. */
  readonly onColdUpdate: (update: ColdUpdate) => void;
}

/** Bounds the set that suppresses repeated log lines; further findings are counted only. */
const MAX_LOGGED_SERVERS = 1000;

/** Creates the limits of one host. */
export function createFleetLimits(options: FleetLimitsOptions): FleetLimits {
  const { clock, logger, host, random, countHosts, leader, onUpdate } = options;
  /** Requests of all hosts, while this one leads. */
  const schedule = createSendSchedule({ clock });

  const reserve = (request: ReservationRequest): Reservation => {
    if (leader() !== host)
      throw new Error(`host ${host} does not schedule the requests of all hosts`);
    return schedule.reserve(request);
  };

  const invalidTimes = options.metrics.counter(
    'cold_times_invalid',
    'Entries and answers of servers with an unusable time for which they stay cold.',
  );
  const loggedServers = new Set<string>();
  const cold = createColdServers({
    clock,
    coldStartOf: options.coldStartOf,
    onUpdate: (update) => {
      logger.info('server is cold', {
        server: update.id,
        milliseconds: Math.round(update.coldMilliseconds),
      });
      options.onColdUpdate(update);
    },
    onInvalid: (server, milliseconds) => {
      invalidTimes.add();
      if (loggedServers.has(server) || loggedServers.size >= MAX_LOGGED_SERVERS) return;
      loggedServers.add(server);
      logger.warn('server tells an unusable time for which it stays cold', {
        server,
        milliseconds: String(milliseconds),
      });
    },
  });

  options.metrics.gauge('cold_servers', 'Servers that are cold.', () => cold.listUpdates().length);

  const limits = createServerLimits({
    clock,
    cold,
    random,
    countHosts,
    requestReservation: async (request) => {
      const scheduling = leader();
      if (scheduling === undefined) throw new Error('no leader is known');
      return scheduling === host
        ? reserve(request)
        : options.requestReservation(scheduling, request);
    },
    onUpdate: (update) => {
      logger.info('server limit', { server: update.id, perSecond: update.perSecond ?? 'none' });
      onUpdate(update);
    },
  });

  return {
    limits,
    cold,
    reserve,
    charge: (server) => {
      const perSecond = limits.limitOf(server.id);
      if (perSecond !== undefined)
        schedule.charge({ receiver: limits.receiverOf(server), perSecond });
    },
  };
}
