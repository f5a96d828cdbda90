/**
 * Bounds what callers' bytes cost a server. The parser of Node.js handles all that was read from a connection in one
 * go, with a call for each chunk and each request in it.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { Readable } from 'node:stream';
import { processReads, type ReadSchedule } from '@bulrushspar/targets';
import { createByteMemory, type ByteMemory } from './memory.js';
import { BLOCK_BYTES } from './pool.js';

/** Options of {@link boundInput}. */
export interface InputOptions {
  /** Bounds the bytes that wait to be parsed; by default a memory of this server alone. */
  readonly memory?: ByteMemory;
  /** Shares the time for reading with other connections; by default with all of the process. */
  readonly reads?: ReadSchedule;
  /** Requests of one connection that may be open before the next one is begun. */
  readonly maxOpenRequests?: number;
  /** Called when a connection is closed because its bytes do not fit in the memory. */
  readonly onShortage?: () => void;
  /** Whether connections may go over to other protocols; the server needs listeners for these events then. */
  readonly allowsUpgrades?: boolean;
}

/** Input of one connection. */
interface Input {
  /** Has to be called before the request is handled. */
  beginRequest(request: IncomingMessage): void;
  endRequest(): void;
  /** Leaves the connection, with what was not parsed, to another protocol. */
  unbind(): void;
}

const DEFAULT_MAX_OPEN_REQUESTS = 8;
/** Of a server that reads no bodies. */
const DEFAULT_MEMORY_BYTES = 8_000_000;
const UPGRADE_EVENTS = ['upgrade', 'connect'];
/** Fewer bytes are kept without a block. */
const MAX_SMALL_BYTES = 8192;
const NO_BYTES = Buffer.alloc(0);
const END_OF_HEAD = Buffer.from('\r\n\r\n');

/** Length of what comes before the next request can begin, as far as the end of a head tells. */
function measureHead(bytes: Buffer): number {
  const index = bytes.indexOf(END_OF_HEAD);
  return index < 0 ? bytes.length : index + END_OF_HEAD.length;
}

type ConnectionOptions = Required<Omit<InputOptions, 'allowsUpgrades'>>;

