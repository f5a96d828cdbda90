import { isRefusal, RAN, type Refusal } from '@bulrushspar/errors';
import type { QueueSlot } from '@bulrushspar/routing';
import { applyDeadline, authenticate, authorize, rejectEmbeddedKey } from './access.js';
import { readBody } from './body.js';
import { parseChatRequest, type ChatRequest } from './chat.js';
import { waitUnlessAborted, type RequestContext } from './context.js';
import type { CrashGuard } from './isolation.js';
import { createServerSelector } from './pick.js';
import type { GatewayServices } from './services.js';
import { createServeModelRequest } from './tries.js';

/** Creates the handler of requests to models; it rejects with the refusal of a request. */
export function createModelHandler(services: GatewayServices) {
  const { queues, limits, metrics, createCrashGuard } = services;
  const serverSelector = createServerSelector(services);
  const serve = createServeModelRequest(services, serverSelector);

  const runAdmitted = async (
    context: RequestContext,
    chat: ChatRequest,
    guard: CrashGuard,
    slot: QueueSlot,
  ) => {
    const { workspace } = context.identity!;
    let costTokens = chat.maxTokens;
    try {
      const relay = await serve(context, chat, guard);
      const { promptTokens = chat.maxTokens, completionTokens } = relay.usage();
      const countedPromptTokens = Math.min(promptTokens, chat.maxTokens);
      costTokens = countedPromptTokens + completionTokens;
      metrics.tokens.add(completionTokens, { workspace });
      return costTokens;
    } catch (error) {
      if (isRefusal(error) && error.refusal.ran === RAN.NO) costTokens = 0;
      throw error;
    } finally {
      slot.release(costTokens);
    }
  };

  const admitAndRun = async (context: RequestContext, chat: ChatRequest): Promise<void> => {
    const { workspace } = context.identity!;
    const guard = createCrashGuard(context, chat);
    const refusal = guard.getRefusal();
    if (refusal) throw refusal;
    const admission = await limits.admit(workspace, chat.maxTokens);
    context.tracer.addStep('admitted', `${chat.maxTokens} tokens reserved`);
    let costTokens = chat.maxTokens;
    try {
      await serverSelector.ensureLoaded(context, chat);
      const weight =
        services.getAcceptedConfiguration().configuration.workspaces[workspace]?.weight ?? 1;
      const slot = await queues.getQueue(chat.model).acquireSlot({
        workspace,
        weight,
        priority: chat.route.route.priority,
        expectedTokens: chat.maxTokens,
        remainingMilliseconds: context.remainingMilliseconds(),
        signal: context.signal,
      });
      queues.recordUse(chat.model);
      costTokens = await runAdmitted(context, chat, guard, slot);
    } catch (error) {
      const failure = context.signal.aborted ? (context.signal.reason as Refusal) : error;
      if (isRefusal(failure) && failure.refusal.ran === RAN.NO) costTokens = 0;
      throw failure;
    } finally {
      queues.recordUse(chat.model);
      admission.settle(costTokens);
    }
  };

  return async (context: RequestContext, field: 'messages' | 'prompt'): Promise<void> => {
    const { configuration } = services.getAcceptedConfiguration();
    applyDeadline(context, undefined, configuration);
    const identity = authenticate(context, services.getKeyring());
    const body = await waitUnlessAborted(
      context,
      readBody(context, {
        maxBytes: configuration.hosts.body_bytes,
        memory: services.requestMemory,
      }),
    );
    rejectEmbeddedKey(context, body);
    const chat = parseChatRequest(configuration, body, field);
    applyDeadline(context, chat.route.route, configuration);
    authorize(chat.route.route, chat.route.name, identity);
    metrics.requests.add(1, { route: chat.route.name });
    await admitAndRun(context, chat);
  };
}
