/** HTTP clients for targets: engines and plain services. */
export { createTargetClient, processReads, type TargetClientOptions } from './client.js';
export { detectResets, type ResetDetectionOptions } from './resets.js';
export {
  createConnector,
  type Closable,
  type Connector,
  type ConnectorOptions,
  type OpenConnection,
} from './connector.js';
export {
  createHttpEngine,
  ORDER,
  ORDER_ANSWER,
  type CachedCheckpoints,
  type Engine,
  type EngineOrder,
  type EngineState,
  type LoadedModel,
  type OrderAnswer,
} from './engine.js';
export {
  createConnections,
  createExchangeError,
  exchange,
  EXCHANGE_FAULT,
  isExchangeError,
  EXCHANGE_PROGRESS,
  type AnswerHead,
  type AnswerReceiver,
  type Connections,
  type ExchangeError,
  type ExchangeFault,
  type ExchangeOptions,
  type FlowControl,
  type ExchangeProgress,
  type TargetCall,
} from './exchange.js';
export {
  createTargetRegistry,
  canServeModel,
  isLoading,
  targetOrigin,
  findLoadedModel,
  type ServerView,
  type ServiceView,
  type TargetRegistry,
  type TargetRegistryOptions,
} from './registry.js';
export {
  createReadSchedule,
  type ReadSchedule,
  type ReadScheduleOptions,
  type Slice,
} from './reads.js';
