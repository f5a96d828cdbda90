/** Loads for which nobody waits yet, in the time and the memory that nobody else needs. */
import type { EngineProfile, ModelProfile } from '@bulrushspar/catalogue';
import type { PlannedLoad, PlannedServer } from './plan.js';

/** What is known when a prefetch is considered. */
export interface PrefetchInput {
  readonly profile: EngineProfile;
  readonly servers: readonly PlannedServer[];
  /** Nobody has asked for a model yet. */
  readonly beforeTraffic: boolean;
  /** Loads out of the weight store that may begin now. */
  readonly coldLoads: number;
  /** Requests a second for a model. */
  readonly creditPerSecond: (model: string) => number;
}

/** Loads at once for which nobody waits while there is traffic. */
const LOADS_IN_TRAFFIC = 2;
/** Requests a second from which on a model is worth a second copy in case a server is lost. */
const BUSY_RATE = 1;

interface Round {
  readonly idle: Set<PlannedServer>;
  coldLoads: number;
  loads: number;
}

function freeMegabytes(server: PlannedServer, profile: EngineProfile): number {
  const used = server.models.reduce((sum, { name, adapters }) => {
    const model = profile.models.get(name);
    return sum + (model ? model.megabytes + adapters * model.adapterMegabytes : 0);
  }, 0);
  return profile.weightsMegabytes - used - server.doubtfulMegabytes;
}

const holds = ({ models }: PlannedServer, name: string): boolean =>
  models.some((model) => model.name === name);

const isWarm = ({ inMemory, onDisk }: PlannedServer, name: string): boolean =>
  inMemory.has(name) || onDisk.has(name);

/** Models that only the weight store holds, the smallest first. */
function findOrphans({ profile, servers }: PrefetchInput): readonly ModelProfile[] {
  return [...profile.models.values()]
    .filter(({ name }) => !servers.some((server) => holds(server, name) || isWarm(server, name)))
    .sort((a, b) => a.megabytes - b.megabytes);
}

/** The model whose other copies make it the least missed, if it alone makes enough room. */
function chooseVictim(
  server: PlannedServer,
  missing: number,
  { profile, servers }: PrefetchInput,
): string | undefined {
  const copiesOf = (name: string): number => servers.filter((other) => holds(other, name)).length;
  return server.models
    .filter(({ name, running, fresh }) => {
      const megabytes = profile.models.get(name)?.megabytes ?? 0;
      return running === 0 && !fresh && megabytes >= missing;
    })
    .map(({ name }) => ({ name, copies: copiesOf(name) }))
    .sort((a, b) => b.copies - a.copies)[0]?.name;
}

function reserve(
  round: Round,
  server: PlannedServer,
  model: ModelProfile,
  victims: readonly string[],
): PlannedLoad {
  const taken = round;
  const cold = !isWarm(server, model.name);
  taken.idle.delete(server);
  taken.loads -= 1;
  if (cold) taken.coldLoads -= 1;
  return {
    model: model.name,
    server: server.id,
    victims,
    readyMilliseconds: cold ? model.coldMilliseconds : model.diskMilliseconds,
    cold,
    startsNow: true,
  };
}

/** Copies orphans; before traffic a resident model makes way, since it comes back from memory. */
function fetchOrphans(input: PrefetchInput, round: Round): readonly PlannedLoad[] {
  const { profile, beforeTraffic } = input;
  return findOrphans(input).flatMap((model) => {
    if (round.coldLoads < 1 || round.loads < 1) return [];
    const missingAt = (server: PlannedServer): number =>
      model.megabytes - freeMegabytes(server, profile);
    const roomy = [...round.idle].find((server) => missingAt(server) <= 0);
    if (roomy) return [reserve(round, roomy, model, [])];
    if (!beforeTraffic) return [];
    const [swap] = [...round.idle].flatMap((server) => {
      const victim = chooseVictim(server, missingAt(server), input);
      return victim === undefined ? [] : [{ server, victim }];
    });
    return swap ? [reserve(round, swap.server, model, [swap.victim])] : [];
  });
}

/** Fills free memory: a second copy of what is busy, then what is asked for and on no server. */
function fillMemory(input: PrefetchInput, round: Round): readonly PlannedLoad[] {
  const { profile, servers, creditPerSecond } = input;
  const valueOf = ({ name }: ModelProfile): number => {
    const copies = servers.filter((server) => holds(server, name)).length;
    const rate = creditPerSecond(name);
    if (copies === 0) return rate;
    return copies === 1 && rate >= BUSY_RATE ? rate : 0;
  };
  const candidates = [...profile.models.values()]
    .map((model) => ({ model, value: valueOf(model) }))
    .filter(({ value }) => value > 0)
    .sort((a, b) => b.value - a.value);
  return candidates.flatMap(({ model }) => {
    if (round.loads < 1) return [];
    const options = [...round.idle].filter(
      (server) => !holds(server, model.name) && freeMegabytes(server, profile) >= model.megabytes,
    );
    const warm = options.find((server) => isWarm(server, model.name));
    const server = warm ?? (round.coldLoads >= 1 ? options[0] : undefined);
    return server ? [reserve(round, server, model, [])] : [];
  });
}

/** Plans loads for which nobody waits yet. */
export function planPrefetch(input: PrefetchInput): readonly PlannedLoad[] {
  const { servers, beforeTraffic, coldLoads } = input;
  const idle = servers.filter(({ busyMilliseconds }) => busyMilliseconds === 0);
  const busy = servers.length - idle.length;
  const round: Round = {
    idle: new Set(idle),
    coldLoads,
    loads: beforeTraffic ? servers.length : LOADS_IN_TRAFFIC - busy,
  };
  return [...fetchOrphans(input, round), ...fillMemory(input, round)];
}
