/** Requests that wait for a place on one host. */
import type { RefusalCause } from './decide.js';
import type { ServerView } from './room.js';
import type { RequestGroup } from './waiting.js';

/** A request that asks for a place at a server. */
export interface PlaceRequest extends RequestGroup {
  readonly workspace: string;
  /** Share of the workspace relative to others while requests wait. */
  readonly weight: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Expected cost of the request in tokens; 1 if it is not known. */
  readonly expectedTokens: number;
  /** Time left until its objective is missed. */
  readonly objectiveMilliseconds: number;
  /** Time left until it must be answered. */
  readonly remainingMilliseconds: number;
  readonly signal: AbortSignal;
  /** @returns the servers that could run the request now */
  readonly listServers: () => readonly ServerView[];
  /** Selects one of the allowed servers. @returns its id; undefined if none is suitable after all */
  readonly select: (isAllowed: (server: string) => boolean) => string | undefined;
}

/** A request in the queue. */
export interface Entry {
  readonly workspace: string;
  readonly weight: number;
  readonly request: PlaceRequest;
  readonly arrivedAt: number;
  readonly lateAt: number;
  /** Time until which it may wait on this host. */
  readonly boundAt: number;
  readonly deadlineAt: number;
  rank: number;
  /** Whether it has just missed its objective, so that fewer requests come after it. */
  hasBecomeLate: boolean;
  views: readonly ServerView[];
  servers: readonly string[];
  readonly grant: (server: string | undefined) => void;
  readonly refuse: (cause: RefusalCause, expectedMilliseconds: number) => void;
  readonly fail: (reason: unknown) => void;
}

/** @returns the key of the requests that the same servers can run */
export const groupKeyOf = ({ service, model }: RequestGroup): string => `${service}|${model}`;

/** @returns whether the same servers can run a request as those of a group */
export const isOfGroup = ({ request }: Entry, { service, model }: RequestGroup): boolean =>
  request.service === service && request.model === model;
