/** Decides which server loads which model and sends the orders for it. */
export { findBackgroundNeeds, type BackgroundInput } from './background.js';
export type { ColdLoad } from './book.js';
export {
  createLoadCoordinator,
  type LoadCoordinator,
  type LoadCoordinatorOptions,
} from './commander.js';
export {
  createConcurrencyLimit,
  type ColdLoadObservation,
  type ConcurrencyLimit,
  type ConcurrencyLimitOptions,
  type RunningColdLoad,
} from './concurrency.js';
export { createDemandTracker, type DemandTracker, type DemandTrackerOptions } from './demand.js';
export {
  ORDER_OPERATION,
  ORDER_OUTCOME,
  type EngineControl,
  type OrderOperation,
  type Order,
  type OrderOutcome,
  type ServerReport,
} from './engine.js';
export { planLoads } from './plan.js';
export {
  MIN_SERVING_MILLISECONDS,
  type BackgroundNeed,
  type Outlook,
  type PlanInput,
  type PlannedLoad,
  type PlannedModel,
  type PlannedServer,
  type ReplicaNeed,
  type Want,
} from './plan-input.js';
export { findReplicaNeeds, type ServerLoad } from './replicas.js';
