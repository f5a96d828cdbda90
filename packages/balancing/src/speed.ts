/** Learns how slow each server is, and how long requests of each kind usually take. */
import type { ServerKnowledge } from './knowledge.js';

/** How long requests of one kind take at servers of usual speed. */
export interface KindEstimate {
  /** @returns the usual time to the first event of a request with so many uncached prompt tokens, in milliseconds */
  firstEventMilliseconds(uncachedTokens: number): number;
  /** Usual time for which a request is at a server, in milliseconds. */
  holdingMilliseconds(): number;
  /** Usual prompt and answer tokens of a request. */
  tokens(): number;
  /** Usual time for each uncached prompt token, in milliseconds. */
  tokenMilliseconds(): number;
  /** Records a time to the first event at a server that was not full. */
  recordFirstEvent(uncachedTokens: number, milliseconds: number): void;
  /** Records a request that a server has answered in whole. */
  recordEnd(milliseconds: number, tokens: number): void;
}

/** Bound of the learnt slowness; slower servers are as good as gone. */
const MAX_LOG_SLOWNESS = Math.log(8);
/** Weight of one observation. A host sees a server once in some seconds, so few must do. */
const OBSERVATION_WEIGHT = 0.4;
/** Time after which a third of an observation is left; servers are slow for some seconds at a time. */
const MEMORY_MILLISECONDS = 20_000;
/** Any time above the least that is told apart; only the ratio of two times counts. */
const REFERENCE_MILLISECONDS = 1000;
/** Age at which the slowdown that a server reported is worth nothing; it changes many times a second. */
const SLOWDOWN_LIFETIME_MILLISECONDS = 1000;
/** Weight of the sums of the regression after each observation: it remembers about 200. */
const REGRESSION_MEMORY = 0.995;
/** Prompt tokens for each millisecond before anything is learnt. */
const USUAL_TOKENS_PER_MILLISECOND = 30;
/** Bounds of the learnt time for each token relative to the usual one. */
const MAX_TOKEN_RATIO = 8;
/** Time to the first event without uncached tokens, and time at a server, before anything is learnt. */
const USUAL_FIRST_EVENT_MILLISECONDS = 20;
const USUAL_HOLDING_MILLISECONDS = 300;
/** Tokens of a request before anything is learnt. */
const USUAL_TOKENS = 500;
/** Weight of one request in the averages of a kind. */
const AVERAGE_WEIGHT = 0.02;
/** Observations that the first values are worth. */
const FIRST_VALUES_WEIGHT = 2;
/** Uncached tokens of the two points that stand for the first values in the regression. */
const FIRST_VALUES_TOKENS = 2000;

const clamp = (value: number, bound: number): number => Math.max(-bound, Math.min(bound, value));

/** Records a time to the first event against the usual time of such a request. */
export function recordSlowness(
  knowledge: ServerKnowledge,
  observedMilliseconds: number,
  expectedMilliseconds: number,
  now: number,
): void {
  const changed = knowledge;
  const observed = clamp(
    Math.log(Math.max(1, observedMilliseconds) / Math.max(1, expectedMilliseconds)),
    MAX_LOG_SLOWNESS,
  );
  const known = learntLogSlowness(knowledge, now);
  changed.logSlowness = known + OBSERVATION_WEIGHT * (observed - known);
  changed.observedAt = now;
}

/**
 * Records the slowness of a server that another host was told or has observed. It is learnt like an
 * observation of this host, which meets a server once in many seconds and would learn it too late.
 * @param at time of the observation on the monotonic clock of this host
 */
export function recordPassedSlowness(
  knowledge: ServerKnowledge,
  slowness: number,
  at: number,
): void {
  const changed = knowledge;
  if (at <= changed.slowdownAt) return;
  changed.slowdown = slowness;
  changed.slowdownAt = at;
  if (at > changed.observedAt)
    recordSlowness(changed, slowness * REFERENCE_MILLISECONDS, REFERENCE_MILLISECONDS, at);
}

function learntLogSlowness({ logSlowness, observedAt }: ServerKnowledge, now: number): number {
  if (logSlowness === 0) return 0;
  return logSlowness * Math.exp((observedAt - now) / MEMORY_MILLISECONDS);
}

/**
 * @returns the expected duration of work at a server relative to the usual one, from 1/8 to 8: what it
 * has reported, weighted by freshness, and what this host has observed
 */
export function estimateSlowness(knowledge: ServerKnowledge, now: number): number {
  const learnt = learntLogSlowness(knowledge, now);
  const weight = 1 - (now - knowledge.slowdownAt) / SLOWDOWN_LIFETIME_MILLISECONDS;
  if (weight <= 0) return learnt === 0 ? 1 : Math.exp(learnt);
  const reported = clamp(Math.log(knowledge.slowdown), MAX_LOG_SLOWNESS);
  return Math.exp(weight * reported + (1 - weight) * learnt);
}

/** Creates the estimate of a kind of which no request has ended yet. */
export function createKindEstimate(): KindEstimate {
  const usualToken = 1 / USUAL_TOKENS_PER_MILLISECOND;
  // Sums of a least-squares line through two points of the first values.
  let count = 2 * FIRST_VALUES_WEIGHT;
  let sumX = FIRST_VALUES_WEIGHT * FIRST_VALUES_TOKENS;
  let sumXX = FIRST_VALUES_WEIGHT * FIRST_VALUES_TOKENS ** 2;
  let sumY =
    FIRST_VALUES_WEIGHT * (2 * USUAL_FIRST_EVENT_MILLISECONDS + FIRST_VALUES_TOKENS * usualToken);
  let sumXY =
    FIRST_VALUES_WEIGHT *
    FIRST_VALUES_TOKENS *
    (USUAL_FIRST_EVENT_MILLISECONDS + FIRST_VALUES_TOKENS * usualToken);
  let perToken = usualToken;
  let base = USUAL_FIRST_EVENT_MILLISECONDS;
  let holding = USUAL_HOLDING_MILLISECONDS;
  let tokenCount = USUAL_TOKENS;
  let ended = FIRST_VALUES_WEIGHT;

  const solve = (): void => {
    const spread = count * sumXX - sumX * sumX;
    const slope = spread > 0 ? (count * sumXY - sumX * sumY) / spread : usualToken;
    perToken = Math.max(
      usualToken / MAX_TOKEN_RATIO,
      Math.min(usualToken * MAX_TOKEN_RATIO, slope),
    );
    base = Math.max(1, (sumY - perToken * sumX) / count);
  };

  return {
    firstEventMilliseconds: (uncachedTokens) => base + perToken * uncachedTokens,
    holdingMilliseconds: () => holding,
    tokens: () => tokenCount,
    tokenMilliseconds: () => perToken,
    recordFirstEvent: (uncachedTokens, milliseconds) => {
      count = count * REGRESSION_MEMORY + 1;
      sumX = sumX * REGRESSION_MEMORY + uncachedTokens;
      sumXX = sumXX * REGRESSION_MEMORY + uncachedTokens * uncachedTokens;
      sumY = sumY * REGRESSION_MEMORY + milliseconds;
      sumXY = sumXY * REGRESSION_MEMORY + uncachedTokens * milliseconds;
      solve();
    },
    recordEnd: (milliseconds, tokens) => {
      ended += 1;
      const weight = Math.max(AVERAGE_WEIGHT, 1 / ended);
      holding += (milliseconds - holding) * weight;
      if (tokens > 0) tokenCount += (tokens - tokenCount) * weight;
    },
  };
}
