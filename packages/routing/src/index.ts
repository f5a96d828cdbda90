/** Server choice, admission queues, retries and answer relays, shared by all front ends. */
export {
  createAnswerBuffer,
  createAnswerMemory,
  type AnswerBuffer,
  type AnswerMemory,
  type AnswerMemoryOptions,
} from './buffer.js';
export { chooseServer, type ServerSelectionOptions, type Random } from './choose.js';
export { createEventSplitter, type EventSplitter } from './events.js';
export {
  createFairQueue,
  type FairQueue,
  type FairQueueOptions,
  type QueueRequest,
  type QueueSlot,
} from './queue.js';
export {
  createContentPart,
  createPromptPartTracker,
  type PromptPartTracker,
  type PromptPartTrackerOptions,
  type PromptPartUpdate,
  type ServerProcess,
} from './parts.js';
export {
  createStreamRelay,
  createBufferedRelay,
  type AnswerWriter,
  type AnswerSink,
  type Relay,
  type RelayedHead,
  type RelayOptions,
  type StreamRelayOptions,
} from './relay.js';
export {
  createSuspectTracker,
  type CrashReport,
  type SuspectUpdate,
  type SuspectTracker,
  type SuspectTrackerOptions,
} from './suspects.js';
export { sendUntilAnswered, type AttemptSteps } from './tries.js';
