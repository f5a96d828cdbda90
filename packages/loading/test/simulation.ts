/** A simulated fleet of servers that share a weight store, with a real coordinator and real waits. */
import type { EngineProfile, ServerEntry } from '@bulrushspar/catalogue';
import { createManualClock, type ManualClock } from '@bulrushspar/clock';
import {
  createDemandTracker,
  createLoadCoordinator,
  ORDER_OPERATION,
  ORDER_OUTCOME,
  type DemandTracker,
  type LoadCoordinator,
} from '@bulrushspar/loading';
import type { Logger } from '@bulrushspar/logging';
import { createModelWaits, WAIT_END, type ModelWaits } from '@bulrushspar/serving';

/** A simulated server; it executes one order at a time. */
interface SimulatedServer {
  readonly id: string;
  readonly models: Set<string>;
  readonly disk: Set<string>;
  born: number;
  sequence: number;
  leaving: boolean;
  load: { readonly model: string; work: number; readonly cold: boolean } | undefined;
}

/** State of the fleet, and what has happened in it. */
export interface Simulation {
  readonly clock: ManualClock;
  readonly demand: DemandTracker;
  readonly servers: SimulatedServer[];
  readonly profile: EngineProfile;
  readonly waits: ModelWaits;
  coordinator: LoadCoordinator;
  /** Time in which servers answer requests for reports. */
  reportMilliseconds: number;
  /** Ends the coordinator and starts that of another host, which knows what requests wait for. */
  changeLeader(): void;
  served: Map<string, number>;
  refused: { readonly at: number; readonly readyMilliseconds: number | undefined }[];
  requests: number;
  coldStarts: number[];
  /** Models that servers began to load from the weight store. */
  coldModels: string[];
  mostColdLoads: number[];
  unloads: string[];
  /** When each model was loaded first. */
  loadedAt: Map<string, number>;
  /** When callers were first told that a model would be ready, and for when. */
  told: Map<string, { readonly at: number; readonly readyAt: number }>;
  overfull: number;
  /** Lines that the coordinator has logged. */
  logLines: { readonly message: string; readonly fields: Readonly<Record<string, unknown>> }[];
  /** Whether the host of the coordinator holds the lease for orders. */
  holdsLease: boolean;
  /** Whether the former leader has told of the loads under way. */
  tellsLoads: boolean;
  /** Limit of concurrent cold loads that the former leader has learnt. */
  formerLimit: number | undefined;
}

const COLD_MILLISECONDS = 7800;
const DISK_MILLISECONDS = 1000;
/** Size of a model, unless a scenario says otherwise. */
export const MODEL_MEGABYTES = 60_000;
/** Memory of a server, unless a scenario says otherwise. */
export const SERVER_MEGABYTES = 200_000;
/** Step of the simulated time. */
export const STEP_MILLISECONDS = 50;
const ENTRY_INTERVAL_MILLISECONDS = 500;
const silentLogger: Logger = { info: () => {}, warn: () => {}, error: () => {} };

const createProfile = (
  models: ReadonlyMap<string, number>,
  weightsMegabytes: number,
): EngineProfile => ({
  slots: 64,
  cacheTokens: 100_000,
  weightsMegabytes,
  adapterSlots: 8,
  coldLoadsPerSecond: 3,
  models: new Map(
    [...models].map(([name, megabytes]) => [
      name,
      {
        name,
        megabytes,
        adapterMegabytes: 10,
        coldMilliseconds: COLD_MILLISECONDS,
        diskMilliseconds: DISK_MILLISECONDS,
        memoryMilliseconds: 500,
      },
    ]),
  ),
});

const toEntry = ({ id, models, disk, born, leaving }: SimulatedServer): ServerEntry => ({
  id,
  service: 'llm',
  address: '127.0.0.1:1',
  failureDomain: 'd1',
  slots: 64,
  leaving,
  born,
  models: [...models].map((name) => ({ name, version: 1, adapters: [] })),
  inMemory: [],
  onDisk: [...disk],
});

