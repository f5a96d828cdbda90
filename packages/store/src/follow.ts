import type { Clock } from '@bulrushspar/clock';
import type { ObjectChange, ObjectStore, StoredObject, Version, WatchAnswer } from './store.js';

/** All objects of a kind, by name. */
export type ObjectView<Value> = ReadonlyMap<string, StoredObject<Value>>;

/** Version of a view. */
export interface ViewVersion {
  /** Version of the store when the view was read or last changed. */
  readonly changedAt: Version;
}

/** Options of {@link listAndWatch}. */
export interface ListAndWatchOptions<Value> {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly kind: string;
  /** Called with the complete view after the list is read and after each change. */
  readonly onView: (view: ObjectView<Value>, version: ViewVersion) => void;
  /** Called before each call to the store. */
  readonly onCall?: () => void;
  /** Called after each answer of the store, whether or not it contains changes. */
  readonly onAnswer?: () => void;
  /** Called after each call that failed. */
  readonly onFailure?: (error: unknown) => void;
  readonly signal: AbortSignal;
  /** Called with the changes of each watch answer that has any, before `onView`. */
  readonly onChanges?: (changes: readonly ObjectChange<Value>[], version: Version) => void;
  /** Longest wait of one watch call, in seconds; 20 by default. */
  readonly watchSeconds?: number;
  /**
   * Delay after a watch answer with changes, in milliseconds, so that the next watch call returns
   * further changes in one batch; no delay by default.
   */
  readonly batchDelayMilliseconds?: () => number;
  /** Delay after a failed call, in milliseconds; doubles with each consecutive failure. */
  readonly retryDelayMilliseconds?: number;
  /** Upper limit of the delay after a failed call, in milliseconds. */
  readonly maxRetryDelayMilliseconds?: number;
}

interface Cursor<Value> {
  readonly version: Version;
  readonly view: Map<string, StoredObject<Value>>;
}

async function listAll<Value>(options: ListAndWatchOptions<Value>): Promise<Cursor<Value>> {
  const list = await options.store.list<Value>(options.kind);
  const view = new Map(list.objects.map((object) => [object.name, object]));
  options.onAnswer?.();
  options.onView(view, { changedAt: list.version });
  return { version: list.version, view };
}

/**
 * Returns the version of the last change in an answer. The answer's own version also counts changes
 * of other kinds, so that two hosts with the same objects would seem to differ.
 */
function lastChangeOf<Value>({ changes, version }: WatchAnswer<Value>, after: Version): Version {
  const versions = changes.map((change) => change.version);
  // A deletion may come with the version of the change before it.
  return versions.every((changed) => changed > after) ? Math.max(...versions) : version;
}

async function watchChanges<Value>(
  options: ListAndWatchOptions<Value>,
  cursor: Cursor<Value>,
): Promise<Cursor<Value> | undefined> {
  const {
    store,
    clock,
    kind,
    watchSeconds = 20,
    batchDelayMilliseconds = () => 0,
    signal,
  } = options;
  const answer = await store.watch<Value>(kind, cursor.version, watchSeconds, signal);
  options.onAnswer?.();
  if (answer.expired) return undefined;
  answer.changes.forEach(({ name, version, value }) => {
    if (value === undefined) cursor.view.delete(name);
    else cursor.view.set(name, { name, version, value });
  });
  if (answer.changes.length > 0) {
    const changedAt = lastChangeOf(answer, cursor.version);
    options.onChanges?.(answer.changes, changedAt);
    options.onView(cursor.view, { changedAt });
    const batchDelay = batchDelayMilliseconds();
    if (batchDelay > 0) await clock.delay(batchDelay, signal);
  }
  return { version: answer.version, view: cursor.view };
}

/**
 * Lists all objects of a kind and watches their changes until the signal aborts. Retries with
 * backoff while the store is unavailable.
 */
export async function listAndWatch<Value>(options: ListAndWatchOptions<Value>): Promise<void> {
  const { clock, signal, retryDelayMilliseconds = 200, maxRetryDelayMilliseconds = 200 } = options;
  let cursor: Cursor<Value> | undefined;
  let retryDelay = retryDelayMilliseconds;
  while (!signal.aborted) {
    options.onCall?.();
    try {
      // eslint-disable-next-line no-await-in-loop -- each answer contains the version from which the next watch continues
      cursor = cursor ? await watchChanges(options, cursor) : await listAll(options);
      retryDelay = retryDelayMilliseconds;
    } catch (error) {
      if (signal.aborted) return;
      // The missed changes may exceed the history of the store, so the objects are listed again.
      cursor = undefined;
      options.onFailure?.(error);
      // eslint-disable-next-line no-await-in-loop -- delays the next call
      await clock.delay(retryDelay, signal);
      retryDelay = Math.min(maxRetryDelayMilliseconds, retryDelay * 2);
    }
  }
}
