/** Chooses one of many servers by the room that is expected there and by the completion of the request. */

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

/** Passes of the search for the level; each excludes the servers above the level of the one before. */
const MAX_LEVEL_PASSES = 6;
/**
 * Servers that are compared for each arrival that the other hosts send to one server while what is known
 * ages. With fewer arrivals what is known is still true, and more servers may be compared.
 */
const COMPARED_SERVERS_AT_ONE_ARRIVAL = 2;
const MAX_COMPARED_SERVERS = 8;
/** Room that a server above the level keeps, so that it is not left out because of an old report. */
const LEAST_ROOM = 1e-9;
/** Load above the common level up to which a server is preferred for what it holds of the request. */
const AFFINITY_LOAD_BOUND = 1.25;
/** Difference of the own work from which a server counts as one that holds something of the request. */
const AFFINITY_MILLISECONDS = 10;

/** Creates a choice, whose arrays are used again for each request. */
export function createServerChoice(): ServerChoice {
  let size = 0;
  let limit = 64;
  let requests = new Float64Array(limit);
  let slots = new Float64Array(limit);
  let capacity = new Float64Array(limit);
  let slowness = new Float64Array(limit);
  let work = new Float64Array(limit);
  let extra = new Float64Array(limit);
  let rooms = new Float64Array(limit);

  const grow = (array: Float64Array): Float64Array<ArrayBuffer> => {
    const grown = new Float64Array(limit);
    grown.set(array);
    return grown;
  };

  /** Gives the servers without a figure the mean utilization of the others. */
  const fillUnknown = (): void => {
    let known = 0;
    let knownCapacity = 0;
    for (let place = 0; place < size; place += 1) {
      if (requests[place]! >= 0) {
        known += requests[place]!;
        knownCapacity += capacity[place]!;
      }
    }
    const utilization = knownCapacity > 0 ? known / knownCapacity : 0;
    for (let place = 0; place < size; place += 1) {
      if (requests[place]! < 0) requests[place] = utilization * capacity[place]!;
    }
  };

  /**
   * Returns the utilization that all servers would have if the arrivals filled the emptiest first, as
   * hosts that divide them by room do together.
   */
  const findLevel = (arrivals: number): number => {
    let level = Infinity;
    for (let pass = 0; pass < MAX_LEVEL_PASSES; pass += 1) {
      let taken = arrivals;
      let total = 0;
      for (let place = 0; place < size; place += 1) {
        if (requests[place]! <= level * capacity[place]!) {
          taken += requests[place]!;
          total += capacity[place]!;
        }
      }
      const next = taken / total;
      if (next >= level) return level;
      level = next;
    }
    return level;
  };

  const completion = (place: number, holding: number): number => {
    const atServer = requests[place]! + 1;
    const places = slots[place]!;
    const shared = holding * (1 + Math.min(1, atServer / places));
    const wait = Math.max(0, atServer - places) / places;
    return slowness[place]! * (work[place]! + shared + holding * wait) + extra[place]!;
  };

  /** Samples a server by its room, of those whose own work is at most `most`. */
  const sample = (total: number, most: number, random: number): number => {
    let left = random * total;
    let last = -1;
    for (let place = 0; place < size; place += 1) {
      if (work[place]! <= most) {
        last = place;
        left -= rooms[place]!;
        if (left < 0) return place;
      }
    }
    return last;
  };

  return {
    begin: () => {
      size = 0;
    },
    add: (count, slotCount, slow, ownMilliseconds, extraMilliseconds) => {
      if (size === limit) {
        limit *= 2;
        requests = grow(requests);
        slots = grow(slots);
        capacity = grow(capacity);
        slowness = grow(slowness);
        work = grow(work);
        extra = grow(extra);
        rooms = grow(rooms);
      }
      requests[size] = count;
      slots[size] = Math.max(1, slotCount);
      capacity[size] = slots[size]! / slow;
      slowness[size] = slow;
      work[size] = ownMilliseconds;
      extra[size] = extraMilliseconds;
      size += 1;
    },
    choose: ({ ageMilliseconds, holdingMilliseconds, random }) => {
      if (size <= 1) return size - 1;
      fillUnknown();
      let total = 0;
      for (let place = 0; place < size; place += 1) total += requests[place]!;
      // By Little's law, the requests of all hosts that came while what is known grew old.
      const arrivals = (total * ageMilliseconds) / holdingMilliseconds;
      const level = findLevel(arrivals + 1);
      let totalRoom = 0;
      let leastWork = Infinity;
      let mostWork = -Infinity;
      for (let place = 0; place < size; place += 1) {
        const full = level * capacity[place]!;
        const room = Math.max(LEAST_ROOM, full - requests[place]!);
        rooms[place] = room;
        totalRoom += room;
        if (requests[place]! <= full * AFFINITY_LOAD_BOUND)
          leastWork = Math.min(leastWork, work[place]!);
        mostWork = Math.max(mostWork, work[place]!);
      }
      const perServer = arrivals / size;
      const compared = Math.max(
        1,
        Math.min(MAX_COMPARED_SERVERS, Math.round(COMPARED_SERVERS_AT_ONE_ARRIVAL / perServer)),
      );
      let best = -1;
      let leastMilliseconds = Infinity;
      for (let count = 0; count < compared; count += 1) {
        const place = sample(totalRoom, Infinity, random());
        const milliseconds = completion(place, holdingMilliseconds);
        if (milliseconds < leastMilliseconds) {
          best = place;
          leastMilliseconds = milliseconds;
        }
      }
      const most = leastWork + AFFINITY_MILLISECONDS;
      if (mostWork <= most) return best;
      let roomOfHolders = 0;
      for (let place = 0; place < size; place += 1) {
        if (work[place]! <= most) roomOfHolders += rooms[place]!;
      }
      const holder = sample(roomOfHolders, most, random());
      return completion(holder, holdingMilliseconds) < leastMilliseconds ? holder : best;
    },
  };
}
