/** Whose turn it is, agreed by all hosts in one record of the store. */
import { startStopwatch, type Clock, type Stopwatch } from '@bulrushspar/clock';
import { PRIORITY, type Priority } from '@bulrushspar/configuration';
import { createRefusal, REFUSAL, type Refusal } from '@bulrushspar/errors';
import { isSameIncarnation, type Incarnation, type ObjectStore } from '@bulrushspar/store';
import { createUpdater } from './update.js';

/** A piece of work that some hosts want to do or have begun. */
export interface Turn {
  readonly name: string;
  readonly priority: Priority;
  /** Nearest deadline of the requests that wait for it, in milliseconds of the hosts' clocks. */
  readonly deadline: number;
  /** Hosts that wait for it or carry it out. */
  readonly hosts: readonly Incarnation[];
  readonly running: boolean;
}

/** All work of one kind that is wanted or under way. */
export interface TurnRecord {
  readonly turns: readonly Turn[];
  /** Unique for each write. */
  readonly token: string;
}

/** A request that waits for the work. */
export interface TurnWish {
  readonly name: string;
  readonly priority: Priority;
  /** Time left until its deadline, in milliseconds. */
  readonly remainingMilliseconds: number;
}

/**
 * Grants turns in the order in which they are needed, so many at once over all hosts. No promise
 * rests on them: a holder that was taken for gone may go on.
 */
export interface Turns {
  /** Notes a request that waits for the work; the nearest deadline counts. */
  want(wish: TurnWish): void;
  /**
   * Resolves when the work may begin; at most one call for each name at a time. Rejects with a refusal once nobody waits for it any more,
   * and with a StoreError where the store is away.
   */
  acquire(name: string): Promise<void>;
  /** Ends the turn, or the wish for it. */
  finish(name: string): void;
  /** Names of the work that waits for its turn. */
  waiting(): readonly string[];
}

/** Options of {@link createTurns}. */
export interface TurnsOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly self: Incarnation;
  /** Name of the record. */
  readonly record: string;
  /** Turns that may be granted at once. */
  readonly limit: () => Promise<number>;
  /** Tells that a process has certainly ended. */
  readonly isGone: (host: Incarnation) => boolean;
  /** Tells that the work is seen to go on, whoever began it. */
  readonly isUnderWay: (name: string) => boolean;
  /** Time between looks at the record, in milliseconds. */
  readonly lookMilliseconds?: number;
}

/** Kind of the records of turns. */
export const TURN_KIND = 'turns';
const NO_TURNS: TurnRecord = { turns: [], token: '' };

/** Time after which a granted turn of work that is not seen is granted to others. */
const UNSEEN_MILLISECONDS = 15_000;
const LIMIT_MILLISECONDS = 5000;
const USUAL_LIMIT = 4;

interface Wanted {
  readonly priority: Priority;
  readonly nearest: number;
  readonly latest: number;
}

interface Waiter {
  admit(): void;
  reject(error: unknown): void;
}

const nobodyWaits = (name: string): Refusal =>
  createRefusal({
    status: 503,
    code: REFUSAL.NO_CAPACITY,
    message: `the turn of ${name} did not come in time`,
    retryAfterSeconds: 2,
  });

const isPerson = ({ priority }: Turn): boolean => priority === PRIORITY.PERSON;

/** People go before batches, then the nearest deadline. */
function byNeed(a: Turn, b: Turn): number {
  return (
    Number(isPerson(b)) - Number(isPerson(a)) ||
    a.deadline - b.deadline ||
    a.name.localeCompare(b.name)
  );
}

/**
 * Grants the free places to the turns that are needed first.
 * @param limit turns that may run at once
 */
export function grantTurns(turns: readonly Turn[], limit: number): Turn[] {
  const running = turns.filter((turn) => turn.running);
  const waiting = turns.filter((turn) => !turn.running).sort(byNeed);
  const free = Math.max(0, limit - running.length);
  const granted = waiting.slice(0, free).map((turn) => ({ ...turn, running: true }));
  return [...running, ...granted, ...waiting.slice(free)];
}

const isSame = (a: readonly Turn[], b: readonly Turn[]): boolean =>
  JSON.stringify(a) === JSON.stringify(b);

/** Asks for the limit now and then; keeps the last answer while there is none. */
function createLimit(clock: Clock, ask: () => Promise<number>): () => Promise<number> {
  let known = USUAL_LIMIT;
  let sinceAsked: Stopwatch | undefined;
  return async () => {
    if (sinceAsked && sinceAsked() < LIMIT_MILLISECONDS) return known;
    sinceAsked = startStopwatch(clock);
    known = await ask().catch(() => known);
    return known;
  };
}

