/**
 * Interfaces to the platform's object API, host list and weight store, with their HTTP adapters;
 * watches of a kind, and conditional writes that are retried when an answer is lost.
 */
export {
  composeVersion,
  createEraStore,
  createEraTracker,
  eraOf,
  revisionOf,
  type DatedAnswer,
  type EraTracker,
  type NamedEra,
  type RevisionStore,
} from './era.js';
export {
  listAndWatch,
  type ListAndWatchOptions,
  type ObjectView,
  type ViewVersion,
} from './follow.js';
export {
  createHttpHostList,
  HOST_STATE,
  type HostList,
  type HostState,
  type ListedHost,
} from './hosts.js';
export { isSameIncarnation, type Incarnation } from './incarnation.js';
export {
  createJsonClient,
  type AnswerHeaders,
  type JsonAnswer,
  type JsonCall,
  type JsonClient,
  type JsonClientOptions,
} from './http.js';
export { createHttpObjectStore } from './objects.js';
export {
  ABSENT,
  WRITE_OUTCOME,
  type ObjectChange,
  type ObjectKey,
  type ObjectList,
  type ObjectStore,
  type StoredObject,
  type Version,
  type WatchAnswer,
  type WriteAnswer,
} from './store.js';
export {
  RETRIED_WRITE_OUTCOME,
  writeWithRetry,
  type RetriedWriteResult,
  type RetriedWriteOptions,
} from './settle.js';
export { createStoreError, EFFECT, isStoreError, type Effect, type StoreError } from './failure.js';
export { toReadableValue } from './values.js';
export { createHttpWeightStore, type WeightStore, type WeightStoreStatus } from './weights.js';
