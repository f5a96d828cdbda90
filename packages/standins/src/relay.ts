import { connect, createServer, type Socket } from 'node:net';

/** What a relay does with connections. */
export const RELAY = {
  PASS: 'pass',
  /** Open connections pass nothing on and stay open; new ones work. */
  SILENCE_OPEN: 'silence-open',
  /** Passes nothing on, neither on open nor on new connections. */
  CUT: 'cut',
  /** Passes on what goes to the target, and nothing back. */
  CUT_ANSWERS: 'cut-answers',
  /** Resets open and new connections. */
  RESET: 'reset',
  /** Passes everything on later. */
  DELAY: 'delay',
} as const;

/** One of {@link RELAY}. */
export type RelayMode = (typeof RELAY)[keyof typeof RELAY];

/** A stretch of network between two processes. */
export interface RelayStandin {
  readonly port: number;
  setMode(mode: RelayMode): void;
  close(): Promise<void>;
}

const LOOPBACK = '127.0.0.1';
/** Time by which a delaying relay holds each piece up. */
const DELAY_MILLISECONDS = 150;

/** Passes connections on to a port on loopback. */
export async function startRelay(target: number): Promise<RelayStandin> {
  const open = new Set<{ silent: boolean; readonly sockets: readonly Socket[] }>();
  let mode: RelayMode = RELAY.PASS;

  const join = (near: Socket): void => {
    if (mode === RELAY.RESET) {
      near.resetAndDestroy();
      return;
    }
    const far = connect(target, LOOPBACK);
    const pair = { silent: mode === RELAY.CUT, sockets: [near, far] };
    open.add(pair);
    const end = (): void => {
      open.delete(pair);
      pair.sockets.forEach((socket) => socket.destroy());
    };
    [
      { from: near, to: far },
      { from: far, to: near },
    ].forEach(({ from, to }) => {
      from.on('data', (data) => {
        if (pair.silent || (mode === RELAY.CUT_ANSWERS && from === far)) return;
        if (mode === RELAY.DELAY) setTimeout(() => to.write(data), DELAY_MILLISECONDS);
        else to.write(data);
      });
      from.on('close', () => {
        if (!pair.silent) end();
      });
      from.on('error', () => {});
    });
  };

  const server = createServer(join);
  await new Promise<void>((resolve) => {
    server.listen(0, LOOPBACK, resolve);
  });
  return {
    port: (server.address() as { port: number }).port,
    setMode: (next) => {
      mode = next;
      if (next === RELAY.RESET) {
        open.forEach(({ sockets }) => sockets.forEach((socket) => socket.resetAndDestroy()));
      }
      const silent = next === RELAY.CUT || next === RELAY.SILENCE_OPEN;
      open.forEach((pair) => {
        // What went silent stays so for good; only its ends can give it up.
        Object.assign(pair, { silent: pair.silent || silent });
      });
    },
    close: () =>
      new Promise((resolve) => {
        open.forEach(({ sockets }) => sockets.forEach((socket) => socket.destroy()));
        server.close(() => resolve());
      }),
  };
}
