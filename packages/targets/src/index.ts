/** Links to targets: engines and plain services. */
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
  PROGRESS,
  type AnswerHead,
  type AnswerReceiver,
  type Connections,
  type ExchangeError,
  type ExchangeFault,
  type ExchangeOptions,
  type FlowControl,
  type Progress,
  type TargetCall,
} from './exchange.js';
export {
  createTargetRegistry,
  isLoading,
  originOf,
  reportOf,
  type ServerView,
  type ServiceView,
  type TargetRegistry,
  type TargetRegistryOptions,
} from './registry.js';
