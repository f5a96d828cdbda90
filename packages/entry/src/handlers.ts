/** Handlers for the messages from other hosts. */
import type { ServerDirectory } from '@bulrushspar/catalogue';
import type { Stopwatch } from '@bulrushspar/clock';
import type { LoadCoordinator, Outlook } from '@bulrushspar/loading';
import type { PeerHandlers } from '@bulrushspar/peer';
import type { PromptPartTracker } from '@bulrushspar/routing';
import type { ColdServers, ServerLimits, ServerStates, StreamVersions } from '@bulrushspar/serving';
import type { Reservation, ReservationRequest } from '@bulrushspar/shares';
import type { Evacuations } from './evacuations.js';
import type { Fleet } from './fleet.js';
import type { Forwarding } from './forward.js';
import type { Gossip } from './gossip.js';
import {
  MESSAGE,
  type AdapterMessage,
  type BegunMessage,
  type ChangesMessage,
  type ColdMessage,
  type ContentRunMessage,
  type DepartureMessage,
  type FleetSummary,
  type ForwardMessage,
  type ForwardedRequest,
  type HostState,
  type LimitMessage,
  type LostEvacuationsMessage,
  type OutlookMessage,
  type PromptPartsMessage,
  type PullMessage,
  type StatesMessage,
  type StoppingMessage,
  type UnloadingMessage,
  type VersionsMessage,
  type WantsMessage,
} from './messages.js';
import type { KindFollower } from './source.js';
import type { VersionsKeeper } from './versions.js';

/** Options of {@link createHandlers}. */
export interface HandlersOptions {
  readonly fleet: () => Fleet;
  readonly gossip: () => Gossip;
  readonly forwarding: () => Forwarding;
  readonly followers: readonly KindFollower[];
  readonly commander: LoadCoordinator;
  readonly promptParts: PromptPartTracker;
  readonly servers: ServerStates;
  readonly limits: ServerLimits;
  readonly cold: Pick<ColdServers, 'applyUpdate'>;
  /** Reserves a request to a server; throws if this host does not schedule the requests of all. */
  readonly reserve: (request: ReservationRequest) => Reservation;
  readonly directory: ServerDirectory;
  readonly streams: StreamVersions;
  readonly versions: VersionsKeeper;
  readonly evacuations: Pick<Evacuations, 'applyLost'>;
  readonly receiveOutlook: (outlook: readonly Outlook[]) => void;
  /** Started when the process of this host started. */
  readonly sinceStart: Stopwatch;
  /** Called when another host tells that it is stopping. */
  readonly recordStopping: (host: string) => void;
}

