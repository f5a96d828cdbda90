import {
  createStoreError,
  EFFECT,
  WRITE_OUTCOME,
  type ObjectChange,
  type ObjectKey,
  type ObjectStore,
  type StoredObject,
  type Version,
  type WatchAnswer,
  type WriteAnswer,
} from '@bulrushspar/store';

/** Faults that a test injects into calls of the object API. */
export const STORE_FAULT = {
  /** The store responds that it is unavailable; the call has no effect. */
  UNAVAILABLE: 'unavailable',
  /** The call takes effect, but its response is lost. */
  ANSWER_LOST: 'answer-lost',
  /** The request is lost before it reaches the store. */
  REQUEST_LOST: 'request-lost',
  /** The call fails for its caller and takes effect later, on `applyLateCalls`. */
  LATE: 'late',
  /** The call has no effect and never returns. */
  HANGS: 'hangs',
} as const;

/** One of {@link STORE_FAULT}. */
export type StoreFault = (typeof STORE_FAULT)[keyof typeof STORE_FAULT];

/** Call of the object API, as passed to a fault rule. */
export interface StoreCall {
  readonly method: 'GET' | 'PUT' | 'DELETE' | 'WATCH';
  readonly kind: string;
  readonly name?: string;
  readonly value?: unknown;
}

/** Selects the fault of a call; undefined for none. */
export type StoreFaultRule = (call: StoreCall) => StoreFault | undefined;

/** Object store in the memory of this process. */
export interface MemoryStore extends ObjectStore {
  /** Applies the calls that {@link STORE_FAULT}.LATE has held back, in order. */
  applyLateCalls(): void;
  /** Returns a copy of all objects, from which the store can be restored. */
  copy(): StoreCopy;
  /**
   * Restores the objects and the version counter from a copy. Watches from later versions expire,
   * and versions are given out again.
   */
  restore(copy: StoreCopy): void;
  /** Number of times that the store was restored. */
  era(): number;
  /** Returns a client of the same objects with its own fault rule, as for another host. */
  withFaults(rule: StoreFaultRule): ObjectStore;
}

/** Objects and version counter of a store at one time. */
export interface StoreCopy {
  readonly version: Version;
  readonly objects: ReadonlyMap<string, ReadonlyMap<string, StoredObject>>;
}

interface Change extends ObjectChange {
  readonly kind: string;
}

const MAX_KEPT_CHANGES = 10_000;
const MILLISECONDS_PER_SECOND = 1000;

const createUnansweredError = (call: StoreCall) =>
  createStoreError(EFFECT.UNKNOWN, `${call.method} ${call.kind} unanswered`);

