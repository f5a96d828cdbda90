/** The configuration: document schema and checks, commits to the store, and replication to hosts. */
export { checkConfiguration, type CheckedConfiguration } from './check.js';
export {
  COMMIT_OUTCOME,
  createCommitter,
  type CommitResult,
  type Committer,
  type CommitterOptions,
  type DocumentCommit,
  type EntriesCommit,
  type EntryEdit,
} from './commit.js';
export type { Digest } from './digest.js';
export { formatEntryName, type EntryChange } from './delta.js';
export {
  createConfigurationFollower,
  PEER_COMPARISON,
  type ConfigurationFollower,
  type ConfigurationUpdate,
  type FollowerOptions,
  type PeerComparison,
  type PeerConfigurationState,
} from './follower.js';
export { printConfiguration } from './print.js';
export {
  EMPTY_CONFIGURATION,
  readHistory,
  type AcceptedChange,
  type AcceptedConfiguration,
  type ConfigurationRoot,
} from './root.js';
export {
  PRIORITY,
  SECTIONS,
  TARGET_KIND,
  type Adapter,
  type Configuration,
  type HostLimits,
  type Key,
  type Model,
  type Priority,
  type Route,
  type SectionName,
  type Service,
  type Target,
  type Workspace,
} from './schema.js';
