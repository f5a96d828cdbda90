/** Queue of the cold loads within one plan. */
import type { ModelProfile } from '@bulrushspar/catalogue';
import type { PlanInput } from './plan-input.js';

/** Tells when the next planned cold load may start. */
export interface ColdQueue {
  /** Milliseconds until a cold load may start, after those planned before it. */
  waitFor(model: ModelProfile): number;
  /** Records a planned cold load. @param readyMilliseconds when it ends */
  add(readyMilliseconds: number): void;
  /** Number of cold loads that may start now. */
  free(): number;
}

/** Queue by the number of loads that may start, in rounds of the concurrent loads. */
function createRoundQueue(input: PlanInput): ColdQueue {
  const { coldWaitMilliseconds = Infinity, maxConcurrentColdLoads = 1 } = input;
  let { availableColdLoads } = input;
  return {
    waitFor: ({ coldMilliseconds }) => {
      if (availableColdLoads >= 1) return 0;
      const roundsBefore = Math.floor(-availableColdLoads / maxConcurrentColdLoads);
      return coldWaitMilliseconds + roundsBefore * coldMilliseconds;
    },
    add: () => {
      availableColdLoads -= 1;
    },
    free: () => Math.max(0, availableColdLoads),
  };
}

/** Queue by the time at which each place at the weight store is free. */
function createPlaceQueue(coldPlaces: readonly number[], maxStarts: number): ColdQueue {
  const freeAt = [...coldPlaces];
  let starts = maxStarts;
  const earliest = (): number => Math.min(...freeAt);
  return {
    waitFor: () => (starts <= 0 && earliest() === 0 ? 1 : earliest()),
    add: (readyMilliseconds) => {
      starts -= 1;
      freeAt[freeAt.indexOf(earliest())] = readyMilliseconds;
    },
    free: () => Math.min(Math.max(0, starts), freeAt.filter((at) => at === 0).length),
  };
}

/** Creates the queue of one plan. */
export function createColdQueue(input: PlanInput): ColdQueue {
  return input.coldPlaces
    ? createPlaceQueue(input.coldPlaces, input.availableColdLoads)
    : createRoundQueue(input);
}
