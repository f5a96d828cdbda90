import type { Clock } from '@bulrushspar/clock';
import { createTurnQueue, type TurnQueue } from '@bulrushspar/placement';
import type { Incarnation, ObjectStore } from '@bulrushspar/store';

/** Options of {@link createModelTurnsLookup}. */
export interface ModelTurnsOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly self: Incarnation;
  readonly hasEnded: (host: Incarnation) => boolean;
}

/**
 * Returns a lookup of the turns in which the suspected requests of a model run, one at a time in
 * the whole fleet. The turns of a model are created on first use and then reused.
 */
export function createModelTurnsLookup(options: ModelTurnsOptions): (model: string) => TurnQueue {
  const turnsByModel = new Map<string, TurnQueue>();
  return (model) => {
    const existing = turnsByModel.get(model);
    if (existing) return existing;
    const record = `suspects-${model}`;
    const created = createTurnQueue({
      ...options,
      record,
      limit: async () => 1,
      isInProgress: () => false,
    });
    turnsByModel.set(model, created);
    return created;
  };
}
