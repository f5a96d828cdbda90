import { createAdapter } from '@most/adapter';
import type { Stream } from '@most/types';
import { startStopwatch, type Clock, type Stopwatch } from '@bulrushspar/clock';
import { listAndWatch, type ObjectStore } from '@bulrushspar/store';
import { applyChanges } from './delta.js';
import { digestChanges, digestConfiguration, type Digest } from './digest.js';
import {
  EMPTY_CONFIGURATION,
  loadConfiguration,
  ROOT_KEY,
  ROOT_KIND,
  type AcceptedChange,
  type AcceptedConfiguration,
  type ConfigurationRoot,
} from './root.js';

/** Update that one node sends to another one whose generation is older. */
export interface ConfigurationUpdate {
  /** All changes after the requested generation, in order. */
  readonly changes?: readonly AcceptedChange[];
  /** The whole configuration, if the sender no longer keeps all these changes. */
  readonly whole?: AcceptedConfiguration;
}

/** Configuration state that another node reports. */
export interface PeerConfigurationState {
  readonly generation: number;
  readonly digest: Digest;
  /** Milliseconds since the newest confirmation of it by the store; negative if unknown. */
  readonly staleness: number;
  /** Started before the other node answered, so that it never underestimates the age. */
  readonly sinceRequest: Stopwatch;
}

/** Result of comparing the state of another node with the local one. */
export const PEER_COMPARISON = {
  NOTHING: 'nothing',
  /** The other node has a newer generation: request an update from it. */
  BEHIND: 'behind',
  /** The generations are equal, the digests are not: reload from the store. */
  DIFFERENT: 'different',
} as const;

/** One of {@link PEER_COMPARISON}. */
export type PeerComparison = (typeof PEER_COMPARISON)[keyof typeof PEER_COMPARISON];

/** Keeps the newest accepted configuration that this host has received. */
export interface ConfigurationFollower {
  current(): AcceptedConfiguration;
  digest(): Digest;
  /** Emits each newer configuration once this host has applied it. */
  readonly changes: Stream<AcceptedConfiguration>;
  /**
   * Returns the milliseconds since the store is known to have confirmed that no newer
   * generation exists; infinite before the first confirmation.
   */
  staleness(): number;
  /**
   * Compares the state of another node with the local one. If both are equal, the other node's
   * confirmation by the store counts here too.
   */
  comparePeerState(peerState: PeerConfigurationState): PeerComparison;
  /** Returns the update for a node that has the given older generation. */
  getUpdateSince(generation: number): ConfigurationUpdate;
  /** Applies an update of another node. Ignores it if it is older or leaves a gap. */
  applyUpdate(update: ConfigurationUpdate): void;
  /** Replaces the configuration by that in the store, unless the store's is older. */
  reload(): Promise<void>;
  /** Follows the store until the signal aborts. */
  run(signal: AbortSignal): Promise<void>;
}

/** Options of {@link createConfigurationFollower}. */
export interface FollowerOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  /** Returns whether this host watches the store; called again at each poll interval. */
  readonly isWatcher?: () => boolean;
  /** Longest wait of one watch call, in seconds; bounds the age of the newest confirmation. */
  readonly watchSeconds?: number;
  /**
   * Age of the newest confirmation after which a host that does not watch reads the store
   * itself, in milliseconds.
   */
  readonly pollAfterMilliseconds?: number;
}

const MAX_RECENT_CHANGES = 256;
/** Time between polls of the store, and between attempts to apply a root. */
const POLL_INTERVAL_MILLISECONDS = 200;

/** Confirmation by the store that no newer generation exists. */
interface Confirmation {
  /** Age of the confirmation when the stopwatch was started, in milliseconds. */
  readonly ageMilliseconds: number;
  readonly since: Stopwatch;
}

/**
 * Creates a follower with the empty configuration of generation 0. It receives newer ones from
 * the store and from other nodes. Its generation never decreases.
 */
