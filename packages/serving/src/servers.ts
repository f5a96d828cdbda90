import type { ServerEntry, ServerView } from '@bulrushspar/catalogue';
import type { Clock } from '@bulrushspar/clock';
import type { ServerLoad } from './call.js';

/** What this host knows of one server beside its entry. */
export interface ServerState {
  entry: ServerEntry;
  /** Requests of this host that run there now. */
  outstanding: number;
  /** The same by model. */
  readonly outstandingByModel: Map<string, number>;
  /** Requests of the other hosts that run there, as they last told. */
  readonly outstandingElsewhere: number;
  /** Part of the last requests that failed for the server's fault, from 0 to 1. */
  failing: number;
  /** Not chosen before this moment by the monotonic clock, unless there is no other. */
  avoidUntil: number;
  load?: ServerLoad & { readonly at: number };
  /** Adapters that were loaded after the entry was written, with the moment. */
  readonly adapters: Map<string, number>;
  /** When the server was first seen to leave. */
  leavingSince: number | undefined;
  /** Models that the server was told to unload, with the moment. */
  readonly unloading: Map<string, number>;
  /** Prompt parts that this host has sent there, with the moment. */
  readonly parts: Map<string, number>;
}

/** Servers as this host sees them. */
export interface ServerStates {
  update(servers: ServerView): void;
  all(): Iterable<ServerState>;
  of(service: string): readonly ServerState[];
  get(id: string): ServerState | undefined;
  /** Notes how a request ended at a server. */
  noteOutcome(state: ServerState, failed: boolean): void;
  /** Keeps requests away from a server for a while. */
  avoid(state: ServerState, milliseconds: number): void;
  holdsAdapter(state: ServerState, model: string, adapter: string): boolean;
  /** Notes that a server was told to unload a model. */
  noteUnloading(id: string, model: string): void;
  /** Tells whether a server takes new work for a model. */
  holdsModel(state: ServerState, model: string): boolean;
}

/** Weight of one request in the part that fails. */
const FAILING_WEIGHT = 0.2;
/** Time after which an adapter must stand in the server's own entry: three heartbeats. */
const ADAPTER_MILLISECONDS = 4000;
/** Time for which a leaving server may take work: it serves on for two seconds at least. */
const LEAVING_MILLISECONDS = 1000;
/** Time after which a model that is still in the server's entry was not unloaded. */
const UNLOADING_MILLISECONDS = 2500;

/**
 * Creates the states; there are no servers at first.
 * @param elsewhere requests of the other hosts that run on a server
 */
export function createServerStates(
  clock: Clock,
  elsewhere: (server: string) => number = () => 0,
): ServerStates {
  const states = new Map<string, ServerState>();
  let byService = new Map<string, ServerState[]>();

  const open = (entry: ServerEntry): ServerState => ({
    entry,
    outstanding: 0,
    outstandingByModel: new Map(),
    get outstandingElsewhere() {
      return elsewhere(entry.id);
    },
    failing: 0,
    avoidUntil: 0,
    adapters: new Map(),
    leavingSince: undefined,
    unloading: new Map(),
    parts: new Map(),
  });

  /** A leaving server takes requests for a short while if no other holds their model. */
  const isLastResort = (model: string, leavingSince: number | undefined): boolean => {
    if (leavingSince === undefined) return false;
    if (clock.monotonic() - leavingSince > LEAVING_MILLISECONDS) return false;
    return ![...states.values()].some(
      ({ entry }) => !entry.leaving && entry.models.some(({ name }) => name === model),
    );
  };

  /** A model that was unloaded may be loaded again. */
  const forgetUnloaded = ({ entry, unloading }: ServerState): void => {
    [...unloading.keys()].forEach((model) => {
      if (!entry.models.some(({ name }) => name === model)) unloading.delete(model);
    });
  };

  return {
    update: (servers) => {
      [...states.keys()].forEach((id) => {
        if (!servers.has(id)) states.delete(id);
      });
      servers.forEach((entry, id) => {
        const known = states.get(id);
        if (known?.entry.born === entry.born) {
          known.entry = entry;
          if (entry.leaving) known.leavingSince ??= clock.monotonic();
          forgetUnloaded(known);
        } else states.set(id, open(entry));
      });
      byService = new Map();
      states.forEach((state) => {
        const list = byService.get(state.entry.service);
        if (list) list.push(state);
        else byService.set(state.entry.service, [state]);
      });
    },
    all: () => states.values(),
    of: (service) => byService.get(service) ?? [],
    get: (id) => states.get(id),
    noteOutcome: (state, failed) => {
      const noted = state;
      noted.failing += ((failed ? 1 : 0) - noted.failing) * FAILING_WEIGHT;
    },
    avoid: (state, milliseconds) => {
      const noted = state;
      noted.avoidUntil = clock.monotonic() + milliseconds;
    },
    noteUnloading: (id, model) => {
      states.get(id)?.unloading.set(model, clock.monotonic());
    },
    holdsModel: ({ entry, unloading, leavingSince }, model) => {
      if (!entry.models.some(({ name }) => name === model)) return false;
      if (entry.leaving && !isLastResort(model, leavingSince)) return false;
      const toldAt = unloading.get(model);
      return toldAt === undefined || clock.monotonic() - toldAt > UNLOADING_MILLISECONDS;
    },
    holdsAdapter: (state, model, adapter) => {
      const loadedAt = state.adapters.get(`${model}/${adapter}`);
      if (loadedAt !== undefined && clock.monotonic() - loadedAt < ADAPTER_MILLISECONDS)
        return true;
      const resident = state.entry.models.find(({ name }) => name === model);
      return resident?.adapters.includes(adapter) ?? false;
    },
  };
}
