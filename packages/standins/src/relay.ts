import { connect, createServer, type Socket } from 'node:net';
import { detectResets } from '@bulrushspar/targets';

/** Modes of a relay: how it treats connections and the data on them. */
export const RELAY_MODE = {
  /** Forwards everything. */
  PASS: 'pass',
  /** Drops all data of the open connections, which stay open; new connections work. */
  SILENCE_OPEN: 'silence-open',
  /** Drops all data of open and new connections, which stay open. */
  CUT: 'cut',
  /** Forwards data to the target and drops its responses; connections with a dropped one stay so. */
  CUT_ANSWERS: 'cut-answers',
  /** Resets open and new connections. */
  RESET: 'reset',
  /** Forwards everything after `DELAY_MILLISECONDS`. */
  DELAY: 'delay',
} as const;

/** One of {@link RELAY_MODE}. */
export type RelayMode = (typeof RELAY_MODE)[keyof typeof RELAY_MODE];

/** Running TCP relay between two processes. */
export interface RelayStandin {
  readonly port: number;
  setMode(mode: RelayMode): void;
  close(): Promise<void>;
}

interface OpenConnection {
  silent: boolean;
  /** Whether a response was dropped; later ones are dropped as well. */
  answersDropped: boolean;
  readonly sockets: readonly Socket[];
}

const LOOPBACK = '127.0.0.1';
/** Delay of each chunk in {@link RELAY_MODE}.DELAY. */
const DELAY_MILLISECONDS = 150;

/** Starts a relay on a free loopback port that forwards connections to a loopback port. */
export async function startRelay(targetPort: number): Promise<RelayStandin> {
  const openConnections = new Set<OpenConnection>();
  let mode: RelayMode = RELAY_MODE.PASS;

  const relayConnection = (clientSocket: Socket): void => {
    if (mode === RELAY_MODE.RESET) {
      clientSocket.resetAndDestroy();
      return;
    }
    const targetSocket = connect(targetPort, LOOPBACK);
    detectResets(targetSocket);
    const connection: OpenConnection = {
      silent: mode === RELAY_MODE.CUT,
      answersDropped: false,
      sockets: [clientSocket, targetSocket],
    };
    openConnections.add(connection);
    const closeConnection = (): void => {
      openConnections.delete(connection);
      connection.sockets.forEach((socket) => socket.destroy());
    };
    [
      { from: clientSocket, to: targetSocket },
      { from: targetSocket, to: clientSocket },
    ].forEach(({ from, to }) => {
      /** Data that is on its way; later data does not overtake it. */
      const delayed: Buffer[] = [];
      from.on('data', (data) => {
        // A connection never delivers bytes after others that were lost.
        if (mode === RELAY_MODE.CUT_ANSWERS && from === targetSocket)
          connection.answersDropped = true;
        if (connection.silent || (connection.answersDropped && from === targetSocket)) return;
        if (mode !== RELAY_MODE.DELAY && delayed.length === 0) {
          to.write(data);
          return;
        }
        delayed.push(data);
        setTimeout(() => to.write(delayed.shift()!), DELAY_MILLISECONDS);
      });
      from.on('close', () => {
        if (!connection.silent) closeConnection();
      });
      from.on('error', ({ code }: NodeJS.ErrnoException) => {
        const isReset = code === 'ECONNRESET' || code === 'EPIPE';
        if (isReset && !connection.silent) to.resetAndDestroy();
      });
    });
  };

  const server = createServer(relayConnection);
  await new Promise<void>((resolve) => {
    server.listen(0, LOOPBACK, resolve);
  });
  return {
    port: (server.address() as { port: number }).port,
    setMode: (next) => {
      mode = next;
      if (next === RELAY_MODE.RESET) {
        openConnections.forEach(({ sockets }) =>
          sockets.forEach((socket) => socket.resetAndDestroy()),
        );
      }
      const silent = next === RELAY_MODE.CUT || next === RELAY_MODE.SILENCE_OPEN;
      openConnections.forEach((connection) => {
        // A connection that was cut stays cut in later modes, and a close of one end does not reach
        // the other: each end has to time out by itself.
        Object.assign(connection, { silent: connection.silent || silent });
      });
    },
    close: () =>
      new Promise((resolve) => {
        openConnections.forEach(({ sockets }) => sockets.forEach((socket) => socket.destroy()));
        server.close(() => resolve());
      }),
  };
}
