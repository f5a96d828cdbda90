import { ABSENT, type Incarnation, type StoredObject, type Version } from '@bulrushspar/store';

/** Tokens by workspace. */
export type Credit = Readonly<Record<string, number>>;

/** Record of one slot in the store. */
export interface SlotRecord {
  /** Process that holds the slot; absent while the slot is free. */
  readonly holder?: Incarnation;
  /** Process that announced a takeover because the holder seems gone; the holder may object. */
  readonly contender?: Incarnation;
  /** Workspaces whose initial burst was already issued with this slot; it is issued only once. */
  readonly issued: readonly string[];
  /** Unspent credit that the last holder released together with the slot. */
  readonly credit?: Credit;
  /** Unique for each write. */
  readonly token: string;
}

/** Number of slots into which every workspace's credit is divided. */
export const SLOT_COUNT = 16;
/** Object kind of the slot records; their names are the numbers from 0 to SLOT_COUNT - 1. */
export const SLOT_KIND = 'credit-slot';
type SlotObject = StoredObject<SlotRecord>;

/** A slot with its stored record, or with an empty record if it was never written. */
export interface SlotView {
  readonly name: string;
  readonly version: Version;
  readonly record: SlotRecord;
}

const FREE_SLOT: SlotRecord = { issued: [], token: '' };
const SLOT_NAMES = Array.from({ length: SLOT_COUNT }, (_, index) => String(index));

/** Returns a view of every slot, including slots without a stored object. */
export function buildSlotViews(objects: readonly SlotObject[]): SlotView[] {
  const byName = new Map(objects.map((object) => [object.name, object]));
  return SLOT_NAMES.map((name) => {
    const found = byName.get(name);
    return { name, version: found?.version ?? ABSENT, record: found?.value ?? FREE_SLOT };
  });
}
