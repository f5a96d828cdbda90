import { createServer, type IncomingMessage, type RequestListener, type Server } from 'node:http';

const LOOPBACK = '127.0.0.1';

/** HTTP stand-in that listens on loopback. */
export interface Standin {
  readonly url: string;
  readonly port: number;
  /** Closes all connections and stops listening. */
  close(): Promise<void>;
}

/**
 * Starts an HTTP server on loopback.
 * @param port 0 selects any free port
 */
export async function listen(
  listener: RequestListener,
  port = 0,
): Promise<Standin & { server: Server }> {
  const server = createServer(listener);
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, LOOPBACK, resolve);
  });
  const address = server.address() as { port: number };
  return {
    server,
    url: `http://${LOOPBACK}:${address.port}`,
    port: address.port,
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
}

/** Resolves after the given time. */
export const pause = (milliseconds: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, milliseconds);
  });

/** Reads the request body as UTF-8 text. */
export async function readBody(request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString('utf8');
}
