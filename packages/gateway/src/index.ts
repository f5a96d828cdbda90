/** HTTP interface for callers. */
export { createGateway, type Gateway, type GatewayOptions, type Readiness } from './gateway.js';
export { createModelQueues, type ModelQueues, type ModelQueuesOptions } from './queues.js';
export { createGatewayMetrics, type GatewayMetrics, type GatewayServices } from './services.js';
export {
  createTraceBuffer,
  type Trace,
  type TraceBuffer,
  type TraceBufferOptions,
  type Tracer,
  type TraceStep,
} from './trace.js';
export {
  createCrashGuardFactory,
  type RunPermit,
  type CreateCrashGuard,
  type CrashGuardOptions,
  type CrashGuard,
} from './isolation.js';
