/**
 * Runs contents of requests that may crash servers apart from each other, over all hosts: the next crash then
 * has one suspect. Hosts tell each other of their runs; turns keep two hosts from beginning at once.
 */
import type { Clock } from '@bulrushspar/clock';

/** Message between hosts about a run of a suspected content. */
export interface RunUpdate {
  readonly content: string;
  readonly hasEnded: boolean;
}

/** Runs of suspected contents, as far as a host knows. */
export interface Isolation {
  isSuspected(content: string): boolean;
  /** @returns whole milliseconds until a content may run; 0 if it may now, or is not suspected */
  getWait(content: string): number;
  /** Records that this host sends a suspected content to a server. @returns a function to call when it has ended */
  begin(content: string): () => void;
  /** Applies an update from another host. */
  applyUpdate(update: RunUpdate): void;
}

/** Options of {@link createIsolation}. */
export interface IsolationOptions {
  readonly clock: Clock;
  /** @returns the contents that must run apart from each other, in the same order at all hosts */
  readonly listSuspects: () => readonly string[];
  /** @returns the time on the monotonic clock of the last crash under any of some contents */
  readonly findLastCrash: (contents: readonly string[]) => number;
  /** Called with each update that must be sent to the other hosts. */
  readonly onUpdate: (update: RunUpdate) => void;
}

const TURN_MILLISECONDS = 1000;
/** Part of a turn in which a run may begin; hosts differ by the delay of messages on when turns begin. */
const BEGIN_MILLISECONDS = 700;
/** Time after which a run is over of which no end was told; its host may have been killed. */
const MAX_RUN_MILLISECONDS = 10_000;
/** Time after a run in which its crash is confirmed and told. */
const CONFIRMATION_MILLISECONDS = 1000;

/** Creates the isolation of one host, without runs. */
export function createIsolation(options: IsolationOptions): Isolation {
  const { clock, listSuspects, findLastCrash, onUpdate } = options;
  /** Time on the monotonic clock until which a run counts, by content. */
  const runEnds = new Map<string, number>();

  const applyUpdate = ({ content, hasEnded }: RunUpdate): void => {
    const now = clock.monotonic();
    runEnds.forEach((at, ended) => {
      if (at <= now) runEnds.delete(ended);
    });
    runEnds.set(content, now + (hasEnded ? CONFIRMATION_MILLISECONDS : MAX_RUN_MILLISECONDS));
  };

  const isRunning = (content: string): boolean =>
    (runEnds.get(content) ?? -Infinity) > clock.monotonic();

  const tell = (update: RunUpdate): void => {
    applyUpdate(update);
    onUpdate(update);
  };

  const isSuspected = (content: string): boolean => listSuspects().includes(content);

  return {
    isSuspected,
    getWait: (content) => {
      const contents = listSuspects();
      const turn = contents.indexOf(content);
      if (turn < 0) return 0;
      const cycle = contents.length * TURN_MILLISECONDS;
      const sinceLastCrash = clock.monotonic() - findLastCrash(contents);
      const sinceFirstTurn = sinceLastCrash - turn * TURN_MILLISECONDS;
      const sinceTurn = ((sinceFirstTurn % cycle) + cycle) % cycle;
      const isTurn = contents.length === 1 || sinceTurn < BEGIN_MILLISECONDS;
      return isTurn && !contents.some(isRunning) ? 0 : Math.ceil(cycle - sinceTurn);
    },
    begin: (content) => {
      tell({ content, hasEnded: false });
      return () => tell({ content, hasEnded: true });
    },
    applyUpdate,
  };
}
