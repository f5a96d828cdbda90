import { randomUUID } from 'node:crypto';
import type { Clock } from '@bulrushspar/clock';
import { parseSource, type Source } from '@bulrushspar/document';
import type { Finding } from '@bulrushspar/errors';
import {
  RETRIED_WRITE_OUTCOME,
  writeWithRetry,
  type ObjectStore,
  isStoreError,
} from '@bulrushspar/store';
import { checkConfiguration } from './check.js';
import {
  applyChanges,
  diffConfigurations,
  formatEntryName,
  findConflicts,
  revertChanges,
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

/** Outcomes of a commit. */
export const COMMIT_OUTCOME = {
  ACCEPTED: 'accepted',
  REFUSED: 'refused',
  UNKNOWN: 'unknown',
} as const;

/** Result of a commit. */
export type CommitResult =
  | {
      readonly outcome: typeof COMMIT_OUTCOME.ACCEPTED;
      readonly generation: number;
      readonly entries: readonly EntryChange[];
    }
  | {
      readonly outcome: typeof COMMIT_OUTCOME.REFUSED;
      readonly reason: string;
      readonly findings: readonly Finding[];
      /** Changes committed by others since the base generation that conflict with this commit. */
      readonly conflicts: readonly EntryChange[];
    }
  | {
      readonly outcome: typeof COMMIT_OUTCOME.UNKNOWN;
      /** Generation of the change if it took effect. */
      readonly generation: number;
      readonly token: string;
    };

/** Options of {@link createCommitter}. */
export interface CommitterOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  /** Returns why this host must not change the configuration now; undefined if it may. */
  readonly getRefusalReason?: () => Promise<string | undefined>;
  /** Time to determine the outcome of one write whose answer is lost, in milliseconds. */
  readonly settleTimeoutMilliseconds?: number;
  /** Maximum number of changes in the root; beyond it they move to the history. */
  readonly maxRootChanges?: number;
  /** Maximum size of the changes in the root, in characters of JSON. */
  readonly maxRootCharacters?: number;
}

/** Request to replace the configuration by a whole document. */
export interface DocumentCommit {
  readonly file: string;
  readonly text: string;
  readonly author: string;
  /** Generation that the document was edited from. Defaults to the newest. */
  readonly base?: number;
}

/** Sets one entry, or removes it if `after` is undefined. */
export interface EntryEdit extends Omit<EntryChange, 'before'> {
  /** Refuses the commit if the entry already exists. */
  readonly mustBeNew?: boolean;
}

/** Request to set or remove single entries. */
export interface EntriesCommit {
  readonly entries: readonly EntryEdit[];
  readonly author: string;
}

/**
 * Commits changes of the configuration to the store. An unavailable store gives the outcome
 * `refused` if the change certainly has no effect, or `unknown` if it may have one.
 */
export interface Committer {
  commitDocument(commit: DocumentCommit): Promise<CommitResult>;
  commitEntries(commit: EntriesCommit): Promise<CommitResult>;
}

/** Computes the changes of a commit against the configuration in the store, or refuses it. */
type PlanChanges = (loaded: LoadedRoot) => EntryChange[] | (CommitResult & { outcome: 'refused' });

const MAX_COMMIT_ATTEMPTS = 20;

const createRefusal = (
  reason: string,
  findings: readonly Finding[] = [],
  conflicts: readonly EntryChange[] = [],
) => ({ outcome: COMMIT_OUTCOME.REFUSED, reason, findings, conflicts }) as const;

function planDocument(commit: DocumentCommit, desired: Configuration): PlanChanges {
  return (loaded) => {
    const base = commit.base ?? loaded.generation;
    if (base > loaded.generation) return createRefusal(`generation ${base} does not exist`);
    if (base < (loaded.root?.snapshotGeneration ?? 0)) {
      return createRefusal(
        `generation ${base} is too old to merge with generation ${loaded.generation}`,
      );
    }
    const laterChanges = (loaded.root?.changes ?? []).filter(({ generation }) => generation > base);
    const concurrentChanges = laterChanges.flatMap(({ entries }) => entries);
    const baseConfiguration = revertChanges(loaded.configuration, concurrentChanges);
    const ownChanges = diffConfigurations(baseConfiguration, desired);
    const conflicts = findConflicts(ownChanges, concurrentChanges);
    if (conflicts.length > 0) {
      return createRefusal(`conflicts with changes made since generation ${base}`, [], conflicts);
    }
    const merged = applyChanges(loaded.configuration, ownChanges);
    return diffConfigurations(loaded.configuration, merged);
  };
}

function planEntries(commit: EntriesCommit): PlanChanges {
  return (loaded) => {
    const existing = commit.entries.filter(
      ({ section, name, mustBeNew }) =>
        mustBeNew && Object.hasOwn(loaded.configuration[section], name),
    );
    if (existing.length > 0)
      return createRefusal(`${existing.map(formatEntryName).join(', ')} exists already`);
    const edited = applyChanges(loaded.configuration, commit.entries);
    return diffConfigurations(loaded.configuration, edited);
  };
}

/** Returns a message for each change of an entry in a section that another team owns. */
function findOwnershipViolations(
  loaded: LoadedRoot,
  entries: readonly EntryChange[],
  author: string,
) {
  const { owners } = loaded.configuration;
  return entries
    .filter(({ section }) => owners[section] !== undefined && owners[section] !== author)
    .map((change) => `${formatEntryName(change)} belongs to ${owners[change.section]}`);
}

