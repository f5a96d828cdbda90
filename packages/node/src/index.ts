/** The node process: wires all components together and runs them. */
export { startNode, type Node, type NodeOptions } from './node.js';
export { createPlatformClients, type PlatformClients } from './platform.js';
export type { FleetStatus, QueueStatus, ServerStatus } from './status.js';
