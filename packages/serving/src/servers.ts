import { createServerKnowledge, type ServerKnowledge } from '@bulrushspar/balancing';
import { acceptsRequests, type ServerEntry, type ServerView } from '@bulrushspar/catalogue';
import type { Clock } from '@bulrushspar/clock';
import type { ServerLoad } from './call.js';

/** State that this host keeps for one server. */
export interface ServerState {
  entry: ServerEntry;
  /** Requests of this host that are in flight at the server. */
  outstanding: number;
  /** Requests of this host that are in flight at the server, by model. */
  readonly outstandingByModel: Map<string, number>;
  /** Requests of the other hosts that are in flight at the server, as last reported. */
  readonly outstandingFromOtherHosts: number;
  /** Moving average of the requests that the server failed, from 0 to 1. */
  failureRate: number;
  /** Time on the monotonic clock before which the server is selected only if there is no other. */
  avoidUntil: number;
  reportedLoad?: ServerLoad & { readonly at: number };
  /** Times of adapter loads that the entry may not list yet, by key "model/adapter". */
  readonly adapterLoadTimes: Map<string, number>;
  /** Time on the monotonic clock before which the server accepts nothing from this host. */
  closedUntil: number;
  /** Whether the server ends if it must reject too many requests, by its last answer to this host. */
  isBrittle: boolean;
  /** Time on the monotonic clock since when the server may have been leaving; undefined if it is not. */
  leavingSince: number | undefined;
  /** Times of the orders to unload a model, by model. */
  readonly unloadOrderTimes: Map<string, number>;
  /** Times when this host last sent a prompt part to the server, by key "model/adapter/part". */
  readonly promptPartTimes: Map<string, number>;
  /** What this host has learnt about load and speed; used where hosts share capacity. */
  readonly knowledge: ServerKnowledge;
}

/** The states that this host keeps for all servers. */
export interface ServerStates {
  /**
   * Replaces the entries.
   * @param ageMilliseconds longest time since they changed; 0 by default
   */
  update(servers: ServerView, ageMilliseconds?: number): void;
  all(): Iterable<ServerState>;
  ofService(service: string): readonly ServerState[];
  get(id: string): ServerState | undefined;
  /** Updates the failure rate of a server with the outcome of one request. */
  recordOutcome(state: ServerState, failed: boolean): void;
  /** Excludes a server from selection for a time unless there is no other. */
  avoid(state: ServerState, milliseconds: number): void;
  /** Excludes a server from selection for a time, as it has asked. */
  close(id: string, milliseconds: number): void;
  /** @returns the time for which a server accepts nothing from this host; 0 if it does */
  closedMilliseconds(id: string): number;
  hasAdapter(state: ServerState, model: string, adapter: string): boolean;
  /** Records that a server was ordered to unload a model. */
  recordUnloadOrder(id: string, model: string): void;
  /** @returns whether a server holds a model and accepts new requests for it */
  canServeModel(state: ServerState, model: string): boolean;
}

/** Weight of the latest request in the moving average of failures. */
const FAILURE_RATE_WEIGHT = 0.2;
/** Time after which a loaded adapter must be listed in the server's own entry: three heartbeats. */
const ADAPTER_REPORT_TIMEOUT_MILLISECONDS = 4000;
/** Time for which a leaving server may receive requests; it serves for at least two seconds. */
const LEAVING_SERVER_USE_MILLISECONDS = 1000;
/** Time after an unload order until a model still in the entry counts as not unloaded. */
const UNLOAD_TIMEOUT_MILLISECONDS = 2500;

/** Whether an entry lists a model; a loop, since selection asks it of each server for each request. */
function holdsModel({ models }: ServerEntry, model: string): boolean {
  for (let index = 0; index < models.length; index += 1) {
    if (models[index]!.name === model) return true;
  }
  return false;
}

/**
 * Creates the states without any server.
 * @param countFromOtherHosts returns the requests of the other hosts that are in flight at a server
 */
