/** Queue of one host, in which requests wait for a place at a server. */
import type { Clock, Stop } from '@bulrushspar/clock';
import type { Refusal } from '@bulrushspar/errors';
import { createAgeing } from './ageing.js';
import {
  DECISION,
  decide,
  estimateWaitMilliseconds,
  REFUSAL_CAUSE,
  type Decision,
} from './decide.js';
import { groupKeyOf, isOfGroup, type Entry, type PlaceRequest } from './entry.js';
import { createKnowledge, drawServer, type FleetKnowledge } from './knowledge.js';
import { createFairLine } from './line.js';
import { createPriorityMix } from './mix.js';
import { createFullRefusal } from './refusal.js';
import { createReleases } from './releases.js';
import { createHeldPlaces, type HeldPlace } from './use.js';
import { encodeWaitingKey, rankOf, type RequestGroup, type WaitingCounts } from './waiting.js';

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
export interface AdmissionQueueOptions extends FleetKnowledge {
  readonly clock: Clock;
  /** @returns a number from 0 up to but not including 1 */
  readonly random: () => number;
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

/** Creates the queue of a host on which nothing waits. */
export function createAdmissionQueue(options: AdmissionQueueOptions): AdmissionQueue {
  const { clock, random } = options;
  const now = (): number => clock.monotonic();
  const held = createHeldPlaces(now);
  const releases = createReleases({ now, random });
  const ageing = createAgeing(now);
  const mix = createPriorityMix(now);
  const line = createFairLine<Entry>(({ rank }) => rank);
  const knowledge = createKnowledge({ ...options, now, line, held, mix });
  let cancelTimer: Stop | undefined;
  let isChecking = false;

  const decideOn = (entry: Entry): Decision =>
    decide({
      candidates: knowledge.describeCandidates(entry),
      boundMilliseconds: entry.boundAt - now(),
      remainingMilliseconds: entry.deadlineAt - now(),
      mayOvertake: ageing.mayOvertake(),
    });

  /** @returns whether the entry got one of the servers */
  const tryGrant = (entry: Entry, isAllowed: (server: string) => boolean): boolean => {
    const server = entry.request.select(isAllowed);
    if (server === undefined) return false;
    const others = [...line.entries()].filter(({ servers }) => servers.includes(server));
    if (others.some(({ rank }) => rank < entry.rank)) ageing.recordOvertaking();
    else if (others.some(({ rank }) => rank > entry.rank)) ageing.recordUrgent();
    mix.recordSent(entry.request);
    entry.grant(server);
    return true;
  };

  const refreshEntries = (): void => {
    knowledge.refresh();
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
        const rates = first ? knowledge.computeRates(first) : [];
        const sum = rates.reduce((total, { perSecond }) => total + perSecond, 0);
        if (!releases.take(key, Math.max(0, sum))) return;
        const entry = ageing.choose(line, waits, first!);
        const drawn = drawServer(rates, random());
        if (!tryGrant(entry, (server) => server === drawn)) skipped.add(entry);
      }
    });
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
    excess.refuse(
      REFUSAL_CAUSE.TOO_MANY,
      estimateWaitMilliseconds(knowledge.describeCandidates(excess)),
    );
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
