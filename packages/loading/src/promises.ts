import { PROMISE_HORIZON_MILLISECONDS, type Outlook, type Want } from './plan-input.js';

/** Keeps the models whose callers were told a time, in the order in which they were told. */
export interface Promises {
  /** Records what the hosts are told. @param now monotonic time in milliseconds */
  record(outlook: readonly Outlook[], now: number): void;
  /** Drops the promises that are kept or that nobody relies on any more. */
  prune(isOpen: (model: string) => boolean): void;
  /** When callers were first told a time, by model. */
  current(): ReadonlyMap<string, number>;
}

/** Creates an empty record of promises. */
export function createPromises(): Promises {
  const toldAt = new Map<string, number>();
  return {
    record: (outlook, now) =>
      outlook.forEach(({ model, readyMilliseconds = Infinity }) => {
        if (readyMilliseconds === 0 || readyMilliseconds > PROMISE_HORIZON_MILLISECONDS) return;
        if (!toldAt.has(model)) toldAt.set(model, now);
      }),
    prune: (isOpen) =>
      [...toldAt.keys()].forEach((model) => {
        if (!isOpen(model)) toldAt.delete(model);
      }),
    current: () => toldAt,
  };
}

/** Time within which a promised model has to start loading; ranks it among the wants. */
const PROMISED_OBJECTIVE_MILLISECONDS = 0;

/** Wants for promised models whose callers were refused and are expected to return. */
export function listPromisedWants(
  promised: ReadonlyMap<string, number>,
  wants: readonly Want[],
): readonly Want[] {
  const waited = new Set(wants.map(({ model }) => model));
  return [...promised.keys()]
    .filter((model) => !waited.has(model))
    .map((model) => ({
      model,
      count: 1,
      credit: 1,
      objectiveMilliseconds: PROMISED_OBJECTIVE_MILLISECONDS,
    }));
}