function boundConnection(socket: Socket, options: ConnectionOptions): Input {
  const { memory, reads, maxOpenRequests, onShortage } = options;
  const push = Readable.prototype.push.bind(socket);
  // eslint-disable-next-line no-underscore-dangle -- streams are read by this method
  const readMore = socket._read.bind(socket);
  let openRequests = 0;
  /** The last request that was begun. */
  let lastRequest: IncomingMessage | undefined;
  /** Bytes that are not parsed yet. */
  let held: Buffer = NO_BYTES;
  /** Contains them if they wait for a later turn and are not few. */
  let block: Buffer | undefined;
  let hasEnded = false;
  let isDeferred = false;
  let wantsMore = false;
  const closeConnection = (): void => {
    onShortage();
    socket.destroy();
  };
  const holding = memory.open(closeConnection);

  const isWaiting = (): boolean => held.length > 0;

  const giveBlock = (): void => {
    if (block) memory.pool.give(block);
    block = undefined;
  };

  /** Copies what waits, so that the larger buffer of the connection is not kept. */
  const store = (): void => {
    const waiting = held;
    giveBlock();
    if (waiting.length > MAX_SMALL_BYTES && waiting.length <= BLOCK_BYTES) {
      block = memory.pool.take();
      held = block.subarray(0, waiting.copy(block));
    } else held = Buffer.from(waiting);
    if (!holding.resize(block?.length ?? held.length)) closeConnection();
  };

  /** The next bytes belong to the last request, such as its body. */
  const continuesRequest = (): boolean => lastRequest?.complete === false;
  const mayPass = (): boolean =>
    !socket.destroyed && (openRequests < maxOpenRequests || continuesRequest());

  const release = (): void => {
    held = NO_BYTES;
    giveBlock();
    holding.close();
  };

  /** Parses a slice that is no longer than a head. @returns its size, and whether more may follow */
  const passSlice = () => {
    const slice = reads.measure(held.subarray(0, measureHead(held)));
    const bytes = held.subarray(0, slice.bytes);
    held = held.subarray(slice.bytes);
    // A paused stream keeps the bytes, while the block is used again.
    return { slice, hasRoom: push(block ? Buffer.from(bytes) : bytes) };
  };

  const deferRead = (): void => {
    isDeferred = true;
    reads.defer(socket, readOn);
  };

  /** Parses what may be parsed in this turn. @returns whether to read from the connection again */
  const passOn = (): boolean => {
    let bytes = 0;
    let lines = 0;
    let hasRoom = true;
    const earlierRequest = lastRequest;
    while (isWaiting() && mayPass()) {
      const hasBegunRequest = lastRequest !== earlierRequest;
      if (reads.isLarge({ bytes, lines }) || (hasBegunRequest && !continuesRequest())) {
        deferRead();
        return false;
      }
      const passed = passSlice();
      bytes += passed.slice.bytes;
      lines += passed.slice.lines;
      hasRoom = passed.hasRoom;
    }
    return hasRoom && !isWaiting();
  };

  /** Goes on with what waits, and reads from the connection again once nothing does. */
  const readOn = (): void => {
    isDeferred = false;
    if (socket.destroyed) {
      release();
      return;
    }
    passOn();
    if (isWaiting()) return;
    giveBlock();
    holding.resize(0);
    if (hasEnded) {
      push(null);
      socket.read(0);
    } else if (wantsMore) {
      wantsMore = false;
      readMore(0);
    }
  };

  socket.on('close', release);
  Object.assign(socket, {
    push: (chunk: Buffer | null): boolean => {
      if (chunk === null) {
        hasEnded = true;
        return isWaiting() ? false : push(null);
      }
      const hasWaited = isWaiting();
      held = hasWaited ? Buffer.concat([held, chunk]) : chunk;
      const hasRoom = !hasWaited && passOn();
      if (isWaiting()) store();
      return hasRoom;
    },
    _read: (size: number): void => {
      if (isWaiting()) wantsMore = true;
      else readMore(size);
    },
  });
  // The server reads from the handle of the socket, past its methods, until someone else listens for its data.
  const ignore = (): void => {};
  socket.on('data', ignore);

  return {
    unbind: () => {
      const rest = Buffer.from(held);
      release();
      socket.removeListener('data', ignore);
      Object.assign(socket, { push, _read: readMore });
      if (rest.length > 0) push(rest);
    },
    beginRequest: (request) => {
      openRequests += 1;
      lastRequest = request;
    },
    endRequest: () => {
      openRequests -= 1;
      if (isWaiting() && !isDeferred) deferRead();
    },
  };
}

/**
 * Bounds the input of all connections of a server, in each turn of the event loop and by open requests. What waits is
 * neither refused nor lost: the connection is not read from meanwhile. Has to be called before the server listens.
 */
export function boundInput(server: Server, options: InputOptions = {}): void {
  const { reads = processReads, maxOpenRequests = DEFAULT_MAX_OPEN_REQUESTS } = options;
  const { memory = createByteMemory({ totalBytes: DEFAULT_MEMORY_BYTES }) } = options;
  const { onShortage = () => {}, allowsUpgrades = false } = options;
  const inputs = new WeakMap<Socket, Input>();
  server.on('connection', (socket: Socket) => {
    const input = boundConnection(socket, { memory, reads, maxOpenRequests, onShortage });
    inputs.set(socket, input);
  });
  server.prependListener('request', (request: IncomingMessage, response: ServerResponse) => {
    const input = inputs.get(request.socket);
    input?.beginRequest(request);
    response.once('close', () => input?.endRequest());
  });
  // A server without listeners handles such requests like all others.
  if (!allowsUpgrades) return;
  UPGRADE_EVENTS.forEach((event) =>
    server.prependListener(event, (_request: IncomingMessage, socket: Socket) =>
      inputs.get(socket)?.unbind(),
    ),
  );
}
