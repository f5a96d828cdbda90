import { startSlowStopwatch, type Clock, type Stopwatch } from '@bulrushspar/clock';
import { messageOf } from '@bulrushspar/errors';
import type { Logger } from '@bulrushspar/logging';
import type { Link } from '@bulrushspar/peer';
import {
  followKind,
  type ObjectChange,
  type ObjectStore,
  type ObjectView,
  type StoredObject,
} from '@bulrushspar/store';
import { MESSAGE, type ChangesMessage, type PullAnswer, type PullMessage } from './messages.js';

/**
 * All objects of one kind. A few hosts watch the store and tell the others what has changed; a host
 * that hears too few of them watches for itself.
 */
export interface Source {
  readonly kind: string;
  /** Version at which the view last changed; 0 before the first view. */
  changedAt(): number;
  /** This host watches the store and was answered lately. */
  watches(): boolean;
  /** Takes changes that another host saw. */
  take(link: Link, message: ChangesMessage): void;
  /** Takes the version at which another host saw the kind change. */
  hear(link: Link, changedAt: number): void;
  /** Answers another host that has missed changes. */
  snapshot(): PullAnswer;
  run(signal: AbortSignal): Promise<void>;
}

/** Options of {@link createSource}. */
export interface SourceOptions {
  readonly kind: string;
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Hosts with a better rank that watch this kind, as far as this host hears. */
  readonly watchersBefore: (kind: string) => number;
  readonly onView: (view: ObjectView<unknown>) => void;
  /** Called with changes that this host saw in the store. */
  readonly onChanges: (message: ChangesMessage) => void;
  /** Called when the store answers again after it had failed. */
  readonly onRegained?: () => void;
  /** Tells whether other hosts will soon give this one its first view. */
  readonly awaitsOthers?: () => boolean;
  /** Longest wait of one watch, in seconds; a silent store shows one second later. */
  readonly watchSeconds?: number;
  /** Pause after a watch that brought changes, in which further ones gather, in milliseconds. */
  readonly gatherMilliseconds?: number;
}

/** Hosts that watch each kind: one may fail while another takes its place. */
const WATCHERS = 2;
/** Time beyond a watch's wait after which it does not count: the store's longest answer. */
const SILENT_MARGIN_MILLISECONDS = 1200;
const MILLISECONDS_PER_SECOND = 1000;
/** Time that changes may take from host to host. */
const BEHIND_MILLISECONDS = 250;
/** Pause of a second host that watches: the first tells it of changes sooner. */
const STANDBY_MILLISECONDS = 400;
/** Time after which a second host that watches tells of changes that the first has not told of. */
const SECOND_MILLISECONDS = 100;
const PULL_MILLISECONDS = 1000;
const LONGEST_PAUSE_MILLISECONDS = 800;
/** Time between looks at whether this host must watch. */
const LOOK_MILLISECONDS = 100;
/** Looks in a row after which a host that need not watch stops. */
const LOOKS_BEFORE_STOPPING = 10;
/** Time after an outage in which entries come back. */
const RETURN_MILLISECONDS = 2000;

