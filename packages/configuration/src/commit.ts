import { randomUUID } from 'node:crypto';
import type { Clock } from '@bulrushspar/clock';
import { parseSource, type Source } from '@bulrushspar/document';
import type { Finding } from '@bulrushspar/errors';
import { SETTLED, settleWrite, type ObjectStore, isStoreError } from '@bulrushspar/store';
import { checkConfiguration } from './check.js';
import {
  applyChanges,
  diffConfigurations,
  entryName,
  findConflicts,
  undoChanges,
  type EntryChange,
} from './delta.js';
import { checkReferences } from './references.js';
import {
  loadRoot,
  ROOT_KEY,
  writeHistory,
  writeSections,
  type AcceptedChange,
  type ConfigurationRoot,
  type LoadedRoot,
} from './root.js';
import { documentSchema, type Configuration } from './schema.js';

/** Ways in which a change can end. */
export const COMMIT = { ACCEPTED: 'accepted', REFUSED: 'refused', UNKNOWN: 'unknown' } as const;

/** What a change came to. */
export type CommitResult =
  | {
      readonly outcome: typeof COMMIT.ACCEPTED;
      readonly generation: number;
      readonly entries: readonly EntryChange[];
    }
  | {
      readonly outcome: typeof COMMIT.REFUSED;
      readonly reason: string;
      readonly findings: readonly Finding[];
      /** What others changed meanwhile. */
      readonly conflicts: readonly EntryChange[];
    }
  | {
      readonly outcome: typeof COMMIT.UNKNOWN;
      /** Generation that the change has if it took effect. */
      readonly generation: number;
      readonly token: string;
    };

/** Options of {@link createCommitter}. */
export interface CommitterOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  /** Tells whether this host may change the configuration now, and if not, why. */
  readonly mayCommit?: () => Promise<string | undefined>;
  /** Time given to one write whose answers are lost, in milliseconds. */
  readonly settleMilliseconds?: number;
  /** Changes that the root holds before they move to the history. */
  readonly changesInRoot?: number;
  /** Size of the changes that the root holds, in characters of JSON. */
  readonly charactersInRoot?: number;
}

/** A whole document to be accepted. */
export interface DocumentCommit {
  readonly file: string;
  readonly text: string;
  readonly author: string;
  /** Generation that the document was edited from; the newest where absent. */
  readonly base?: number;
}

/** One entry to be set or removed. */
export interface WantedEntry extends Omit<EntryChange, 'before'> {
  /** Refused where the entry exists already. */
  readonly mustBeNew?: boolean;
}

/** Single entries to be set or removed. */
export interface EntriesCommit {
  readonly entries: readonly WantedEntry[];
  readonly author: string;
}

/** Accepts or refuses changes of the configuration. Throws a StoreError if nothing was written. */
export interface Committer {
  commitDocument(commit: DocumentCommit): Promise<CommitResult>;
  commitEntries(commit: EntriesCommit): Promise<CommitResult>;
}

/** Works out what a commit wants from what the store holds now. */
type Plan = (loaded: LoadedRoot) => EntryChange[] | (CommitResult & { outcome: 'refused' });

const CONTENDER_TRIES = 20;

const refuse = (
  reason: string,
  findings: readonly Finding[] = [],
  conflicts: readonly EntryChange[] = [],
) => ({ outcome: COMMIT.REFUSED, reason, findings, conflicts }) as const;

function planDocument(commit: DocumentCommit, wanted: Configuration): Plan {
  return (loaded) => {
    const base = commit.base ?? loaded.generation;
    if (base > loaded.generation) return refuse(`generation ${base} does not exist`);
    if (base < (loaded.root?.snapshotGeneration ?? 0)) {
      return refuse(`generation ${base} is too old to merge with ${loaded.generation}`);
    }
    const later = (loaded.root?.changes ?? []).filter(({ generation }) => generation > base);
    const theirs = later.flatMap(({ entries }) => entries);
    const before = undoChanges(loaded.configuration, theirs);
    const ours = diffConfigurations(before, wanted);
    const conflicts = findConflicts(ours, theirs);
    if (conflicts.length > 0) {
      return refuse(`changed by others since generation ${base}`, [], conflicts);
    }
    const merged = applyChanges(loaded.configuration, ours);
    return diffConfigurations(loaded.configuration, merged);
  };
}

function planEntries(commit: EntriesCommit): Plan {
  return (loaded) => {
    const existing = commit.entries.filter(
      ({ section, name, mustBeNew }) =>
        mustBeNew && Object.hasOwn(loaded.configuration[section], name),
    );
    if (existing.length > 0) return refuse(`${existing.map(entryName).join(', ')} exists already`);
    const wanted = applyChanges(loaded.configuration, commit.entries);
    return diffConfigurations(loaded.configuration, wanted);
  };
}

