/** One version of the configuration of a fleet: its routes, services, workspaces and limits. */
export interface FleetConfiguration {
  /** Increases with each change, not necessarily by 1. */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<string, Service>;
  /** If empty, no request needs a key. */
  readonly workspaces: readonly Workspace[];
  readonly callerLimits: CallerLimits;
}

/** Whether requests of a route may be retried. */
export const ROUTE_KIND = {
  /** May be executed more than once. */
  IDEMPOTENT: 'idempotent',
  /** Executed at most once. */
  ONCE: 'once',
  /** Answers with a stream of events; executed at most once unless the route is resumable. */
  STREAM: 'stream',
} as const;

/** One of {@link ROUTE_KIND}. */
export type RouteKind = (typeof ROUTE_KIND)[keyof typeof ROUTE_KIND];

/** A service and the share of a route's requests that it receives. */
export interface RouteShare {
  readonly service: string;
  /** Relative to the weights of the route's other shares. */
  readonly weight: number;
}

/** Rule that maps the requests for a host and path prefix to services. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Longest time that a request may wait for an answer. */
  readonly timeoutMilliseconds: number;
  /** Objective for the time to the answer, or to the first event of a stream. */
  readonly objectiveMilliseconds: number;
  /** Time after which callers that have received nothing disconnect. */
  readonly callerTimeoutMilliseconds: number;
  /** 0 is the highest priority. */
  readonly priority: number;
  readonly shares: readonly RouteShare[];
  /** Maximum number of servers that one request is sent to. */
  readonly attempts: number;
  /** Accepts requests without a key. */
  readonly open: boolean;
  /** An interrupted stream may be resumed on another server. */
  readonly resumable: boolean;
}

/** A group of interchangeable servers. */
export interface Service {
  readonly name: string;
  /** Maximum number of connections to each server, over all hosts. */
  readonly connectionsPerServer: number;
  /** Present if the servers run models. */
  readonly engine?: EngineProfile;
  /** Present if the servers are slow and accept few requests for a time after their start. */
  readonly coldStart?: ColdStart;
}

/** How long a server of a service is cold after its start, and what it accepts meanwhile. */
export interface ColdStart {
  readonly milliseconds: number;
  /** Requests per second that a cold server accepts from all hosts together. */
  readonly requestsPerSecond: number;
}

/** Capacity of each server of a service that runs models. */
export interface EngineProfile {
  /** Requests that a server runs concurrently. */
  readonly slots: number;
  /** Capacity of a server's KV cache for running requests and cached prompts, in tokens. */
  readonly cacheTokens: number;
  /** Total memory for models and adapters, in megabytes. */
  readonly weightsMegabytes: number;
  readonly adapterSlots: number;
  /** Maximum number of loads from the weight store that start per second, over all servers. */
  readonly coldLoadsPerSecond: number;
  readonly models: ReadonlyMap<string, ModelProfile>;
}

/** A model that a service may load. */
export interface ModelProfile {
  readonly name: string;
  readonly megabytes: number;
  readonly adapterMegabytes: number;
  /** Duration of a load from the weight store. */
  readonly coldMilliseconds: number;
  /** Duration of a load from the server's disk. */
  readonly diskMilliseconds: number;
  /** Duration of a load from the server's main memory. */
  readonly memoryMilliseconds: number;
}

/** A workspace with its keys, priority and quota. */
export interface Workspace {
  readonly name: string;
  readonly keys: readonly string[];
  /** Overrides the priority of the route if present. */
  readonly priority?: number;
  /** Absent if the workspace has no limit. */
  readonly quota?: Quota;
}

/** Rate and burst of a workspace, over all hosts. */
export interface Quota {
  readonly ratePerSecond: number;
  readonly burst: number;
  /** True if the unit is tokens, false if it is requests. */
  readonly countsTokens: boolean;
  /** Tokens charged for a request that does not state how many it needs. */
  readonly defaultRequestTokens: number;
}

/** Limits on the size of requests and on the time that callers take to send them. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerMilliseconds: number;
  readonly idleMilliseconds: number;
}
