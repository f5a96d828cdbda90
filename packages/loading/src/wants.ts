import type { Clock } from '@bulrushspar/clock';
import type { Want } from './plan-input.js';

/** Keeps the models that the requests of each host wait for. */
export interface WantBook {
  /** Replaces the wants of a host. */
  set(host: string, wants: readonly Want[]): void;
  remove(host: string): void;
  /** Adds up the wants of all hosts by model, with the time left as of now. */
  merged(): readonly Want[];
  /** Hosts whose requests wait for models. */
  hosts(): readonly string[];
}

/** Creates an empty want book. */
export function createWantBook(clock: Clock): WantBook {
  const wantsByHost = new Map<string, { readonly at: number; readonly wants: readonly Want[] }>();

  return {
    set: (host, wants) => {
      if (wants.length === 0) wantsByHost.delete(host);
      else wantsByHost.set(host, { at: clock.monotonic(), wants });
    },
    remove: (host) => {
      wantsByHost.delete(host);
    },
    merged: () => {
      const now = clock.monotonic();
      const merged = new Map<string, Want>();
      wantsByHost.forEach(({ at, wants }) =>
        wants.forEach((want) => {
          const known = merged.get(want.model);
          const objective = want.objectiveMilliseconds - (now - at);
          const remaining = (want.remainingMilliseconds ?? Infinity) - (now - at);
          merged.set(want.model, {
            model: want.model,
            count: want.count + (known?.count ?? 0),
            credit: want.credit + (known?.credit ?? 0),
            objectiveMilliseconds: Math.min(objective, known?.objectiveMilliseconds ?? Infinity),
            remainingMilliseconds: Math.max(remaining, known?.remainingMilliseconds ?? -Infinity),
          });
        }),
      );
      return [...merged.values()];
    },
    hosts: () => [...wantsByHost.keys()],
  };
}
