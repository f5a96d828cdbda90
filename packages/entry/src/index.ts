/** Entry host of a fleet: connects peer links, quotas, model loading and request serving. */
export { createPausingControl, type PausingControlOptions } from './control.js';
export { startEntry } from './entry.js';
export { type Entry, type EntryHost, type EntryOptions, type FleetBounds } from './options.js';
export { createCrashWatch, type CrashWatchOptions } from './crashes.js';
export {
  createHostQuestion,
  createServerQuestion,
  type HostQuestionOptions,
  type ServerQuestionOptions,
} from './ends.js';
export {
  createEvacuations,
  type Evacuation,
  type Evacuations,
  type EvacuationsOptions,
  type LostEvacuation,
} from './evacuations.js';
export { createFleet, type Fleet, type FleetOptions } from './fleet.js';
export { createGossip, type Gossip, type GossipOptions } from './gossip.js';
export {
  HOST_KIND,
  parseHostRecords,
  registerHost,
  readSecret,
  SECRET_KIND,
  type HostRecord,
  type ListedPeer,
  type OwnRecord,
} from './group.js';
export { createHandlers, type HandlersOptions } from './handlers.js';
export { createFleetLimits, type FleetLimits, type FleetLimitsOptions } from './limits.js';
export { createFleetLinks, type FleetLinks, type FleetLinksOptions } from './links.js';
export {
  MESSAGE,
  SUMMARY_RATE,
  type ChangesMessage,
  type FleetSummary,
  type HostState,
  type PullAnswer,
  type StatesMessage,
  type SummaryRate,
} from './messages.js';
export {
  createOrderLeadership,
  type OrderLeadership,
  type OrderLeadershipOptions,
} from './orders.js';
export { createQuotas, type Quotas, type QuotasOptions, type QuotaTolerance } from './quotas.js';
export {
  createServerRelays,
  type RelayHost,
  type ServerRelays,
  type ServerRelaysOptions,
} from './relays.js';
export { createKindFollower, type KindFollower, type KindFollowerOptions } from './source.js';
export {
  createTopology,
  rankHosts,
  type HostPlace,
  type Topology,
  type TopologyOptions,
} from './topology.js';
export { createRunningTotals, type RunningRequests, type RunningTotals } from './totals.js';
export {
  createVersionsKeeper,
  VERSIONS_KIND,
  type VersionsKeeper,
  type VersionsKeeperOptions,
  type VersionsUpdate,
} from './versions.js';
