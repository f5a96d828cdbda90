/**
 * Versions of a store that can be restored from an older copy. The restored
 * store assigns revisions again, so that a revision alone neither identifies nor orders anything;
 * each restoration begins a new era.
 */
import { createStoreError, EFFECT } from './failure.js';
import {
  ABSENT,
  WRITE_OUTCOME,
  type ObjectChange,
  type ObjectKey,
  type ObjectList,
  type ObjectStore,
  type StoredObject,
  type Version,
  type WatchAnswer,
  type WriteAnswer,
} from './store.js';

/** Number of revisions that an era can hold; an era and a revision fit into one safe integer. */
const REVISIONS_PER_ERA = 2 ** 40;
/** Number of eras that versions distinguish, beside era 0. */
const MAX_ERA = 2 ** 13 - 1;

const isUpTo = (value: number, max: number): boolean =>
  Number.isInteger(value) && value >= 0 && value <= max;

/**
 * Combines an era and a revision into a version; later eras have greater versions.
 * @throws StoreError if they do not fit into a safe integer
 */
export function composeVersion(era: number, revision: number): Version {
  if (!isUpTo(era, MAX_ERA) || !isUpTo(revision, REVISIONS_PER_ERA - 1)) {
    const message = `era ${era} and revision ${revision} do not fit into a version`;
    throw createStoreError(EFFECT.UNKNOWN, message);
  }
  return era * REVISIONS_PER_ERA + revision;
}

/** @returns the era of a version, or of a fencing number that was derived from one */
export const eraOf = (version: Version): number => Math.floor(version / REVISIONS_PER_ERA);

/** @returns the store's own revision of a version */
export const revisionOf = (version: Version): number => version % REVISIONS_PER_ERA;

/** Era as a store names it: a whole number of any size. */
export type NamedEra = number | bigint;

/**
 * Cycle of a named era, and its number within the cycle, which versions contain. The first cycle
 * keeps the numbers as they are, and only the very first era of a store is 0.
 */
function splitEra(named: NamedEra): { readonly cycle: bigint; readonly era: number } {
  if (typeof named === 'number' && !Number.isSafeInteger(named))
    throw createStoreError(EFFECT.UNKNOWN, `the store names ${named} as its era`);
  const count = BigInt(named);
  if (count < 0n) throw createStoreError(EFFECT.UNKNOWN, `the store names ${named} as its era`);
  if (count === 0n) return { cycle: 0n, era: 0 };
  const length = BigInt(MAX_ERA);
  return { cycle: (count - 1n) / length, era: Number((count - 1n) % length) + 1 };
}

/** What this host knows about the store's era. */
export interface EraTracker {
  /** The newest known era; 0 until the store has named one. */
  current(): number;
  /** Whether an era has been replaced by a later one since this process started. */
  hasChanged(): boolean;
  /**
   * Applies the era of an answer; earlier ones are ignored.
   * @param named undefined if the answer names none
   * @returns the era of the answer as versions contain it; the current one if it names none
   * @throws StoreError if versions of this era cannot be compared with those before
   */
  learn(named: NamedEra | undefined): number;
  /** Whether versions may have begun again from low eras before this process started. */
  mayHaveBegunAnew(): boolean;
  /** Applies the era of a version that another host has told; earlier ones are ignored. */
  learnFromVersion(version: Version): void;
  /**
   * Calls the listener after each change to a later era.
   * @returns a function that removes the listener
   */
  onChange(listener: (era: number) => void): () => void;
}

/** Creates the tracker of a process that has not called the store yet. */
export function createEraTracker(): EraTracker {
  const listeners = new Set<(era: number) => void>();
  let known: number | undefined;
  let cycle: bigint | undefined;
  let changed = false;

  const apply = (era: number): void => {
    if (known !== undefined && era <= known) return;
    const isChange = known !== undefined;
    known = era;
    if (!isChange) return;
    changed = true;
    [...listeners].forEach((listener) => listener(era));
  };

  return {
    current: () => known ?? 0,
    hasChanged: () => changed,
    learn: (named) => {
      if (named === undefined) return known ?? 0;
      const found = splitEra(named);
      cycle ??= found.cycle;
      if (found.cycle !== cycle)
        throw createStoreError(EFFECT.UNKNOWN, `versions of era ${named} would not be in order`);
      apply(found.era);
      return found.era;
    },
    mayHaveBegunAnew: () => cycle !== undefined && cycle > 0n,
    learnFromVersion: (version) => {
      const era = eraOf(version);
      if (isUpTo(era, MAX_ERA)) apply(era);
    },
    onChange: (listener) => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
  };
}

