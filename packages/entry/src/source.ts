import { startMonotonicStopwatch, type Clock, type Stopwatch } from '@bulrushspar/clock';
import { errorMessage } from '@bulrushspar/errors';
import type { Logger } from '@bulrushspar/logging';
import type { Link } from '@bulrushspar/peer';
import {
  createEraTracker,
  listAndWatch,
  type EraTracker,
  type ObjectChange,
  type ObjectStore,
  type ObjectView,
  type StoredObject,
} from '@bulrushspar/store';
import { MESSAGE, type ChangesMessage, type PullAnswer, type PullMessage } from './messages.js';
import { CHECK_INTERVAL_MILLISECONDS, computeWatchTimes } from './staleness.js';

/**
 * Replicates all objects of one kind. A few hosts watch the store and broadcast the changes. A host
 * that receives reports of too few watchers watches the store itself.
 */
export interface KindFollower {
  readonly kind: string;
  /** Version at which the view last changed; 0 until there is a view. */
  changedAt(): number;
  /** Whether this host watches the store and has received a recent answer. */
  isWatching(): boolean;
  /** Applies changes broadcast by another host; pulls all objects if earlier ones are missing. */
  receiveChanges(link: Link, message: ChangesMessage): void;
  /** Summary of this view, to be compared with those of other hosts. */
  describe(): ViewSummary;
  /** Compares with the view of another host, and pulls its objects if this view stays behind. */
  receiveSummary(link: Link, summary: ViewSummary): void;
  /** Returns all objects, for a host that has missed changes. */
  snapshot(): PullAnswer;
  run(signal: AbortSignal): Promise<void>;
}

/** What a host tells others about its view of one kind. */
export interface ViewSummary {
  /** Version at which the view last changed. */
  readonly changedAt: number;
  /** Equal for views with the same objects and versions. */
  readonly digest?: string | undefined;
  /** Greatest rank of an object; absent for a kind without ranks. */
  readonly rank?: number | undefined;
}

/** Options of {@link createKindFollower}. */
export interface KindFollowerOptions {
  readonly kind: string;
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Number of hosts with a better rank that report to watch this kind. */
  readonly countBetterRankedWatchers: (kind: string) => number;
  /**
   * Called with each new view.
   * @param ageMilliseconds longest time since the changes were made; Infinity if it is not known
   */
  readonly onView: (view: ObjectView<unknown>, ageMilliseconds: number) => void;
  /** Called with changes from the store that other hosts need. */
  readonly onChanges: (message: ChangesMessage) => void;
  /** Called when the store answers again after a failure, to this host or to one it pulls from. */
  readonly onStoreRecovered?: () => void;
  /** Learns the store's era from the versions of other hosts. */
  readonly eras?: EraTracker;
  /**
   * Returns the rank of a value. An object never goes back to a value of lower rank, also if the
   * store does.
   */
  readonly rankOf?: (value: unknown) => number;
  /** Whether to wait for the first view from another host instead of reading the store. */
  readonly awaitsFirstView?: () => boolean;
  /**
   * Time in which a change must reach this host if any host reaches the store, in milliseconds; 3.4 s by
   * default.
   */
  readonly stalenessMilliseconds?: number | undefined;
  /** Longest wait of one watch, in seconds; it follows from the staleness by default. */
  readonly watchSeconds?: number;
  /** Pause after a watch that returned changes, to batch further ones, in milliseconds. */
  readonly batchMilliseconds?: number;
}

/** Number of hosts that watch each kind; with 2, one keeps watching while the other is replaced. */
const WATCHERS_PER_KIND = 2;
/** Time beyond the given wait of a watch after which it is not valid; the store's longest answer time. */
const ANSWER_MARGIN_MILLISECONDS = 1200;
const MILLISECONDS_PER_SECOND = 1000;
/** Time allowed for a broadcast change to arrive before the objects are pulled. */
const PROPAGATION_MILLISECONDS = 250;
/** Time after which a standby watcher broadcasts a change not received from another host. */
const STANDBY_BROADCAST_MILLISECONDS = 100;
const PULL_TIMEOUT_MILLISECONDS = 1000;
const MAX_RETRY_DELAY_MILLISECONDS = 800;
/** Consecutive checks without need after which a watching host stops. */
const CHECKS_BEFORE_STOPPING = 10;
/** Time after an outage within which entries reappear in the store. */
const RECOVERY_MILLISECONDS = 2000;

/** Primes of the two factors that a version contributes to a digest. */
const DIGEST_PRIMES = [65_521, 65_519] as const;

