import type { IncomingMessage, ServerResponse } from 'node:http';
import { request as send } from 'node:http';
import { listen, pause, readBody, type Standin } from './listen.js';

/** Options of {@link startEngine}; `main.ts` accepts them as JSON. */
export interface EngineOptions {
  readonly port?: number;
  readonly memoryGigabytes?: number;
  /** Memory of each model in gigabytes; an order to load any other model returns 404. */
  readonly models: Readonly<Record<string, number>>;
  /** Models that are in memory from the start. */
  readonly loaded?: readonly string[];
  /**
   * Weight store from which a model that is not cached is transferred; without one, each load takes
   * `loadMilliseconds`.
   */
  readonly weightsUrl?: string;
  readonly loadMilliseconds?: number;
  readonly adapterMilliseconds?: number;
  readonly firstTokenMilliseconds?: number;
  readonly betweenTokensMilliseconds?: number;
  /** Rejects orders with a fencing number below the highest that the model has received. */
  readonly checksOrders?: boolean;
}

/** Faults that a test injects into generation requests. */
export const ENGINE_FAULT = {
  /** Destroys the connection before the first byte. */
  CUT_BEFORE: 'cut-before',
  /** Destroys the connection of a stream after `TOKENS_BEFORE_CUT` tokens. */
  CUT_AMID: 'cut-amid',
  /** The same, in the middle of an event. */
  CUT_INSIDE_EVENT: 'cut-inside-event',
  /** Accepts the request and never responds. */
  SILENT: 'silent',
  /** Simulates a crash and a restart: aborts all open requests and unloads all models. */
  CRASH: 'crash',
  /** Like {@link ENGINE_FAULT.CRASH} for a stream, which the engine ends in order before it crashes. */
  CRASH_AFTER_END: 'crash-after-end',
  /** Responds with the `x-request-id` of another request. */
  CROSSED: 'crossed',
  /** Ends the stream without the final `[DONE]` event. */
  ENDS_EARLY: 'ends-early',
} as const;

/** One of {@link ENGINE_FAULT}. */
export type EngineFault = (typeof ENGINE_FAULT)[keyof typeof ENGINE_FAULT];

/** Generation request that the engine received. */
export interface ReceivedRequest {
  readonly path: string;
  readonly headers: IncomingMessage['headers'];
  readonly body: string;
}

/** Running stand-in for a model engine. */
export interface EngineStandin extends Standin {
  /** Sets the rule that selects the fault of each generation request; undefined for none. */
  setFault(rule: ((prompt: string) => EngineFault | undefined) | undefined): void;
  /** While set, destroys the connection of every request, as if the process had ended. */
  setUnreachable(dead: boolean): void;
  /** Number of loads that were started, by model. */
  readonly startedLoads: Record<string, number>;
  /** Returns the highest memory use so far, loads in progress included, in gigabytes. */
  getPeakGigabytes(): number;
  /** Returns the models in memory. */
  getLoadedModels(): readonly string[];
  /** Generation requests in the order in which they arrived. */
  readonly receivedRequests: ReceivedRequest[];
  /** Returns how many generations ended because their connection closed before the end. */
  getCancelledCount(): number;
  /** Returns how often {@link ENGINE_FAULT}.CRASH took effect. */
  getCrashCount(): number;
}

interface Replica {
  readonly adapters: Set<string>;
  running: number;
}

interface GenerationRequest {
  readonly model: string;
  readonly stream: boolean;
  readonly max_tokens?: number;
  readonly messages?: readonly { readonly content: string }[];
  readonly prompt?: string;
}

interface OrderMessage {
  readonly order: string;
  readonly model: string;
  readonly adapter?: string;
  readonly fencing: number;
}

const WORDS = ['the', 'meter', 'reading', 'of', 'this', 'month', 'is', 'lower', 'than', 'last'];
const CHARACTERS_PER_TOKEN = 4;
const TOKENS_BEFORE_CUT = 3;
const UNLOAD_POLL_MILLISECONDS = 5;

function transferWeights(weightsUrl: string, gigabytes: number): Promise<void> {
  return new Promise((resolve, reject) => {
    const request = send(`${weightsUrl}/v1/transfer?gigabytes=${gigabytes}`, (response) => {
      response.resume();
      response.on('end', resolve);
      response.on('error', reject);
    });
    request.on('error', reject);
    request.end();
  });
}

