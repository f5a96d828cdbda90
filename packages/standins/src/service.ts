import type { IncomingMessage, ServerResponse } from 'node:http';
import { listen, pause, readBody, type Standin } from './listen.js';

/** Faults that a test injects into service calls. */
export const SERVICE_FAULT = {
  /** Executes the call, then destroys the connection. */
  CUT_AFTER: 'cut-after',
  /** Destroys the connection without executing the call. */
  CUT_BEFORE: 'cut-before',
  /** Executes the call and never responds. */
  SILENT: 'silent',
} as const;

/** One of {@link SERVICE_FAULT}. */
export type ServiceFault = (typeof SERVICE_FAULT)[keyof typeof SERVICE_FAULT];

/** Call that the service executed. */
export interface ExecutedCall {
  readonly method: string;
  readonly path: string;
  readonly headers: IncomingMessage['headers'];
  readonly body: string;
}

/** Running stand-in for a plain HTTP service such as accounts or bookings. */
export interface ServiceStandin extends Standin {
  /** Sets the rule that selects the fault of each call by its path; undefined for none. */
  setFault(rule: ((path: string) => ServiceFault | undefined) | undefined): void;
  /** Sets a delay for each response, in milliseconds. */
  setDelay(milliseconds: number): void;
  /** Executed calls, in order. */
  readonly executedCalls: ExecutedCall[];
}

/** Starts a service stand-in on loopback; it returns the path and body of each request. */
export async function startService(port = 0): Promise<ServiceStandin> {
  const executedCalls: ExecutedCall[] = [];
  let chooseFault: ((path: string) => ServiceFault | undefined) | undefined;
  let delayMilliseconds = 0;
  const handle = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const body = await readBody(request);
    const fault = chooseFault?.(request.url!);
    if (fault === SERVICE_FAULT.CUT_BEFORE) {
      request.socket.destroy();
      return;
    }
    executedCalls.push({
      method: request.method!,
      path: request.url!,
      headers: request.headers,
      body,
    });
    const number = executedCalls.length;
    if (delayMilliseconds > 0) await pause(delayMilliseconds);
    if (fault === SERVICE_FAULT.CUT_AFTER) request.socket.destroy();
    if (fault !== undefined) return;
    response.writeHead(200, { 'content-type': 'application/json' });
    response.end(JSON.stringify({ number, path: request.url, body }));
  };
  const standin = await listen((request, response) => {
    handle(request, response).catch(() => response.destroy());
  }, port);
  return {
    ...standin,
    executedCalls,
    setFault: (next) => {
      chooseFault = next;
    },
    setDelay: (milliseconds) => {
      delayMilliseconds = milliseconds;
    },
  };
}
