/** Adapters at servers that hold their models. */
import type { EngineProfile } from '@bulrushspar/catalogue';
import type { Clock } from '@bulrushspar/clock';
import type { ServerBook } from './book.js';
import { OPERATION, ORDER_OUTCOME } from './engine.js';
import { hasRoom, type Issue } from './issue.js';

/** Has adapters loaded. */
export interface AdapterLoader {
  /** @returns whether the adapter is there, or soon will be */
  ensure(book: ServerBook, engine: EngineProfile, model: string, adapter: string): Promise<boolean>;
}

/** Options of {@link createAdapterLoader}. */
export interface AdapterLoaderOptions {
  readonly clock: Clock;
  readonly issue: Issue;
  /** Tells whether the server's models are being changed. */
  readonly isChanging: (book: ServerBook) => boolean;
}

/** Longest wait for a model's load at the same server, which takes no other order meanwhile. */
const WAIT_MILLISECONDS = 1500;
const LOOK_MILLISECONDS = 15;

/** Creates the loader of one host. */
export function createAdapterLoader(options: AdapterLoaderOptions): AdapterLoader {
  const { clock, issue, isChanging } = options;
  const usedAt = new Map<string, number>();
  /** Orders under way: a server accepts a second one for the same adapter without counting it. */
  const underWay = new Map<string, Promise<boolean>>();

  const keyOf = (book: ServerBook, model: string, adapter: string): string =>
    `${book.entry.id} ${model}/${adapter}`;

  const untilFree = async (book: ServerBook): Promise<void> => {
    const until = clock.monotonic() + WAIT_MILLISECONDS;
    while (isChanging(book) && clock.monotonic() < until) {
      // eslint-disable-next-line no-await-in-loop -- one look after another
      await clock.delay(LOOK_MILLISECONDS);
    }
  };

  const evictOldest = async (book: ServerBook): Promise<void> => {
    const held = [...book.models].flatMap(([model, adapters]) =>
      [...adapters].map((adapter) => ({ model, adapter })),
    );
    const lastUse = ({ model, adapter }: { model: string; adapter: string }): number =>
      usedAt.get(keyOf(book, model, adapter)) ?? 0;
    const oldest = held.sort((a, b) => lastUse(a) - lastUse(b))[0];
    if (oldest) await issue(book, { operation: OPERATION.UNLOAD, ...oldest });
  };

  const load = async (
    book: ServerBook,
    engine: EngineProfile,
    model: string,
    adapter: string,
  ): Promise<boolean> => {
    await untilFree(book);
    const held = book.models.get(model);
    if (!held) return false;
    if (held.has(adapter)) return true;
    const request = { operation: OPERATION.LOAD, model, adapter } as const;
    if (!hasRoom(book, engine, request)) await evictOldest(book);
    if (!hasRoom(book, engine, request)) return false;
    const outcome = await issue(book, request);
    return outcome === ORDER_OUTCOME.ACCEPTED || outcome === ORDER_OUTCOME.HOLDS;
  };

  return {
    ensure: (book, engine, model, adapter) => {
      const key = keyOf(book, model, adapter);
      usedAt.set(key, clock.monotonic());
      const known = underWay.get(key);
      if (known) return known;
      const work = load(book, engine, model, adapter).finally(() => underWay.delete(key));
      underWay.set(key, work);
      return work;
    },
  };
}
