/** Placement of models on servers: decisions recorded in the store, and the orders that follow. */
export {
  choosePlacement,
  CHECKPOINT_SOURCE,
  checkpointSource,
  type EvictableModel,
  type Placement,
  type PlacementCandidate,
} from './decide.js';
export {
  createPlacer,
  replicaGigabytes,
  type PlacementEvent,
  type Placer,
  type PlacerOptions,
} from './placer.js';
export {
  createOrderExecutor,
  type OrderExecutor,
  type OrderExecutorOptions,
  type OrderTask,
} from './orders.js';
export {
  MEMORY_KIND,
  REPLICA,
  REPLICA_KIND,
  withoutModelReservations,
  type MemoryRecord,
  type ReplicaDecision,
  type ReplicaRecord,
} from './records.js';
export {
  createTurnQueue,
  grantTurns,
  TURN_KIND,
  type Turn,
  type TurnRecord,
  type TurnQueue,
  type TurnQueueOptions,
  type TurnRequest,
} from './turns.js';
