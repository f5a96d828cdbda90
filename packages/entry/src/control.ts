/** Sends reports and orders, except to servers that must receive nothing from this host. */
import type { ServerEntry } from '@bulrushspar/catalogue';
import { ORDER_OUTCOME, type EngineControl } from '@bulrushspar/loading';

/** Options of {@link createPausingControl}. */
export interface PausingControlOptions {
  readonly control: EngineControl;
  /** @returns the time for which a server accepts nothing from this host; 0 if it does */
  readonly closedMilliseconds: (server: string) => number;
  /** @returns whether operators have asked that nothing be sent to a server */
  readonly isEvacuated: (server: ServerEntry) => boolean;
  /** Counts a report or an order against the limit of its server. */
  readonly charge: (server: ServerEntry) => void;
}

/** Creates the client for reports and orders of one host. */
export function createPausingControl(options: PausingControlOptions): EngineControl {
  const { control, closedMilliseconds, isEvacuated, charge } = options;
  return {
    report: async (server) => {
      if (closedMilliseconds(server.id) > 0)
        throw new Error(`server ${server.id} accepts nothing from this host for a time`);
      if (isEvacuated(server))
        throw new Error(`server ${server.id} is in an evacuated failure domain`);
      charge(server);
      return control.report(server);
    },
    order: async (server, order) => {
      if (closedMilliseconds(server.id) > 0 || isEvacuated(server)) return ORDER_OUTCOME.REJECTED;
      charge(server);
      return control.order(server, order);
    },
  };
}
