import { acceptsRequests } from '@bulrushspar/catalogue';
import { chooseServer } from '@bulrushspar/routing';
import type { Balancing } from './balance.js';
import type { Call, ModelRequirements } from './call.js';
import type { ServerState } from './servers.js';

/** Input of the selection of a server for a request. */
export interface ServerSelection {
  readonly candidates: readonly ServerState[];
  readonly requirements?: ModelRequirements;
  readonly failureDomain: string;
  /** Ids of servers that must not be selected, since the request was already sent to them. */
  readonly excluded: ReadonlySet<string>;
  /** Current time on the monotonic clock, in milliseconds. */
  readonly now: number;
  /** Longest time that the request can wait for a server that has limited its requests. */
  readonly maxLimitMilliseconds: number;
  /** @returns requests per second that a server accepts; undefined if it has named no limit */
  readonly limitOf: (server: string) => number | undefined;
  /** Whether a server has its limit only because it is cold; false by default. */
  readonly isCold?: (server: string) => boolean;
  /** @returns the time before which a server, by its limit, receives no further request */
  readonly millisecondsUntilFree: (server: string) => number;
  readonly canServeModel: (state: ServerState, model: string) => boolean;
  readonly hasAdapter: (state: ServerState, model: string, adapter: string) => boolean;
  /** @returns a number from 0 up to but not including 1 */
  readonly random: () => number;
  /** Present if hosts share the capacity of the servers: it selects instead of the lowest delay. */
  readonly balancing?: Balancing | undefined;
  /** The request, for its tokens; used by {@link balancing} only. */
  readonly call?: Call;
  /** Tokens that each server holds, if known; used by {@link balancing} only. */
  readonly cacheTokens?: number | undefined;
}

/** Expected delay at a server whose slots are all in use. */
const FULL_SERVER_COST_MILLISECONDS = 400;
/** Expected delay at a server that has limited its requests, beside the wait for its next one. */
const LIMITED_SERVER_COST_MILLISECONDS = 400;
/** Expected delay at a cold server, beside the wait for its next request. */
const COLD_SERVER_COST_MILLISECONDS = 50;
/** Fraction of the selections that send a cold server requests although it is slower, to warm it up. */
const WARMING_FRACTION = 0.1;
/** Round-trip time to another failure domain. */
export const CROSS_DOMAIN_COST_MILLISECONDS = 3;
/** Expected delay of a missing adapter, whose load is ordered through the leader. */
export const MISSING_ADAPTER_COST_MILLISECONDS = 25;
/** Expected delay at a server that fails every request. */
export const FAILURE_COST_MILLISECONDS = 2000;
/** Prompt tokens that a server processes in a millisecond; converts uncached tokens to a delay. */
const PROMPT_TOKENS_PER_MILLISECOND = 30;
/** Time for which a prompt part is expected to stay in a server's cache. */
const PROMPT_PART_LIFETIME_MILLISECONDS = 20_000;
/** Time for which the load that a server reported with an answer is taken into account. */
const REPORTED_LOAD_LIFETIME_MILLISECONDS = 500;
/** Random delay added to each server, so that hosts do not all select the same of equal servers. */
const COST_JITTER_MILLISECONDS = 2;

/** @returns the requests at a server: the hosts' counts or, if higher, the load it reported */
export function countServerRequests(state: ServerState, now: number): number {
  const counted = state.outstanding + state.outstandingFromOtherHosts;
  const { reportedLoad } = state;
  if (!reportedLoad || now - reportedLoad.at > REPORTED_LOAD_LIFETIME_MILLISECONDS) return counted;
  return Math.max(counted, reportedLoad.running + reportedLoad.waiting);
}

/** @returns whether a prompt part that was sent to a server at a time is expected in its cache */
export function isCached(sentAt: number | undefined, now: number): boolean {
  return sentAt !== undefined && now - sentAt < PROMPT_PART_LIFETIME_MILLISECONDS;
}

function countUncachedPromptTokens(
  state: ServerState,
  requirements: ModelRequirements,
  now: number,
): number {
  let uncached = 0;
  let cached = true;
  requirements.promptParts.slice(0, -1).forEach(({ id, tokens }) => {
    const at = state.promptPartTimes.get(promptPartKey(requirements, id));
    cached &&= isCached(at, now);
    if (!cached) uncached += tokens;
  });
  return uncached;
}

/** Key of a prompt part, which a server caches separately for each model and adapter. */
export function promptPartKey({ model, adapter = '' }: ModelRequirements, id: string): string {
  return `${model}/${adapter}/${id}`;
}

const estimateColdCost = (random: () => number): number =>
  random() < WARMING_FRACTION ? 0 : COLD_SERVER_COST_MILLISECONDS;

/** Estimates the delay of a request by the limit of a server; 0 if it has none. */
export function estimateLimitMilliseconds(id: string, selection: ServerSelection): number {
  if (selection.limitOf(id) === undefined) return 0;
  const isCold = selection.isCold?.(id) ?? false;
  const cost = isCold ? estimateColdCost(selection.random) : LIMITED_SERVER_COST_MILLISECONDS;
  return cost + selection.millisecondsUntilFree(id);
}

/** Estimates the delay of a request at a server. */
export function estimateDelayMilliseconds(state: ServerState, selection: ServerSelection): number {
  const { requirements, now, failureDomain, hasAdapter } = selection;
  const { entry } = state;
  const utilization = countServerRequests(state, now) / Math.max(1, entry.slots);
  let cost =
    FULL_SERVER_COST_MILLISECONDS * utilization + FAILURE_COST_MILLISECONDS * state.failureRate;
  cost += estimateLimitMilliseconds(entry.id, selection);
  if (entry.failureDomain !== failureDomain) cost += CROSS_DOMAIN_COST_MILLISECONDS;
  if (!requirements) return cost;
  cost += countUncachedPromptTokens(state, requirements, now) / PROMPT_TOKENS_PER_MILLISECOND;
  const { adapter } = requirements;
  if (adapter !== undefined && !hasAdapter(state, requirements.model, adapter)) {
    cost += MISSING_ADAPTER_COST_MILLISECONDS;
  }
  return cost;
}

/** Whether a server can run one more request; others than brittle ones may let it wait. */
const hasRoom = (state: ServerState, now: number): boolean =>
  !state.isBrittle || countServerRequests(state, now) < state.entry.slots;

/** Selects the server with the lowest expected delay; avoided servers only if there is no other. */
export function selectServer(selection: ServerSelection): ServerState | undefined {
  if (selection.balancing) return selection.balancing.select(selection);
  const { candidates, requirements, excluded, now, random, maxLimitMilliseconds } = selection;
  return chooseServer({
    candidates,
    isEligible: (state) =>
      !excluded.has(state.entry.id) &&
      state.closedUntil <= now &&
      hasRoom(state, now) &&
      selection.millisecondsUntilFree(state.entry.id) <= maxLimitMilliseconds &&
      (requirements
        ? selection.canServeModel(state, requirements.model)
        : acceptsRequests(state.entry)),
    isAvoided: ({ avoidUntil }) => avoidUntil > now,
    estimateCost: (state) =>
      estimateDelayMilliseconds(state, selection) + random() * COST_JITTER_MILLISECONDS,
    random,
  });
}
