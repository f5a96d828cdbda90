/** Queue of one host, in which requests wait for a place at a server. */
import type { Clock, Stop } from '@bulrushspar/clock';
import type { Refusal } from '@bulrushspar/errors';
import { createAgeing } from './ageing.js';
import {
  DECISION,
  decide,
  estimateWaitMilliseconds,
  REFUSAL_CAUSE,
  type Candidate,
  type Decision,
  type RefusalCause,
} from './decide.js';
import { countAhead, countElsewhere, sumRanks, type RankCounts } from './demand.js';
import { createFairLine } from './line.js';
import { createFullRefusal } from './refusal.js';
import { createPriorityMix } from './mix.js';
import { createReleases } from './releases.js';
import {
  computeSendRate,
  estimateRequests,
  estimateServiceMilliseconds,
  freeLimitOf,
  limitOf,
  overfullLimitOf,
  type FleetView,
  type ServerView,
  type WaitingDemand,
} from './room.js';
import { createHeldPlaces, type HeldPlace } from './use.js';
import {
  decodeWaiting,
  encodeWaitingKey,
  rankOf,
  type RequestGroup,
  type WaitingCounts,
} from './waiting.js';

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

/** Place of a request at a server. */
export interface Place {
  /** Undefined if no server could run the request; the place then counts nowhere. */
  readonly server: string | undefined;
  readonly waitedMilliseconds: number;
  /** Gives the place back; further calls have no effect. @param wasServed whether the request was run */
  release(wasServed: boolean): void;
}

/** The queue of one host. */
export interface AdmissionQueue {
  /** Resolves to a place as late as possible; rejects with a refusal or with the signal's reason. */
  take(request: PlaceRequest): Promise<Place>;
  /** Numbers of waiting requests, for the other hosts. */
  waiting(): WaitingCounts;
  countWaiting(): number;
  /** Places that are held at servers. */
  countHeld(): number;
  /** Refuses all requests that wait. */
  close(createRefusal: () => Refusal): void;
}

/** Options of {@link createAdmissionQueue}. */
export interface AdmissionQueueOptions {
  readonly clock: Clock;
  /** @returns a number from 0 up to but not including 1 */
  readonly random: () => number;
  readonly fleet: () => FleetView;
  /** @returns the waiting requests of the other hosts, as far as they have told */
  readonly waitingElsewhere: () => WaitingCounts;
  /** @returns the ids of the servers that can run the requests of a group */
  readonly listServers: (group: RequestGroup) => readonly string[];
}

