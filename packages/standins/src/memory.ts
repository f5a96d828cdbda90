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

/** What a fault does to one call of the object API. */
export const STORE_FAULT = {
  /** Answers that it is unavailable, without effect. */
  UNAVAILABLE: 'unavailable',
  /** Takes effect, and the answer is lost. */
  ANSWER_LOST: 'answer-lost',
  /** Is lost on its way to the store. */
  REQUEST_LOST: 'request-lost',
  /** The caller has given up when it takes effect; see `deliverLate`. */
  LATE: 'late',
  /** Never answers. */
  HANGS: 'hangs',
} as const;

/** One of {@link STORE_FAULT}. */
export type StoreFault = (typeof STORE_FAULT)[keyof typeof STORE_FAULT];

/** One call as a fault rule sees it. */
export interface StoreCall {
  readonly method: 'GET' | 'PUT' | 'DELETE' | 'WATCH';
  readonly kind: string;
  readonly name?: string;
  readonly value?: unknown;
}

/** Chooses a fault for each call; undefined for none. */
export type StoreFaultRule = (call: StoreCall) => StoreFault | undefined;

/** Object store in this process. */
export interface MemoryStore extends ObjectStore {
  /** Lets calls take effect whose callers have given up. */
  deliverLate(): void;
  /** The same objects behind other faults, as another host meets them. */
  withFaults(rule: StoreFaultRule): ObjectStore;
}

interface Change extends ObjectChange {
  readonly kind: string;
}

const KEPT_CHANGES = 10_000;
const MILLISECONDS_PER_SECOND = 1000;

const lost = (call: StoreCall) =>
  createStoreError(EFFECT.UNKNOWN, `${call.method} ${call.kind} unanswered`);

function createState() {
  const objects = new Map<string, Map<string, StoredObject>>();
  const changes: Change[] = [];
  const waiting = new Set<() => void>();
  let version: Version = 0;

  const ofKind = (kind: string): Map<string, StoredObject> => {
    const found = objects.get(kind) ?? new Map<string, StoredObject>();
    objects.set(kind, found);
    return found;
  };

  const record = (change: Change): WriteAnswer => {
    changes.push(change);
    if (changes.length > KEPT_CHANGES) changes.shift();
    [...waiting].forEach((wake) => wake());
    return { outcome: WRITE_OUTCOME.WRITTEN, version: change.version };
  };

  const matches = ({ kind, name }: ObjectKey, expected: Version): boolean =>
    (ofKind(kind).get(name)?.version ?? 0) === expected;

  const changesAfter = (kind: string, after: Version): Change[] =>
    changes.filter((change) => change.kind === kind && change.version > after);

  const awaitChange = (milliseconds: number): Promise<void> =>
    new Promise((resolve) => {
      const wake = (): void => {
        waiting.delete(wake);
        resolve();
      };
      waiting.add(wake);
      setTimeout(wake, milliseconds).unref();
    });

  return {
    read: ({ kind, name }: ObjectKey) => ofKind(kind).get(name),
    list: (kind: string) => ({ version, objects: [...ofKind(kind).values()] }),
    write: (key: ObjectKey, value: unknown, expected: Version): WriteAnswer => {
      if (!matches(key, expected)) return { outcome: WRITE_OUTCOME.CONFLICT };
      version += 1;
      const stored = { name: key.name, version, value: structuredClone(value) };
      ofKind(key.kind).set(key.name, stored);
      return record({ kind: key.kind, ...stored });
    },
    remove: (key: ObjectKey, expected: Version): WriteAnswer => {
      if (expected === 0 || !matches(key, expected)) return { outcome: WRITE_OUTCOME.CONFLICT };
      version += 1;
      ofKind(key.kind).delete(key.name);
      return record({ kind: key.kind, name: key.name, version });
    },
    watch: async (kind: string, after: Version, seconds: number): Promise<WatchAnswer> => {
      const oldest = changes[0]?.version ?? 1;
      const forgotten = changes.length === KEPT_CHANGES && after < oldest - 1;
      if (forgotten) return { version: after, changes: [], expired: true };
      const end = Date.now() + seconds * MILLISECONDS_PER_SECOND;
      while (changesAfter(kind, after).length === 0 && Date.now() < end) {
        // eslint-disable-next-line no-await-in-loop -- waits for the next change
        await awaitChange(end - Date.now());
      }
      const found = changesAfter(kind, after);
      return {
        version,
        changes: found.map(({ kind: _, ...change }) => change),
        expired: false,
      };
    },
  };
}

/** Creates an empty store. */
export function createMemoryStore(): MemoryStore {
  const state = createState();
  const late: (() => unknown)[] = [];

  const perform = async <Answer>(
    rule: StoreFaultRule,
    call: StoreCall,
    effect: () => Answer | Promise<Answer>,
  ): Promise<Answer> => {
    const fault = rule(call);
    if (fault === STORE_FAULT.HANGS) return new Promise(() => {});
    if (fault === STORE_FAULT.LATE) late.push(effect);
    if (fault === STORE_FAULT.ANSWER_LOST) effect();
    if (fault !== undefined) throw lost(call);
    return effect();
  };

  const withFaults = (rule: StoreFaultRule): ObjectStore => ({
    read: <Value>(key: ObjectKey) =>
      perform(
        rule,
        { method: 'GET', ...key },
        () => state.read(key) as StoredObject<Value> | undefined,
      ),
    list: <Value>(kind: string) =>
      perform(rule, { method: 'GET', kind }, () => {
        const { version, objects } = state.list(kind);
        return { version, objects: objects as StoredObject<Value>[] };
      }),
    write: (key, value, expected) =>
      perform(rule, { method: 'PUT', ...key, value }, () => state.write(key, value, expected)),
    remove: (key, expected) =>
      perform(rule, { method: 'DELETE', ...key }, () => state.remove(key, expected)),
    watch: <Value>(kind: string, after: Version, seconds: number) =>
      perform(
        rule,
        { method: 'WATCH', kind },
        () => state.watch(kind, after, seconds) as Promise<WatchAnswer<Value>>,
      ),
  });

  return {
    ...withFaults(() => undefined),
    withFaults,
    deliverLate: () => late.splice(0).forEach((effect) => effect()),
  };
}
