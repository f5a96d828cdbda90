import type { Clock } from '@bulrushspar/clock';
import { createTurns, type Turns } from '@bulrushspar/placement';
import type { Incarnation, ObjectStore } from '@bulrushspar/store';

/** Options of {@link createTurnsByName}. */
export interface TurnsByNameOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly self: Incarnation;
  readonly isGone: (host: Incarnation) => boolean;
}

/** Creates the turns of the suspected requests of each model, once they are asked for. */
export function createTurnsByName(options: TurnsByNameOptions): (model: string) => Turns {
  const all = new Map<string, Turns>();
  return (model) => {
    const found = all.get(model);
    if (found) return found;
    const record = `suspects-${model}`;
    const created = createTurns({
      ...options,
      record,
      limit: async () => 1,
      isUnderWay: () => false,
    });
    all.set(model, created);
    return created;
  };
}
