/** Slowness of servers that hosts tell each other in messages that they send anyway. */
import { recordPassedSlowness } from '@bulrushspar/balancing';
import type { ServerStates } from './servers.js';

/** Slowness in hundredths and the age of the observation in milliseconds, by server. */
export type SlownessMessage = Readonly<Record<string, readonly [percent: number, age: number]>>;

/** What this host and others have observed recently. */
export interface SlownessExchange {
  /** Records what a server has reported to this host. */
  recordOwn(server: string, slowness: number): void;
  /** @returns what this host has observed and, for summaries, what it was told; undefined if nothing */
  list(includesReceived: boolean): SlownessMessage | undefined;
  /** Applies what another host tells. @param age time since it was sent, in milliseconds */
  receive(message: SlownessMessage | undefined, age: number): void;
}

interface Observation {
  readonly slowness: number;
  readonly at: number;
  readonly isOwn: boolean;
}

/** Age at which an observation is not passed on any more, as it is worth nothing by then. */
const LIFETIME_MILLISECONDS = 1000;
/** Slowness from which, or below the inverse of which, it is told; most servers are left out. */
const NOTABLE = 1.3;
/** Time for which the return of a server to its usual speed is told, after which all have forgotten it. */
const RECOVERY_MILLISECONDS = 20_000;
const PERCENT = 100;

/** Creates an exchange without observations. @param now returns the time on the monotonic clock */
export function createSlownessExchange(
  now: () => number,
  servers: Pick<ServerStates, 'get'>,
): SlownessExchange {
  const observations = new Map<string, Observation>();
  const notableAt = new Map<string, number>();

  const record = (server: string, observation: Observation): boolean => {
    const { slowness, at } = observation;
    const isNotable = slowness > NOTABLE || slowness < 1 / NOTABLE;
    if (isNotable) notableAt.set(server, at);
    else if (at - (notableAt.get(server) ?? -Infinity) > RECOVERY_MILLISECONDS) return false;
    if (at <= (observations.get(server)?.at ?? -Infinity)) return false;
    observations.set(server, observation);
    return true;
  };

  const removeOld = (at: number): void => {
    observations.forEach((observation, server) => {
      if (at - observation.at > LIFETIME_MILLISECONDS) observations.delete(server);
    });
    notableAt.forEach((seen, server) => {
      if (at - seen > RECOVERY_MILLISECONDS) notableAt.delete(server);
    });
  };

  return {
    recordOwn: (server, slowness) => {
      record(server, { slowness, at: now(), isOwn: true });
    },
    list: (includesReceived) => {
      const at = now();
      removeOld(at);
      const message: Record<string, [number, number]> = {};
      observations.forEach((observation, server) => {
        if (!includesReceived && !observation.isOwn) return;
        const percent = Math.round(observation.slowness * PERCENT);
        message[server] = [percent, Math.round(at - observation.at)];
      });
      return Object.keys(message).length > 0 ? message : undefined;
    },
    receive: (message = {}, age = 0) => {
      Object.entries(message).forEach(([server, [percent, ownAge]]) => {
        const state = servers.get(server);
        if (!state || !(percent > 0) || !(ownAge >= 0)) return;
        const at = now() - age - ownAge;
        const slowness = percent / PERCENT;
        if (record(server, { slowness, at, isOwn: false }))
          recordPassedSlowness(state.knowledge, slowness, at);
      });
    },
  };
}
