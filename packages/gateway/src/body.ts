import { createRefusal, REFUSAL, type Refusal } from '@bulrushspar/errors';
import {
  BODY_FAULT,
  collectBody,
  type BodyFault,
  type CollectBodyOptions,
} from '@bulrushspar/routing';
import type { RequestContext } from './context.js';

/** Creates the refusal of a request whose body was not read to its end. */
function createBodyRefusal(fault: BodyFault, maxBytes: number): Refusal {
  if (fault === BODY_FAULT.TOO_LARGE)
    return createRefusal({
      status: 413,
      code: REFUSAL.BODY_TOO_LARGE,
      message: `the body is larger than ${maxBytes} bytes`,
    });
  if (fault === BODY_FAULT.TOO_FRAGMENTED)
    return createRefusal({
      status: 400,
      code: REFUSAL.BAD_REQUEST,
      message: 'the body comes in too many small chunks',
    });
  return createRefusal({
    status: 503,
    code: REFUSAL.QUEUE_FULL,
    message: 'this host has no memory for the body of the request',
    retryAfterSeconds: 1,
  });
}

/**
 * Reads the complete body of a request, which counts in the memory until the request is answered. Rejects with a
 * refusal if it is larger than `maxBytes`, comes in too many small chunks, does not fit in the memory, or if the
 * request is aborted.
 */
export async function readBody(
  { request, response, signal }: Pick<RequestContext, 'request' | 'response' | 'signal'>,
  options: CollectBodyOptions,
): Promise<Buffer> {
  const { content, holding, fault } = await collectBody(request, { ...options, signal });
  if (content) {
    if (response.closed) holding.close();
    else response.once('close', holding.close);
    return content;
  }
  throw createBodyRefusal(fault, options.maxBytes);
}