/** Starts an engine stand-in on loopback. */
export async function startEngine(options: EngineOptions): Promise<EngineStandin> {
  const { models, weightsUrl, memoryGigabytes = 80, checksOrders = true } = options;
  const { loadMilliseconds = 100, adapterMilliseconds = 10 } = options;
  const { firstTokenMilliseconds = 10, betweenTokensMilliseconds = 5 } = options;
  const replicas = new Map<string, Replica>();
  const pendingLoads = new Map<string, Promise<void>>();
  const cachedModels = new Set<string>();
  const highestFencing = new Map<string, number>();
  const adapterModels = new Map<string, string>();
  const startedLoads: Record<string, number> = {};
  const receivedRequests: ReceivedRequest[] = [];
  let chooseFault: ((prompt: string) => EngineFault | undefined) | undefined;
  let isDead = false;
  let cancelledRequests = 0;
  let crashCount = 0;
  const openResponses = new Set<ServerResponse>();
  let peakGigabytesInUse = 0;

  const addReplica = (model: string): void => {
    replicas.set(model, { adapters: new Set(), running: 0 });
    cachedModels.add(model);
  };
  (options.loaded ?? []).forEach(addReplica);

  const sumGigabytesInUse = (): number =>
    [...replicas.keys(), ...pendingLoads.keys()].reduce(
      (sum, model) => sum + (models[model] ?? 0),
      0,
    );

  const loadModel = async (model: string): Promise<void> => {
    startedLoads[model] = (startedLoads[model] ?? 0) + 1;
    if (weightsUrl !== undefined && !cachedModels.has(model)) {
      await transferWeights(weightsUrl, models[model]!);
    } else await pause(loadMilliseconds);
    addReplica(model);
  };

  const unloadModel = async (model: string): Promise<void> => {
    const replica = replicas.get(model);
    // From here on, new requests are rejected; requests in flight may finish.
    replicas.delete(model);
    // eslint-disable-next-line no-await-in-loop -- polls until no request is in flight
    while (replica && replica.running > 0) await pause(UNLOAD_POLL_MILLISECONDS);
  };

  const handleOrder = (order: OrderMessage): number => {
    const { model } = order;
    if (checksOrders && order.fencing < (highestFencing.get(model) ?? 0)) return 409;
    highestFencing.set(model, Math.max(order.fencing, highestFencing.get(model) ?? 0));
    if (order.order === 'unload') {
      unloadModel(model).catch(() => {});
      return 202;
    }
    if (order.order === 'load-adapter') {
      if (!replicas.has(model)) return 404;
      pause(adapterMilliseconds)
        .then(() => {
          replicas.get(model)?.adapters.add(order.adapter!);
          adapterModels.set(order.adapter!, model);
        })
        .catch(() => {});
      return 202;
    }
    if (replicas.has(model) || pendingLoads.has(model)) return 202;
    if (models[model] === undefined) return 404;
    if (sumGigabytesInUse() + models[model] > memoryGigabytes) return 507;
    const completion = loadModel(model)
      .catch(() => {})
      .finally(() => pendingLoads.delete(model));
    pendingLoads.set(model, completion);
    peakGigabytesInUse = Math.max(peakGigabytesInUse, sumGigabytesInUse());
    return 202;
  };

  const describeState = () => ({
    loaded: [...replicas].map(([model, { adapters, running }]) => ({
      model,
      adapters: [...adapters],
      running,
      waiting: 0,
    })),
    loading: [...pendingLoads.keys()],
    cached: { memory: [], disk: [...cachedModels] },
  });

  const crash = (): void => {
    crashCount += 1;
    replicas.clear();
    adapterModels.clear();
    openResponses.forEach((response) => response.destroy());
  };

  const sendCompletion = async (
    generation: GenerationRequest,
    response: ServerResponse,
    id: string,
    fault: EngineFault | undefined,
  ): Promise<void> => {
    const prompt = generation.prompt ?? generation.messages?.at(-1)?.content ?? '';
    const tokens = Math.min(generation.max_tokens ?? 16, Number(/\d+/.exec(prompt)?.[0] ?? 16));
    const usage = {
      prompt_tokens: Math.ceil(prompt.length / CHARACTERS_PER_TOKEN),
      completion_tokens: tokens,
    };
    const responseId = fault === ENGINE_FAULT.CROSSED ? 'another-request' : id;
    const words = Array.from({ length: tokens }, (_, index) => WORDS[index % WORDS.length]!);
    await pause(firstTokenMilliseconds);
    if (fault === ENGINE_FAULT.CRASH) {
      // A request that an earlier crash aborted does not cause another crash.
      if (!response.destroyed) crash();
      return;
    }
    if (fault === ENGINE_FAULT.CUT_BEFORE) {
      response.destroy();
      return;
    }
    const type = generation.stream ? 'text/event-stream' : 'application/json';
    response.writeHead(200, { 'content-type': type, 'x-request-id': responseId });
    if (!generation.stream) {
      const message = { role: 'assistant', content: words.join(' ') };
      await pause(tokens * betweenTokensMilliseconds);
      response.end(JSON.stringify({ id, choices: [{ index: 0, message }], usage }));
      return;
    }
    for (let index = 0; index < words.length && !response.destroyed; index += 1) {
      if (index > 0) await pause(betweenTokensMilliseconds); // eslint-disable-line no-await-in-loop
      if (fault === ENGINE_FAULT.CUT_AMID && index === TOKENS_BEFORE_CUT) {
        response.destroy();
        return;
      }
      const choices = [{ index: 0, delta: { content: `${words[index]} ` } }];
      const event = `data: ${JSON.stringify({ id, choices })}\n\n`;
      if (fault === ENGINE_FAULT.CUT_INSIDE_EVENT && index === TOKENS_BEFORE_CUT) {
        response.write(event.slice(0, event.length / 2), () => response.destroy());
        return;
      }
      response.write(event);
    }
    if (fault === ENGINE_FAULT.CRASH_AFTER_END) {
      response.end(crash);
      return;
    }
    response.write(`data: ${JSON.stringify({ id, choices: [], usage })}\n\n`);
    response.end(fault === ENGINE_FAULT.ENDS_EARLY ? '' : 'data: [DONE]\n\n');
  };

  const handleGeneration = async (
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> => {
    const body = await readBody(request);
    receivedRequests.push({ path: request.url!, headers: request.headers, body });
    const generation = JSON.parse(body) as GenerationRequest;
    const model = adapterModels.get(generation.model) ?? generation.model;
    const replica = replicas.get(model);
    if (!replica) {
      response.writeHead(404, { 'content-type': 'application/json' });
      response.end('{"error":{"code":"model_not_loaded"}}');
      return;
    }
    const prompt = generation.prompt ?? generation.messages?.at(-1)?.content ?? '';
    const fault = chooseFault?.(prompt);
    if (fault === ENGINE_FAULT.SILENT) return;
    replica.running += 1;
    openResponses.add(response);
    response.on('close', () => {
      openResponses.delete(response);
      replica.running -= 1;
      if (!response.writableFinished) cancelledRequests += 1;
    });
    await sendCompletion(
      generation,
      response,
      String(request.headers['x-request-id'] ?? 'none'),
      fault,
    );
  };

  const standin = await listen((request, response) => {
    if (isDead) {
      request.socket.destroy();
      return;
    }
    if (request.url === '/engine/state') {
      response.writeHead(200, { 'content-type': 'application/json' });
      response.end(JSON.stringify(describeState()));
      return;
    }
    if (request.url === '/engine/orders') {
      readBody(request)
        .then((body) => response.writeHead(handleOrder(JSON.parse(body) as OrderMessage)).end())
        .catch(() => response.destroy());
      return;
    }
    handleGeneration(request, response).catch(() => response.destroy());
  }, options.port);
  return {
    ...standin,
    startedLoads,
    receivedRequests,
    setFault: (next) => {
      chooseFault = next;
    },
    setUnreachable: (next) => {
      isDead = next;
    },
    getPeakGigabytes: () => peakGigabytesInUse,
    getLoadedModels: () => [...replicas.keys()],
    getCrashCount: () => crashCount,
    getCancelledCount: () => cancelledRequests,
  };
}
