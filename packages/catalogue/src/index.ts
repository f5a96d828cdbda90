/** Routes, services and workspaces of a fleet, and the directory of its servers. */
export {
  ROUTE_KIND,
  type CallerLimits,
  type ColdStart,
  type EngineProfile,
  type FleetConfiguration,
  type ModelProfile,
  type Quota,
  type Route,
  type RouteKind,
  type RouteShare,
  type Service,
  type Workspace,
} from './configuration.js';
export { createRouteTable, pickWeightedShare, type RouteTable } from './routes.js';
export {
  acceptsRequests,
  createServerDirectory,
  type ServerDeparture,
  type ServerDirectory,
  type ServerDirectoryOptions,
  type ResidentModel,
  type ServerEntry,
  type ServerView,
} from './servers.js';
