import { pack, unpack } from 'msgpackr';
import type { RawData, WebSocket } from 'ws';
import type { Clock } from '@bulrushspar/clock';

/** A message exchanged between nodes. */
export interface PeerMessage {
  readonly type: string;
  /** Correlates a request with its answer; absent on messages that expect no answer. */
  readonly id?: number;
  readonly body: unknown;
}

/** A message-oriented connection to another node. */
export interface Connection {
  /** @returns false if the message was dropped */
  send(message: PeerMessage): boolean;
  /**
   * Sends a message that {@link encodeMessage} has encoded.
   * @returns false if the message was dropped
   */
  sendEncoded(data: Buffer): boolean;
  /**
   * Waits for the next message.
   * @param milliseconds - longest wait
   * @returns the message, or undefined once the connection has closed or the wait has timed out
   */
  receive(milliseconds: number): Promise<PeerMessage | undefined>;
  close(): void;
}

/** Messages and bytes sent and received over all connections of a node. */
export interface Traffic {
  messages: number;
  bytes: number;
  /** Messages dropped because the other end did not take the ones before. */
  dropped: number;
}

/** Options of {@link createConnection}. */
export interface ConnectionOptions {
  /** Bytes waiting to be sent from which further messages are dropped; bounds the memory. */
  readonly maxQueuedBytes?: number;
  /** Bytes of received messages that wait to be handled from which the connection is closed. */
  readonly maxWaitingBytes?: number;
}

const DEFAULT_MAX_QUEUED_BYTES = 256 * 1024;
/** Several of the largest messages; an end that has not proved who it is waits for each of its own. */
const DEFAULT_MAX_WAITING_BYTES = 16_000_000;
/** Counted for each message besides its bytes, as a decoded one is larger. */
const MESSAGE_OVERHEAD_BYTES = 1024;
/**
 * Lateness of a timer from which the process has not read its connections meanwhile, so that
 * messages may be waiting.
 */
const LATE_TIMER_MILLISECONDS = 100;

/** Encodes a message, once for any number of connections. */
export const encodeMessage = (message: PeerMessage): Buffer => pack(message);

const isPeerMessage = (value: unknown): value is PeerMessage =>
  typeof value === 'object' && value !== null && typeof (value as PeerMessage).type === 'string';

function decodeMessage(data: RawData): PeerMessage | undefined {
  try {
    const value: unknown = unpack(data as Buffer);
    return isPeerMessage(value) ? value : undefined;
  } catch {
    return undefined;
  }
}

/**
 * Wraps a WebSocket. A message that cannot be decoded closes the connection. Messages to an end that
 * does not read are dropped; what they tell must be repeated or asked for again.
 */
export function createConnection(
  socket: WebSocket,
  clock: Clock,
  traffic: Traffic,
  options: ConnectionOptions = {},
): Connection {
  const { maxQueuedBytes = DEFAULT_MAX_QUEUED_BYTES } = options;
  const { maxWaitingBytes = DEFAULT_MAX_WAITING_BYTES } = options;
  const trafficCounters = traffic;
  const receivedMessages: { readonly message: PeerMessage; readonly bytes: number }[] = [];
  let waitingBytes = 0;
  let wakeReceiver: (() => void) | undefined;
  let closed = false;

  const close = (): void => {
    closed = true;
    socket.terminate();
    wakeReceiver?.();
  };
  socket.on('message', (data) => {
    const message = decodeMessage(data);
    if (closed) return;
    if (!message) {
      close();
      return;
    }
    trafficCounters.messages += 1;
    trafficCounters.bytes += (data as Buffer).length;
    const bytes = (data as Buffer).length + MESSAGE_OVERHEAD_BYTES;
    waitingBytes += bytes;
    if (waitingBytes > maxWaitingBytes) {
      receivedMessages.length = 0;
      close();
      return;
    }
    receivedMessages.push({ message, bytes });
    wakeReceiver?.();
  });
  socket.on('close', close);
  socket.on('error', close);

  const sendEncoded = (data: Buffer): boolean => {
    if (closed) return false;
    if (socket.bufferedAmount > maxQueuedBytes) {
      trafficCounters.dropped += 1;
      return false;
    }
    trafficCounters.messages += 1;
    trafficCounters.bytes += data.length;
    socket.send(data);
    return true;
  };

  /**
   * Waits for a message. If the timer itself is late, the process was paused or busy and has not read
   * what has arrived: the wait starts again.
   */
  const waitForMessage = (milliseconds: number): Promise<void> =>
    new Promise((resolve) => {
      let cancel = (): void => {};
      const startTimer = (): void => {
        const due = clock.monotonic() + milliseconds;
        cancel = clock.after(milliseconds, () => {
          if (clock.monotonic() - due > LATE_TIMER_MILLISECONDS) startTimer();
          else resolve();
        });
      };
      startTimer();
      wakeReceiver = () => {
        cancel();
        resolve();
      };
    });

  return {
    send: (message) => sendEncoded(encodeMessage(message)),
    sendEncoded,
    receive: async (milliseconds) => {
      if (receivedMessages.length === 0 && !closed) {
        await waitForMessage(milliseconds);
        wakeReceiver = undefined;
      }
      const received = receivedMessages.shift();
      waitingBytes -= received?.bytes ?? 0;
      return received?.message;
    },
    close,
  };
}
