import type { WaitingCounts } from '@bulrushspar/admission';
import type { ServerDeparture } from '@bulrushspar/catalogue';
import type { ColdLoad, Outlook, Want } from '@bulrushspar/loading';
import type { PromptPartUpdate, RunUpdate } from '@bulrushspar/routing';
import type { BegunStream, ColdUpdate, LimitUpdate, SlownessMessage } from '@bulrushspar/serving';
import type { Incarnation, ObjectChange, StoredObject } from '@bulrushspar/store';
import type { LostEvacuation } from './evacuations.js';
import type { RunningRequests } from './totals.js';
import type { VersionsUpdate } from './versions.js';

/** Types of the messages between the hosts of a fleet. */
export const MESSAGE = {
  /** Quota usage and running requests of the sender; sent periodically over its links. */
  STATE: 'state',
  /** States of a hub and its members; sent periodically to the other hubs. */
  STATES: 'states',
  /** Sums of the states of all hosts; sent by hubs to hosts that are not linked to every host. */
  SUMMARY: 'summary',
  /** A message for hosts that the sender has no link to; hubs forward it. */
  FORWARD: 'forward',
  /** Like {@link MESSAGE.FORWARD}, for a request that is answered. */
  FORWARD_REQUEST: 'forward-request',
  /** Models that requests of the sender wait for; sent to the leader, which orders the loads. */
  WANTS: 'wants',
  /** Expected time until wanted models are ready; sent by the leader. */
  OUTLOOK: 'outlook',
  /** Requests that the leader has an adapter loaded. */
  ADAPTER: 'adapter',
  /** A server is about to unload a model; sent by the leader. */
  UNLOADING: 'unloading',
  /** A server has sent the first event of a stream, while a service has several versions. */
  BEGUN: 'begun',
  /** The record of the software versions has changed. */
  VERSIONS: 'versions',
  /** A server has told the sender that it is leaving. */
  DEPARTURE: 'departure',
  /** A server has named a limit on the requests of all hosts, or has answered without one. */
  LIMIT: 'limit',
  /** Evacuations that the sender obeys although the restored store lacks them. */
  LOST_EVACUATIONS: 'lost-evacuations',
  /** A server has told that it is cold, or stays so for longer. */
  COLD: 'cold',
  /** Requests a reservation at a server that has named a limit; sent to the leader. */
  RESERVATION: 'reservation',
  /** Changes to the objects of a kind; sent by the hosts that watch the store. */
  CHANGES: 'changes',
  /** Requests all objects of a kind. */
  PULL: 'pull',
  /** A server crashed while it ran prompt parts, or prompt parts were served since. */
  PROMPT_PARTS: 'prompt-parts',
  /** A server runs a content on which servers may crash, or the run has ended. */
  CONTENT_RUN: 'content-run',
  /** Requests the time for which the process of a host has run, in milliseconds. */
  UPTIME: 'uptime',
  /** The sender is stopping, and opens no more connections for other hosts. */
  STOPPING: 'stopping',
} as const;

/** A host's report on its lease for orders. */
export interface OrderLease {
  readonly fencing: number;
  /** The host sends no more orders under this fencing number. */
  readonly over: boolean;
  /**
   * Milliseconds since the host's last order or, if its term has ended within its handover, the one of
   * the host before it; absent if there was none.
   */
  readonly sinceOrder?: number | undefined;
  /**
   * Milliseconds since the last order, by server; present once the term is over. Servers without an
   * order within the handover time are left out.
   */
  readonly sinceOrderAt?: Readonly<Record<string, number>> | undefined;
  /** Number of concurrent cold loads that the leader has learnt; absent if it has learnt none. */
  readonly coldLoadLimit?: number | undefined;
  /** Loads from the weight store that servers executed when the host sent the report. */
  readonly coldLoads?: readonly ColdLoad[] | undefined;
}

/** Digest and greatest rank of the objects of each kind. */
export type ViewDetails = Readonly<Record<string, readonly [digest: string, rank: number]>>;

/** Body of {@link MESSAGE.STATE}. */
export interface HostState {
  /** Increases with each state of a process; a lower one has been overtaken on another path. */
  readonly sequence: number;
  /** Tokens taken from quotas since the start of the host, by workspace. */
  readonly taken: Readonly<Record<string, number>>;
  readonly running: RunningRequests;
  /** Credit of the requests received since the last state, by model. */
  readonly asked: Readonly<Record<string, number>>;
  /** Requests that wait for a place at a server, by group and rank; absent if none does. */
  readonly waiting?: WaitingCounts;
  /** The host's lease for orders; absent if it has never held it. */
  readonly orders?: OrderLease;
  /** Version at which each followed kind last changed. */
  readonly seen: Readonly<Record<string, number>>;
  /** Digests and ranks of the followed kinds. */
  readonly views?: ViewDetails;
  /** Slowness of servers that the host has observed; absent if there is nothing to tell. */
  readonly slow?: SlownessMessage | undefined;
  /** Kinds that the host watches in the store, with a recent answer. */
  readonly watches: readonly string[];
  /** How often the host needs summaries from the receiver; absent if it needs none. */
  readonly summaries?: SummaryRate;
}