/** Computes a digest of the names and versions of objects, whatever their order. */
function computeDigest(view: ObjectView<unknown>): string {
  const [first, second] = DIGEST_PRIMES;
  let sum = 0;
  view.forEach(({ version }) => {
    sum += (version % first) * (version % second);
  });
  return `${view.size}:${sum}`;
}

/** Creates the follower of one kind; it has no objects until it runs. */
export function createKindFollower(options: KindFollowerOptions): KindFollower {
  const { kind, store, clock, logger, countBetterRankedWatchers, onView, onChanges } = options;
  const { onStoreRecovered = () => {}, awaitsFirstView = () => false } = options;
  const { batchMilliseconds = 0, rankOf, eras = createEraTracker() } = options;
  const times = computeWatchTimes(options.stalenessMilliseconds);
  const { watchSeconds = times.watchMilliseconds / MILLISECONDS_PER_SECOND } = options;
  const validMilliseconds =
    options.watchSeconds === undefined
      ? times.validMilliseconds
      : watchSeconds * MILLISECONDS_PER_SECOND + ANSWER_MARGIN_MILLISECONDS;
  let view = new Map<string, StoredObject>();
  /** Digest of the view; undefined until it is needed after a change. */
  let digest: string | undefined;
  let changedAt = 0;
  let isFailing = false;
  let isPulling = false;
  /** Newest version of the changes received from other hosts. */
  let receivedVersion = 0;
  let sinceAnswer: Stopwatch | undefined;
  /** Time between the last two answers of the store. */
  let answerGapMilliseconds = Infinity;
  let sinceRecovered: Stopwatch | undefined;

  const isWatching = (): boolean => sinceAnswer !== undefined && sinceAnswer() < validMilliseconds;
  const mustWatch = (): boolean =>
    changedAt === 0 ? !awaitsFirstView() : countBetterRankedWatchers(kind) < WATCHERS_PER_KIND;

  const rankOfObject = (object: StoredObject | undefined): number =>
    object && rankOf ? rankOf(object.value) : 0;

  const describe = (): ViewSummary => {
    digest ??= computeDigest(view);
    return { changedAt, digest, ...(rankOf ? { rank: rank() } : {}) };
  };

  const rank = (): number => Math.max(0, ...[...view.values()].map(rankOfObject));

  /** Takes an object from the store, with the known value if that one ranks higher. */
  const mergeObject = (next: StoredObject): StoredObject => {
    const known = view.get(next.name);
    return known && rankOfObject(known) > rankOfObject(next)
      ? { ...next, value: known.value }
      : next;
  };

  const replaceView = (
    next: ObjectView<unknown>,
    version: number,
    ageMilliseconds = Infinity,
  ): void => {
    if (version < changedAt) return;
    const merged = new Map([...next].map(([name, object]) => [name, mergeObject(object)]));
    view.forEach((known, name) => {
      if (rankOfObject(known) > 0 && !merged.has(name)) merged.set(name, known);
    });
    view = merged;
    digest = undefined;
    changedAt = version;
    onView(view, ageMilliseconds);
  };

  const applyChanges = (
    changes: readonly ObjectChange[],
    version: number,
    ageMilliseconds: number,
  ): void => {
    changes.forEach(({ name, version: changed, value }) => {
      if ((view.get(name)?.version ?? 0) > changed) return;
      if (value !== undefined) view.set(name, mergeObject({ name, version: changed, value }));
      else if (rankOfObject(view.get(name)) === 0) view.delete(name);
    });
    digest = undefined;
    changedAt = version;
    onView(view, ageMilliseconds);
  };

  const recordRecovery = (): void => {
    sinceRecovered = startMonotonicStopwatch(clock);
    onStoreRecovered();
  };

  const pull = async (link: Link): Promise<void> => {
    if (isPulling) return;
    isPulling = true;
    try {
      const body: PullMessage = { kind };
      const answer = await link.request<PullAnswer>(MESSAGE.PULL, body, PULL_TIMEOUT_MILLISECONDS);
      const objects = new Map(answer.objects.map((object) => [object.name, object]));
      const hasHigherRank = answer.objects.some(
        (object) => rankOfObject(object) > rankOfObject(view.get(object.name)),
      );
      if (answer.changedAt <= changedAt && !hasHigherRank) return;
      logger.info('objects pulled from another host', {
        kind,
        from: link.peer.host,
        version: answer.changedAt,
        before: changedAt,
      });
      if (answer.afterOutage) onStoreRecovered();
      if (answer.changedAt >= changedAt) replaceView(objects, answer.changedAt);
      else {
        // Only what ranks higher is newer than the objects of this host.
        objects.forEach((object, name) => {
          const known = view.get(name);
          if (rankOfObject(object) > rankOfObject(known))
            view.set(name, { ...object, version: known?.version ?? object.version });
        });
        digest = undefined;
        onView(view, Infinity);
      }
    } catch (error) {
      logger.warn('pulling objects from another host failed', { kind, error: errorMessage(error) });
    } finally {
      isPulling = false;
    }
  };

  const onFailure = (error: unknown): void => {
    if (!isFailing)
      logger.warn('store lost', { kind, version: changedAt, error: errorMessage(error) });
    isFailing = true;
    sinceAnswer = undefined;
  };

  const onAnswer = (): void => {
    answerGapMilliseconds = sinceAnswer?.() ?? Infinity;
    sinceAnswer = startMonotonicStopwatch(clock);
    if (!isFailing) return;
    isFailing = false;
    logger.info('store regained', { kind, version: changedAt });
    recordRecovery();
  };

  /** Broadcasts changes; a standby watcher does so only if the first watcher has not. */
  const broadcastChanges = (message: ChangesMessage): void => {
    if (countBetterRankedWatchers(kind) === 0) onChanges(message);
    else {
      const { age = 0 } = message;
      clock.after(STANDBY_BROADCAST_MILLISECONDS, () => {
        if (receivedVersion < message.changedAt)
          onChanges({ ...message, age: age + STANDBY_BROADCAST_MILLISECONDS });
      });
    }
  };

  const watchStore = (signal: AbortSignal): Promise<void> =>
    listAndWatch<unknown>({
      store,
      clock,
      kind,
      signal,
      watchSeconds,
      batchDelayMilliseconds: () =>
        countBetterRankedWatchers(kind) === 0 ? batchMilliseconds : times.standbyPauseMilliseconds,
      maxRetryDelayMilliseconds: MAX_RETRY_DELAY_MILLISECONDS,
      onAnswer,
      onFailure,
      onChanges: (changes, version) => {
        const age = Number.isFinite(answerGapMilliseconds) ? { age: answerGapMilliseconds } : {};
        if (version > changedAt)
          broadcastChanges({ kind, since: changedAt, changedAt: version, changes, ...age });
      },
      onView: (next, version) => replaceView(next, version.changedAt, answerGapMilliseconds),
    });

  /** Returns a signal that aborts once other hosts have watched for a number of checks in a row. */
  const abortWhenNotNeeded = (signal: AbortSignal): AbortSignal => {
    const notNeeded = new AbortController();
    let idleChecks = 0;
    const check = (): void => {
      if (signal.aborted || notNeeded.signal.aborted) return;
      idleChecks = mustWatch() ? 0 : idleChecks + 1;
      if (idleChecks >= CHECKS_BEFORE_STOPPING) notNeeded.abort(new Error('other hosts watch'));
      else clock.after(CHECK_INTERVAL_MILLISECONDS, check);
    };
    check();
    return AbortSignal.any([signal, notNeeded.signal]);
  };

  return {
    kind,
    changedAt: () => changedAt,
    isWatching,
    describe,
    receiveChanges: (link, message) => {
      eras.learnFromVersion(message.changedAt);
      receivedVersion = Math.max(receivedVersion, message.changedAt);
      if (message.changedAt <= changedAt) return;
      if (message.since > changedAt) pull(link).catch(() => {});
      else applyChanges(message.changes, message.changedAt, message.age ?? 0);
    },
    receiveSummary: (link, summary) => {
      const { changedAt: version, rank: otherRank = 0 } = summary;
      eras.learnFromVersion(version);
      // Hosts that list the same objects at different times differ in the version of their lists.
      if (version > changedAt && changedAt > 0 && summary.digest === describe().digest)
        changedAt = version;
      const isBehind = (): boolean => version > changedAt || otherRank > rank();
      if (!isBehind()) return;
      clock.after(changedAt === 0 ? 0 : PROPAGATION_MILLISECONDS, () => {
        if (isBehind()) pull(link).catch(() => {});
      });
    },
    snapshot: () => ({
      changedAt,
      objects: [...view.values()],
      afterOutage: sinceRecovered !== undefined && sinceRecovered() < RECOVERY_MILLISECONDS,
    }),
    run: async (signal) => {
      while (!signal.aborted) {
        /* eslint-disable no-await-in-loop -- watches and checks are sequential */
        if (mustWatch()) {
          await watchStore(abortWhenNotNeeded(signal));
          sinceAnswer = undefined;
          isFailing = false;
        } else await clock.delay(CHECK_INTERVAL_MILLISECONDS, signal);
        /* eslint-enable no-await-in-loop */
      }
    },
  };
}
