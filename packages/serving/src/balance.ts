/** Selects servers by expected room and completion, where hosts share the capacity of the servers. */
import {
  createKindEstimate,
  createServerChoice,
  estimateRequests,
  estimateSlowness,
  OTHERS_AGE_MILLISECONDS,
  recentFailureRate,
  recordRejection,
  recordReport,
  recordSlowness,
  type KindEstimate,
} from '@bulrushspar/balancing';
import type { Call, ModelRequirements, ServerLoad } from './call.js';
import {
  CROSS_DOMAIN_COST_MILLISECONDS,
  FAILURE_COST_MILLISECONDS,
  isCached,
  LIMITED_SERVER_COST_MILLISECONDS,
  MISSING_ADAPTER_COST_MILLISECONDS,
  promptPartKey,
  type ServerSelection,
} from './choose.js';
import type { ServerState } from './servers.js';

/** One request as sent to a server, until it ends. */
export interface BalancedSend {
  /** Records the load that the server reported; undefined if the answer told none. */
  recordHead(load: ServerLoad | undefined, wasRejected: boolean): void;
  /** Records that the first event of the answer has arrived. */
  recordFirstEvent(): void;
  /** Records the end of the request. */
  recordEnd(succeeded: boolean): void;
}

/** What this host learns about servers from its own requests, and the selection that uses it. */
export interface Balancing {
  /** Selects a server of {@link ServerSelection.candidates}. */
  select(selection: ServerSelection): ServerState | undefined;
  /** Records that a request is sent to a server; called before it counts as outstanding there. */
  recordSend(state: ServerState, call: Call): BalancedSend;
  /** @returns tokens of the prompt and of the expected answer, as far as the caller told */
  countTokens(call: Call): number;
}

/** Kinds of requests that are told apart; a fleet has some hundred models. */
const MAX_KINDS = 2000;
/** Part of the output that a request has in memory on average while it runs. */
const NO_TOKENS = 0;

/** Prompt and expected answer tokens; the answer is estimated by the caller and at most its maximum. */
function countTokens({ promptTokens, expectedAnswerTokens, maxAnswerTokens }: Call): number {
  if (promptTokens === undefined) return NO_TOKENS;
  const most = maxAnswerTokens ?? Infinity;
  return promptTokens + Math.min(expectedAnswerTokens ?? Math.min(most, promptTokens), most);
}