/** Models of a fleet by server, and their sizes. */
interface FleetDescription {
  readonly serverModels: readonly (readonly string[])[];
  readonly serverDisks?: readonly (readonly string[])[];
  readonly megabytes: ReadonlyMap<string, number>;
  readonly weightsMegabytes: number;
}

const listEntries = ({ servers }: Pick<Simulation, 'servers'>): Map<string, ServerEntry> =>
  new Map(servers.map((server) => [server.id, toEntry(server)]));

/** Starts a fleet and its coordinator. */
export function createSimulation(fleet: FleetDescription, sharesCapacity?: boolean): Simulation {
  const { serverModels, serverDisks, megabytes, weightsMegabytes } = fleet;
  const clock = createManualClock();
  const demand = createDemandTracker({ clock });
  const servers = serverModels.map((models, index): SimulatedServer => ({
    id: `s${index + 1}`,
    models: new Set(models),
    disk: new Set(serverDisks?.[index]),
    born: 1,
    sequence: 0,
    leaving: false,
    load: undefined,
  }));
  const profile = createProfile(megabytes, weightsMegabytes);
  const waits = createModelWaits({ clock, ...(sharesCapacity ? { random: createRandom(5) } : {}) });
  const byId = (id: string): SimulatedServer => servers.find((server) => server.id === id)!;
  const simulation = {
    clock,
    demand,
    servers,
    profile,
    waits,
    served: new Map(),
    refused: [],
    requests: 0,
    coldStarts: [],
    coldModels: [],
    reportMilliseconds: 0,
    mostColdLoads: [],
    unloads: [],
    loadedAt: new Map(),
    told: new Map(),
    overfull: 0,
    logLines: [],
    holdsLease: true,
    tellsLoads: true,
    formerLimit: undefined,
  } as unknown as Simulation;
  const startCoordinator = (): LoadCoordinator =>
    createLoadCoordinator({
      clock,
      control: {
        report: async ({ id }) => {
          if (simulation.reportMilliseconds > 0) await clock.delay(simulation.reportMilliseconds);
          const { born, sequence, load, models } = byId(id);
          return {
            born,
            sequence,
            busy: load !== undefined,
            models: [...models].map((name) => ({ name, version: 1, adapters: [] })),
          };
        },
        order: async ({ id }, { operation, model, expectedSequence }) => {
          const server = byId(id);
          if (server.load || expectedSequence !== server.sequence) return ORDER_OUTCOME.CONFLICT;
          server.sequence += 1;
          if (operation === ORDER_OPERATION.UNLOAD) {
            server.models.delete(model);
            server.disk.add(model);
            simulation.unloads.push(model);
            return ORDER_OUTCOME.ACCEPTED;
          }
          const cold = !server.disk.has(model);
          server.load = { model, cold, work: cold ? COLD_MILLISECONDS : DISK_MILLISECONDS };
          if (cold) {
            simulation.coldStarts.push(clock.monotonic());
            simulation.coldModels.push(model);
          }
          const used = [...server.models, model].reduce(
            (sum, name) => sum + megabytes.get(name)!,
            0,
          );
          if (used > weightsMegabytes) simulation.overfull += 1;
          return ORDER_OUTCOME.ACCEPTED;
        },
      },
      logger: {
        ...silentLogger,
        info: (message, fields = {}) => simulation.logLines.push({ message, fields }),
      },
      holder: 'host-1',
      leaseFencing: () => (simulation.holdsLease ? 1 : undefined),
      fencing: () => (simulation.holdsLease ? 1 : undefined),
      learntColdLoadLimit: () => simulation.formerLimit,
      formerColdLoads: () =>
        simulation.tellsLoads
          ? servers.flatMap(({ id, load }) =>
              load?.cold === true
                ? [{ server: id, model: load.model, milliseconds: COLD_MILLISECONDS - load.work }]
                : [],
            )
          : [],
      millisecondsUntilOrders: () => 0,
      profile: () => profile,
      demand,
      running: () => new Map(),
      ...(sharesCapacity === undefined ? {} : { sharesCapacity }),
      onOutlook: (outlook) => {
        outlook.forEach(({ model, readyMilliseconds = Infinity }) => {
          if (readyMilliseconds === 0 || readyMilliseconds > 15_000) return;
          if (simulation.told.has(model)) return;
          const at = clock.monotonic();
          simulation.told.set(model, { at, readyAt: at + readyMilliseconds });
        });
        waits.applyOutlook(outlook);
      },
    });
  simulation.changeLeader = () => {
    simulation.coordinator.stop();
    simulation.coordinator = startCoordinator();
    // Another host prefers other servers among equal ones.
    servers.reverse();
    simulation.coordinator.setServers(listEntries(simulation));
    simulation.coordinator.setWants('host-1', waits.wants());
  };
  simulation.coordinator = startCoordinator();
  simulation.coordinator.setServers(listEntries(simulation));
  return simulation;
}

