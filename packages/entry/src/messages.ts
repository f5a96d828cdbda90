import type { Outlook, Want } from '@bulrushspar/loading';
import type { SuspectNews } from '@bulrushspar/routing';
import type { ObjectChange, StoredObject } from '@bulrushspar/store';
import type { RunningRequests } from './totals.js';

/** Messages between the hosts of a fleet. */
export const MESSAGE = {
  /** What a host has taken and runs; sent over all its links. */
  STATE: 'state',
  /** The same summed over all hosts; sent by hubs to hosts that are not linked with all. */
  SUMMARY: 'summary',
  /** What a host's requests wait for; sent to the giver of orders. */
  WANTS: 'wants',
  /** When wanted models will be ready; sent by the giver of orders. */
  OUTLOOK: 'outlook',
  /** Asks the giver of orders for an adapter. */
  ADAPTER: 'adapter',
  /** A server is about to unload a model; sent by the giver of orders. */
  UNLOADING: 'unloading',
  /** Changes of a kind's objects; sent by the hosts that watch the store. */
  CHANGES: 'changes',
  /** Asks for all objects of a kind. */
  PULL: 'pull',
  /** A request that a server crashed under. */
  SUSPECT: 'suspect',
} as const;

/** What a host says about its lease to give orders. */
export interface OrderLease {
  readonly fencing: number;
  /** The host gives no more orders under this fencing number. */
  readonly over: boolean;
  /** Milliseconds since the host's last order; absent where it gave none. */
  readonly sinceOrder?: number | undefined;
  /** The same by server, once the duty is over; a server that is left out had none lately. */
  readonly sinceOrderAt?: Readonly<Record<string, number>> | undefined;
}

/** Body of {@link MESSAGE.STATE}. */
export interface HostState {
  /** Quota taken since the start of the host, by workspace. */
  readonly taken: Readonly<Record<string, number>>;
  readonly running: RunningRequests;
  /** Credit asked for since the last state, by model. */
  readonly asked: Readonly<Record<string, number>>;
  /** The host's lease to give orders, if it holds it or held it last. */
  readonly orders?: OrderLease;
  /** Version at which each followed kind last changed. */
  readonly seen: Readonly<Record<string, number>>;
  /** Kinds that the host watches in the store, and whose watch was answered lately. */
  readonly watches: readonly string[];
  /** How often the host needs summaries from the other end; absent where it needs none. */
  readonly summaries?: SummaryRate;
}

/** How often a host needs the summaries of a hub. */
export const SUMMARY_RATE = {
  /** At each state: the host counts on this hub. */
  OFTEN: 'often',
  /** Now and then, so that this hub can take the place of the other one. */
  SELDOM: 'seldom',
} as const;

/** One of {@link SUMMARY_RATE}. */
export type SummaryRate = (typeof SUMMARY_RATE)[keyof typeof SUMMARY_RATE];

/** Body of {@link MESSAGE.SUMMARY}; it leaves out what the receiver itself has told. */
export interface FleetSummary {
  /** Hosts that the hub hears, itself included. */
  readonly hosts: number;
  /** Quota taken since the hub's start, by workspace. */
  readonly taken: Readonly<Record<string, number>>;
  /** Requests that run now, by server. */
  readonly running: Readonly<Record<string, number>>;
  /** The newest lease to give orders, if any is known. */
  readonly orders?: LeaseOfHost;
  /** Version at which each followed kind last changed. */
  readonly seen: Readonly<Record<string, number>>;
  /** Hosts that watch the store, by kind. */
  readonly watchers: Readonly<Record<string, readonly string[]>>;
}

/** A lease to give orders with its holder. */
export interface LeaseOfHost extends OrderLease {
  readonly host: string;
  /** Milliseconds since the holder last said so. */
  readonly age: number;
}

/** Body of {@link MESSAGE.UNLOADING}. */
export interface UnloadingMessage {
  readonly server: string;
  readonly model: string;
}

/** Body of {@link MESSAGE.CHANGES}. */
export interface ChangesMessage {
  readonly kind: string;
  /** Version that the changes follow. */
  readonly since: number;
  readonly changedAt: number;
  readonly changes: readonly ObjectChange[];
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
  /** The store came back so lately that entries may be missing that return. */
  readonly afterOutage: boolean;
}

/** Body of {@link MESSAGE.SUSPECT}. */
export type SuspectMessage = SuspectNews;