function createObjectState() {
  const objects = new Map<string, Map<string, StoredObject>>();
  const changes: Change[] = [];
  const wakeWaitingWatches = new Set<() => void>();
  let version: Version = 0;
  let era = 0;

  const getObjectsOfKind = (kind: string): Map<string, StoredObject> => {
    const objectsOfKind = objects.get(kind) ?? new Map<string, StoredObject>();
    objects.set(kind, objectsOfKind);
    return objectsOfKind;
  };

  const recordChange = (change: Change): WriteAnswer => {
    changes.push(change);
    if (changes.length > MAX_KEPT_CHANGES) changes.shift();
    [...wakeWaitingWatches].forEach((wake) => wake());
    return { outcome: WRITE_OUTCOME.WRITTEN, version: change.version };
  };

  const hasVersion = ({ kind, name }: ObjectKey, expected: Version): boolean =>
    (getObjectsOfKind(kind).get(name)?.version ?? 0) === expected;

  const changesAfter = (kind: string, after: Version): Change[] =>
    changes.filter((change) => change.kind === kind && change.version > after);

  const awaitChange = (milliseconds: number): Promise<void> =>
    new Promise((resolve) => {
      const wake = (): void => {
        wakeWaitingWatches.delete(wake);
        resolve();
      };
      wakeWaitingWatches.add(wake);
      setTimeout(wake, milliseconds).unref();
    });

  return {
    era: () => era,
    copy: (): StoreCopy => ({
      version,
      objects: new Map([...objects].map(([kind, ofKind]) => [kind, new Map(ofKind)])),
    }),
    restore: (copy: StoreCopy): void => {
      era += 1;
      version = copy.version;
      objects.clear();
      copy.objects.forEach((ofKind, kind) => objects.set(kind, new Map(ofKind)));
      const kept = changes.filter((change) => change.version <= version);
      changes.splice(0, changes.length, ...kept);
      [...wakeWaitingWatches].forEach((wake) => wake());
    },
    read: ({ kind, name }: ObjectKey) => getObjectsOfKind(kind).get(name),
    list: (kind: string) => ({ version, objects: [...getObjectsOfKind(kind).values()] }),
    write: (key: ObjectKey, value: unknown, expected: Version): WriteAnswer => {
      if (!hasVersion(key, expected)) return { outcome: WRITE_OUTCOME.CONFLICT };
      version += 1;
      const stored = { name: key.name, version, value: structuredClone(value) };
      getObjectsOfKind(key.kind).set(key.name, stored);
      return recordChange({ kind: key.kind, ...stored });
    },
    remove: (key: ObjectKey, expected: Version): WriteAnswer => {
      if (expected === 0 || !hasVersion(key, expected)) return { outcome: WRITE_OUTCOME.CONFLICT };
      version += 1;
      getObjectsOfKind(key.kind).delete(key.name);
      return recordChange({ kind: key.kind, name: key.name, version });
    },
    watch: async (kind: string, after: Version, seconds: number): Promise<WatchAnswer> => {
      const oldest = changes[0]?.version ?? 1;
      const isForgotten = changes.length === MAX_KEPT_CHANGES && after < oldest - 1;
      if (isForgotten || after > version) return { version: after, changes: [], expired: true };
      const end = Date.now() + seconds * MILLISECONDS_PER_SECOND;
      while (changesAfter(kind, after).length === 0 && after <= version && Date.now() < end) {
        // eslint-disable-next-line no-await-in-loop -- waits for the next change
        await awaitChange(end - Date.now());
      }
      if (after > version) return { version: after, changes: [], expired: true };
      const found = changesAfter(kind, after);
      return {
        version,
        changes: found.map(({ kind: _, ...change }) => change),
        expired: false,
      };
    },
  };
}

/** Creates an empty in-memory store. */
export function createMemoryStore(): MemoryStore {
  const state = createObjectState();
  const delayedCalls: (() => unknown)[] = [];

  const executeWithFault = async <Answer>(
    rule: StoreFaultRule,
    call: StoreCall,
    execute: () => Answer | Promise<Answer>,
  ): Promise<Answer> => {
    const fault = rule(call);
    if (fault === STORE_FAULT.HANGS) return new Promise(() => {});
    if (fault === STORE_FAULT.LATE) delayedCalls.push(execute);
    if (fault === STORE_FAULT.ANSWER_LOST) execute();
    if (fault !== undefined) throw createUnansweredError(call);
    return execute();
  };

  const withFaults = (rule: StoreFaultRule): ObjectStore => ({
    read: <Value>(key: ObjectKey) =>
      executeWithFault(
        rule,
        { method: 'GET', ...key },
        () => state.read(key) as StoredObject<Value> | undefined,
      ),
    list: <Value>(kind: string) =>
      executeWithFault(rule, { method: 'GET', kind }, () => {
        const { version, objects } = state.list(kind);
        return { version, objects: objects as StoredObject<Value>[] };
      }),
    write: (key, value, expected) =>
      executeWithFault(rule, { method: 'PUT', ...key, value }, () =>
        state.write(key, value, expected),
      ),
    remove: (key, expected) =>
      executeWithFault(rule, { method: 'DELETE', ...key }, () => state.remove(key, expected)),
    watch: <Value>(kind: string, after: Version, seconds: number) =>
      executeWithFault(
        rule,
        { method: 'WATCH', kind },
        () => state.watch(kind, after, seconds) as Promise<WatchAnswer<Value>>,
      ),
  });

  return {
    ...withFaults(() => undefined),
    withFaults,
    copy: state.copy,
    restore: state.restore,
    era: state.era,
    applyLateCalls: () => delayedCalls.splice(0).forEach((execute) => execute()),
  };
}
