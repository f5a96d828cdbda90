/** Chooses one of many servers by the room that is expected there and by the completion of the request. */

import { createFigures, growFigures, type Figures } from './figures.js';

/** Options of one choice. */
export interface ChoiceOptions {
  /** Age of what is known about the servers, in milliseconds. */
  readonly ageMilliseconds: number;
  /** Usual time for which a request is at a server, in milliseconds. */
  readonly holdingMilliseconds: number;
  /** @returns a number from 0 up to but not including 1 */
  readonly random: () => number;
}

/** One choice at a time: `begin`, `add` for each server that can run the request, `choose`. */
export interface ServerChoice {
  begin(): void;
  /**
   * Adds a server.
   * @param requests requests there; -1 if unknown
   * @param slots requests that it runs at a time
   * @param slowness duration of work there relative to the usual one
   * @param ownMilliseconds expected work of this request there beside the usual, at usual speed
   * @param extraMilliseconds expected delay that does not depend on the server's speed
   */
  add(
    requests: number,
    slots: number,
    slowness: number,
    ownMilliseconds: number,
    extraMilliseconds: number,
  ): void;
  /** @returns the place, in the order of addition, of the chosen server; -1 if there is none */
  choose(options: ChoiceOptions): number;
}

/** Servers for which there is place at first. */
const FIRST_LIMIT = 64;
/** Passes of the search for the level; each excludes the servers above the level of the one before. */
const MAX_LEVEL_PASSES = 4;
/** Part of the level of a pass from which the next pass would hardly change it. */
const ENOUGH = 0.99;
/** Servers that are compared if what is known is old, so that a slow one is seldom chosen. */
const MIN_COMPARED_SERVERS = 2;
/** Servers that are compared if no other host has sent anything since; more hardly find a better one. */
const MAX_COMPARED_SERVERS = 8;
/** Arrivals at a server, while what is known grew old, up to which its load counts in full. */
const FRESH_ARRIVALS = 0.1;
/** Difference below which the first of two sampled servers is kept; estimates are not better than this. */
const TIE_MILLISECONDS = 5;
/** Room that a server above the level keeps, so that it is not left out because of an old report. */
const LEAST_ROOM = 1e-9;
/** Load above the common level up to which a server is preferred for what it holds of the request. */
const AFFINITY_LOAD_BOUND = 1.25;
/** Difference of the own work from which a server counts as one that holds something of the request. */
const AFFINITY_MILLISECONDS = 10;

/**
 * Utilization that a server without a figure is assumed to have at most, so that the only server of which
 * a host knows is not as good as the others when it is full.
 */
const MAX_ASSUMED_UTILIZATION = 0.5;

/** Places of the sums over all servers of one choice. */
const SUM = {
  REQUESTS: 0,
  CAPACITY: 1,
  SPARE_CAPACITY: 2,
  UNKNOWN_CAPACITY: 3,
  LEAST_WORK: 4,
  MOST_WORK: 5,
} as const;

/**
 * Returns the utilization that all servers would have if the arrivals filled the emptiest first, as
 * hosts that divide them by room do together.
 * @param first utilization if the arrivals were spread evenly
 */
function findLevel(
  requests: Float64Array,
  capacity: Float64Array,
  size: number,
  arrivals: number,
  first: number,
): number {
  let level = first;
  for (let pass = 1; pass < MAX_LEVEL_PASSES; pass += 1) {
    let taken = arrivals;
    let total = 0;
    for (let place = 0; place < size; place += 1) {
      if (requests[place]! <= level * capacity[place]!) {
        taken += requests[place]!;
        total += capacity[place]!;
      }
    }
    const next = taken / total;
    if (next >= level * ENOUGH) return Math.min(level, next);
    level = next;
  }
  return level;
}

/**
 * Expected time until the request is complete. The load counts in it as far as it is still what it was
 * when it was told; by then room alone decides between servers of the same speed.
 */
function estimateCompletion(
  { requests, slots, slowness, work, extra }: Figures,
  place: number,
  holding: number,
  loadWeight: number,
): number {
  const atServer = requests[place]! + 1;
  const places = slots[place]!;
  const shared = Math.min(1, atServer / places);
  const wait = Math.max(0, atServer - places) / places;
  const load = holding * (shared + wait) * loadWeight;
  return slowness[place]! * (work[place]! + holding + load) + extra[place]!;
}

/** Samples a server by its room: the first whose sum with those before it exceeds a number. */
function findByRoom(roomUpTo: Float64Array, size: number, drawn: number): number {
  let low = 0;
  let high = size - 1;
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    if (roomUpTo[middle]! > drawn) high = middle;
    else low = middle + 1;
  }
  return low;
}

/**
 * Samples by its room one of the servers that hold most of the request and are not far above the level.
 * @returns -1 if all servers hold the same
 */
function sampleHolder(
  { requests, work, roomUpTo }: Figures,
  capacity: Float64Array,
  size: number,
  level: number,
  random: () => number,
): number {
  let least = Infinity;
  const most = level * AFFINITY_LOAD_BOUND;
  for (let place = 0; place < size; place += 1) {
    if (work[place]! < least && requests[place]! <= most * capacity[place]!) least = work[place]!;
  }
  const bound = least + AFFINITY_MILLISECONDS;
  if (bound === Infinity) return -1;
  const roomAt = (place: number): number =>
    place === 0 ? roomUpTo[0]! : roomUpTo[place]! - roomUpTo[place - 1]!;
  let total = 0;
  for (let place = 0; place < size; place += 1) {
    if (work[place]! <= bound) total += roomAt(place);
  }
  let left = random() * total;
  let last = -1;
  for (let place = 0; place < size; place += 1) {
    if (work[place]! <= bound) {
      last = place;
      left -= roomAt(place);
      if (left < 0) return place;
    }
  }
  return last;
}

