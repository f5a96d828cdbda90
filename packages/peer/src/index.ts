/** Mutually authenticated links between nodes. */
export {
  createConnection,
  encodeMessage,
  type Connection,
  type ConnectionOptions,
  type PeerMessage,
  type Traffic,
} from './connection.js';
export { sendToAll, type Link, type PeerHandler, type PeerHandlers } from './link.js';
export { chooseNeighbours, MAX_FULL_MESH_HOSTS } from './neighbours.js';
export {
  createPeerNetwork,
  type LinkPolicy,
  type PeerAddress,
  type PeerNetwork,
  type PeerNetworkOptions,
} from './network.js';
export {
  openTunnel,
  serveTunnels,
  type TunnelOptions,
  type TunnelServerOptions,
} from './tunnel.js';
