/** Small means of simulations: seeded random numbers and a queue of events. */

/** Creates a generator of numbers from 0 up to but not including 1 (mulberry32). */
export function createRandom(seed: number): () => number {
  let state = seed;
  /* eslint-disable no-bitwise -- the generator works on 32-bit integers */
  return () => {
    state = (state + 0x6d2b79f5) | 0;
    let value = Math.imul(state ^ (state >>> 15), 1 | state);
    value ^= value + Math.imul(value ^ (value >>> 7), 61 | value);
    return ((value ^ (value >>> 14)) >>> 0) / 2 ** 32;
  };
  /* eslint-enable no-bitwise */
}

/** Events in the order of their times. */
export interface EventQueue {
  readonly now: () => number;
  /** @param at time in milliseconds */
  add(at: number, run: () => void): void;
  /** Runs the events up to a time. */
  runUntil(end: number): void;
}

interface TimedEvent {
  readonly at: number;
  readonly run: () => void;
}

/** Creates an empty queue at time 0 (a binary heap). */
export function createEventQueue(): EventQueue {
  const heap: TimedEvent[] = [];
  let now = 0;

  const takeFirst = (): TimedEvent => {
    const first = heap[0]!;
    const last = heap.pop()!;
    if (heap.length === 0) return first;
    let place = 0;
    for (;;) {
      let child = 2 * place + 1;
      if (child >= heap.length) break;
      if (child + 1 < heap.length && heap[child + 1]!.at < heap[child]!.at) child += 1;
      if (heap[child]!.at >= last.at) break;
      heap[place] = heap[child]!;
      place = child;
    }
    heap[place] = last;
    return first;
  };

  return {
    now: () => now,
    add: (at, run) => {
      let place = heap.length;
      while (place > 0) {
        const parent = Math.floor((place - 1) / 2);
        if (heap[parent]!.at <= at) break;
        heap[place] = heap[parent]!;
        place = parent;
      }
      heap[place] = { at, run };
    },
    runUntil: (end) => {
      while (heap.length > 0 && heap[0]!.at <= end) {
        const event = takeFirst();
        now = event.at;
        event.run();
      }
      now = end;
    },
  };
}
