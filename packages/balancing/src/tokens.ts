/** Tokens that the requests at a server hold in its memory. */

/** Estimates the tokens at a server: this host knows its own, the others send the usual ones. */
export const estimateTokens = (
  requests: number,
  own: number,
  ownTokens: number,
  tokensPerRequest: number,
): number => ownTokens + Math.max(0, requests - own) * tokensPerRequest;

/** @returns the requests that a server runs at a time: by its slots or, if fewer, by its memory */
export const countUsableSlots = (
  slots: number,
  cacheTokens: number,
  tokensPerRequest: number,
): number => Math.max(1, Math.min(slots, Math.floor(cacheTokens / Math.max(1, tokensPerRequest))));

/**
 * Returns the time that a preemption costs: the tokens of the request that is ended are computed again,
 * and it waits for another to end first.
 */
export const computePreemptionMilliseconds = (
  tokensPerRequest: number,
  tokenMilliseconds: number,
  holdingMilliseconds: number,
): number => tokensPerRequest * tokenMilliseconds + holdingMilliseconds;
