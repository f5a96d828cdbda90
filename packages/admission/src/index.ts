/** Order of waiting requests under shortage: fair queue, room of servers, shares of hosts, refusals. */
export { createFairLine, type FairLine, type LineEntry } from './line.js';
export {
  decide,
  estimateWaitMilliseconds,
  DECISION,
  REFUSAL_CAUSE,
  type Candidate,
  type Decision,
  type DecisionView,
  type RefusalCause,
} from './decide.js';
export {
  createAdmissionQueue,
  type AdmissionQueue,
  type AdmissionQueueOptions,
  type Place,
} from './queue.js';
export type { PlaceRequest } from './entry.js';
export {
  computeSendRate,
  estimateRequests,
  estimateServiceMilliseconds,
  limitOf,
  type FleetView,
  type LoadReport,
  type OwnUse,
  type ServerView,
  type UsualRequests,
  type WaitingDemand,
} from './room.js';
export {
  decodeWaiting,
  encodeWaitingKey,
  rankOf,
  type RequestGroup,
  type WaitingCounts,
  type WaitingGroup,
} from './waiting.js';
