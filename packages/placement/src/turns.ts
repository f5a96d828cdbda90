/** Priority queue with limited concurrency, shared by all hosts through one record of the store. */
import { startStopwatch, type Clock, type Stopwatch } from '@bulrushspar/clock';
import { PRIORITY, type Priority } from '@bulrushspar/configuration';
import { createRefusal, REFUSAL, type Refusal } from '@bulrushspar/errors';
import { isSameIncarnation, type Incarnation, type ObjectStore } from '@bulrushspar/store';
import { createUpdater } from './update.js';

/** An entry of the queue: a task that one or more hosts wait for or execute. */
export interface Turn {
  readonly name: string;
  readonly priority: Priority;
  /** Earliest deadline of its requests, in milliseconds since the epoch by the hosts' clocks. */
  readonly deadline: number;
  /** Hosts that wait for the task or execute it. */
  readonly hosts: readonly Incarnation[];
  /** Whether the turn is granted, so that the task may run. */
  readonly running: boolean;
}

/** All waiting and granted turns of one queue. */
export interface TurnRecord {
  readonly turns: readonly Turn[];
  /** Unique for each write, so that a host recognizes its own write when it reads back. */
  readonly token: string;
}

/** A request that needs the task to be done. */
export interface TurnRequest {
  readonly name: string;
  readonly priority: Priority;
  /** Time left until its deadline, in milliseconds. */
  readonly remainingMilliseconds: number;
}

/**
 * Grants turns by priority and deadline, up to a limit of concurrent turns over all hosts. The
 * limit is best effort and guarantees no mutual exclusion: a holder that was taken for ended may
 * still be running its task.
 */
export interface TurnQueue {
  /** Registers a request that needs the task; the earliest deadline determines the order. */
  register(request: TurnRequest): void;
  /**
   * Resolves when the task may start; at most one call for each name at a time. Rejects with a
   * refusal once the deadlines of all its requests have passed, and with a StoreError if the store
   * is unreachable.
   */
  acquire(name: string): Promise<void>;
  /** Releases the turn, or withdraws the requests for it. */
  release(name: string): void;
  /** Names of the tasks for which this host waits. */
  waiting(): readonly string[];
}

/** Options of {@link createTurnQueue}. */
export interface TurnQueueOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly self: Incarnation;
  /** Name of the record. */
  readonly record: string;
  /** Fetches the maximum number of turns that are granted at the same time. */
  readonly limit: () => Promise<number>;
  /** Returns whether a process has certainly ended. */
  readonly hasEnded: (host: Incarnation) => boolean;
  /** Returns whether a task is observed to be running, whichever host started it. */
  readonly isInProgress: (name: string) => boolean;
  /** Interval between reads of the record while a task waits, in milliseconds. */
  readonly pollMilliseconds?: number;
}

/** Kind of the records of turns. */
export const TURN_KIND = 'turns';
const EMPTY_TURN_RECORD: TurnRecord = { turns: [], token: '' };

/**
 * Time after which a granted turn whose task is not observed to be running is removed, so that
 * another one can be granted.
 */
const UNREPORTED_TURN_TIMEOUT_MILLISECONDS = 15_000;
const LIMIT_REFRESH_MILLISECONDS = 5000;
const DEFAULT_LIMIT = 4;

interface Demand {
  readonly priority: Priority;
  readonly earliestDeadline: number;
  readonly latestDeadline: number;
}

interface Waiter {
  grant(): void;
  reject(error: unknown): void;
}

const createTurnTimeoutRefusal = (name: string): Refusal =>
  createRefusal({
    status: 503,
    code: REFUSAL.NO_CAPACITY,
    message: `the turn of ${name} was not granted before the last deadline of its requests`,
    retryAfterSeconds: 2,
  });

const hasPersonPriority = ({ priority }: Turn): boolean => priority === PRIORITY.PERSON;

/** Orders turns by priority, person before batch, then by earliest deadline. */
function compareByUrgency(a: Turn, b: Turn): number {
  return (
    Number(hasPersonPriority(b)) - Number(hasPersonPriority(a)) ||
    a.deadline - b.deadline ||
    a.name.localeCompare(b.name)
  );
}

/**
 * Grants the free slots to the waiting turns that are most urgent.
 * @param limit maximum number of granted turns
 * @returns all turns, the granted ones first
 */
export function grantTurns(turns: readonly Turn[], limit: number): Turn[] {
  const running = turns.filter((turn) => turn.running);
  const waiting = turns.filter((turn) => !turn.running).sort(compareByUrgency);
  const free = Math.max(0, limit - running.length);
  const granted = waiting.slice(0, free).map((turn) => ({ ...turn, running: true }));
  return [...running, ...granted, ...waiting.slice(free)];
}

const hasSameTurns = (a: readonly Turn[], b: readonly Turn[]): boolean =>
  JSON.stringify(a) === JSON.stringify(b);

/** Fetches the limit at most once per interval and keeps the last value while fetching fails. */
function createCachedLimit(clock: Clock, fetchLimit: () => Promise<number>): () => Promise<number> {
  let cachedLimit = DEFAULT_LIMIT;
  let sinceFetch: Stopwatch | undefined;
  return async () => {
    if (sinceFetch && sinceFetch() < LIMIT_REFRESH_MILLISECONDS) return cachedLimit;
    sinceFetch = startStopwatch(clock);
    cachedLimit = await fetchLimit().catch(() => cachedLimit);
    return cachedLimit;
  };
}

