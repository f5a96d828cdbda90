/** What a fleet serves, and the servers that it has. */
export {
  ROUTE_KIND,
  type CallerLimits,
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
export { createRouteTable, pickShare, type RouteTable } from './routes.js';
export {
  createDirectory,
  type Directory,
  type DirectoryOptions,
  type ResidentModel,
  type ServerEntry,
  type ServerView,
} from './servers.js';
