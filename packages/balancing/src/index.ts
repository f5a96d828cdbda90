/** Choice among servers of unequal speed and load from figures that are out of date. */
export { createServerChoice, type ChoiceOptions, type ServerChoice } from './choice.js';
export {
  createServerKnowledge,
  estimateRequests,
  hasReport,
  OTHERS_AGE_MILLISECONDS,
  recentFailureRate,
  recordRejection,
  recordReport,
  type LoadReport,
  type ServerKnowledge,
} from './knowledge.js';
export { computeLoadRatios, type ServerShare } from './share.js';
export {
  createKindEstimate,
  estimateSlowness,
  recordPassedSlowness,
  recordSlowness,
  type KindEstimate,
} from './speed.js';
export { computePreemptionMilliseconds, countUsableSlots, estimateTokens } from './tokens.js';
