import { request } from 'undici';
import { wrapError } from '@bulrushspar/errors';

/** Response of a node to an operator's request. */
export interface NodeAnswer {
  readonly status: number;
  readonly body: Readonly<Record<string, unknown>>;
}

/** Client of the operators' interface of one node. */
export interface NodeClient {
  get(path: string): Promise<NodeAnswer>;
  post(path: string, body: unknown): Promise<NodeAnswer>;
}

const TIMEOUT_MILLISECONDS = 15_000;

/**
 * Creates a client. Its methods throw if no response arrives in time or if its body is not JSON.
 * @param origin origin of the node's operators' interface, such as http://127.0.0.1:7201
 * @param token shared token of operators
 */
export function createNodeClient(origin: string, token: string): NodeClient {
  const call = async (method: 'GET' | 'POST', path: string, body?: unknown) => {
    try {
      const answer = await request(new URL(path, origin), {
        method,
        headers: { authorization: `Bearer ${token}`, 'content-type': 'application/json' },
        body: body === undefined ? null : JSON.stringify(body),
        signal: AbortSignal.timeout(TIMEOUT_MILLISECONDS),
      });
      return { status: answer.statusCode, body: (await answer.body.json()) as NodeAnswer['body'] };
    } catch (error) {
      throw wrapError(error, `no valid response from node ${origin}`);
    }
  };
  return {
    get: (path) => call('GET', path),
    post: (path, body) => call('POST', path, body),
  };
}