/** Creates one host's access to one queue; it calls the store only while a task waits or ends. */
export function createTurnQueue(options: TurnQueueOptions): TurnQueue {
  const { store, clock, self, hasEnded, isInProgress, pollMilliseconds = 100 } = options;
  const update = createUpdater({ store, clock });
  const key = { kind: TURN_KIND, name: options.record };
  const limit = createCachedLimit(clock, options.limit);
  const demands = new Map<string, Demand>();
  const waiters = new Map<string, Waiter>();
  const heldTurns = new Set<string>();
  const unreportedSince = new Map<string, Stopwatch>();
  let pollDelay = new AbortController();
  let pollRequested = false;
  let polling = false;

  const now = (): number => clock.now().getTime();
  const isSelf = (host: Incarnation): boolean => isSameIncarnation(host, self);
  const isOwnTurn = (name: string): boolean => waiters.has(name) || heldTurns.has(name);

  /** Returns whether a turn was granted long ago and its task is not observed to be running. */
  const isUnreportedTooLong = ({ name, running: granted }: Turn): boolean => {
    if (!granted || isInProgress(name)) {
      unreportedSince.delete(name);
      return false;
    }
    const since = unreportedSince.get(name) ?? startStopwatch(clock);
    unreportedSince.set(name, since);
    return since() > UNREPORTED_TURN_TIMEOUT_MILLISECONDS;
  };

  const isActive = (turn: Turn): boolean => {
    if (isOwnTurn(turn.name)) return true;
    // A server continues a load after the host that ordered it has crashed.
    if (turn.hosts.length === 0) return turn.running && isInProgress(turn.name);
    return !isUnreportedTooLong(turn);
  };

  const withLiveHosts = (turn: Turn): Turn => {
    const isOwn = isOwnTurn(turn.name);
    const liveHosts = turn.hosts.filter((host) => (isSelf(host) ? isOwn : !hasEnded(host)));
    const addsSelf = isOwn && !liveHosts.some(isSelf);
    return { ...turn, hosts: addsSelf ? [...liveHosts, self] : liveHosts };
  };

  const withOwnDemand = (turn: Turn): Turn => {
    const demand = waiters.has(turn.name) ? demands.get(turn.name) : undefined;
    if (!demand || turn.running) return turn;
    const priority = demand.priority === PRIORITY.PERSON ? demand.priority : turn.priority;
    return { ...turn, priority, deadline: Math.min(turn.deadline, demand.earliestDeadline) };
  };

  const createMissingTurns = (turns: readonly Turn[]): Turn[] =>
    [...waiters.keys()]
      .filter((name) => !turns.some((turn) => turn.name === name))
      .map((name) => {
        const { priority, earliestDeadline: deadline } = demands.get(name)!;
        return { name, priority, deadline, hosts: [self], running: false };
      });

  const computeNextRecord = (present: TurnRecord, maxRunning: number): TurnRecord | undefined => {
    const activeTurns = present.turns.map(withLiveHosts).filter(isActive).map(withOwnDemand);
    const turns = grantTurns([...activeTurns, ...createMissingTurns(activeTurns)], maxRunning);
    return hasSameTurns(turns, present.turns) ? undefined : { ...present, turns };
  };

  const rejectExpiredWaiters = (): void => {
    [...waiters].forEach(([name, waiter]) => {
      if (demands.get(name)!.latestDeadline > now()) return;
      waiters.delete(name);
      waiter.reject(createTurnTimeoutRefusal(name));
    });
  };

  const resolveGrantedWaiters = ({ turns }: TurnRecord): void => {
    turns.forEach(({ name, running: granted }) => {
      const waiter = waiters.get(name);
      if (!granted || !waiter) return;
      waiters.delete(name);
      heldTurns.add(name);
      waiter.grant();
    });
  };

  const poll = async (): Promise<void> => {
    rejectExpiredWaiters();
    const maxRunning = await limit();
    resolveGrantedWaiters(
      await update(key, EMPTY_TURN_RECORD, (present) => computeNextRecord(present, maxRunning)),
    );
  };

  const rejectAllWaiters = (error: unknown): void => {
    const all = [...waiters.values()];
    waiters.clear();
    all.forEach((waiter) => waiter.reject(error));
  };

  const pollWhileWaiting = async (): Promise<void> => {
    while (pollRequested || waiters.size > 0) {
      pollRequested = false;
      pollDelay = new AbortController();
      // eslint-disable-next-line no-await-in-loop -- polls are sequential
      await poll().catch(rejectAllWaiters);
      // eslint-disable-next-line no-await-in-loop -- polls are sequential
      if (!pollRequested && waiters.size > 0) await clock.delay(pollMilliseconds, pollDelay.signal);
    }
    polling = false;
  };

  const requestPoll = (): void => {
    pollRequested = true;
    pollDelay.abort();
    if (polling) return;
    polling = true;
    pollWhileWaiting().catch(rejectAllWaiters);
  };

  return {
    register: ({ name, priority, remainingMilliseconds }) => {
      const deadline = now() + remainingMilliseconds;
      const known = demands.get(name);
      demands.set(name, {
        priority: known?.priority === PRIORITY.PERSON ? known.priority : priority,
        earliestDeadline: Math.min(deadline, known?.earliestDeadline ?? deadline),
        latestDeadline: Math.max(deadline, known?.latestDeadline ?? deadline),
      });
    },
    acquire: (name) =>
      new Promise((resolve, reject) => {
        waiters.set(name, { grant: resolve, reject });
        requestPoll();
      }),
    release: (name) => {
      demands.delete(name);
      waiters.delete(name);
      if (heldTurns.delete(name)) requestPoll();
    },
    waiting: () => [...waiters.keys()],
  };
}
