import { isDeepStrictEqual } from 'node:util';
import { SECTIONS, type Configuration, type SectionName } from './schema.js';

/** Change of one entry; `before` is undefined for a new entry, `after` for a removed one. */
export interface EntryChange {
  readonly section: SectionName;
  readonly name: string;
  readonly before?: unknown;
  readonly after?: unknown;
}

/** Formats the name of a changed entry as `section.name`. */
export const formatEntryName = ({ section, name }: EntryChange): string => `${section}.${name}`;

type Entries = Readonly<Record<string, unknown>>;

const getEntries = (configuration: Configuration, section: SectionName): Entries =>
  configuration[section];

function diffSection(section: SectionName, before: Entries, after: Entries): EntryChange[] {
  const names = [...new Set([...Object.keys(before), ...Object.keys(after)])];
  return names
    .filter((name) => !isDeepStrictEqual(before[name], after[name]))
    .map((name) => ({ section, name, before: before[name], after: after[name] }));
}

/** Returns the changes that turn one configuration into the other. */
export function diffConfigurations(before: Configuration, after: Configuration): EntryChange[] {
  return SECTIONS.flatMap((section) =>
    diffSection(section, getEntries(before, section), getEntries(after, section)),
  );
}

/** Returns a copy of a configuration with the changes applied in order. */
export function applyChanges(
  configuration: Configuration,
  changes: readonly EntryChange[],
): Configuration {
  const result: Record<string, Record<string, unknown>> = { ...configuration };
  changes.forEach(({ section, name, after }) => {
    const { [name]: removed, ...others } = result[section]!;
    result[section] = after === undefined ? others : { ...others, [name]: after };
  });
  return result as Configuration;
}

/** Returns a copy of a configuration with the changes reverted, the last one first. */
export function revertChanges(
  configuration: Configuration,
  changes: readonly EntryChange[],
): Configuration {
  const inverse = changes
    .map((change) => ({ ...change, before: change.after, after: change.before }))
    .reverse();
  return applyChanges(configuration, inverse);
}

/** Returns those of the other changes whose entry this side sets to a different value. */
export function findConflicts(
  ownChanges: readonly EntryChange[],
  otherChanges: readonly EntryChange[],
): EntryChange[] {
  const ownByEntry = new Map(ownChanges.map((change) => [formatEntryName(change), change]));
  return otherChanges.filter((change) => {
    const ownChange = ownByEntry.get(formatEntryName(change));
    return ownChange !== undefined && !isDeepStrictEqual(ownChange.after, change.after);
  });
}