/** Answer of a store, with the era that the store named in it; undefined if it named none. */
export interface DatedAnswer<Answer> {
  readonly era: NamedEra | undefined;
  readonly answer: Answer;
}

/** Store whose versions are revisions, and which names its era in each answer. */
export interface RevisionStore {
  read(key: ObjectKey): Promise<DatedAnswer<StoredObject | undefined>>;
  list(kind: string): Promise<DatedAnswer<ObjectList>>;
  write(key: ObjectKey, value: unknown, expected: number): Promise<DatedAnswer<WriteAnswer>>;
  remove(key: ObjectKey, expected: number): Promise<DatedAnswer<WriteAnswer>>;
  watch(
    kind: string,
    after: number,
    seconds: number,
    signal?: AbortSignal,
  ): Promise<DatedAnswer<WatchAnswer>>;
}

/**
 * Creates an object store whose versions combine era and revision, so that versions of different
 * eras compare as they should. A condition or a watch from an earlier era is never sent: the
 * revision may have been given out again.
 */
export function createEraStore(store: RevisionStore, eras: EraTracker): ObjectStore {
  const learn = ({ era }: DatedAnswer<unknown>): number => eras.learn(era);

  /** Throws if an answer was given before the store was restored. */
  const requireCurrent = (era: number): void => {
    if (era < eras.current())
      throw createStoreError(EFFECT.NONE, 'the answer is from before the store was restored');
  };

  const dateObject = <Value>({ name, version, value }: StoredObject, era: number) => ({
    name,
    version: composeVersion(era, version),
    value: value as Value,
  });

  const isFromEarlierEra = (version: Version): boolean =>
    version !== ABSENT && eraOf(version) !== eras.current();

  /** Makes a conditional call; a condition of an earlier era counts as not met. */
  const callIf = async (
    expected: Version,
    call: () => Promise<DatedAnswer<WriteAnswer>>,
  ): Promise<WriteAnswer> => {
    if (isFromEarlierEra(expected)) return { outcome: WRITE_OUTCOME.CONFLICT };
    const eraBefore = eras.current();
    const dated = await call();
    const era = learn(dated);
    const { answer } = dated;
    if (answer.outcome === WRITE_OUTCOME.CONFLICT) return answer;
    // The revision may have matched by chance, or the write may be lost already.
    if (era !== eras.current() || (eraBefore !== 0 && era !== eraBefore))
      throw createStoreError(EFFECT.UNKNOWN, 'the store was restored around the write');
    return { ...answer, version: composeVersion(era, answer.version) };
  };

  return {
    read: async <Value>(key: ObjectKey) => {
      const dated = await store.read(key);
      const era = learn(dated);
      requireCurrent(era);
      return dated.answer && dateObject<Value>(dated.answer, era);
    },
    list: async <Value>(kind: string) => {
      const dated = await store.list(kind);
      const era = learn(dated);
      requireCurrent(era);
      return {
        version: composeVersion(era, dated.answer.version),
        objects: dated.answer.objects.map((object) => dateObject<Value>(object, era)),
      };
    },
    write: (key, value, expected) =>
      callIf(expected, () => store.write(key, value, revisionOf(expected))),
    remove: (key, expected) => callIf(expected, () => store.remove(key, revisionOf(expected))),
    watch: async <Value>(kind: string, after: Version, seconds: number, signal?: AbortSignal) => {
      const expired = { version: after, changes: [], expired: true };
      if (isFromEarlierEra(after)) return expired;
      const restored = new AbortController();
      const cancelListener = eras.onChange(() => restored.abort(new Error('restored')));
      const signals = signal ? [signal, restored.signal] : [restored.signal];
      try {
        const dated = await store.watch(kind, revisionOf(after), seconds, AbortSignal.any(signals));
        const era = learn(dated);
        if (dated.answer.expired || era !== eraOf(after) || isFromEarlierEra(after)) return expired;
        const changes = dated.answer.changes.map((change): ObjectChange<Value> => ({
          ...(change as ObjectChange<Value>),
          version: composeVersion(era, change.version),
        }));
        return { version: composeVersion(era, dated.answer.version), changes, expired: false };
      } catch (error) {
        if (restored.signal.aborted && !signal?.aborted) return expired;
        throw error;
      } finally {
        cancelListener();
      }
    },
  };
}
