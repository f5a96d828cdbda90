import type { Clock } from '@bulrushspar/clock';
import type { ObjectChange, ObjectStore, StoredObject, Version } from './store.js';

/** All objects of a kind, by name. */
export type ObjectView<Value> = ReadonlyMap<string, StoredObject<Value>>;

/** How new a view is. */
export interface ViewVersion {
  /** Version of the store when the view was read or last changed. */
  readonly changedAt: Version;
}

/** Options of {@link followKind}. */
export interface FollowOptions<Value> {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly kind: string;
  /** Called with the whole view after each change. */
  readonly onView: (view: ObjectView<Value>, version: ViewVersion) => void;
  /** Called before each call. */
  readonly onCall?: () => void;
  /** Called after each answer of the store, with or without changes. */
  readonly onAnswer?: () => void;
  /** Called after each call that was not answered. */
  readonly onFailure?: (error: unknown) => void;
  readonly signal: AbortSignal;
  /** Called with the changes of each watch that brought any, before the view they lead to. */
  readonly onChanges?: (changes: readonly ObjectChange<Value>[], version: Version) => void;
  /** Longest wait of one watch call, in seconds. */
  readonly watchSeconds?: number;
  /** Pause after a watch that brought changes, in which further ones gather, in milliseconds. */
  readonly gatherMilliseconds?: () => number;
  /** Pause after a failed call, in milliseconds; it doubles with each failure in a row. */
  readonly pauseMilliseconds?: number;
  readonly longestPauseMilliseconds?: number;
}

interface Cursor<Value> {
  readonly version: Version;
  readonly view: Map<string, StoredObject<Value>>;
}

async function readAll<Value>(options: FollowOptions<Value>): Promise<Cursor<Value>> {
  const list = await options.store.list<Value>(options.kind);
  const view = new Map(list.objects.map((object) => [object.name, object]));
  options.onAnswer?.();
  options.onView(view, { changedAt: list.version });
  return { version: list.version, view };
}

async function readChanges<Value>(
  options: FollowOptions<Value>,
  cursor: Cursor<Value>,
): Promise<Cursor<Value> | undefined> {
  const { store, clock, kind, watchSeconds = 20, gatherMilliseconds = () => 0, signal } = options;
  const answer = await store.watch<Value>(kind, cursor.version, watchSeconds, signal);
  options.onAnswer?.();
  if (answer.expired) return undefined;
  answer.changes.forEach(({ name, version, value }) => {
    if (value === undefined) cursor.view.delete(name);
    else cursor.view.set(name, { name, version, value });
  });
  if (answer.changes.length > 0) options.onChanges?.(answer.changes, answer.version);
  if (answer.changes.length > 0) {
    options.onView(cursor.view, { changedAt: answer.version });
    const gather = gatherMilliseconds();
    if (gather > 0) await clock.delay(gather, signal);
  }
  return { version: answer.version, view: cursor.view };
}

/** Follows all objects of a kind until the signal, through outages of the store. */
export async function followKind<Value>(options: FollowOptions<Value>): Promise<void> {
  const { clock, signal, pauseMilliseconds = 200, longestPauseMilliseconds = 200 } = options;
  let cursor: Cursor<Value> | undefined;
  let pause = pauseMilliseconds;
  while (!signal.aborted) {
    options.onCall?.();
    try {
      // eslint-disable-next-line no-await-in-loop -- each answer says where the next call starts
      cursor = cursor ? await readChanges(options, cursor) : await readAll(options);
      pause = pauseMilliseconds;
    } catch (error) {
      if (signal.aborted) return;
      // What was missed may be more than the history holds.
      cursor = undefined;
      options.onFailure?.(error);
      // eslint-disable-next-line no-await-in-loop -- a pause between calls
      await clock.delay(pause, signal);
      pause = Math.min(longestPauseMilliseconds, pause * 2);
    }
  }
}