export function createServerStates(
  clock: Clock,
  countFromOtherHosts: (server: string) => number = () => 0,
): ServerStates {
  const states = new Map<string, ServerState>();
  let byService = new Map<string, ServerState[]>();

  const createState = (entry: ServerEntry): ServerState => ({
    entry,
    outstanding: 0,
    outstandingByModel: new Map(),
    get outstandingFromOtherHosts() {
      return countFromOtherHosts(entry.id);
    },
    failureRate: 0,
    avoidUntil: 0,
    closedUntil: -Infinity,
    isBrittle: false,
    adapterLoadTimes: new Map(),
    leavingSince: undefined,
    unloadOrderTimes: new Map(),
    promptPartTimes: new Map(),
    knowledge: createServerKnowledge(),
  });

  /** A leaving server may receive requests for a short time if no other server holds their model. */
  const isLastResort = (model: string, leavingSince: number | undefined): boolean => {
    if (leavingSince === undefined) return false;
    if (clock.monotonic() - leavingSince > LEAVING_SERVER_USE_MILLISECONDS) return false;
    return ![...states.values()].some(
      ({ entry }) => acceptsRequests(entry) && entry.models.some(({ name }) => name === model),
    );
  };

  /** Removes the orders of models that are unloaded by now, since these may be loaded again. */
  const removeFinishedUnloads = ({ entry, unloadOrderTimes }: ServerState): void => {
    [...unloadOrderTimes.keys()].forEach((model) => {
      if (!entry.models.some(({ name }) => name === model)) unloadOrderTimes.delete(model);
    });
  };

  return {
    update: (servers, ageMilliseconds = 0) => {
      [...states.keys()].forEach((id) => {
        if (!servers.has(id)) states.delete(id);
      });
      servers.forEach((entry, id) => {
        const existing = states.get(id);
        if (existing?.entry.born === entry.born) {
          existing.entry = entry;
          if (entry.leaving) existing.leavingSince ??= clock.monotonic() - ageMilliseconds;
          removeFinishedUnloads(existing);
        } else states.set(id, createState(entry));
      });
      byService = new Map();
      states.forEach((state) => {
        const list = byService.get(state.entry.service);
        if (list) list.push(state);
        else byService.set(state.entry.service, [state]);
      });
    },
    all: () => states.values(),
    ofService: (service) => byService.get(service) ?? [],
    get: (id) => states.get(id),
    recordOutcome: (state, failed) => {
      const changed = state;
      changed.failureRate += ((failed ? 1 : 0) - changed.failureRate) * FAILURE_RATE_WEIGHT;
      if (failed) changed.knowledge.failedAt = clock.monotonic();
    },
    avoid: (state, milliseconds) => {
      const changed = state;
      changed.avoidUntil = clock.monotonic() + milliseconds;
    },
    close: (id, milliseconds) => {
      const state = states.get(id);
      if (!state) return;
      state.closedUntil = Math.max(state.closedUntil, clock.monotonic() + milliseconds);
    },
    closedMilliseconds: (id) => Math.max(0, (states.get(id)?.closedUntil ?? 0) - clock.monotonic()),
    recordUnloadOrder: (id, model) => {
      states.get(id)?.unloadOrderTimes.set(model, clock.monotonic());
    },
    canServeModel: ({ entry, unloadOrderTimes, leavingSince }, model) => {
      if (!holdsModel(entry, model) || entry.evacuated) return false;
      if (entry.leaving && !isLastResort(model, leavingSince)) return false;
      const orderedAt = unloadOrderTimes.get(model);
      return orderedAt === undefined || clock.monotonic() - orderedAt > UNLOAD_TIMEOUT_MILLISECONDS;
    },
    hasAdapter: (state, model, adapter) => {
      const { adapterLoadTimes } = state;
      const loadedAt =
        adapterLoadTimes.size > 0 ? adapterLoadTimes.get(`${model}/${adapter}`) : undefined;
      if (
        loadedAt !== undefined &&
        clock.monotonic() - loadedAt < ADAPTER_REPORT_TIMEOUT_MILLISECONDS
      )
        return true;
      const { models } = state.entry;
      for (let index = 0; index < models.length; index += 1) {
        const resident = models[index]!;
        if (resident.name === model) return resident.adapters.includes(adapter);
      }
      return false;
    },
  };
}
