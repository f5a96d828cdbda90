/** Version of an object; increases with each write. */
export type Version = number;

/** Expected version of a write that creates an object. */
export const ABSENT: Version = 0;

/** Kind and name that identify an object. */
export interface ObjectKey {
  readonly kind: string;
  readonly name: string;
}

/** A stored object with its version. */
export interface StoredObject<Value = unknown> {
  readonly name: string;
  readonly version: Version;
  /** Null in place of a value that cannot be used. */
  readonly value: Value;
}

/** Snapshot of all objects of one kind. */
export interface ObjectList<Value = unknown> {
  /** Version from which a watch continues. */
  readonly version: Version;
  readonly objects: readonly StoredObject<Value>[];
}

/** Change reported by a watch; `value` is undefined if the object was removed. */
export interface ObjectChange<Value = unknown> {
  readonly name: string;
  readonly version: Version;
  readonly value?: Value;
}

/** Answer to a watch; `expired` means that the objects must be listed again. */
export interface WatchAnswer<Value = unknown> {
  readonly version: Version;
  readonly changes: readonly ObjectChange<Value>[];
  readonly expired: boolean;
}

/** Outcomes of a conditional write that was answered. */
export const WRITE_OUTCOME = { WRITTEN: 'written', CONFLICT: 'conflict' } as const;

/** Answer to a conditional write. */
export type WriteAnswer =
  | { readonly outcome: typeof WRITE_OUTCOME.WRITTEN; readonly version: Version }
  | { readonly outcome: typeof WRITE_OUTCOME.CONFLICT };

/** Interface to the platform's object API. Methods reject with a StoreError without an answer. */
export interface ObjectStore {
  /** @returns the object, or undefined if it does not exist */
  read<Value>(key: ObjectKey): Promise<StoredObject<Value> | undefined>;
  list<Value>(kind: string): Promise<ObjectList<Value>>;
  /**
   * Writes the object if it still has the expected version.
   * @param expected {@link ABSENT} to create
   */
  write(key: ObjectKey, value: unknown, expected: Version): Promise<WriteAnswer>;
  /** Removes the object if it still has the expected version. */
  remove(key: ObjectKey, expected: Version): Promise<WriteAnswer>;
  /**
   * Long-polls for changes to objects of a kind after a version.
   * @param seconds longest wait, after which the answer has no changes
   */
  watch<Value>(
    kind: string,
    after: Version,
    seconds: number,
    signal?: AbortSignal,
  ): Promise<WatchAnswer<Value>>;
}