export function createConfigurationFollower(options: FollowerOptions): ConfigurationFollower {
  const {
    store,
    clock,
    isWatcher = () => true,
    watchSeconds = 1,
    pollAfterMilliseconds = 2500,
  } = options;
  const [publish, changes] = createAdapter<AcceptedConfiguration>();
  const recentChanges: AcceptedChange[] = [];
  let accepted = EMPTY_CONFIGURATION;
  let digest = digestConfiguration(accepted.configuration);
  let lastConfirmation: Confirmation | undefined;
  let pendingLoad = Promise.resolve();

  const staleness = (): number =>
    lastConfirmation
      ? lastConfirmation.ageMilliseconds + lastConfirmation.since()
      : Number.POSITIVE_INFINITY;

  const confirm = (since: Stopwatch, age = 0): void => {
    if (age + since() < staleness()) lastConfirmation = { ageMilliseconds: age, since };
  };

  const replaceConfiguration = (next: AcceptedConfiguration): void => {
    if (next.generation <= accepted.generation) return;
    accepted = next;
    digest = digestConfiguration(next.configuration);
    recentChanges.length = 0;
    publish(next);
  };

  /** Applies the changes after the current generation, unless they leave a gap. */
  const applyContiguousChanges = (next: readonly AcceptedChange[]): void => {
    const newerChanges = next.filter(({ generation }) => generation > accepted.generation);
    const isContiguous = newerChanges.every(
      ({ generation }, index) => generation === accepted.generation + 1 + index,
    );
    if (newerChanges.length === 0 || !isContiguous) return;
    const entries = newerChanges.flatMap((change) => change.entries);
    const { generation } = newerChanges.at(-1)!;
    digest = digestChanges(digest, entries);
    accepted = { generation, configuration: applyChanges(accepted.configuration, entries) };
    recentChanges.push(...newerChanges);
    recentChanges.splice(0, recentChanges.length - MAX_RECENT_CHANGES);
    publish(accepted);
  };

  const applyRoot = async (root: ConfigurationRoot): Promise<void> => {
    applyContiguousChanges(root.changes);
    if (accepted.generation < root.generation)
      replaceConfiguration(await loadConfiguration(store, root));
  };

  const pollRoot = async (): Promise<void> => {
    const since = startStopwatch(clock);
    const object = await store.read<ConfigurationRoot>(ROOT_KEY);
    if (object) await applyRoot(object.value);
    confirm(since);
  };

  /** Applies a root; retries reading its sections from the store until the signal aborts. */
  const applyRootWithRetries = async (
    root: ConfigurationRoot,
    since: Stopwatch,
    signal: AbortSignal,
  ) => {
    while (!signal.aborted) {
      try {
        // eslint-disable-next-line no-await-in-loop -- attempts run one after another
        await applyRoot(root);
        confirm(since);
        return;
      } catch {
        // eslint-disable-next-line no-await-in-loop -- attempts run one after another
        await clock.delay(POLL_INTERVAL_MILLISECONDS, signal);
      }
    }
  };

  /** Watches the store until this host is no longer a watcher or the signal aborts. */
  const watchStore = async (signal: AbortSignal): Promise<void> => {
    const watchEnd = new AbortController();
    const watchSignal = AbortSignal.any([signal, watchEnd.signal]);
    let newestRoot: ConfigurationRoot | undefined;
    let since = startStopwatch(clock);
    await listAndWatch<ConfigurationRoot>({
      store,
      clock,
      kind: ROOT_KIND,
      watchSeconds,
      signal: watchSignal,
      onCall: () => {
        since = startStopwatch(clock);
      },
      onView: (view) => {
        newestRoot = view.get(ROOT_KEY.name)?.value;
        const root = newestRoot;
        const sinceCall = since;
        if (root)
          pendingLoad = pendingLoad.then(() => applyRootWithRetries(root, sinceCall, watchSignal));
      },
      onAnswer: () => {
        if (!isWatcher()) watchEnd.abort();
        // An answer confirms only a generation that this host has already applied.
        if ((newestRoot?.generation ?? 0) === accepted.generation) confirm(since);
      },
    });
  };

  return {
    current: () => accepted,
    digest: () => digest,
    changes,
    staleness,
    comparePeerState: (peerState) => {
      if (peerState.generation > accepted.generation) return PEER_COMPARISON.BEHIND;
      if (peerState.generation < accepted.generation) return PEER_COMPARISON.NOTHING;
      if (peerState.digest !== digest) return PEER_COMPARISON.DIFFERENT;
      if (peerState.staleness >= 0) confirm(peerState.sinceRequest, peerState.staleness);
      return PEER_COMPARISON.NOTHING;
    },
    getUpdateSince: (generation) => {
      const later = recentChanges.filter((change) => change.generation > generation);
      const isComplete = later[0]?.generation === generation + 1;
      return isComplete ? { changes: later } : { whole: accepted };
    },
    applyUpdate: (update) => {
      if (update.changes) applyContiguousChanges(update.changes);
      if (update.whole) replaceConfiguration(update.whole);
    },
    reload: async () => {
      const object = await store.read<ConfigurationRoot>(ROOT_KEY);
      if (!object || object.value.generation < accepted.generation) return;
      accepted = await loadConfiguration(store, object.value);
      digest = digestConfiguration(accepted.configuration);
      recentChanges.length = 0;
      publish(accepted);
    },
    run: async (signal) => {
      while (!signal.aborted) {
        /* eslint-disable no-await-in-loop -- polls run one after another */
        if (isWatcher()) await watchStore(signal);
        else if (staleness() > pollAfterMilliseconds) await pollRoot().catch(() => {});
        await clock.delay(POLL_INTERVAL_MILLISECONDS, signal);
        /* eslint-enable no-await-in-loop */
      }
    },
  };
}