/** Creates the source of one kind; it holds nothing until it runs. */
export function createSource(options: SourceOptions): Source {
  const { kind, store, clock, logger, watchersBefore, onView, onChanges } = options;
  const { onRegained = () => {}, awaitsOthers = () => false } = options;
  const { watchSeconds = 1, gatherMilliseconds = 0 } = options;
  const silentMilliseconds = watchSeconds * MILLISECONDS_PER_SECOND + SILENT_MARGIN_MILLISECONDS;
  let view = new Map<string, StoredObject>();
  let changedAt = 0;
  let failing = false;
  let pulling = false;
  /** Version up to which another host has told of changes. */
  let toldVersion = 0;
  let sinceAnswer: Stopwatch | undefined;
  let sinceRegained: Stopwatch | undefined;

  const watches = (): boolean => sinceAnswer !== undefined && sinceAnswer() < silentMilliseconds;
  const mustWatch = (): boolean =>
    changedAt === 0 ? !awaitsOthers() : watchersBefore(kind) < WATCHERS;

  const replace = (next: ObjectView<unknown>, version: number): void => {
    if (version < changedAt) return;
    view = new Map(next);
    changedAt = version;
    onView(view);
  };

  const apply = (changes: readonly ObjectChange[], version: number): void => {
    changes.forEach(({ name, version: changed, value }) => {
      if ((view.get(name)?.version ?? 0) > changed) return;
      if (value === undefined) view.delete(name);
      else view.set(name, { name, version: changed, value });
    });
    changedAt = version;
    onView(view);
  };

  const noteRegained = (): void => {
    sinceRegained = startSlowStopwatch(clock);
    onRegained();
  };

  const pull = async (link: Link): Promise<void> => {
    if (pulling) return;
    pulling = true;
    try {
      const body: PullMessage = { kind };
      const answer = await link.request<PullAnswer>(MESSAGE.PULL, body, PULL_MILLISECONDS);
      if (answer.changedAt <= changedAt) return;
      logger.info('objects taken from another host', {
        kind,
        from: link.peer.host,
        version: answer.changedAt,
        before: changedAt,
      });
      if (answer.afterOutage) onRegained();
      replace(new Map(answer.objects.map((object) => [object.name, object])), answer.changedAt);
    } catch (error) {
      logger.warn('another host gave no objects', { kind, error: messageOf(error) });
    } finally {
      pulling = false;
    }
  };

  const onFailure = (error: unknown): void => {
    if (!failing) logger.warn('store lost', { kind, version: changedAt, error: messageOf(error) });
    failing = true;
    sinceAnswer = undefined;
  };

  const onAnswer = (): void => {
    sinceAnswer = startSlowStopwatch(clock);
    if (!failing) return;
    failing = false;
    logger.info('store regained', { kind, version: changedAt });
    noteRegained();
  };

  /** Tells the others of changes; a host that watches before this one usually does so first. */
  const tell = (message: ChangesMessage): void => {
    if (watchersBefore(kind) === 0) onChanges(message);
    else {
      clock.after(SECOND_MILLISECONDS, () => {
        if (toldVersion < message.changedAt) onChanges(message);
      });
    }
  };

  const watchStore = (signal: AbortSignal): Promise<void> =>
    followKind<unknown>({
      store,
      clock,
      kind,
      signal,
      watchSeconds,
      gatherMilliseconds: () =>
        watchersBefore(kind) === 0 ? gatherMilliseconds : STANDBY_MILLISECONDS,
      longestPauseMilliseconds: LONGEST_PAUSE_MILLISECONDS,
      onAnswer,
      onFailure,
      onChanges: (changes, version) => {
        if (version > changedAt) tell({ kind, since: changedAt, changedAt: version, changes });
      },
      onView: (next, version) => replace(next, version.changedAt),
    });

  /** Aborts once this host has not had to watch for a while. */
  const untilNeedless = (signal: AbortSignal): AbortSignal => {
    const needless = new AbortController();
    let looks = 0;
    const look = (): void => {
      if (signal.aborted || needless.signal.aborted) return;
      looks = mustWatch() ? 0 : looks + 1;
      if (looks >= LOOKS_BEFORE_STOPPING) needless.abort(new Error('other hosts watch'));
      else clock.after(LOOK_MILLISECONDS, look);
    };
    look();
    return AbortSignal.any([signal, needless.signal]);
  };

  return {
    kind,
    changedAt: () => changedAt,
    watches,
    take: (link, message) => {
      toldVersion = Math.max(toldVersion, message.changedAt);
      if (message.changedAt <= changedAt) return;
      if (message.since > changedAt) pull(link).catch(() => {});
      else apply(message.changes, message.changedAt);
    },
    hear: (link, version) => {
      if (version <= changedAt) return;
      clock.after(changedAt === 0 ? 0 : BEHIND_MILLISECONDS, () => {
        if (version > changedAt) pull(link).catch(() => {});
      });
    },
    snapshot: () => ({
      changedAt,
      objects: [...view.values()],
      afterOutage: sinceRegained !== undefined && sinceRegained() < RETURN_MILLISECONDS,
    }),
    run: async (signal) => {
      while (!signal.aborted) {
        /* eslint-disable no-await-in-loop -- this host watches, or looks whether it must */
        if (mustWatch()) {
          await watchStore(untilNeedless(signal));
          sinceAnswer = undefined;
          failing = false;
        } else await clock.delay(LOOK_MILLISECONDS, signal);
        /* eslint-enable no-await-in-loop */
      }
    },
  };
}
