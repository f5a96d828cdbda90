/** Request handling: admission, server selection, relay of the answer and retries. */
export {
  computeQuotaCost,
  createAdmission,
  type Admission,
  type AdmissionOptions,
  type AdmittedRequest,
} from './admit.js';
export {
  ANSWER_FAULT,
  DELIVERY,
  isAnswerError,
  openRelay,
  type AnswerError,
  type AnswerFault,
  type AnswerOptions,
  type Delivery,
} from './answer.js';
export {
  createAttemptRunner,
  type AttemptRunner,
  type AttemptRunnerOptions,
  type ActiveRequest,
} from './attempts.js';
export {
  createConfirmedSend,
  createEndConfirmation,
  PROCESS_STATE,
  type ConfirmedSendOptions,
  type EndConfirmation,
  type EndConfirmationOptions,
  type ProcessState,
} from './ends.js';
export { createBalancing, type Balancing, type BalancingOptions } from './balance.js';
export { type BalancedSend } from './observe.js';
export { countPromptTokens } from './prompts.js';
export {
  isRetryable,
  type AnswerHead,
  type AnswerSink,
  type Attempt,
  type Call,
  type ModelRequirements,
  type PassingHost,
  type PromptPart,
  type Reply,
  type SendCall,
  type ServerLoad,
  type ServerNotice,
} from './call.js';
export {
  createColdServers,
  type ColdServers,
  type ColdServersOptions,
  type ColdUpdate,
} from './cold.js';
export { createCrashGuard, type CrashGuard, type CrashGuardOptions } from './crashes.js';
export {
  selectServer,
  estimateDelayMilliseconds,
  promptPartKey,
  countServerRequests,
  type ServerSelection,
} from './choose.js';
export {
  createServerLimits,
  type LimitedServer,
  type LimitUpdate,
  type ServerLimits,
  type ServerLimitsOptions,
} from './limits.js';
export { createServingMetrics, type ServingMetrics } from './metrics.js';
export {
  createOverloadControl,
  type OverloadControl,
  type OverloadControlOptions,
} from './overload.js';
export { listGroupServers } from './places.js';
export { createStoppingRefusal } from './refusals.js';
export { createRequestHandler, type RequestHandler, type RequestHandlerOptions } from './serve.js';
export { createSlownessExchange, type SlownessExchange, type SlownessMessage } from './slowness.js';
export {
  createStreamVersions,
  UNKNOWN_VERSION_CAUSE,
  type BegunStream,
  type StreamRequirement,
  type StreamVersions,
  type StreamVersionsOptions,
  type UnknownVersionCause,
  type VersionHistory,
} from './streams.js';
export { createServerStates, type ServerState, type ServerStates } from './servers.js';
export {
  createModelWaits,
  WAIT_END,
  type ModelWait,
  type ModelWaits,
  type ModelWaitsOptions,
  type WaitResult,
} from './waits.js';
