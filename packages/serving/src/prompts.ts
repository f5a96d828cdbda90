/** What a request needs at a server: tokens, and the parts of its prompt that are not cached there. */
import type { Call, ModelRequirements } from './call.js';
import { isCached, promptPartKey } from './choose.js';
import type { ServerState } from './servers.js';

/** Part of its maximum that an answer is expected to have if the caller gives no estimate. */
const EXPECTED_ANSWER_FRACTION = 0.5;
/** @returns tokens of a request's prompt; 0 if the caller did not tell */
export function countPromptTokens({ promptTokens, requirements }: Call): number {
  if (promptTokens !== undefined) return promptTokens;
  let tokens = 0;
  requirements?.promptParts.forEach((part) => {
    tokens += part.tokens;
  });
  return tokens;
}

/** Prompt and expected answer tokens; callers' estimates are often far off, but not above the maximum. */
export function countTokens(call: Call): number {
  const { expectedAnswerTokens, maxAnswerTokens } = call;
  const most = maxAnswerTokens ?? Infinity;
  const expected = expectedAnswerTokens ?? (maxAnswerTokens ?? 0) * EXPECTED_ANSWER_FRACTION;
  return countPromptTokens(call) + Math.min(expected, most);
}

/** Counts the prompt tokens of one request that servers have not cached. */
export interface UncachedCounter {
  /** Begins with a request. */
  begin(requirements: ModelRequirements | undefined): void;
  /** @returns tokens of the parts after the last one that the server is expected to have cached */
  count(state: ServerState, now: number): number;
  /** @returns whether the prompt has parts that servers may have cached */
  hasParts(): boolean;
  /** @returns whether the server is expected to have cached the first part */
  holdsFirst(state: ServerState, now: number): boolean;
}

/** Creates a counter, whose list of keys is used again for each request. */
export function createUncachedCounter(): UncachedCounter {
  const keys: string[] = [];
  let promptParts: ModelRequirements['promptParts'] = [];

  return {
    begin: (requirements) => {
      keys.length = 0;
      promptParts = requirements?.promptParts ?? [];
      // The last part is unique to its request.
      for (let index = 0; requirements && index < promptParts.length - 1; index += 1)
        keys.push(promptPartKey(requirements, promptParts[index]!.id));
    },
    count: ({ promptPartTimes }, now) => {
      let uncached = 0;
      let cached = promptPartTimes.size > 0;
      for (let index = 0; index < promptParts.length; index += 1) {
        cached &&= index < keys.length && isCached(promptPartTimes.get(keys[index]!), now);
        if (!cached) uncached += promptParts[index]!.tokens;
      }
      return uncached;
    },
    hasParts: () => keys.length > 0,
    holdsFirst: ({ promptPartTimes }, now) =>
      promptPartTimes.size > 0 && keys.length > 0 && isCached(promptPartTimes.get(keys[0]!), now),
  };
}
