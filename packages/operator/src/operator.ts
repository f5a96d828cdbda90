import { createHash, timingSafeEqual } from 'node:crypto';
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import { errorMessage } from '@bulrushspar/errors';
import {
  boundInput,
  collectBody,
  createByteMemory,
  dropBody,
  type ByteMemory,
} from '@bulrushspar/routing';

/** Response to an operator's request. */
export interface OperatorResponse {
  readonly status: number;
  readonly body: unknown;
}

/** Request of an operator, already authenticated. */
export interface OperatorRequest {
  /** Values of the pattern's path parameters, by name. */
  readonly parameters: Readonly<Record<string, string>>;
  readonly query: URLSearchParams;
  /** Parsed JSON; undefined if the request has no body. */
  readonly body: unknown;
}

/** An operation of the operator API. */
export interface Operation {
  readonly method: 'GET' | 'POST';
  /** Path pattern; a segment such as `:name` is a parameter that matches any value. */
  readonly pattern: string;
  readonly perform: (request: OperatorRequest) => Promise<OperatorResponse>;
}

/** Options of {@link createOperatorServer}. */
export interface OperatorServerOptions {
  /** Shared bearer token that operators must send. */
  readonly token: string;
  readonly operations: readonly Operation[];
}

/** HTTP server of the operator API. */
export interface OperatorServer {
  listen(address: string, port: number): Promise<void>;
  port(): number;
  close(): Promise<void>;
}

const MAX_BODY_BYTES = 8_000_000;
const INVALID_BODY = Symbol('unreadable body');

async function readJsonBody(request: IncomingMessage, memory: ByteMemory): Promise<unknown> {
  const { content, holding, fault } = await collectBody(request, {
    maxBytes: MAX_BODY_BYTES,
    memory,
  });
  if (!content) throw new Error(`the request body is not read: ${fault}`);
  try {
    return content.length === 0 ? undefined : (JSON.parse(content.toString('utf8')) as unknown);
  } finally {
    holding.close();
  }
}

function matchPattern(pattern: string, path: string): Record<string, string> | undefined {
  const patternSegments = pattern.split('/');
  const pathSegments = path.split('/');
  if (patternSegments.length !== pathSegments.length) return undefined;
  const parameters: Record<string, string> = {};
  const matches = patternSegments.every((segment, index) => {
    if (!segment.startsWith(':')) return segment === pathSegments[index];
    parameters[segment.slice(1)] = decodeURIComponent(pathSegments[index]!);
    return true;
  });
  return matches ? parameters : undefined;
}

const hashSha256 = (text: string): Buffer => createHash('sha256').update(text).digest();

/** Creates the server; every operation requires the shared token. */
export function createOperatorServer(options: OperatorServerOptions): OperatorServer {
  const expectedDigest = hashSha256(`Bearer ${options.token}`);
  const memory = createByteMemory();

  const handleRequest = async (request: IncomingMessage): Promise<OperatorResponse> => {
    if (!timingSafeEqual(hashSha256(request.headers.authorization ?? ''), expectedDigest)) {
      dropBody(request, MAX_BODY_BYTES);
      return { status: 401, body: { error: 'the operator token is missing or wrong' } };
    }
    const url = new URL(request.url!, 'http://operators');
    for (const { method, pattern, perform } of options.operations) {
      const parameters =
        method === request.method ? matchPattern(pattern, url.pathname) : undefined;
      if (parameters) {
        // eslint-disable-next-line no-await-in-loop -- only one operation matches
        const body = await readJsonBody(request, memory).catch(() => INVALID_BODY);
        if (body === INVALID_BODY)
          return { status: 400, body: { error: 'the request body is not valid JSON' } };
        return perform({ parameters, query: url.searchParams, body });
      }
    }
    dropBody(request, MAX_BODY_BYTES);
    return {
      status: 404,
      body: { error: `there is no operation ${request.method} ${url.pathname}` },
    };
  };

  const respond = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const { status, body } = await handleRequest(request).catch((error: unknown) => ({
      status: 500,
      body: { error: errorMessage(error) },
    }));
    response.writeHead(status, { 'content-type': 'application/json' });
    response.end(JSON.stringify(body));
  };

  const server = createServer((request, response) => {
    respond(request, response).catch(() => response.destroy());
  });
  boundInput(server, { memory });
  return {
    listen: (address, port) =>
      new Promise((resolve, reject) => {
        server.once('error', reject);
        server.listen(port, address, resolve);
      }),
    port: () => (server.address() as { port: number }).port,
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        server.closeIdleConnections();
      }),
  };
}