/** Whether requests for a model can be served now. */
export const isResident = ({ servers }: Simulation, model: string): boolean =>
  servers.some(({ models, leaving }) => !leaving && models.has(model));

/** Executes the loads for one step; the weight store shares its capacity among the cold ones. */
function runLoads({ clock, servers, mostColdLoads, loadedAt }: Simulation, capacity: number): void {
  const coldLoads = servers.filter(({ load }) => load?.cold === true).length;
  mostColdLoads.push(coldLoads);
  const speed = Math.min(1, capacity / Math.max(1, coldLoads));
  servers.forEach((server) => {
    const { load } = server;
    if (!load) return;
    load.work -= STEP_MILLISECONDS * (load.cold ? speed : 1);
    if (load.work > 0) return;
    server.models.add(load.model);
    server.disk.add(load.model);
    if (!loadedAt.has(load.model)) loadedAt.set(load.model, clock.monotonic());
    Object.assign(server, { load: undefined });
  });
}

/** A caller asks for a model and, if it is refused, asks once more when it is told to. */
export function request(
  simulation: Simulation,
  model: string,
  timeout: number,
  attempts = 2,
): void {
  const { clock, demand, waits, served, refused } = simulation;
  Object.assign(simulation, { requests: simulation.requests + 1 });
  demand.recordRequests(model, 1);
  const serve = (): void => {
    served.set(model, (served.get(model) ?? 0) + 1);
  };
  if (isResident(simulation, model)) {
    serve();
    return;
  }
  const startedAt = clock.monotonic();
  waits
    .wait({
      model,
      credit: 1,
      objectiveMilliseconds: 2500,
      remainingMilliseconds: timeout,
      signal: new AbortController().signal,
    })
    .then(({ end, readyMilliseconds }) => {
      if (end === WAIT_END.READY) {
        serve();
        return;
      }
      refused.push({ at: clock.monotonic(), readyMilliseconds });
      const remaining = timeout - (clock.monotonic() - startedAt);
      const retry = readyMilliseconds ?? Infinity;
      if (attempts > 1 && retry < remaining / 3)
        clock.after(retry, () => request(simulation, model, remaining - retry, attempts - 1));
    });
}

/** Plays the simulation. @param requestsAt called at each step, for the requests that arrive */
export async function play(
  simulation: Simulation,
  capacity: number,
  seconds: number,
  requestsAt: (now: number) => void = () => {},
): Promise<void> {
  const { clock, waits } = simulation;
  const start = clock.monotonic();
  for (let passed = 0; passed < seconds * 1000; passed += STEP_MILLISECONDS) {
    requestsAt(clock.monotonic() - start);
    runLoads(simulation, capacity);
    waits.endReadyWaits((model) => isResident(simulation, model));
    simulation.coordinator.setWants('host-1', waits.wants());
    if (passed % ENTRY_INTERVAL_MILLISECONDS === 0)
      simulation.coordinator.setServers(listEntries(simulation));
    // eslint-disable-next-line no-await-in-loop -- the clock advances sequentially
    await clock.advance(STEP_MILLISECONDS);
  }
}

/** Returns names with a common prefix. */
export const nameModels = (prefix: string, count: number): string[] =>
  Array.from({ length: count }, (_, index) => `${prefix}${index + 1}`);

/** Pseudo-random numbers from 0 to 1; each seed gives one sequence. */
export function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state * 1_664_525 + 1_013_904_223) % 4_294_967_296;
    return state / 4_294_967_296;
  };
}