interface Entry {
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

/**
 * Fraction of the time left that a request waits on this host at most; the rest is for a server's own
 * queue, for its run, and for another attempt.
 */
const BOUND_FRACTION = 0.5;
/** Fraction of the service time after which the answer begins, which the objective asks for. */
const FIRST_BYTE_FRACTION = 0.5;
/** Interval at which waiting requests are decided on again; summaries come each 200 ms. */
const RECHECK_MILLISECONDS = 25;
/** Shortest time to the next decision, so that high rates do not keep the host busy. */
const MIN_RECHECK_MILLISECONDS = 2;
/** Requests that wait on one host at most: far more than it receives within their time, 30 to 60. */
const MAX_WAITING = 256;

interface ServerRate {
  readonly id: string;
  /** Negative if the server has too many requests. */
  readonly perSecond: number;
}

const groupKeyOf = ({ service, model }: RequestGroup): string => `${service}|${model}`;

const isOfGroup = ({ request }: Entry, { service, model }: RequestGroup): boolean =>
  request.service === service && request.model === model;

/** Creates the queue of a host on which nothing waits. */
export function createAdmissionQueue(options: AdmissionQueueOptions): AdmissionQueue {
  const { clock, random, fleet, waitingElsewhere } = options;
  const now = (): number => clock.monotonic();
  const held = createHeldPlaces(now);
  const releases = createReleases({ now, random });
  const ageing = createAgeing(now);
  const mix = createPriorityMix(now);
  const line = createFairLine<Entry>(({ rank }) => rank);
  let elsewhere: ReadonlyMap<string, RankCounts> = new Map();
  let cancelTimer: Stop | undefined;
  let isChecking = false;

  const describeCandidate = (entry: Entry, view: ServerView, group: FleetView): Candidate => {
    const own = held.useOf(view);
    const ahead = countAhead(entry, view.id, line.entries());
    const requests = estimateRequests(view, own, group);
    return {
      id: view.id,
      slots: view.slots,
      limit: limitOf(view),
      freeLimit: freeLimitOf(view, own, requests),
      overfullLimit: overfullLimitOf(view),
      requests: requests * mix.shareUpTo(entry.request),
      aheadHere: ahead.all,
      urgentHere: ahead.urgent,
      aheadElsewhere: sumRanks(elsewhere.get(view.id), entry.rank, true),
      urgentElsewhere: sumRanks(elsewhere.get(view.id), entry.rank, false),
      serviceMilliseconds: estimateServiceMilliseconds(
        held.serviceMilliseconds(entry.request.service),
        own,
      ),
    };
  };

  const describeCandidates = (entry: Entry): readonly Candidate[] => {
    const group = fleet();
    return entry.views.map((view) => describeCandidate(entry, view, group));
  };

  const decideOn = (entry: Entry): Decision =>
    decide({
      candidates: describeCandidates(entry),
      boundMilliseconds: entry.boundAt - now(),
      remainingMilliseconds: entry.deadlineAt - now(),
      mayOvertake: ageing.mayOvertake(),
    });

  /** @returns whether the entry got one of the servers */
  const tryGrant = (entry: Entry, isAllowed: (server: string) => boolean): boolean => {
    const server = entry.request.select(isAllowed);
    if (server === undefined) return false;
    const overtakes = [...line.entries()].some(
      (other) => other.rank < entry.rank && other.servers.includes(server),
    );
    const overtaken = [...line.entries()].some(
      (other) => other.rank > entry.rank && other.servers.includes(server),
    );
    if (overtakes) ageing.recordOvertaking();
    else if (overtaken) ageing.recordUrgent();
    mix.recordSent(entry.request);
    entry.grant(server);
    return true;
  };

  const refreshEntries = (): void => {
    const groups = decodeWaiting(waitingElsewhere());
    elsewhere = groups.length === 0 ? new Map() : countElsewhere(groups, options.listServers);
    [...line.entries()].forEach((entry) => {
      const changed = entry;
      changed.views = entry.request.listServers();
      changed.servers = entry.views.map(({ id }) => id);
      const isLate = now() + firstByteMilliseconds(entry) > entry.lateAt;
      const rank = rankOf(entry.request.priority, isLate);
      changed.hasBecomeLate = rank > entry.rank;
      changed.rank = rank;
    });
  };

  const firstByteMilliseconds = ({ request }: Entry): number =>
    held.serviceMilliseconds(request.service) * FIRST_BYTE_FRACTION;

  /** Sends the requests for which a server has room, in order. */
  const grantRoom = (): void => {
    const decided = new Set<Entry>();
    for (;;) {
      const entry = line.first((candidate) => !decided.has(candidate));
      if (!entry) return;
      decided.add(entry);
      applyDecision(entry, decideOn(entry));
    }
  };

  const applyDecision = (entry: Entry, decision: Decision): void => {
    if (decision.kind === DECISION.WAIT) return;
    const isOver = entry.boundAt <= now();
    if (decision.kind === DECISION.REFUSE) {
      if (isOver || entry.hasBecomeLate)
        entry.refuse(decision.cause, decision.expectedMilliseconds);
      return;
    }
    const { servers } = decision;
    if (tryGrant(entry, (id) => servers.has(id))) return;
    // Without a suitable server, the caller's own selection names the reason.
    if (servers.size === 0 || isOver) entry.grant(undefined);
  };

  /** Sends to full servers what this host may send to them by its part of what ends there. */
  const grantReleases = (): void => {
    const groups = new Map<string, RequestGroup>();
    for (const { request } of line.entries()) groups.set(groupKeyOf(request), request);
    releases.retain(new Set(groups.keys()));
    groups.forEach((group, key) => {
      const skipped = new Set<Entry>();
      const waits = (entry: Entry): boolean => isOfGroup(entry, group) && !skipped.has(entry);
      for (;;) {
        const first = line.first(waits);
        const rates = first ? computeRates(first) : [];
        const sum = rates.reduce((total, { perSecond }) => total + perSecond, 0);
        if (!releases.take(key, Math.max(0, sum))) return;
        const entry = ageing.choose(line, waits, first!);
        const drawn = drawServer(rates);
        if (!tryGrant(entry, (server) => server === drawn)) skipped.add(entry);
      }
    });
  };

  /** Returns the rate at which requests of a group may be sent to each server. */
  const computeRates = (first: Entry): readonly ServerRate[] => {
    const group = fleet();
    const { rank, request, views } = first;
    const serviceMilliseconds = held.serviceMilliseconds(request.service);
    const urgentShare = mix.shareUpTo(request);
    return views.map((view) => {
      const use = held.useOf(view);
      const demand = describeDemand(first, view.id, rank);
      return {
        id: view.id,
        perSecond: computeSendRate(view, use, group, demand, { serviceMilliseconds, urgentShare }),
      };
    });
  };

  /**
   * Draws a server in proportion to the rates: all hosts see the same one as the emptiest for a time, and
   * would fill it at once. The better of two drawn ones was worse: it follows the same old counts.
   */
  const drawServer = (rates: readonly ServerRate[]): string | undefined => {
    const positive = rates.filter(({ perSecond }) => perSecond > 0);
    const sum = positive.reduce((total, { perSecond }) => total + perSecond, 0);
    let left = random() * sum;
    return positive.find(({ perSecond }) => {
      left -= perSecond;
      return left < 0;
    })?.id;
  };

  const describeDemand = (first: Entry, server: string, rank: number): WaitingDemand => {
    const others = elsewhere.get(server);
    let own = 0;
    let ofOtherGroups = 0;
    for (const entry of line.entries())
      if (entry.rank === rank && entry.servers.includes(server)) {
        const part = 1 / entry.servers.length;
        if (isOfGroup(entry, first.request)) own += part;
        else ofOtherGroups += part;
      }
    return {
      own,
      elsewhere: ofOtherGroups + (others?.get(rank) ?? 0),
      urgentElsewhere: sumRanks(others, rank, false),
    };
  };

  const schedule = (): void => {
    cancelTimer?.();
    cancelTimer = undefined;
    if (line.size() === 0) return;
    let milliseconds = RECHECK_MILLISECONDS;
    for (const { boundAt, request } of line.entries()) {
      const untilRelease = releases.millisecondsUntil(groupKeyOf(request));
      milliseconds = Math.min(milliseconds, boundAt - now(), untilRelease);
    }
    cancelTimer = clock.after(Math.max(MIN_RECHECK_MILLISECONDS, milliseconds), recheck);
  };

  const recheck = (): void => {
    // A place that is given back while requests are decided on is seen by the next decision.
    if (isChecking || line.size() === 0) return;
    isChecking = true;
    try {
      refreshEntries();
      grantRoom();
      grantReleases();
    } finally {
      isChecking = false;
      schedule();
    }
  };

  const createPlace = ({ request, arrivedAt }: Entry, server: string | undefined): Place => {
    const place: HeldPlace = { service: request.service, takenAt: now() };
    if (server !== undefined) held.add(server, place);
    let isReleased = false;
    return {
      server,
      waitedMilliseconds: now() - arrivedAt,
      release: (wasServed) => {
        if (isReleased) return;
        isReleased = true;
        line.removeRequest(request.workspace);
        if (server === undefined) return;
        held.remove(server, place);
        if (wasServed) held.recordServed(place);
        recheck();
      },
    };
  };

  /** Refuses the last request of the workspace that has the most in the highest rank. */
  const refuseExcess = (): void => {
    const entries = [...line.entries()];
    const last = Math.max(...entries.map(({ rank }) => rank));
    const ofRank = entries.filter(({ rank }) => rank === last);
    const countOf = (workspace: string): number =>
      ofRank.filter((entry) => entry.workspace === workspace).length;
    const excess = ofRank.reduce((most, entry) =>
      countOf(entry.workspace) >= countOf(most.workspace) ? entry : most,
    );
    excess.refuse(REFUSAL_CAUSE.TOO_MANY, estimateWaitMilliseconds(describeCandidates(excess)));
  };

  /** Refuses a request at its arrival if the requests before it leave it no time. */
  const refuseIfTooLate = (entry: Entry): void => {
    if (!line.has(entry)) return;
    const decision = decideOn(entry);
    if (decision.kind === DECISION.REFUSE)
      entry.refuse(decision.cause, decision.expectedMilliseconds);
    else if (line.size() > MAX_WAITING) refuseExcess();
  };

  const createEntry = (
    request: PlaceRequest,
    resolve: (place: Place) => void,
    reject: (reason: unknown) => void,
  ): Entry => {
    const { workspace, weight, signal } = request;
    const onAbort = (): void => entry.fail(signal.reason);
    const leave = (): boolean => {
      signal.removeEventListener('abort', onAbort);
      return line.remove(entry);
    };
    const end = (reason: unknown): void => {
      if (!leave()) return;
      line.removeRequest(workspace);
      reject(reason);
    };
    const entry: Entry = {
      workspace,
      weight,
      request,
      arrivedAt: now(),
      lateAt: now() + request.objectiveMilliseconds,
      boundAt: now() + request.remainingMilliseconds * BOUND_FRACTION,
      deadlineAt: now() + request.remainingMilliseconds,
      rank: rankOf(request.priority, false),
      hasBecomeLate: false,
      views: [],
      servers: [],
      grant: (server) => {
        if (!leave()) return;
        line.charge(entry, request.expectedTokens);
        resolve(createPlace(entry, server));
      },
      refuse: (cause, expectedMilliseconds) =>
        end(createFullRefusal({ service: request.service, cause, expectedMilliseconds, random })),
      fail: end,
    };
    signal.addEventListener('abort', onAbort, { once: true });
    return entry;
  };

  return {
    take: async (request) => {
      if (request.signal.aborted) throw request.signal.reason as Refusal;
      return new Promise((resolve, reject) => {
        const entry = createEntry(request, resolve, reject);
        line.addRequest(request.workspace);
        line.add(entry);
        recheck();
        refuseIfTooLate(entry);
      });
    },
    waiting: () => {
      const counts: Record<string, number> = {};
      for (const { request, rank } of line.entries()) {
        const key = encodeWaitingKey(request, rank);
        counts[key] = (counts[key] ?? 0) + 1;
      }
      return counts;
    },
    countWaiting: line.size,
    countHeld: held.count,
    close: (createRefusal) => [...line.entries()].forEach(({ fail }) => fail(createRefusal())),
  };
}
