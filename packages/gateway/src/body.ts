import { createRefusal, REFUSAL, type Refusal } from '@bulrushspar/errors';
import { BODY_FAULT, collectBody, dropBody, type CollectBodyOptions } from '@bulrushspar/routing';
import type { RequestContext } from './context.js';

const createTooLargeRefusal = (maxBytes: number): Refusal =>
  createRefusal({
    status: 413,
    code: REFUSAL.BODY_TOO_LARGE,
    message: `the body is larger than ${maxBytes} bytes`,
  });

const createFragmentedRefusal = (): Refusal =>
  createRefusal({
    status: 400,
    code: REFUSAL.BAD_REQUEST,
    message: 'the body comes in too many small chunks',
  });

/**
 * Reads the complete body of a request, which counts in the memory until the request is answered. Rejects with a
 * refusal if it is larger than `maxBytes`, or comes in too many small chunks.
 */
export async function readBody(
  { request, response }: Pick<RequestContext, 'request' | 'response'>,
  options: CollectBodyOptions,
): Promise<Buffer> {
  const { maxBytes } = options;
  if (Number(request.headers['content-length'] ?? 0) > maxBytes) {
    dropBody(request, maxBytes);
    throw createTooLargeRefusal(maxBytes);
  }
  const { content, holding, fault } = await collectBody(request, options);
  if (content) {
    if (response.closed) holding.close();
    else response.once('close', holding.close);
    return content;
  }
  throw fault === BODY_FAULT.TOO_LARGE
    ? createTooLargeRefusal(maxBytes)
    : createFragmentedRefusal();
}