/** Creates the balancing of one host. @param now returns the time on the monotonic clock */
export function createBalancing(now: () => number): Balancing {
  const choice = createServerChoice();
  const kinds = new Map<string, KindEstimate>();
  const eligible: ServerState[] = [];
  const keys: string[] = [];

  const kindOf = (service: string, model = ''): KindEstimate => {
    const key = `${service}/${model}`;
    let kind = kinds.get(key);
    if (!kind) {
      if (kinds.size >= MAX_KINDS) kinds.clear();
      kind = createKindEstimate();
      kinds.set(key, kind);
    }
    return kind;
  };

  /** The last part of a prompt is unique to its request. */
  const listKeys = (requirements: ModelRequirements | undefined): void => {
    keys.length = 0;
    if (!requirements) return;
    const { promptParts } = requirements;
    for (let index = 0; index < promptParts.length - 1; index += 1)
      keys.push(promptPartKey(requirements, promptParts[index]!.id));
  };

  /** Tokens of the parts after the first one that the server has not cached, by {@link listKeys}. */
  const countUncached = (
    { promptPartTimes }: ServerState,
    requirements: ModelRequirements,
    at: number,
  ): number => {
    const { promptParts } = requirements;
    let uncached = 0;
    let cached = promptPartTimes.size > 0;
    for (let index = 0; index < promptParts.length; index += 1) {
      cached &&= index < keys.length && isCached(promptPartTimes.get(keys[index]!), at);
      if (!cached) uncached += promptParts[index]!.tokens;
    }
    return uncached;
  };

  const isEligible = (selection: ServerSelection, state: ServerState): boolean => {
    const { entry, closedUntil, isBrittle } = state;
    const { requirements } = selection;
    if (closedUntil > selection.now || selection.excluded.has(entry.id)) return false;
    if (isBrittle && state.outstanding + state.outstandingFromOtherHosts >= entry.slots)
      return false;
    if (selection.millisecondsUntilFree(entry.id) > selection.maxLimitMilliseconds) return false;
    return requirements ? selection.canServeModel(state, requirements.model) : !entry.leaving;
  };

  /** Lists the servers that can run the request; avoided ones only if there is no other. */
  const listEligible = (selection: ServerSelection): void => {
    const { candidates } = selection;
    eligible.length = 0;
    let hasPreferred = false;
    for (let index = 0; index < candidates.length; index += 1) {
      const state = candidates[index]!;
      if (isEligible(selection, state)) {
        const isPreferred = state.avoidUntil <= selection.now;
        if (isPreferred && !hasPreferred) eligible.length = 0;
        hasPreferred ||= isPreferred;
        if (isPreferred || !hasPreferred) eligible.push(state);
      }
    }
  };

  /** Delay at a server that does not depend on its speed. */
  const countExtraMilliseconds = (selection: ServerSelection, state: ServerState): number => {
    const { entry, knowledge } = state;
    let extra =
      FAILURE_COST_MILLISECONDS * recentFailureRate(knowledge, state.failureRate, selection.now);
    if (entry.failureDomain !== selection.failureDomain) extra += CROSS_DOMAIN_COST_MILLISECONDS;
    if (selection.limitOf(entry.id) !== undefined)
      extra += LIMITED_SERVER_COST_MILLISECONDS + selection.millisecondsUntilFree(entry.id);
    return extra;
  };

  const select = (selection: ServerSelection): ServerState | undefined => {
    const { requirements, random } = selection;
    listEligible(selection);
    if (eligible.length <= 1) return eligible[0];
    listKeys(requirements);
    const kind = kindOf(eligible[0]!.entry.service, requirements?.model);
    const tokenMilliseconds = kind.tokenMilliseconds();
    let knowsOthers = false;
    for (let index = 0; index < eligible.length && !knowsOthers; index += 1)
      knowsOthers = eligible[index]!.outstandingFromOtherHosts > 0;
    choice.begin();
    for (let index = 0; index < eligible.length; index += 1) {
      const state = eligible[index]!;
      const { entry, knowledge, outstanding } = state;
      const others = state.outstandingFromOtherHosts;
      const requests = estimateRequests(
        knowledge,
        outstanding,
        others,
        knowsOthers,
        selection.now,
      );
      let work = 0;
      if (requirements) {
        const { model, adapter } = requirements;
        work = countUncached(state, requirements, selection.now) * tokenMilliseconds;
        if (adapter !== undefined && !selection.hasAdapter(state, model, adapter))
          work += MISSING_ADAPTER_COST_MILLISECONDS;
      }
      const extra = countExtraMilliseconds(selection, state);
      choice.add(requests, entry.slots, estimateSlowness(knowledge, selection.now), work, extra);
    }
    const chosen = choice.choose({
      ageMilliseconds: OTHERS_AGE_MILLISECONDS,
      holdingMilliseconds: kind.holdingMilliseconds(),
      random,
    });
    return eligible[chosen];
  };

  const recordSend = (sentTo: ServerState, call: Call): BalancedSend => {
    const state = sentTo;
    const { entry, knowledge } = state;
    const { requirements } = call;
    const sentAt = now();
    const kind = kindOf(entry.service, requirements?.model);
    listKeys(requirements);
    const uncached = requirements ? countUncached(state, requirements, sentAt) : 0;
    const others = state.outstandingFromOtherHosts;
    const requests = estimateRequests(knowledge, state.outstanding, others, true, sentAt);
    // At a full server the wait would be taken for slowness.
    const isMeasured = requests < entry.slots;
    const expected = kind.firstEventMilliseconds(uncached);
    const tokens = countTokens(call);
    knowledge.ownTokens += tokens;
    let hasBegun = false;
    return {
      recordHead: (load, wasRejected) => {
        if (load) recordReport(knowledge, load, state.outstanding, now());
        else if (wasRejected) recordRejection(knowledge, entry.slots, state.outstanding, now());
      },
      recordFirstEvent: () => {
        if (hasBegun) return;
        hasBegun = true;
        if (!isMeasured) return;
        const milliseconds = now() - sentAt;
        recordSlowness(knowledge, milliseconds, expected, now());
        kind.recordFirstEvent(uncached, milliseconds);
      },
      recordEnd: (succeeded) => {
        knowledge.ownTokens -= tokens;
        if (succeeded) kind.recordEnd(now() - sentAt, tokens);
      },
    };
  };

  return { select, recordSend, countTokens };
}