/** State of one host, as passed on by its hub. */
export interface RelayedState extends Incarnation {
  /** Milliseconds since the hub received the state. */
  readonly age: number;
  readonly state: HostState;
}

/** Body of {@link MESSAGE.STATES}. */
export type StatesMessage = readonly RelayedState[];

/** Body of {@link MESSAGE.FORWARD}. */
export interface ForwardMessage extends Incarnation {
  /** Hosts that the message is for; `host` and `incarnation` name the host that wrote it. */
  readonly to: readonly string[];
  readonly type: string;
  readonly body: unknown;
}

/** Body of {@link MESSAGE.FORWARD_REQUEST}, to one host. */
export interface ForwardedRequest extends ForwardMessage {
  /** Time in which the answer is needed. */
  readonly milliseconds: number;
}

/** How often a hub sends summaries to a host. */
export const SUMMARY_RATE = {
  /** In answer to each state: this hub is the primary hub of the host. */
  OFTEN: 'often',
  /** At a longer interval, so that this hub can replace the primary hub. */
  SELDOM: 'seldom',
} as const;

/** Value of {@link SUMMARY_RATE}. */
export type SummaryRate = (typeof SUMMARY_RATE)[keyof typeof SUMMARY_RATE];

/** Body of {@link MESSAGE.SUMMARY}; the sums exclude the receiver's own reports. */
export interface FleetSummary {
  /** Number of hosts that report to the hub, the hub included. */
  readonly hosts: number;
  /** Tokens taken from quotas since the start of the hub, by workspace. */
  readonly taken: Readonly<Record<string, number>>;
  /** Running requests, by server. */
  readonly running: Readonly<Record<string, number>>;
  /** Slowness of servers that any host has observed; absent if there is nothing to tell. */
  readonly slow?: SlownessMessage | undefined;
  /** Requests that wait for a place at a server, by group and rank; absent if none does. */
  readonly waiting?: WaitingCounts;
  /** The lease for orders with the highest known fencing number. */
  readonly orders?: ReportedLease;
  /** Version at which each followed kind last changed. */
  readonly seen: Readonly<Record<string, number>>;
  /** Digests and ranks of the followed kinds. */
  readonly views?: ViewDetails;
  /** Names of the hosts that watch the store, by kind. */
  readonly watchers: Readonly<Record<string, readonly string[]>>;
  /** Hosts that should be hubs and are not reachable for this one. */
  readonly unreachable?: readonly string[];
}

/** A report on the lease for orders, with the host that sent it. */
export interface ReportedLease extends OrderLease {
  readonly host: string;
  /** Milliseconds since the host sent the report. */
  readonly age: number;
}

/** Part of a broadcast that hubs pass on. */
export interface Relayed {
  /** A hub has passed the broadcast on to the other hubs already. */
  readonly isRelayed?: boolean;
}

/** Body of {@link MESSAGE.UNLOADING}. */
export interface UnloadingMessage extends Relayed {
  readonly server: string;
  readonly model: string;
}

/** Body of {@link MESSAGE.DEPARTURE}. */
export type DepartureMessage = ServerDeparture & Relayed;

/** Body of {@link MESSAGE.LIMIT}. */
export type LimitMessage = LimitUpdate & Relayed;

/** Body of {@link MESSAGE.LOST_EVACUATIONS}. */
export type LostEvacuationsMessage = readonly LostEvacuation[];

/** Body of {@link MESSAGE.COLD}. */
export type ColdMessage = ColdUpdate & Relayed;

/** Body of {@link MESSAGE.BEGUN}. */
export type BegunMessage = BegunStream & Relayed;

/** Body of {@link MESSAGE.VERSIONS}. */
export type VersionsMessage = VersionsUpdate & Relayed;

/** Body of {@link MESSAGE.CHANGES}. */
export interface ChangesMessage extends Relayed {
  readonly kind: string;
  /** Version of the view to which the changes apply. */
  readonly since: number;
  readonly changedAt: number;
  readonly changes: readonly ObjectChange[];
  /** Longest time since the changes were made, in milliseconds; absent in messages of older builds. */
  readonly age?: number;
}

/** Body of {@link MESSAGE.WANTS}. */
export type WantsMessage = readonly Want[];

/** Body of {@link MESSAGE.OUTLOOK}. */
export type OutlookMessage = readonly Outlook[];

/** Body of {@link MESSAGE.ADAPTER}. */
export interface AdapterMessage {
  readonly server: string;
  readonly model: string;
  readonly adapter: string;
}

/** Body of {@link MESSAGE.PULL}. */
export interface PullMessage {
  readonly kind: string;
}

/** Answer to {@link MESSAGE.PULL}. */
export interface PullAnswer {
  readonly changedAt: number;
  readonly objects: readonly StoredObject[];
  /** The store has recovered recently, so that entries may still be missing. */
  readonly afterOutage: boolean;
}

/** Body of {@link MESSAGE.PROMPT_PARTS}. */
export type PromptPartsMessage = PromptPartUpdate & Relayed;

/** Body of {@link MESSAGE.STOPPING}. */
export interface StoppingMessage extends Relayed {
  readonly host: string;
}

/** Body of {@link MESSAGE.CONTENT_RUN}. */
export type ContentRunMessage = RunUpdate & Relayed;
