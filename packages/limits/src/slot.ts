import { ABSENT, type Incarnation, type StoredObject, type Version } from '@bulrushspar/store';

/** Tokens by workspace. */
export type Credit = Readonly<Record<string, number>>;

/** What the store holds of one slot. */
export interface SlotRecord {
  /** Nobody where absent. */
  readonly holder?: Incarnation;
  /** Who announced that the holder seems gone; the holder may object. */
  readonly contender?: Incarnation;
  /** Workspaces whose first full burst was given out with this slot, once and for all. */
  readonly issued: readonly string[];
  /** Credit that the last holder left behind. */
  readonly credit?: Credit;
  /** Unique for each write. */
  readonly token: string;
}

/** Slots into which every workspace's credit is divided. */
export const SLOT_COUNT = 16;
/** Kind of the slot records; named by number. */
export const SLOT_KIND = 'credit-slot';
type SlotObject = StoredObject<SlotRecord>;

/** A slot as the store shows it, also where it was never written. */
export interface SlotView {
  readonly name: string;
  readonly version: Version;
  readonly record: SlotRecord;
}

const FREE: SlotRecord = { issued: [], token: '' };
const SLOT_NAMES = Array.from({ length: SLOT_COUNT }, (_, index) => String(index));

/** Shows every slot. */
export function viewSlots(objects: readonly SlotObject[]): SlotView[] {
  const byName = new Map(objects.map((object) => [object.name, object]));
  return SLOT_NAMES.map((name) => {
    const found = byName.get(name);
    return { name, version: found?.version ?? ABSENT, record: found?.value ?? FREE };
  });
}
