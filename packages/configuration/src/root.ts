import { createHash } from 'node:crypto';
import { ABSENT, WRITE_OUTCOME, type ObjectStore, type Version } from '@bulrushspar/store';
import { applyChanges, type EntryChange } from './delta.js';
import { documentSchema, SECTIONS, type Configuration, type SectionName } from './schema.js';

/** One accepted change of the configuration. */
export interface AcceptedChange {
  readonly generation: number;
  readonly entries: readonly EntryChange[];
  /** Team that made it. */
  readonly author: string;
  /** ISO 8601 time. */
  readonly at: string;
  /** Unique for each change; recognizes it when it is read back. */
  readonly token: string;
}

/** The one object whose conditional update accepts a change. */
export interface ConfigurationRoot {
  readonly generation: number;
  readonly snapshotGeneration: number;
  /** Object that holds each section at the snapshot's generation. */
  readonly sections: Readonly<Record<SectionName, string>>;
  /** Changes since the snapshot, the oldest first. */
  readonly changes: readonly AcceptedChange[];
  /** Author, time and token of the newest change. */
  readonly newest: Omit<AcceptedChange, 'entries'>;
}

/** A configuration and the generation that it is. */
export interface AcceptedConfiguration {
  readonly generation: number;
  readonly configuration: Configuration;
}

/** Kinds and names in the store. */
export const ROOT_KIND = 'configuration';
const ROOT_NAME = 'root';
/** Address of the root object. */
export const ROOT_KEY = { kind: ROOT_KIND, name: ROOT_NAME } as const;
const SECTION_KIND = 'configuration-section';
const HISTORY_KIND = 'configuration-history';
const GENERATION_DIGITS = 12;

/** Configuration of a fleet that nobody has configured yet. */
export const EMPTY_CONFIGURATION: AcceptedConfiguration = {
  generation: 0,
  configuration: documentSchema.parse({}),
};

async function createOnce(store: ObjectStore, kind: string, name: string, value: unknown) {
  const existing = await store.read({ kind, name });
  if (existing) return;
  const answer = await store.write({ kind, name }, value, ABSENT);
  // A conflict means that somebody wrote the same content-addressed object first.
  if (answer.outcome !== WRITE_OUTCOME.WRITTEN) await store.read({ kind, name });
}

async function writeSection(store: ObjectStore, section: SectionName, content: unknown) {
  const digest = createHash('sha256').update(JSON.stringify(content)).digest('hex');
  const name = `${section}-${digest}`;
  await createOnce(store, SECTION_KIND, name, content);
  return name;
}

/** Writes each section as an object of its own, named by its content. */
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

/** Keeps changes that leave the root object. */
export async function writeHistory(
  store: ObjectStore,
  changes: readonly AcceptedChange[],
): Promise<void> {
  const last = changes.at(-1);
  if (!last) return;
  const name = `${String(last.generation).padStart(GENERATION_DIGITS, '0')}-${last.token}`;
  await createOnce(store, HISTORY_KIND, name, changes);
}

/**
 * Reads accepted changes.
 * @returns the newest first, those of the root before older ones
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
  if (!object) throw new Error(`section object ${name} is missing`);
  return object.value;
}

/** The root with the configuration that it stands for. */
export interface LoadedRoot extends AcceptedConfiguration {
  readonly version: Version;
  readonly root?: ConfigurationRoot;
}

/** Builds the configuration that a root stands for. */
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

/** Reads the root object and the configuration that it stands for. */
export async function loadRoot(store: ObjectStore): Promise<LoadedRoot> {
  const object = await store.read<ConfigurationRoot>(ROOT_KEY);
  if (!object) return { ...EMPTY_CONFIGURATION, version: ABSENT };
  const accepted = await loadConfiguration(store, object.value);
  return { ...accepted, version: object.version, root: object.value };
}
