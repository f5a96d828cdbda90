import { createAdapter } from '@most/adapter';
import type { Stream } from '@most/types';
import { startStopwatch, type Clock, type Stopwatch } from '@bulrushspar/clock';
import { followKind, type ObjectStore } from '@bulrushspar/store';
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

/** What one node sends another to bring it up to date. */
export interface ConfigurationUpdate {
  /** Changes after the generation that was asked for, without a gap. */
  readonly changes?: readonly AcceptedChange[];
  /** The whole configuration, where the changes are no longer known. */
  readonly whole?: AcceptedConfiguration;
}

/** Another node's knowledge of the configuration. */
export interface PeerKnowledge {
  readonly generation: number;
  readonly digest: Digest;
  /** Milliseconds since the store is known to have confirmed it. */
  readonly staleness: number;
  /** Began before the other node answered. */
  readonly sinceAsked: Stopwatch;
}

/** What must be done after hearing of another node's knowledge. */
export const HEARD = {
  NOTHING: 'nothing',
  /** The other node is ahead: ask it for an update. */
  BEHIND: 'behind',
  /** The same generation with another content. */
  DIFFERENT: 'different',
} as const;

/** One of {@link HEARD}. */
export type Heard = (typeof HEARD)[keyof typeof HEARD];

/** Knows the accepted configuration, as far as this host has heard. */
export interface ConfigurationFollower {
  current(): AcceptedConfiguration;
  digest(): Digest;
  /** Each newer configuration once it is in force here. */
  readonly changes: Stream<AcceptedConfiguration>;
  /** Milliseconds since the store is known to have confirmed that nothing is newer. */
  staleness(): number;
  /** Learns from another node, also that what is in force here was confirmed. */
  hear(knowledge: PeerKnowledge): Heard;
  /** What brings a node with an older generation up to date. */
  updateSince(generation: number): ConfigurationUpdate;
  /** Takes an update of another node; older or unconnected ones are ignored. */
  takeUpdate(update: ConfigurationUpdate): void;
  /** Reads the whole configuration from the store again. */
  reload(): Promise<void>;
  /** Follows the store until the signal. */
  run(signal: AbortSignal): Promise<void>;
}

/** Options of {@link createConfigurationFollower}. */
export interface FollowerOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  /** Tells whether this host is one of those that watch the store; read anew at each turn. */
  readonly watches?: () => boolean;
  /** Longest wait of one watch call, in seconds; bounds how old a proof of freshness gets. */
  readonly watchSeconds?: number;
  /** Age of the newest proof at which a host that does not watch asks the store itself. */
  readonly askMilliseconds?: number;
}

const REMEMBERED_CHANGES = 256;
const TURN_MILLISECONDS = 200;

interface Proof {
  /** Age of what was proved when the stopwatch began, in milliseconds. */
  readonly age: number;
  readonly since: Stopwatch;
}