/** Creates a choice, whose arrays are used again for each request. */
export function createServerChoice(): ServerChoice {
  let figures = createFigures(FIRST_LIMIT);
  let size = 0;
  // Numbers in an array: a variable that functions share would be a new object at each change.
  const sums = new Float64Array(6);

  /** Gives the servers without a figure the mean utilization of the others, within a bound. */
  const fillUnknown = (): void => {
    if (sums[SUM.UNKNOWN_CAPACITY] === 0) return;
    const { requests, capacity } = figures;
    const knownCapacity = sums[SUM.CAPACITY]! - sums[SUM.UNKNOWN_CAPACITY]!;
    const utilization =
      knownCapacity > 0
        ? Math.min(MAX_ASSUMED_UTILIZATION, sums[SUM.REQUESTS]! / knownCapacity)
        : 0;
    for (let place = 0; place < size; place += 1) {
      if (requests[place]! < 0) requests[place] = utilization * capacity[place]!;
    }
    sums[SUM.REQUESTS]! += utilization * sums[SUM.UNKNOWN_CAPACITY]!;
  };

  /** Sets the room that each server has below the level, and the sums. */
  const setRoom = (capacity: Float64Array, level: number): void => {
    const { requests, roomUpTo } = figures;
    let total = 0;
    for (let place = 0; place < size; place += 1) {
      const free = level * capacity[place]! - requests[place]!;
      total += free > LEAST_ROOM ? free : LEAST_ROOM;
      roomUpTo[place] = total;
    }
  };

  return {
    begin: () => {
      size = 0;
      sums.fill(0);
      sums[SUM.LEAST_WORK] = Infinity;
      sums[SUM.MOST_WORK] = -Infinity;
    },
    add: (count, slotCount, slow, ownMilliseconds, extraMilliseconds) => {
      if (size === figures.limit) figures = growFigures(figures);
      const places = slotCount > 1 ? slotCount : 1;
      const held = slow === 1 ? places : places / slow;
      const spare = slow === 1 ? places : held / (slow * slow);
      figures.requests[size] = count;
      figures.slots[size] = places;
      figures.slowness[size] = slow;
      figures.capacity[size] = held;
      figures.spareCapacity[size] = spare;
      figures.work[size] = ownMilliseconds;
      figures.extra[size] = extraMilliseconds;
      sums[SUM.CAPACITY]! += held;
      sums[SUM.SPARE_CAPACITY]! += spare;
      if (count >= 0) sums[SUM.REQUESTS]! += count;
      else sums[SUM.UNKNOWN_CAPACITY]! += held;
      if (ownMilliseconds < sums[SUM.LEAST_WORK]!) sums[SUM.LEAST_WORK] = ownMilliseconds;
      if (ownMilliseconds > sums[SUM.MOST_WORK]!) sums[SUM.MOST_WORK] = ownMilliseconds;
      size += 1;
    },
    choose: ({ ageMilliseconds, holdingMilliseconds, random }) => {
      if (size <= 1) return size - 1;
      fillUnknown();
      const { requests, roomUpTo } = figures;
      // By Little's law, the requests of all hosts that came while what is known grew old.
      const arrivals = (sums[SUM.REQUESTS]! * ageMilliseconds) / holdingMilliseconds;
      const expected = sums[SUM.REQUESTS]! + arrivals + 1;
      // Slow servers receive little, unless the others would be full by that.
      let capacity = figures.spareCapacity;
      let level = findLevel(
        requests,
        capacity,
        size,
        arrivals + 1,
        expected / sums[SUM.SPARE_CAPACITY]!,
      );
      const isUneven = Math.abs(sums[SUM.SPARE_CAPACITY]! - sums[SUM.CAPACITY]!) > 0;
      if (level > 1 && isUneven) {
        ({ capacity } = figures);
        level = findLevel(requests, capacity, size, arrivals + 1, expected / sums[SUM.CAPACITY]!);
      }
      setRoom(capacity, level);
      const total = roomUpTo[size - 1]!;
      const perServer = arrivals / size;
      const loadWeight = Math.min(1, FRESH_ARRIVALS / perServer);
      const compared = Math.max(
        MIN_COMPARED_SERVERS,
        Math.min(MAX_COMPARED_SERVERS, Math.round(1 / perServer)),
      );
      let best = -1;
      let least = Infinity;
      for (let count = 0; count < compared; count += 1) {
        const place = findByRoom(roomUpTo, size, random() * total);
        const milliseconds = estimateCompletion(figures, place, holdingMilliseconds, loadWeight);
        if (milliseconds < least - TIE_MILLISECONDS) {
          best = place;
          least = milliseconds;
        }
      }
      if (sums[SUM.MOST_WORK]! <= sums[SUM.LEAST_WORK]! + AFFINITY_MILLISECONDS) return best;
      const holder = sampleHolder(figures, capacity, size, level, random);
      if (holder < 0) return best;
      return estimateCompletion(figures, holder, holdingMilliseconds, loadWeight) < least
        ? holder
        : best;
    },
  };
}
