/** One entry host of a fleet: links, shares, loading and serving wired together. */
export {
  startEntry,
  type Entry,
  type EntryHost,
  type EntryOptions,
  type FleetBounds,
} from './entry.js';
export { createGossip, type Gossip, type GossipOptions } from './gossip.js';
export {
  HOST_KIND,
  joinGroup,
  peersOf,
  readSecret,
  SECRET_KIND,
  type HostRecord,
} from './group.js';
export { createFleetLinks, type FleetLinks, type FleetLinksOptions } from './links.js';
export { MESSAGE, type ChangesMessage, type HostState, type PullAnswer } from './messages.js';
export { createOrderDuty, type OrderDuty, type OrderDutyOptions } from './orders.js';
export { createQuotas, type Quotas, type QuotasOptions, type QuotaTolerance } from './quotas.js';
export { createSource, type Source, type SourceOptions } from './source.js';