/** Creates a follower that knows nothing until it runs or hears. Generations never go back. */
export function createConfigurationFollower(options: FollowerOptions): ConfigurationFollower {
  const { store, clock, watches = () => true, watchSeconds = 1, askMilliseconds = 2500 } = options;
  const [publish, changes] = createAdapter<AcceptedConfiguration>();
  const remembered: AcceptedChange[] = [];
  let accepted = EMPTY_CONFIGURATION;
  let digest = digestConfiguration(accepted.configuration);
  let proof: Proof | undefined;
  let loading = Promise.resolve();

  const staleness = (): number => (proof ? proof.age + proof.since() : Number.POSITIVE_INFINITY);

  const confirm = (since: Stopwatch, age = 0): void => {
    if (age + since() < staleness()) proof = { age, since };
  };

  const replaceWhole = (next: AcceptedConfiguration): void => {
    if (next.generation <= accepted.generation) return;
    accepted = next;
    digest = digestConfiguration(next.configuration);
    remembered.length = 0;
    publish(next);
  };

  /** Applies changes that follow the generation in force without a gap. */
  const applyInOrder = (next: readonly AcceptedChange[]): void => {
    const later = next.filter(({ generation }) => generation > accepted.generation);
    const connected = later.every(
      ({ generation }, index) => generation === accepted.generation + 1 + index,
    );
    if (later.length === 0 || !connected) return;
    const entries = later.flatMap((change) => change.entries);
    const { generation } = later.at(-1)!;
    digest = digestChanges(digest, entries);
    accepted = { generation, configuration: applyChanges(accepted.configuration, entries) };
    remembered.push(...later);
    remembered.splice(0, remembered.length - REMEMBERED_CHANGES);
    publish(accepted);
  };

  const takeRoot = async (root: ConfigurationRoot): Promise<void> => {
    applyInOrder(root.changes);
    if (accepted.generation < root.generation) replaceWhole(await loadConfiguration(store, root));
  };

  const readRoot = async (): Promise<void> => {
    const since = startStopwatch(clock);
    const object = await store.read<ConfigurationRoot>(ROOT_KEY);
    if (object) await takeRoot(object.value);
    confirm(since);
  };

  /** Brings a root into force, however often the store must be asked for its sections. */
  const takeUntilDone = async (root: ConfigurationRoot, since: Stopwatch, signal: AbortSignal) => {
    while (!signal.aborted) {
      try {
        // eslint-disable-next-line no-await-in-loop -- tries follow one another
        await takeRoot(root);
        confirm(since);
        return;
      } catch {
        // eslint-disable-next-line no-await-in-loop -- tries follow one another
        await clock.delay(TURN_MILLISECONDS, signal);
      }
    }
  };

  /** Watches the store for as long as this host is one of those that do. */
  const watchStore = async (signal: AbortSignal): Promise<void> => {
    const relieved = new AbortController();
    const ended = AbortSignal.any([signal, relieved.signal]);
    let newest: ConfigurationRoot | undefined;
    let since = startStopwatch(clock);
    await followKind<ConfigurationRoot>({
      store,
      clock,
      kind: ROOT_KIND,
      watchSeconds,
      signal: ended,
      onCall: () => {
        since = startStopwatch(clock);
      },
      onView: (view) => {
        newest = view.get(ROOT_KEY.name)?.value;
        const root = newest;
        const began = since;
        if (root) loading = loading.then(() => takeUntilDone(root, began, ended));
      },
      onAnswer: () => {
        if (!watches()) relieved.abort();
        // An answer proves freshness only for what is already in force here.
        if ((newest?.generation ?? 0) === accepted.generation) confirm(since);
      },
    });
  };

  return {
    current: () => accepted,
    digest: () => digest,
    changes,
    staleness,
    hear: (knowledge) => {
      if (knowledge.generation > accepted.generation) return HEARD.BEHIND;
      if (knowledge.generation < accepted.generation) return HEARD.NOTHING;
      if (knowledge.digest !== digest) return HEARD.DIFFERENT;
      if (knowledge.staleness >= 0) confirm(knowledge.sinceAsked, knowledge.staleness);
      return HEARD.NOTHING;
    },
    updateSince: (generation) => {
      const later = remembered.filter((change) => change.generation > generation);
      const complete = later[0]?.generation === generation + 1;
      return complete ? { changes: later } : { whole: accepted };
    },
    takeUpdate: (update) => {
      if (update.changes) applyInOrder(update.changes);
      if (update.whole) replaceWhole(update.whole);
    },
    reload: async () => {
      const object = await store.read<ConfigurationRoot>(ROOT_KEY);
      if (!object || object.value.generation < accepted.generation) return;
      accepted = await loadConfiguration(store, object.value);
      digest = digestConfiguration(accepted.configuration);
      remembered.length = 0;
      publish(accepted);
    },
    run: async (signal) => {
      while (!signal.aborted) {
        /* eslint-disable no-await-in-loop -- turns follow one another */
        if (watches()) await watchStore(signal);
        else if (staleness() > askMilliseconds) await readRoot().catch(() => {});
        await clock.delay(TURN_MILLISECONDS, signal);
        /* eslint-enable no-await-in-loop */
      }
    },
  };
}
