import { createHash } from 'node:crypto';
import { ABSENT, WRITE_OUTCOME, type ObjectStore, type Version } from '@bulrushspar/store';
import { applyChanges, type EntryChange } from './delta.js';
import { documentSchema, SECTIONS, type Configuration, type SectionName } from './schema.js';

/** One accepted change of the configuration. */
export interface AcceptedChange {
  readonly generation: number;
  readonly entries: readonly EntryChange[];
  /** Team that made the change. */
  readonly author: string;
  /** ISO 8601 time. */
  readonly at: string;
  /** Unique for each change; identifies it when the root is read back after a lost answer. */
  readonly token: string;
}

/** Value of the root object; a change is accepted by the conditional update of this one object. */
export interface ConfigurationRoot {
  readonly generation: number;
  readonly snapshotGeneration: number;
  /** Name of the object with the snapshot of each section. */
  readonly sections: Readonly<Record<SectionName, string>>;
  /** Changes after the snapshot, the oldest first. */
  readonly changes: readonly AcceptedChange[];
  /** Author, time and token of the newest change. */
  readonly newest: Omit<AcceptedChange, 'entries'>;
}

/** A configuration and its generation. */
export interface AcceptedConfiguration {
  readonly generation: number;
  readonly configuration: Configuration;
}

/** Kind of the root object in the store. */
export const ROOT_KIND = 'configuration';
const ROOT_NAME = 'root';
/** Key of the root object in the store. */
export const ROOT_KEY = { kind: ROOT_KIND, name: ROOT_NAME } as const;
const SECTION_KIND = 'configuration-section';
const HISTORY_KIND = 'configuration-history';
const GENERATION_DIGITS = 12;

/** Configuration of a fleet before the first commit. */
export const EMPTY_CONFIGURATION: AcceptedConfiguration = {
  generation: 0,
  configuration: documentSchema.parse({}),
};

async function writeIfAbsent(store: ObjectStore, kind: string, name: string, value: unknown) {
  const existing = await store.read({ kind, name });
  if (existing) return;
  const answer = await store.write({ kind, name }, value, ABSENT);
  // A conflict means that another host wrote the same content-addressed object first.
  if (answer.outcome !== WRITE_OUTCOME.WRITTEN) await store.read({ kind, name });
}

async function writeSection(store: ObjectStore, section: SectionName, content: unknown) {
  const digest = createHash('sha256').update(JSON.stringify(content)).digest('hex');
  const name = `${section}-${digest}`;
  await writeIfAbsent(store, SECTION_KIND, name, content);
  return name;
}

/**
 * Writes each section to its own content-addressed object.
 * @returns the name of the object of each section
 */
export async function writeSections(
  store: ObjectStore,
  configuration: Configuration,
): Promise<Readonly<Record<SectionName, string>>> {
  const names = await Promise.all(
    SECTIONS.map((section) => writeSection(store, section, configuration[section])),
  );
  return Object.fromEntries(SECTIONS.map((section, index) => [section, names[index]])) as Readonly<
    Record<SectionName, string>
  >;
}

/** Writes changes that no longer fit into the root object to the history. */
export async function writeHistory(
  store: ObjectStore,
  changes: readonly AcceptedChange[],
): Promise<void> {
  const last = changes.at(-1);
  if (!last) return;
  const name = `${String(last.generation).padStart(GENERATION_DIGITS, '0')}-${last.token}`;
  await writeIfAbsent(store, HISTORY_KIND, name, changes);
}

/**
 * Reads the accepted changes in the root object and in the history.
 * @returns all changes up to the root's generation, the newest first
 */
export async function readHistory(store: ObjectStore): Promise<readonly AcceptedChange[]> {
  const [root, batches] = await Promise.all([
    store.read<ConfigurationRoot>(ROOT_KEY),
    store.list<readonly AcceptedChange[]>(HISTORY_KIND),
  ]);
  if (!root) return [];
  const current = root.value;
  const accepted = new Map<number, AcceptedChange>();
  batches.objects
    .flatMap(({ value }) => value)
    .filter(({ generation }) => generation <= current.generation)
    .forEach((change) => accepted.set(change.generation, change));
  current.changes.forEach((change) => accepted.set(change.generation, change));
  return [...accepted.values()].sort((a, b) => b.generation - a.generation);
}

async function readSection(store: ObjectStore, name: string): Promise<unknown> {
  const object = await store.read({ kind: SECTION_KIND, name });
  if (!object) throw new Error(`configuration section ${name} does not exist in the store`);
  return object.value;
}

/** The root object as read from the store, with the configuration that it describes. */
export interface LoadedRoot extends AcceptedConfiguration {
  readonly version: Version;
  readonly root?: ConfigurationRoot;
}

/** Builds the configuration of a root: its snapshot with its changes applied. */
export async function loadConfiguration(
  store: ObjectStore,
  root: ConfigurationRoot,
): Promise<AcceptedConfiguration> {
  const contents = await Promise.all(
    SECTIONS.map((section) => readSection(store, root.sections[section])),
  );
  const snapshot = Object.fromEntries(
    SECTIONS.map((section, index) => [section, contents[index]]),
  ) as Configuration;
  const entries = root.changes.flatMap((change) => change.entries);
  return { generation: root.generation, configuration: applyChanges(snapshot, entries) };
}

/** Reads the root object and its configuration; the empty one if no root exists. */
export async function loadRoot(store: ObjectStore): Promise<LoadedRoot> {
  const object = await store.read<ConfigurationRoot>(ROOT_KEY);
  if (!object) return { ...EMPTY_CONFIGURATION, version: ABSENT };
  const accepted = await loadConfiguration(store, object.value);
  return { ...accepted, version: object.version, root: object.value };
}
