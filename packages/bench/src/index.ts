/** Fleets of stand-ins and node processes, and clients that call them. */
export {
  callService,
  requestChat,
  type CallerAnswer,
  type ChatOptions,
  type ServiceCallOptions,
} from './call.js';
export { PATTERNS } from './balance.js';
export { type LoadPattern, type PatternResult } from './pattern.js';
export { playPattern } from './patterns.js';
export { createEventQueue, createRandom, type EventQueue } from './simulation.js';
export type { FleetWorld } from './world.js';
export {
  hashKey,
  createConfigurationDocument,
  type DocumentOptions,
  type DocumentTables,
} from './document.js';
export {
  createPortFinder,
  OPERATORS_TOKEN,
  pause,
  startFleet,
  waitUntil,
  type Fleet,
  type FleetNode,
  type FleetOptions,
  type OperatorAnswer,
  type PortFinder,
} from './fleet.js';
