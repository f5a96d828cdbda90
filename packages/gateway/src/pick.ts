import { chooseServer } from '@bulrushspar/routing';
import { canServeModel, findLoadedModel, type ServerView } from '@bulrushspar/targets';
import type { ChatRequest } from './chat.js';
import { waitUnlessAborted, type RequestContext } from './context.js';
import type { GatewayServices } from './services.js';

/** Selects servers for requests to models, and requests loads of missing models and adapters. */
export interface ServerSelector {
  /** Resolves once a server has loaded the request's model; rejects when the request is aborted. */
  ensureLoaded(context: RequestContext, chat: ChatRequest): Promise<void>;
  /**
   * Selects a server for an attempt: one that has not failed the request yet, or else one that failed
   * but answers probes.
   * @returns undefined if there is none
   */
  selectServer(
    context: RequestContext,
    chat: ChatRequest,
    failed: ReadonlyMap<string, ServerView>,
  ): Promise<ServerView | undefined>;
}

const OTHER_DOMAIN_COST = 0.5;
const MISSING_ADAPTER_COST = 2;
/** All hosts use the same stale reports, so each compares only two random servers per request. */
const SAMPLE_SIZE = 2;

/** Estimates the requests at a server from its last report and this host's own requests there. */
function countServerRequests(server: ServerView, model: string): number {
  const { running = 0, waiting = 0 } = findLoadedModel(server, model) ?? {};
  return Math.max(running + waiting, server.requestsInFlight);
}

/** Creates the server selector of one host. */
export function createServerSelector(services: GatewayServices): ServerSelector {
  const { clock, random, failureDomain, registry, placer, queues, metrics } = services;

  const ensureLoaded = async (context: RequestContext, chat: ChatRequest): Promise<void> => {
    const { model } = chat;
    if (registry.servers().some((server) => canServeModel(server, model))) return;
    context.tracer.addStep('waits for a load', model);
    const startedAtMilliseconds = clock.monotonic();
    const { priority } = chat.route.route;
    const remainingMilliseconds = context.remainingMilliseconds();
    await waitUnlessAborted(
      context,
      placer.ensureModel({ name: model, priority, remainingMilliseconds }),
    );
    metrics.coldStart.record(clock.monotonic() - startedAtMilliseconds);
    queues.getQueue(model).admitWaiting();
  };

  const selectExcluding = async (
    context: RequestContext,
    chat: ChatRequest,
    excluded: ReadonlySet<string>,
  ): Promise<ServerView | undefined> => {
    await ensureLoaded(context, chat);
    const { model, adapter } = chat;
    const lacksAdapter = (server: ServerView): boolean =>
      adapter !== undefined &&
      !(findLoadedModel(server, model)?.adapters.includes(adapter) ?? false);
    const server = chooseServer({
      candidates: registry.servers(),
      isEligible: (candidate) => canServeModel(candidate, model) && !excluded.has(candidate.name),
      estimateCost: (candidate) =>
        countServerRequests(candidate, model) +
        (lacksAdapter(candidate) ? MISSING_ADAPTER_COST : 0) +
        (candidate.target.failure_domain === failureDomain ? 0 : OTHER_DOMAIN_COST),
      random,
      sampleSize: SAMPLE_SIZE,
    });
    if (!server || adapter === undefined) return server;
    if (lacksAdapter(server)) {
      context.tracer.addStep('waits for an adapter', `${adapter} on ${server.name}`);
      await waitUnlessAborted(context, placer.ensureAdapter(server, model, adapter));
    }
    return server;
  };

  return {
    ensureLoaded,
    selectServer: async (
      context: RequestContext,
      chat: ChatRequest,
      failedServers: ReadonlyMap<string, ServerView>,
    ): Promise<ServerView | undefined> => {
      const untried = await selectExcluding(context, chat, new Set(failedServers.keys()));
      if (untried) return untried;
      const reachable = [...failedServers.values()].filter(
        ({ consecutiveFailures }) => consecutiveFailures === 0,
      );
      return reachable.find((server) => canServeModel(server, chat.model));
    },
  };
}
