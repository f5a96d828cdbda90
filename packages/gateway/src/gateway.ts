import { randomUUID } from 'node:crypto';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { createRefusal, isRefusal, REFUSAL, type Refusal } from '@bulrushspar/errors';
import type { Metrics } from '@bulrushspar/metrics';
import { boundInput } from '@bulrushspar/routing';
import { authenticate } from './access.js';
import { REQUEST_ID_HEADER, sendJson, sendRefusal, toRefusal } from './answer.js';
import { createContext, type RequestContext } from './context.js';
import { createModelHandler } from './model.js';
import { isServicePath } from './path.js';
import { createServiceHandler } from './plain.js';
import type { GatewayServices } from './services.js';
import type { TraceBuffer } from './trace.js';

/** Whether this host may admit requests, and the reason if not. */
export type Readiness = { readonly ready: true } | { readonly ready: false; readonly why: string };

/** Options of {@link createGateway}. */
export interface GatewayOptions {
  readonly services: GatewayServices;
  readonly metrics: Metrics;
  readonly traces: TraceBuffer;
  readonly host: string;
  readonly getReadiness: () => Readiness;
  readonly onError?: (error: Error) => void;
}

/** HTTP server for callers. */
export interface Gateway {
  listen(address: string, port: number): Promise<void>;
  /** @returns the port in use; the system assigns one if port 0 was requested */
  port(): number;
  /** Aborts the open requests whose keys are no longer valid. */
  abortWithdrawnKeyRequests(): void;
  /**
   * Aborts all open requests with a key, because this host cannot verify that the keys are valid.
   * @param why reason, for the message of the refusal
   */
  abortAuthenticatedRequests(why: string): void;
  /**
   * Reports not ready and sends `connection: close` with the answers to further requests, so that the
   * load balancer moves to other hosts. New requests are still served.
   */
  startDraining(): void;
  /** Refuses all further requests. */
  refuseNewRequests(): void;
  /** Aborts all open requests, since this host ends before they would. */
  abortOpenRequests(): void;
  countOpenRequests(): number;
  /** Resolves as soon as no request is open. */
  waitUntilIdle(): Promise<void>;
  close(): Promise<void>;
}

const createKeyWithdrawnRefusal = (sent: boolean): Refusal =>
  createRefusal({
    status: 401,
    code: REFUSAL.KEY_WITHDRAWN,
    message: 'the key was withdrawn',
    ran: sent ? 'unknown' : false,
  });

const createKeyUnverifiedRefusal = (why: string, sent: boolean): Refusal =>
  createRefusal({
    status: 503,
    code: REFUSAL.NOT_READY,
    message: `this host can no longer verify that the key is valid: ${why}`,
    ran: sent ? 'unknown' : false,
    retryAfterSeconds: 1,
  });

const createStoppingRefusal = (sent: boolean): Refusal =>
  createRefusal({
    status: 503,
    code: REFUSAL.STOPPING,
    message: 'this host is stopping',
    ran: sent ? 'unknown' : false,
    retryAfterSeconds: 1,
  });

const createCallerDisconnectedRefusal = (): Refusal =>
  createRefusal({
    status: 499,
    code: REFUSAL.BAD_REQUEST,
    message: 'the caller closed the connection',
    ran: 'unknown',
  });

const createNotFoundRefusal = (path: string): Refusal =>
  createRefusal({ status: 404, code: REFUSAL.NOT_FOUND, message: `no endpoint exists at ${path}` });

const REQUEST_ID_PATTERN = /^[\w.:-]{1,100}$/;
const KEEP_ALIVE_MILLISECONDS = 65_000;

