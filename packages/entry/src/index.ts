/** One entry host of a fleet: links, shares, loading and serving wired together. */
export {
  startEntry,
  type Entry,
  type EntryHost,
  type EntryOptions,
  type FleetBounds,
} from './entry.js';
export { createFleet, type Fleet, type FleetOptions } from './fleet.js';
export { createGossip, type Gossip, type GossipOptions } from './gossip.js';
export {
  HOST_KIND,
  hostsOf,
  joinGroup,
  readSecret,
  SECRET_KIND,
  type HostRecord,
  type ListedPeer,
  type OwnRecord,
} from './group.js';
export { createFleetLinks, type FleetLinks, type FleetLinksOptions } from './links.js';
export {
  MESSAGE,
  SUMMARY_RATE,
  type ChangesMessage,
  type FleetSummary,
  type HostState,
  type PullAnswer,
  type SummaryRate,
} from './messages.js';
export { createOrderDuty, type OrderDuty, type OrderDutyOptions } from './orders.js';
export { createQuotas, type Quotas, type QuotasOptions, type QuotaTolerance } from './quotas.js';
export { createSource, type Source, type SourceOptions } from './source.js';
export {
  createTopology,
  rankHosts,
  type HostPlace,
  type Topology,
  type TopologyOptions,
} from './topology.js';
export { createRunningTotals, type RunningRequests, type RunningTotals } from './totals.js';
