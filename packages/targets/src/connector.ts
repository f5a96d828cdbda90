/** Opens connections to servers directly or, where this host does not reach them, through another host. */
import type { Clock } from '@bulrushspar/clock';

/** A connection as far as a connector handles it, such as a socket. */
export interface Closable {
  destroy(): unknown;
}

/** Opens one connection; the signal ends an attempt whose connection is not needed any more. */
export type OpenConnection<Connection extends Closable> = (
  address: string,
  signal: AbortSignal,
) => Promise<Connection>;

/** Options of {@link createConnector}. */
export interface ConnectorOptions<Connection extends Closable> {
  readonly clock: Clock;
  readonly openDirect: OpenConnection<Connection>;
  /** Opens a connection that another host passes on; rejects if that host does not reach the server. */
  readonly openThroughHost: OpenConnection<Connection>;
  /** Called when this host seems to reach no server any more, and when it reaches one again. */
  readonly onReachChange?: (reachesServers: boolean) => void;
  /** Longest time for a connection, in milliseconds; 1000 by default. */
  readonly timeoutMilliseconds?: number;
}

/** Opens the connections of one host to servers. */
export interface Connector<Connection extends Closable> {
  /** @param address host and port of the server */
  open(address: string): Promise<Connection>;
  /** Whether the last connections to several servers could be opened only through other hosts. */
  reachesServers(): boolean;
}

/** Delay of the attempt through another host; a direct connection takes a few milliseconds. */
const SECOND_ATTEMPT_DELAY_MILLISECONDS = 100;
/** Time for which a server that was reached through another host is taken as out of reach. */
const OUT_OF_REACH_MILLISECONDS = 1000;
/** Number of servers out of reach from which the host expects to reach none. */
const MIN_SERVERS_OUT_OF_REACH = 2;
/** Interval at which a host that reaches no server tries the direct way again. */
const DIRECT_TRIAL_MILLISECONDS = 500;
/** Time after which a host that has opened no connection since may reach servers again. */
const CUT_OFF_MILLISECONDS = 5000;
/** Time for which a server that other hosts do not reach either is not tried through them. */
const UNREACHABLE_MILLISECONDS = 1000;

/** Creates the connector of one host, which reaches all servers as far as it knows. */
export function createConnector<Connection extends Closable>(
  options: ConnectorOptions<Connection>,
): Connector<Connection> {
  const { clock, openDirect, openThroughHost, onReachChange = () => {} } = options;
  const { timeoutMilliseconds = 1000 } = options;
  /** When each server was last reached through another host, and not directly since. */
  const outOfReachSince = new Map<string, number>();
  /** When other hosts were last found not to reach a server. */
  const unreachableSince = new Map<string, number>();
  let isCutOff = false;
  let triedDirectAt = -Infinity;
  let reachedThroughHostAt = -Infinity;

  const isRecent = (at: number | undefined, milliseconds: number): boolean =>
    at !== undefined && clock.monotonic() - at < milliseconds;

  const setCutOff = (value: boolean): void => {
    if (isCutOff === value) return;
    isCutOff = value;
    onReachChange(!value);
  };

  const recordDirect = (address: string): void => {
    outOfReachSince.delete(address);
    unreachableSince.delete(address);
    setCutOff(false);
  };

  const recordThroughHost = (address: string): void => {
    reachedThroughHostAt = clock.monotonic();
    outOfReachSince.set(address, reachedThroughHostAt);
    outOfReachSince.forEach((at, key) => {
      if (!isRecent(at, OUT_OF_REACH_MILLISECONDS)) outOfReachSince.delete(key);
    });
    if (outOfReachSince.size >= MIN_SERVERS_OUT_OF_REACH) setCutOff(true);
  };

  /** Whether the direct way is expected to fail. */
  const isOutOfReach = (address: string): boolean =>
    isCutOff || isRecent(outOfReachSince.get(address), OUT_OF_REACH_MILLISECONDS);

  /** Whether to try the direct way, although it is expected to fail. */
  const takeDirectTrial = (): boolean => {
    if (isRecent(triedDirectAt, DIRECT_TRIAL_MILLISECONDS)) return false;
    triedDirectAt = clock.monotonic();
    return true;
  };

  const open = (address: string): Promise<Connection> =>
    new Promise((resolve, reject) => {
      const ended = new AbortController();
      /** Outlasts the connection through another host, as it shows whether the direct way works again. */
      const directEnded = new AbortController();
      let pending = 0;
      let isSettled = false;
      let hasTriedDirect = false;
      let hasAskedHost = isRecent(unreachableSince.get(address), UNREACHABLE_MILLISECONDS);
      let cancelSecond = (): void => {};
      let cancelTimeout = (): void => {};

      const settle = (action: () => void): void => {
        isSettled = true;
        cancelSecond();
        ended.abort();
        action();
      };
      const settleOpen = (connection: Connection): void => {
        pending -= 1;
        if (isSettled) connection.destroy();
        else settle(() => resolve(connection));
      };
      const settleFailed = (error: unknown, tryOther: () => void): void => {
        pending -= 1;
        if (isSettled) return;
        tryOther();
        if (pending > 0) return;
        cancelTimeout();
        settle(() => reject(error));
      };

      const tryDirect = (): void => {
        if (hasTriedDirect || isSettled) return;
        hasTriedDirect = true;
        pending += 1;
        openDirect(address, directEnded.signal).then(
          (connection) => {
            cancelTimeout();
            recordDirect(address);
            settleOpen(connection);
          },
          (error: unknown) => settleFailed(error, askHost),
        );
      };
      const askHost = (): void => {
        if (hasAskedHost || isSettled) return;
        hasAskedHost = true;
        pending += 1;
        openThroughHost(address, ended.signal).then(
          (connection) => {
            if (!hasTriedDirect) cancelTimeout();
            if (!isSettled) recordThroughHost(address);
            settleOpen(connection);
          },
          (error: unknown) => {
            // A question that has ended since it is not needed any more tells nothing of the server.
            if (!isSettled) unreachableSince.set(address, clock.monotonic());
            settleFailed(error, tryDirect);
          },
        );
      };

      cancelTimeout = clock.after(timeoutMilliseconds, () => {
        directEnded.abort();
        if (isSettled) return;
        if (hasAskedHost) unreachableSince.set(address, clock.monotonic());
        settle(() => reject(new Error(`no connection to ${address} in ${timeoutMilliseconds} ms`)));
      });
      if (isOutOfReach(address) && !hasAskedHost) {
        askHost();
        if (takeDirectTrial()) tryDirect();
      } else {
        tryDirect();
        cancelSecond = clock.after(SECOND_ATTEMPT_DELAY_MILLISECONDS, askHost);
      }
    });

  return {
    open,
    reachesServers: () => !isCutOff || !isRecent(reachedThroughHostAt, CUT_OFF_MILLISECONDS),
  };
}