/**
 * Validates the merged configuration. Findings carry the position in the author's document
 * if the entry is in it.
 */
function checkMergedConfiguration(source: Source, merged: Configuration): readonly Finding[] {
  const parsed = documentSchema.safeParse(merged);
  if (parsed.success) return checkReferences(source, merged);
  return parsed.error.issues.map((issue) =>
    source.createFinding(issue.path as string[], issue.message, 'an invalid value'),
  );
}

/**
 * Creates the committer of one node. Any number of committers may run concurrently: the
 * conditional write of the root object lets one of them win, and the others retry.
 */
export function createCommitter(options: CommitterOptions): Committer {
  const { store, clock, getRefusalReason = async () => undefined } = options;
  const {
    settleTimeoutMilliseconds = 5000,
    maxRootChanges = 64,
    maxRootCharacters = 64_000,
  } = options;

  const createNextRoot = async (
    loaded: LoadedRoot,
    change: AcceptedChange,
  ): Promise<ConfigurationRoot> => {
    const { entries, ...newest } = change;
    const { generation } = change;
    const changes = [...(loaded.root?.changes ?? []), change];
    const fitsRootSize = JSON.stringify(changes).length <= maxRootCharacters;
    if (loaded.root && fitsRootSize && changes.length <= maxRootChanges) {
      return { ...loaded.root, generation, changes, newest };
    }
    await writeHistory(store, changes);
    const sections = await writeSections(store, applyChanges(loaded.configuration, entries));
    return { generation, snapshotGeneration: generation, sections, changes: [], newest };
  };

  const tryCommit = async (
    loaded: LoadedRoot,
    entries: readonly EntryChange[],
    author: string,
  ): Promise<CommitResult | undefined> => {
    const generation = loaded.generation + 1;
    const token = randomUUID();
    const at = clock.now().toISOString();
    const value = await createNextRoot(loaded, { generation, entries, author, at, token });
    const settled = await writeWithRetry<ConfigurationRoot>({
      store,
      clock,
      key: ROOT_KEY,
      value,
      expected: loaded.version,
      isOwnWrite: (found) => containsToken(found, generation, token),
      timeoutMilliseconds: settleTimeoutMilliseconds,
    });
    if (settled.outcome === RETRIED_WRITE_OUTCOME.WRITTEN) {
      return { outcome: COMMIT_OUTCOME.ACCEPTED, generation, entries };
    }
    if (settled.outcome === RETRIED_WRITE_OUTCOME.UNKNOWN)
      return { outcome: COMMIT_OUTCOME.UNKNOWN, generation, token };
    if (settled.outcome === RETRIED_WRITE_OUTCOME.NOT_WRITTEN)
      return createRefusal('the store is unavailable');
    return undefined;
  };

  const commitPlan = async (
    planChanges: PlanChanges,
    source: Source,
    author: string,
  ): Promise<CommitResult> => {
    const refusalReason = await getRefusalReason();
    if (refusalReason !== undefined) return createRefusal(refusalReason);
    for (let attempts = 0; attempts < MAX_COMMIT_ATTEMPTS; attempts += 1) {
      // eslint-disable-next-line no-await-in-loop -- each attempt starts from the newest root
      const loaded = await loadRoot(store);
      const planned = planChanges(loaded);
      if (!Array.isArray(planned)) return planned;
      const { generation } = loaded;
      if (planned.length === 0)
        return { outcome: COMMIT_OUTCOME.ACCEPTED, generation, entries: [] };
      const ownershipViolations = findOwnershipViolations(loaded, planned, author);
      if (ownershipViolations.length > 0) return createRefusal(ownershipViolations.join('; '));
      const findings = checkMergedConfiguration(
        source,
        applyChanges(loaded.configuration, planned),
      );
      if (findings.length > 0)
        return createRefusal('the merged configuration is not valid', findings);
      // eslint-disable-next-line no-await-in-loop -- each attempt starts from the newest root
      const result = await tryCommit(loaded, planned, author);
      if (result) return result;
    }
    return createRefusal('too many concurrent changes of the configuration');
  };

  const refuseOnStoreError = async (commitResult: Promise<CommitResult>): Promise<CommitResult> => {
    try {
      return await commitResult;
    } catch (error) {
      // `commitPlan` throws only from steps before the write of the root: nothing took effect.
      if (isStoreError(error)) return createRefusal('the store is unavailable');
      throw error;
    }
  };

  return {
    commitDocument: async (document) => {
      const checked = checkConfiguration(document.file, document.text);
      if (!checked.ok)
        return createRefusal('the configuration document is not valid', checked.findings);
      const source = parseSource(document.file, document.text);
      return refuseOnStoreError(
        commitPlan(planDocument(document, checked.configuration), source, document.author),
      );
    },
    commitEntries: (change) =>
      refuseOnStoreError(
        commitPlan(planEntries(change), parseSource('command', ''), change.author),
      ),
  };
}

function containsToken(root: ConfigurationRoot, generation: number, token: string): boolean {
  if (root.newest.token === token) return true;
  return root.changes.some((change) => change.generation === generation && change.token === token);
}
