import { chooseServer } from '@bulrushspar/routing';
import type { ModelNeed } from './call.js';
import type { ServerState } from './servers.js';

/** What a choice between servers depends on. */
export interface ChoiceInput {
  readonly candidates: readonly ServerState[];
  readonly need?: ModelNeed;
  readonly failureDomain: string;
  /** Servers that have had this request already. */
  readonly excluded: ReadonlySet<string>;
  /** By the monotonic clock. */
  readonly now: number;
  readonly holdsModel: (state: ServerState, model: string) => boolean;
  readonly holdsAdapter: (state: ServerState, model: string, adapter: string) => boolean;
  /** From 0 up to but not including 1. */
  readonly random: () => number;
}

/** Cost of a server all of whose slots are taken, in milliseconds of expected delay. */
const FULL_MILLISECONDS = 400;
/** Cost of a way to another failure domain and back. */
const OTHER_DOMAIN_MILLISECONDS = 3;
/** Cost of a missing adapter: an order through its giver. */
const ADAPTER_MILLISECONDS = 25;
/** Cost of a server at which every request fails. */
const FAILING_MILLISECONDS = 2000;
/** Prompt tokens that a server reads in a millisecond, for comparing with the other costs. */
const PROMPT_TOKENS_PER_MILLISECOND = 30;
/** Time for which a prompt part is expected to stay in a server's memory. */
const PART_MILLISECONDS = 20_000;
/** Time for which a load that came with an answer is worth more than own counts. */
const LOAD_MILLISECONDS = 500;
/** Spread that keeps hosts from all choosing the same of equal servers. */
const JITTER_MILLISECONDS = 2;

/** Requests that a server has, as far as this host can tell. */
export function workOf(state: ServerState, now: number): number {
  const counted = state.outstanding + state.outstandingElsewhere;
  const { load } = state;
  if (!load || now - load.at > LOAD_MILLISECONDS) return counted;
  return Math.max(counted, load.running + load.waiting);
}

function missingPromptTokens(state: ServerState, need: ModelNeed, now: number): number {
  let missing = 0;
  let kept = true;
  need.promptParts.slice(0, -1).forEach(({ id, tokens }) => {
    const at = state.parts.get(partKey(need, id));
    kept &&= at !== undefined && now - at < PART_MILLISECONDS;
    if (!kept) missing += tokens;
  });
  return missing;
}

/** Names a prompt part as one model with one adapter keeps it. */
export function partKey({ model, adapter = '' }: ModelNeed, id: string): string {
  return `${model}/${adapter}/${id}`;
}

/** Expected delay of a request at a server, in milliseconds. */
export function costOf(state: ServerState, input: ChoiceInput): number {
  const { need, now, failureDomain, holdsAdapter } = input;
  const { entry } = state;
  const full = workOf(state, now) / Math.max(1, entry.slots);
  let cost = FULL_MILLISECONDS * full + FAILING_MILLISECONDS * state.failing;
  if (entry.failureDomain !== failureDomain) cost += OTHER_DOMAIN_MILLISECONDS;
  if (!need) return cost;
  cost += missingPromptTokens(state, need, now) / PROMPT_TOKENS_PER_MILLISECOND;
  const { adapter } = need;
  if (adapter !== undefined && !holdsAdapter(state, need.model, adapter)) {
    cost += ADAPTER_MILLISECONDS;
  }
  return cost;
}

/** Chooses the server with the least expected delay; one that failed lately only if it must be. */
export function chooseHolder(input: ChoiceInput): ServerState | undefined {
  const { candidates, need, excluded, now, random } = input;
  return chooseServer({
    candidates,
    isAble: (state) =>
      !excluded.has(state.entry.id) &&
      (need ? input.holdsModel(state, need.model) : !state.entry.leaving),
    isAvoided: ({ avoidUntil }) => avoidUntil > now,
    cost: (state) => costOf(state, input) + random() * JITTER_MILLISECONDS,
    random,
  });
}
