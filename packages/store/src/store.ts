/** Version of an object; each write makes a higher one. */
export type Version = number;

/** Expected version of an object that must not exist yet. */
export const ABSENT: Version = 0;

/** Address of an object. */
export interface ObjectKey {
  readonly kind: string;
  readonly name: string;
}

/** An object as the store holds it. */
export interface StoredObject<Value = unknown> {
  readonly name: string;
  readonly version: Version;
  readonly value: Value;
}

/** All objects of one kind at one moment. */
export interface ObjectList<Value = unknown> {
  /** Where a watch continues from. */
  readonly version: Version;
  readonly objects: readonly StoredObject<Value>[];
}

/** One change seen by a watch; no value means that the object was removed. */
export interface ObjectChange<Value = unknown> {
  readonly name: string;
  readonly version: Version;
  readonly value?: Value;
}

/** What a watch brings; `expired` means that the list must be read anew. */
export interface WatchAnswer<Value = unknown> {
  readonly version: Version;
  readonly changes: readonly ObjectChange<Value>[];
  readonly expired: boolean;
}

/** Results of a conditional write that was answered. */
export const WRITE_OUTCOME = { WRITTEN: 'written', CONFLICT: 'conflict' } as const;

/** Answer to a conditional write. */
export type WriteAnswer =
  | { readonly outcome: typeof WRITE_OUTCOME.WRITTEN; readonly version: Version }
  | { readonly outcome: typeof WRITE_OUTCOME.CONFLICT };

/** Port to the platform's object API. Each method throws a StoreError when unanswered. */
export interface ObjectStore {
  /** @returns the object, or undefined where there is none */
  read<Value>(key: ObjectKey): Promise<StoredObject<Value> | undefined>;
  list<Value>(kind: string): Promise<ObjectList<Value>>;
  /**
   * Writes if the object still has the expected version.
   * @param expected {@link ABSENT} to create
   */
  write(key: ObjectKey, value: unknown, expected: Version): Promise<WriteAnswer>;
  /** Removes if the object still has the expected version. */
  remove(key: ObjectKey, expected: Version): Promise<WriteAnswer>;
  /**
   * Waits for changes of a kind after a version.
   * @param seconds longest wait; the answer is then empty
   */
  watch<Value>(
    kind: string,
    after: Version,
    seconds: number,
    signal?: AbortSignal,
  ): Promise<WatchAnswer<Value>>;
}
