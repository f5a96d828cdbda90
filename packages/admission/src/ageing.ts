/** Lets requests that have waited for long go before more urgent ones now and then. */
import type { FairLine, LineEntry } from './line.js';

/** A waiting request, as far as its age is concerned. */
export interface AgeingEntry extends LineEntry {
  readonly rank: number;
  readonly arrivedAt: number;
  /** Time until which it may wait. */
  readonly boundAt: number;
}

/** Ageing of the requests of one host. */
export interface Ageing {
  /** Returns the first entry, or one that has waited for long and may go before it. */
  choose<Entry extends AgeingEntry>(
    line: FairLine<Entry>,
    matches: (entry: Entry) => boolean,
    first: Entry,
  ): Entry;
  /** @returns whether a request may be sent before a more urgent one */
  mayOvertake(): boolean;
  /** Records that a request was sent while less urgent ones waited. */
  recordUrgent(): void;
  /** Records that a request was sent before a more urgent one. */
  recordOvertaking(): void;
}

/**
 * More urgent requests that are sent for one that goes before them. With one in four the lowest class is
 * never starved, and more urgent ones are still served more often.
 */
const URGENT_PER_OVERTAKING = 3;
/**
 * Time for which the more urgent requests count. In two seconds a more urgent class must be served at
 * least as often; half of that leaves the rest for the next ones.
 */
const URGENT_LIFETIME_MILLISECONDS = 1000;
/** Fraction of its bound after which a request has waited for long. */
const OLD_FRACTION = 0.5;

/** Creates the ageing of a host on which nothing has waited. */
export function createAgeing(now: () => number): Ageing {
  let urgentTimes: number[] = [];

  const mayOvertake = (): boolean => {
    const oldest = now() - URGENT_LIFETIME_MILLISECONDS;
    urgentTimes = urgentTimes.filter((at) => at > oldest);
    return urgentTimes.length >= URGENT_PER_OVERTAKING;
  };

  return {
    choose: (line, matches, first) => {
      if (!mayOvertake()) return first;
      const isOld = ({ arrivedAt, boundAt }: AgeingEntry): boolean =>
        now() - arrivedAt > (boundAt - arrivedAt) * OLD_FRACTION;
      for (const entry of line.entries())
        if (entry.rank > first.rank && matches(entry) && isOld(entry)) return entry;
      return first;
    },
    mayOvertake,
    recordUrgent: () => {
      urgentTimes = [...urgentTimes.slice(-URGENT_PER_OVERTAKING), now()];
    },
    recordOvertaking: () => {
      urgentTimes = [];
    },
  };
}
