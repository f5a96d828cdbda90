/** Stand-ins for the platform, engines and services. Production packages do not import them. */
export {
  ENGINE_FAULT,
  startEngine,
  type EngineFault,
  type EngineOptions,
  type EngineStandin,
  type ReceivedRequest,
} from './engine.js';
export { startHostList, type HostRow, type HostListStandin } from './hosts.js';
export type { Standin } from './listen.js';
export {
  createMemoryStore,
  STORE_FAULT,
  type MemoryStore,
  type StoreCopy,
  type StoreCall,
  type StoreFault,
  type StoreFaultRule,
} from './memory.js';
export { RELAY_MODE, startRelay, type RelayMode, type RelayStandin } from './relay.js';
export { startObjectApi, type ObjectApiStandin } from './objects.js';
export {
  SERVICE_FAULT,
  startService,
  type ExecutedCall,
  type ServiceFault,
  type ServiceStandin,
} from './service.js';
export { startWeightStore, type WeightLimits, type WeightStoreStandin } from './weights.js';
