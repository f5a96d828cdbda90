/** Bounds the connections of callers, each of which takes a descriptor for as long as its caller stays. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/** Options of {@link boundConnections}. */
export interface ConnectionLimitOptions {
  readonly maxConnections: number;
  /** Called when a connection is closed because there are too many. */
  readonly onExcess?: () => void;
}

/** Whether a connection has no request, or only such whose rest or whose end its caller has to receive or send. */
const waitsForCaller = (responses: ReadonlySet<ServerResponse>): boolean =>
  [...responses].every(({ writableEnded, req }) => writableEnded || !req.complete);

/**
 * Bounds the connections of a server. One too many closes the connection whose caller has sent and received nothing
 * whole for longest, itself if all others have requests in progress. Has to be called before the server listens.
 */
export function boundConnections(server: Server, options: ConnectionLimitOptions): void {
  const { maxConnections, onExcess = () => {} } = options;
  /** Open responses by connection, from the one without progress for longest. */
  const connections = new Map<Socket, Set<ServerResponse>>();

  const recordProgress = (socket: Socket): void => {
    const responses = connections.get(socket);
    if (!responses) return;
    connections.delete(socket);
    connections.set(socket, responses);
  };

  const closeOne = (): void => {
    for (const [socket, responses] of connections) {
      if (waitsForCaller(responses)) {
        connections.delete(socket);
        socket.destroy();
        return;
      }
    }
  };

  server.on('connection', (socket: Socket) => {
    connections.set(socket, new Set());
    socket.once('close', () => connections.delete(socket));
    if (connections.size <= maxConnections) return;
    closeOne();
    onExcess();
  });
  server.prependListener('request', (request: IncomingMessage, response: ServerResponse) => {
    const { socket } = request;
    connections.get(socket)?.add(response);
    request.once('end', () => recordProgress(socket));
    response.once('close', () => {
      connections.get(socket)?.delete(response);
      recordProgress(socket);
    });
  });
}
