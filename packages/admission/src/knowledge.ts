/** What a host knows of the servers, of its own waiting requests and of those of the other hosts. */
import type { Candidate } from './decide.js';
import { countAhead, countElsewhere, sumRanks, type RankCounts } from './demand.js';
import { isOfGroup, type Entry } from './entry.js';
import type { FairLine } from './line.js';
import type { PriorityMix } from './mix.js';
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
import type { HeldPlaces } from './use.js';
import { decodeWaiting, type RequestGroup, type WaitingCounts } from './waiting.js';

/** What the other hosts have told this one. */
export interface FleetKnowledge {
  readonly fleet: () => FleetView;
  /** @returns the waiting requests of the other hosts, as far as they have told */
  readonly waitingElsewhere: () => WaitingCounts;
  /** @returns the ids of the servers that can run the requests of a group */
  readonly listServers: (group: RequestGroup) => readonly string[];
}

/** Options of {@link createKnowledge}. */
export interface KnowledgeOptions extends FleetKnowledge {
  readonly now: () => number;
  readonly line: FairLine<Entry>;
  readonly held: HeldPlaces;
  readonly mix: PriorityMix;
}

/** Requests per second that this host may send to a server. */
export interface ServerRate {
  readonly id: string;
  /** Negative if the server has too many requests. */
  readonly perSecond: number;
}

/** The knowledge of one host. */
export interface Knowledge {
  /** Takes over what the other hosts have told. */
  refresh(): void;
  describeCandidates(entry: Entry): readonly Candidate[];
  /**
   * Returns the rates at which requests of a group may be sent.
   * @param first the request of the group that comes first
   */
  computeRates(first: Entry): readonly ServerRate[];
}

/** Age up to which the counts of other hosts are not read again; new ones come each 200 ms. */
const MAX_AGE_MILLISECONDS = 50;

/** Creates the knowledge of a host that has received no state of others. */
export function createKnowledge(options: KnowledgeOptions): Knowledge {
  const { now, line, held, mix } = options;
  let group: FleetView = { hosts: 1, linkedFraction: 1 };
  let elsewhere: ReadonlyMap<string, RankCounts> = new Map();
  let refreshedAt = -Infinity;

  const describeCandidate = (entry: Entry, view: ServerView): Candidate => {
    const { request, rank } = entry;
    const own = held.useOf(view);
    const ahead = countAhead(entry, view.id, line.entries());
    const requests = estimateRequests(view, own, group);
    return {
      id: view.id,
      slots: view.slots,
      limit: limitOf(view),
      freeLimit: freeLimitOf(view, own, requests),
      overfullLimit: overfullLimitOf(view),
      requests: requests * mix.shareUpTo(request),
      aheadHere: ahead.all,
      urgentHere: ahead.urgent,
      aheadElsewhere: sumRanks(elsewhere.get(view.id), rank, true),
      urgentElsewhere: sumRanks(elsewhere.get(view.id), rank, false),
      serviceMilliseconds: estimateServiceMilliseconds(
        held.serviceMilliseconds(request.service),
        own,
      ),
    };
  };

  const describeDemand = (first: Entry, server: string): WaitingDemand => {
    const { rank, request } = first;
    const others = elsewhere.get(server);
    let own = 0;
    let ofOtherGroups = 0;
    for (const entry of line.entries())
      if (entry.rank === rank && entry.servers.includes(server)) {
        const part = 1 / entry.servers.length;
        if (isOfGroup(entry, request)) own += part;
        else ofOtherGroups += part;
      }
    return {
      own,
      elsewhere: ofOtherGroups + (others?.get(rank) ?? 0),
      urgentElsewhere: sumRanks(others, rank, false),
    };
  };

  return {
    refresh: () => {
      if (now() - refreshedAt < MAX_AGE_MILLISECONDS) return;
      refreshedAt = now();
      group = options.fleet();
      const groups = decodeWaiting(options.waitingElsewhere());
      elsewhere = groups.length === 0 ? new Map() : countElsewhere(groups, options.listServers);
    },
    describeCandidates: (entry) => entry.views.map((view) => describeCandidate(entry, view)),
    computeRates: (first) => {
      const usual = {
        serviceMilliseconds: held.serviceMilliseconds(first.request.service),
        urgentShare: mix.shareUpTo(first.request),
      };
      return first.views.map((view) => {
        const demand = describeDemand(first, view.id);
        const perSecond = computeSendRate(view, held.useOf(view), group, demand, usual);
        return { id: view.id, perSecond };
      });
    },
  };
}

/**
 * Draws a server in proportion to the rates: all hosts see the same one as the emptiest for a time, and would
 * fill it at once. The better of two drawn ones was worse in trials: it follows the same old counts.
 * @param random a number from 0 up to but not including 1
 */
export function drawServer(rates: readonly ServerRate[], random: number): string | undefined {
  const positive = rates.filter(({ perSecond }) => perSecond > 0);
  const sum = positive.reduce((total, { perSecond }) => total + perSecond, 0);
  let left = random * sum;
  return positive.find(({ perSecond }) => {
    left -= perSecond;
    return left < 0;
  })?.id;
}