/** Sections of others that a change touches. */
function checkOwners(loaded: LoadedRoot, entries: readonly EntryChange[], author: string) {
  const { owners } = loaded.configuration;
  return entries
    .filter(({ section }) => owners[section] !== undefined && owners[section] !== author)
    .map((change) => `${entryName(change)} belongs to ${owners[change.section]}`);
}

/** Findings in the merged whole, placed in the author's document where the entry stands there. */
function checkMerged(source: Source, merged: Configuration): readonly Finding[] {
  const shape = documentSchema.safeParse(merged);
  if (shape.success) return checkReferences(source, merged);
  return shape.error.issues.map((issue) =>
    source.finding(issue.path as string[], issue.message, 'something else'),
  );
}

/** Creates the committer of one node; any number may contend. */
export function createCommitter(options: CommitterOptions): Committer {
  const { store, clock, mayCommit = async () => undefined } = options;
  const { settleMilliseconds = 5000, changesInRoot = 64, charactersInRoot = 64_000 } = options;

  const nextRoot = async (
    loaded: LoadedRoot,
    change: AcceptedChange,
  ): Promise<ConfigurationRoot> => {
    const { entries, ...newest } = change;
    const { generation } = change;
    const changes = [...(loaded.root?.changes ?? []), change];
    const fits = JSON.stringify(changes).length <= charactersInRoot;
    if (loaded.root && fits && changes.length <= changesInRoot) {
      return { ...loaded.root, generation, changes, newest };
    }
    await writeHistory(store, changes);
    const sections = await writeSections(store, applyChanges(loaded.configuration, entries));
    return { generation, snapshotGeneration: generation, sections, changes: [], newest };
  };

  const attempt = async (
    loaded: LoadedRoot,
    entries: readonly EntryChange[],
    author: string,
  ): Promise<CommitResult | undefined> => {
    const generation = loaded.generation + 1;
    const token = randomUUID();
    const at = clock.now().toISOString();
    const value = await nextRoot(loaded, { generation, entries, author, at, token });
    const settled = await settleWrite<ConfigurationRoot>({
      store,
      clock,
      key: ROOT_KEY,
      value,
      expected: loaded.version,
      isOurs: (found) => containsToken(found, generation, token),
      withinMilliseconds: settleMilliseconds,
    });
    if (settled.outcome === SETTLED.WRITTEN) {
      return { outcome: COMMIT.ACCEPTED, generation, entries };
    }
    if (settled.outcome === SETTLED.UNKNOWN) return { outcome: COMMIT.UNKNOWN, generation, token };
    if (settled.outcome === SETTLED.NOT_WRITTEN) return refuse('the store is unavailable');
    return undefined;
  };

  const commit = async (plan: Plan, source: Source, author: string): Promise<CommitResult> => {
    const obstacle = await mayCommit();
    if (obstacle !== undefined) return refuse(obstacle);
    for (let tries = 0; tries < CONTENDER_TRIES; tries += 1) {
      // eslint-disable-next-line no-await-in-loop -- each try starts from what the store holds now
      const loaded = await loadRoot(store);
      const planned = plan(loaded);
      if (!Array.isArray(planned)) return planned;
      const { generation } = loaded;
      if (planned.length === 0) return { outcome: COMMIT.ACCEPTED, generation, entries: [] };
      const foreign = checkOwners(loaded, planned, author);
      if (foreign.length > 0) return refuse(foreign.join('; '));
      const findings = checkMerged(source, applyChanges(loaded.configuration, planned));
      if (findings.length > 0) return refuse('the document together is not valid', findings);
      // eslint-disable-next-line no-await-in-loop -- each try starts from what the store holds now
      const result = await attempt(loaded, planned, author);
      if (result) return result;
    }
    return refuse('too many others are changing the configuration');
  };

  const guarded = async (work: Promise<CommitResult>): Promise<CommitResult> => {
    try {
      return await work;
    } catch (error) {
      // Every error that leaves `commit` comes from a step before the write of the root.
      if (isStoreError(error)) return refuse('the store is unavailable');
      throw error;
    }
  };

  return {
    commitDocument: async (document) => {
      const checked = checkConfiguration(document.file, document.text);
      if (!checked.ok) return refuse('the document is not valid', checked.findings);
      const source = parseSource(document.file, document.text);
      return guarded(
        commit(planDocument(document, checked.configuration), source, document.author),
      );
    },
    commitEntries: (change) =>
      guarded(commit(planEntries(change), parseSource('command', ''), change.author)),
  };
}

function containsToken(root: ConfigurationRoot, generation: number, token: string): boolean {
  if (root.newest.token === token) return true;
  return root.changes.some((change) => change.generation === generation && change.token === token);
}
