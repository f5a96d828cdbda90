/** Loads adapters on servers on which their base model is resident. */
import type { EngineProfile } from '@bulrushspar/catalogue';
import type { Clock } from '@bulrushspar/clock';
import { isUnloadingAdapter, type ServerState } from './book.js';
import { ORDER_OPERATION, ORDER_OUTCOME } from './engine.js';
import { hasRoom, type SendOrder } from './issue.js';

/** Loads adapters on demand. */
export interface AdapterLoader {
  /**
   * Loads an adapter unless it is already resident, evicting the least recently used one if needed.
   * @returns whether the adapter is resident, or the server has accepted the order to load it
   */
  ensureLoaded(
    state: ServerState,
    engine: EngineProfile,
    model: string,
    adapter: string,
  ): Promise<boolean>;
}

/** Options of {@link createAdapterLoader}. */
export interface AdapterLoaderOptions {
  readonly clock: Clock;
  readonly sendOrder: SendOrder;
  /** Returns whether a model on the server is being loaded or unloaded. */
  readonly isReplacingModels: (state: ServerState) => boolean;
}

/** Maximum wait for a model replacement on the server, which takes no other order meanwhile. */
const REPLACEMENT_WAIT_MILLISECONDS = 1500;
const POLL_INTERVAL_MILLISECONDS = 15;

/** Creates the adapter loader of one host. */
export function createAdapterLoader(options: AdapterLoaderOptions): AdapterLoader {
  const { clock, sendOrder, isReplacingModels } = options;
  const lastUsedAt = new Map<string, number>();
  /**
   * Loads in progress, by adapter key. Concurrent calls share one load: a server accepts a second
   * order for the same adapter without incrementing its sequence.
   */
  const pendingLoads = new Map<string, Promise<boolean>>();

  const loadKey = (state: ServerState, model: string, adapter: string): string =>
    `${state.entry.id} ${model}/${adapter}`;

  const waitForReplacement = async (state: ServerState): Promise<void> => {
    const deadline = clock.monotonic() + REPLACEMENT_WAIT_MILLISECONDS;
    while (isReplacingModels(state) && !state.entry.leaving && clock.monotonic() < deadline) {
      // eslint-disable-next-line no-await-in-loop -- polls sequentially
      await clock.delay(POLL_INTERVAL_MILLISECONDS);
    }
  };

  const evictLeastRecentlyUsed = async (state: ServerState): Promise<void> => {
    const held = [...state.models].flatMap(([model, adapters]) =>
      [...adapters].map((adapter) => ({ model, adapter })),
    );
    const lastUse = ({ model, adapter }: { model: string; adapter: string }): number =>
      lastUsedAt.get(loadKey(state, model, adapter)) ?? 0;
    const leastRecentlyUsed = held.sort((a, b) => lastUse(a) - lastUse(b))[0];
    if (leastRecentlyUsed)
      await sendOrder(state, { operation: ORDER_OPERATION.UNLOAD, ...leastRecentlyUsed });
  };

  const load = async (
    state: ServerState,
    engine: EngineProfile,
    model: string,
    adapter: string,
  ): Promise<boolean> => {
    await waitForReplacement(state);
    // A server that is leaving may have left before it takes the order.
    if (state.entry.leaving && isReplacingModels(state)) return false;
    const held = state.models.get(model);
    if (!held) return false;
    if (held.has(adapter)) return true;
    const request = { operation: ORDER_OPERATION.LOAD, model, adapter } as const;
    if (!hasRoom(state, engine, request) && !isUnloadingAdapter(state))
      await evictLeastRecentlyUsed(state);
    if (!hasRoom(state, engine, request)) return false;
    const outcome = await sendOrder(state, request);
    return outcome === ORDER_OUTCOME.ACCEPTED || outcome === ORDER_OUTCOME.HOLDS;
  };

  return {
    ensureLoaded: (state, engine, model, adapter) => {
      const key = loadKey(state, model, adapter);
      lastUsedAt.set(key, clock.monotonic());
      const pendingLoad = pendingLoads.get(key);
      if (pendingLoad) return pendingLoad;
      const startedLoad = load(state, engine, model, adapter).finally(() =>
        pendingLoads.delete(key),
      );
      pendingLoads.set(key, startedLoad);
      return startedLoad;
    },
  };
}
