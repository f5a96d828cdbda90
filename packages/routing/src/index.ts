/** Server choice, admission queues, retries and answer relays, shared by all front ends. */
export {
  createAnswerBuffer,
  createBlockQueue,
  type AnswerBuffer,
  type BlockQueue,
} from './buffer.js';
export { boundInput, type InputOptions } from './input.js';
export {
  BODY_FAULT,
  collectBody,
  dropBody,
  type BodyFault,
  type BodyResult,
  type CollectBodyOptions,
  type IdleLimit,
} from './body.js';
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
  answerBytesOfHost,
  requestBytesOfHost,
  createByteMemory,
  type ByteMemory,
  type ByteMemoryOptions,
  type Holding,
} from './memory.js';
export type { Isolation, RunUpdate } from './isolation.js';
export { createContentPart, createPromptPartTracker } from './parts.js';
export type {
  ListedProcess,
  PromptPartTracker,
  PromptPartTrackerOptions,
  PromptPartUpdate,
  ServerProcess,
} from './tracker.js';
export {
  createStreamRelay,
  createBufferedRelay,
  type AnswerWriter,
  type AnswerSink,
  type Relay,
  type RelayedHead,
  type RelayOptions,
  type SinkOptions,
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
export {
  createBufferingWriter,
  type BufferingWriter,
  type BufferingWriterOptions,
  type MeasuredWriter,
} from './writer.js';
export { boundConnections, type ConnectionLimitOptions } from './connections.js';