/** Creates the message handlers of one host. */
export function createHandlers(options: HandlersOptions): PeerHandlers {
  const {
    fleet,
    gossip,
    forwarding,
    followers,
    commander,
    promptParts,
    servers,
    limits,
    cold,
    reserve,
    directory,
    streams,
    versions,
    evacuations,
    receiveOutlook,
    sinceStart,
    recordStopping,
  } = options;

  const followerOf = (kind: string): KindFollower | undefined =>
    followers.find((follower) => follower.kind === kind);

  /** Newest version of the changes that this host has relayed, by kind. */
  const relayedVersions = new Map<string, number>();

  return {
    [MESSAGE.STATE]: (body, from) => {
      const link = fleet().links.linkTo(from.host);
      if (link) gossip().receiveState(link, body as HostState);
    },
    [MESSAGE.STATES]: (body, from) => {
      const link = fleet().links.linkTo(from.host);
      if (link) gossip().receiveStates(link, body as StatesMessage);
    },
    [MESSAGE.FORWARD]: (body, from) => {
      const link = fleet().links.linkTo(from.host);
      if (link) forwarding().receive(link, body as ForwardMessage);
    },
    [MESSAGE.FORWARD_REQUEST]: (body, from) => {
      const link = fleet().links.linkTo(from.host);
      return link && forwarding().answer(link, body as ForwardedRequest);
    },
    [MESSAGE.SUMMARY]: (body, from) => {
      const link = fleet().links.linkTo(from.host);
      if (link) gossip().receiveSummary(link, body as FleetSummary);
    },
    [MESSAGE.WANTS]: (body, from) => commander.setWants(from.host, body as WantsMessage),
    [MESSAGE.OUTLOOK]: (body) => receiveOutlook(body as OutlookMessage),
    [MESSAGE.ADAPTER]: (body) => {
      const { server, model, adapter } = body as AdapterMessage;
      return commander.ensureAdapter(server, model, adapter);
    },
    [MESSAGE.UNLOADING]: (body, from) => {
      const { server, model } = body as UnloadingMessage;
      servers.recordUnloadOrder(server, model);
      fleet().relay(MESSAGE.UNLOADING, body as UnloadingMessage, from.host);
    },
    [MESSAGE.BEGUN]: (body, from) => {
      const { isRelayed: _isRelayed, ...stream } = body as BegunMessage;
      streams.applyReport(stream);
      fleet().relay(MESSAGE.BEGUN, body as BegunMessage, from.host);
    },
    [MESSAGE.VERSIONS]: (body, from) => {
      const message = body as VersionsMessage;
      // Several hosts may tell the same; each host passes it on once.
      if (versions.receive(message)) fleet().relay(MESSAGE.VERSIONS, message, from.host);
    },
    [MESSAGE.DEPARTURE]: (body, from) => {
      const departure = body as DepartureMessage;
      // Several hosts may have told the same; each host passes it on once.
      if (directory.recordLeaving(departure))
        fleet().relay(MESSAGE.DEPARTURE, departure, from.host);
    },
    [MESSAGE.LIMIT]: (body, from) => {
      const message = body as LimitMessage;
      // Several hosts may have told the same; each host passes it on once.
      if (limits.applyUpdate(message)) fleet().relay(MESSAGE.LIMIT, message, from.host);
    },
    [MESSAGE.COLD]: (body, from) => {
      const message = body as ColdMessage;
      if (cold.applyUpdate(message)) fleet().relay(MESSAGE.COLD, message, from.host);
    },
    [MESSAGE.LOST_EVACUATIONS]: (body) => evacuations.applyLost(body as LostEvacuationsMessage),
    [MESSAGE.RESERVATION]: (body) => reserve(body as ReservationRequest),
    [MESSAGE.CHANGES]: (body, from) => {
      const message = body as ChangesMessage;
      const link = fleet().links.linkTo(from.host);
      const follower = followerOf(message.kind);
      if (!link || !follower) return;
      follower.receiveChanges(link, message);
      // This host may have read the changes from the store, but the members of this hub have not.
      if (message.changedAt <= (relayedVersions.get(message.kind) ?? 0)) return;
      relayedVersions.set(message.kind, message.changedAt);
      fleet().relay(MESSAGE.CHANGES, message, from.host);
    },
    [MESSAGE.PULL]: (body) => followerOf((body as PullMessage).kind)?.snapshot(),
    [MESSAGE.PROMPT_PARTS]: (body, from) => {
      const message = body as PromptPartsMessage;
      // Several hosts may have told the same; each host passes it on once.
      if (promptParts.applyUpdate(message)) fleet().relay(MESSAGE.PROMPT_PARTS, message, from.host);
    },
    [MESSAGE.UPTIME]: () => sinceStart(),
    [MESSAGE.STOPPING]: (body, from) => {
      const message = body as StoppingMessage;
      recordStopping(message.host);
      fleet().relay(MESSAGE.STOPPING, message, from.host);
    },
    [MESSAGE.CONTENT_RUN]: (body, from) => {
      const message = body as ContentRunMessage;
      promptParts.isolation.applyUpdate(message);
      fleet().relay(MESSAGE.CONTENT_RUN, message, from.host);
    },
  };
}