/** Creates the gateway of one host. */
export function createGateway(options: GatewayOptions): Gateway {
  const { services, metrics, traces, host, getReadiness } = options;
  const openContexts = new Set<RequestContext>();
  const handleModel = createModelHandler(services);
  const handleService = createServiceHandler(services);
  let isDraining = false;
  let isStopping = false;
  let onDrained: (() => void) | undefined;

  const listModels = (context: RequestContext): void => {
    const { workspace } = authenticate(context, services.getKeyring());
    const routes = Object.entries(services.getAcceptedConfiguration().configuration.routes);
    const usable = routes.filter(
      ([, route]) =>
        route.model !== undefined &&
        (route.workspaces.length === 0 || route.workspaces.includes(workspace)),
    );
    const data = usable.map(([id]) => ({ id, object: 'model', owned_by: 'bulrushspar' }));
    sendJson(context.response, { object: 'list', data });
  };

  const checkAdmission = (): void => {
    if (isStopping) throw createStoppingRefusal(false);
    const state = getReadiness();
    if (!state.ready) {
      throw createRefusal({
        status: 503,
        code: REFUSAL.NOT_READY,
        message: state.why,
        retryAfterSeconds: 1,
      });
    }
    if (openContexts.size > services.getAcceptedConfiguration().configuration.hosts.open_requests) {
      throw createRefusal({
        status: 503,
        code: REFUSAL.QUEUE_FULL,
        message: 'this host has reached its limit of open requests',
        retryAfterSeconds: 1,
      });
    }
  };

  const routeRequest = async (context: RequestContext, path: string): Promise<void> => {
    checkAdmission();
    const { method } = context.request;
    if (isServicePath(path)) return handleService(context);
    if (method === 'POST' && path === '/v1/chat/completions')
      return handleModel(context, 'messages');
    if (method === 'POST' && path === '/v1/completions') return handleModel(context, 'prompt');
    if (method === 'GET' && path === '/v1/models') return listModels(context);
    throw createNotFoundRefusal(path);
  };

  const refuseRequest = (context: RequestContext, error: unknown): void => {
    const refusal = toRefusal(error);
    const { code } = refusal.refusal;
    const workspace = context.identity?.workspace ?? '';
    services.metrics.refusals.add(1, { code, workspace });
    context.tracer.addStep('refused', `${code}: ${refusal.message}`);
    if (!isRefusal(error)) options.onError?.(error as Error);
    sendRefusal(context.response, refusal, context.tracer.id);
  };

  const removeContext = (context: RequestContext): void => {
    context.clearDeadline();
    openContexts.delete(context);
    if (openContexts.size === 0) onDrained?.();
  };

  const serveRequest = async (request: IncomingMessage, response: ServerResponse, path: string) => {
    const callerRequestId = request.headers[REQUEST_ID_HEADER];
    const isUsableId =
      typeof callerRequestId === 'string' && REQUEST_ID_PATTERN.test(callerRequestId);
    // The prefix names the host that stores the trace, so that other hosts can request it.
    const id = `${host}:${isUsableId ? callerRequestId : randomUUID()}`;
    const context = createContext(services.clock, request, response, traces.startTrace(id));
    openContexts.add(context);
    if (isDraining) response.setHeader('connection', 'close');
    response.on('close', () => {
      if (!response.writableFinished) context.abort(createCallerDisconnectedRefusal());
    });
    try {
      await routeRequest(context, path);
      services.metrics.wholeAnswer.record(context.age());
      context.tracer.addStep('answered');
    } catch (error) {
      refuseRequest(context, error);
    } finally {
      removeContext(context);
    }
  };

  const answerProbe = async (path: string, response: ServerResponse): Promise<void> => {
    if (path === '/metrics') {
      response.writeHead(200, { 'content-type': 'text/plain; version=0.0.4' });
      response.end(await metrics.text());
      return;
    }
    const state: Readiness =
      isDraining || isStopping ? { ready: false, why: 'this host is stopping' } : getReadiness();
    if (path === '/healthz' || state.ready) sendJson(response, { status: 'ok' });
    else sendJson(response, { status: 'not ready', why: state.why }, 503);
  };

  const server: Server = createServer((request, response) => {
    const path = request.url!.split('?')[0]!;
    const isProbe = path === '/healthz' || path === '/readyz' || path === '/metrics';
    const handled = isProbe ? answerProbe(path, response) : serveRequest(request, response, path);
    handled.catch((error: unknown) => {
      options.onError?.(error as Error);
      response.destroy();
    });
  });
  boundInput(server, { memory: services.requestMemory });
  server.keepAliveTimeout = KEEP_ALIVE_MILLISECONDS;
  server.requestTimeout = 0;

  return {
    listen: (address, port) =>
      new Promise((resolve, reject) => {
        server.once('error', reject);
        server.listen(port, address, resolve);
      }),
    port: () => (server.address() as { port: number }).port,
    abortWithdrawnKeyRequests: () => {
      const keyring = services.getKeyring();
      openContexts.forEach((context) => {
        if (!context.identity || keyring.isStillValid(context.identity)) return;
        context.abort(createKeyWithdrawnRefusal(context.sent));
      });
    },
    abortAuthenticatedRequests: (why) => {
      openContexts.forEach((context) => {
        if (context.identity) context.abort(createKeyUnverifiedRefusal(why, context.sent));
      });
    },
    startDraining: () => {
      isDraining = true;
    },
    refuseNewRequests: () => {
      isStopping = true;
    },
    abortOpenRequests: () => {
      openContexts.forEach((context) => context.abort(createStoppingRefusal(context.sent)));
    },
    countOpenRequests: () => openContexts.size,
    waitUntilIdle: () =>
      openContexts.size === 0
        ? Promise.resolve()
        : new Promise((resolve) => {
            onDrained = resolve;
          }),
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        server.closeIdleConnections();
      }),
  };
}
