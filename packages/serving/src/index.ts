/** The path of one request: admission, choice of a server, relay, retries. */
export {
  costOfCall,
  createAdmission,
  type Admission,
  type AdmissionOptions,
  type Admitted,
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
export { createAttempts, type Attempts, type AttemptsOptions, type Work } from './attempts.js';
export {
  isRepeatable,
  type AnswerHead,
  type AnswerSink,
  type Attempt,
  type Call,
  type ModelNeed,
  type PromptPart,
  type Reply,
  type SendCall,
  type ServerLoad,
} from './call.js';
export { chooseHolder, costOf, partKey, workOf, type ChoiceInput } from './choose.js';
export { createServingMetrics, type ServingMetrics } from './metrics.js';
export { stoppingRefusal } from './refusals.js';
export { createServe, type Serve, type ServeOptions } from './serve.js';
export { createServerStates, type ServerState, type ServerStates } from './servers.js';
export {
  createModelWaits,
  WAIT_END,
  type ModelWait,
  type ModelWaits,
  type ModelWaitsOptions,
  type WaitResult,
} from './waits.js';
