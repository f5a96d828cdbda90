/** What the operators have decided that a fleet serves, at one version. */
export interface FleetConfiguration {
  /** Grows with each change, in uneven steps. */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<string, Service>;
  /** Without workspaces no request needs a key. */
  readonly workspaces: readonly Workspace[];
  readonly callerLimits: CallerLimits;
}

/** What may be repeated of a request. */
export const ROUTE_KIND = {
  /** May run more than once. */
  IDEMPOTENT: 'idempotent',
  /** May run once at most. */
  ONCE: 'once',
  /** Answers with a stream of events; may run once at most unless it is resumable. */
  STREAM: 'stream',
} as const;

/** One of {@link ROUTE_KIND}. */
export type RouteKind = (typeof ROUTE_KIND)[keyof typeof ROUTE_KIND];

/** A service and its part of a route's requests. */
export interface RouteShare {
  readonly service: string;
  /** Relative to the other shares of the route. */
  readonly weight: number;
}

/** Where requests of a path go. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Longest time that a request may be kept waiting. */
  readonly timeoutMilliseconds: number;
  /** Time within which an answer, or the first event of a stream, counts as in time. */
  readonly objectiveMilliseconds: number;
  /** Time after which callers give up that have received nothing. */
  readonly patienceMilliseconds: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly shares: readonly RouteShare[];
  /** Servers to which one request may be sent. */
  readonly attempts: number;
  /** Needs no key. */
  readonly open: boolean;
  /** A stream that may go on at another server. */
  readonly resumable: boolean;
}

/** A group of like servers. */
export interface Service {
  readonly name: string;
  /** Connections that each server accepts from all hosts together. */
  readonly connectionsPerServer: number;
  /** Present where the servers run models. */
  readonly engine?: EngineProfile;
}

/** What the servers of a service can hold. */
export interface EngineProfile {
  /** Requests that a server runs at once. */
  readonly slots: number;
  /** Tokens that a server keeps in memory for running requests and cached prompts. */
  readonly cacheTokens: number;
  /** Memory for models and adapters together, in megabytes. */
  readonly weightsMegabytes: number;
  readonly adapterSlots: number;
  /** Loads out of the weight store that may begin each second, over all servers. */
  readonly coldLoadsPerSecond: number;
  readonly models: ReadonlyMap<string, ModelProfile>;
}

/** A model that a service may load. */
export interface ModelProfile {
  readonly name: string;
  readonly megabytes: number;
  readonly adapterMegabytes: number;
  /** Time of a load out of the weight store. */
  readonly coldMilliseconds: number;
  /** Time of a load from the server's disk. */
  readonly diskMilliseconds: number;
  /** Time of a load from the server's main memory. */
  readonly memoryMilliseconds: number;
}

/** Who sends requests, and how many. */
export interface Workspace {
  readonly name: string;
  readonly keys: readonly string[];
  /** Takes precedence over the route's where present. */
  readonly priority?: number;
  /** Absent where the workspace has no limit. */
  readonly quota?: Quota;
}

/** Rate and burst of a workspace over all hosts together. */
export interface Quota {
  readonly perSecond: number;
  readonly burst: number;
  /** Whether tokens are counted, or requests. */
  readonly countsTokens: boolean;
  /** Tokens that a request counts which does not say how many it needs. */
  readonly plainTokens: number;
}

/** What callers may send and how long they may take. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerMilliseconds: number;
  readonly idleMilliseconds: number;
}