/** Creates one host's view of one record of turns; it costs nothing while nothing waits. */
export function createTurns(options: TurnsOptions): Turns {
  const { store, clock, self, isGone, isUnderWay, lookMilliseconds = 100 } = options;
  const update = createUpdater({ store, clock });
  const key = { kind: TURN_KIND, name: options.record };
  const limit = createLimit(clock, options.limit);
  const wanted = new Map<string, Wanted>();
  const waiters = new Map<string, Waiter>();
  const held = new Set<string>();
  const unseen = new Map<string, Stopwatch>();
  let sleep = new AbortController();
  let due = false;
  let running = false;

  const now = (): number => clock.now().getTime();
  const isSelf = (host: Incarnation): boolean => isSameIncarnation(host, self);
  const isMine = (name: string): boolean => waiters.has(name) || held.has(name);

  /** Tells whether the work of a granted turn was neither seen at a server nor is new. */
  const isUnseen = ({ name, running: granted }: Turn): boolean => {
    if (!granted || isUnderWay(name)) {
      unseen.delete(name);
      return false;
    }
    const since = unseen.get(name) ?? startStopwatch(clock);
    unseen.set(name, since);
    return since() > UNSEEN_MILLISECONDS;
  };

  const isAlive = (turn: Turn): boolean => {
    if (isMine(turn.name)) return true;
    // A server goes on with a load whose host has died.
    if (turn.hosts.length === 0) return turn.running && isUnderWay(turn.name);
    return !isUnseen(turn);
  };

  const withPresentHosts = (turn: Turn): Turn => {
    const mine = isMine(turn.name);
    const present = turn.hosts.filter((host) => (isSelf(host) ? mine : !isGone(host)));
    const joins = mine && !present.some(isSelf);
    return { ...turn, hosts: joins ? [...present, self] : present };
  };

  const withOwnWish = (turn: Turn): Turn => {
    const wish = waiters.has(turn.name) ? wanted.get(turn.name) : undefined;
    if (!wish || turn.running) return turn;
    const priority = wish.priority === PRIORITY.PERSON ? wish.priority : turn.priority;
    return { ...turn, priority, deadline: Math.min(turn.deadline, wish.nearest) };
  };

  const newWishes = (turns: readonly Turn[]): Turn[] =>
    [...waiters.keys()]
      .filter((name) => !turns.some((turn) => turn.name === name))
      .map((name) => {
        const { priority, nearest: deadline } = wanted.get(name)!;
        return { name, priority, deadline, hosts: [self], running: false };
      });

  const advance = (present: TurnRecord, most: number): TurnRecord | undefined => {
    const known = present.turns.map(withPresentHosts).filter(isAlive).map(withOwnWish);
    const turns = grantTurns([...known, ...newWishes(known)], most);
    return isSame(turns, present.turns) ? undefined : { ...present, turns };
  };

  const refuseLate = (): void => {
    [...waiters].forEach(([name, waiter]) => {
      if (wanted.get(name)!.latest > now()) return;
      waiters.delete(name);
      waiter.reject(nobodyWaits(name));
    });
  };

  const admitGranted = ({ turns }: TurnRecord): void => {
    turns.forEach(({ name, running: granted }) => {
      const waiter = waiters.get(name);
      if (!granted || !waiter) return;
      waiters.delete(name);
      held.add(name);
      waiter.admit();
    });
  };

  const look = async (): Promise<void> => {
    refuseLate();
    const most = await limit();
    admitGranted(await update(key, NO_TURNS, (present) => advance(present, most)));
  };

  const rejectAll = (error: unknown): void => {
    const all = [...waiters.values()];
    waiters.clear();
    all.forEach((waiter) => waiter.reject(error));
  };

  const run = async (): Promise<void> => {
    while (due || waiters.size > 0) {
      due = false;
      sleep = new AbortController();
      // eslint-disable-next-line no-await-in-loop -- looks follow one another
      await look().catch(rejectAll);
      // eslint-disable-next-line no-await-in-loop -- looks follow one another
      if (!due && waiters.size > 0) await clock.delay(lookMilliseconds, sleep.signal);
    }
    running = false;
  };

  const wake = (): void => {
    due = true;
    sleep.abort();
    if (running) return;
    running = true;
    run().catch(rejectAll);
  };

  return {
    want: ({ name, priority, remainingMilliseconds }) => {
      const deadline = now() + remainingMilliseconds;
      const known = wanted.get(name);
      wanted.set(name, {
        priority: known?.priority === PRIORITY.PERSON ? known.priority : priority,
        nearest: Math.min(deadline, known?.nearest ?? deadline),
        latest: Math.max(deadline, known?.latest ?? deadline),
      });
    },
    acquire: (name) =>
      new Promise((resolve, reject) => {
        waiters.set(name, { admit: resolve, reject });
        wake();
      }),
    finish: (name) => {
      wanted.delete(name);
      waiters.delete(name);
      if (held.delete(name)) wake();
    },
    waiting: () => [...waiters.keys()],
  };
}
