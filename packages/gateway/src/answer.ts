import type { ServerResponse } from 'node:http';
import {
  createRefusal,
  isRefusal,
  errorMessage,
  RAN,
  REFUSAL,
  type Refusal,
} from '@bulrushspar/errors';

const JSON_CONTENT_TYPE = 'application/json';
const INTERNAL_SERVER_ERROR = 500;

/** Header with the id of a request. */
export const REQUEST_ID_HEADER = 'x-request-id';

/** Converts a thrown value to a refusal; one that is not a refusal becomes an internal error. */
export function toRefusal(error: unknown): Refusal {
  if (isRefusal(error)) return error;
  return createRefusal({
    status: INTERNAL_SERVER_ERROR,
    code: REFUSAL.INTERNAL,
    message: errorMessage(error),
    ran: RAN.UNKNOWN,
    cause: error,
  });
}

/** @returns the JSON body of a refusal, an object with the field `error` */
export function formatRefusalBody({ refusal, message }: Refusal, requestId: string): string {
  const { code, ran, retryAfterSeconds } = refusal;
  return JSON.stringify({
    error: {
      message,
      type: code,
      code,
      ran,
      ...(retryAfterSeconds === undefined ? {} : { retry_after_seconds: retryAfterSeconds }),
      request_id: requestId,
    },
  });
}

/**
 * Answers a request with a refusal. An event stream that has begun ends with the refusal as its last
 * event; any other answer that has begun is cut off. Does nothing once the connection has ended.
 */
export function sendRefusal(response: ServerResponse, refusal: Refusal, requestId: string): void {
  if (response.destroyed) return;
  const body = formatRefusalBody(refusal, requestId);
  if (response.headersSent) {
    const isEventStream = String(response.getHeader('content-type')).startsWith(
      'text/event-stream',
    );
    if (isEventStream) response.end(`data: ${body}\n\n`);
    else response.destroy();
    return;
  }
  const { status, retryAfterSeconds } = refusal.refusal;
  response.writeHead(status, {
    'content-type': JSON_CONTENT_TYPE,
    'content-length': Buffer.byteLength(body),
    [REQUEST_ID_HEADER]: requestId,
    ...(retryAfterSeconds === undefined ? {} : { 'retry-after': String(retryAfterSeconds) }),
  });
  response.end(body);
}

/** Answers a request with a JSON body. */
export function sendJson(response: ServerResponse, value: unknown, status = 200): void {
  const body = JSON.stringify(value);
  response.writeHead(status, {
    'content-type': JSON_CONTENT_TYPE,
    'content-length': Buffer.byteLength(body),
  });
  response.end(body);
}
