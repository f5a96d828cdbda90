/** Fleet membership: listed hosts, their reachability, and their heartbeat reports. */
export { isAssignedRole } from './rank.js';
export {
  createMembership,
  HEARTBEAT,
  REACHABILITY,
  type ReceivedHeartbeat,
  type Membership,
  type MembershipOptions,
  type MemberView,
  type Reachability,
  type HeartbeatReport,
} from './membership.js';
