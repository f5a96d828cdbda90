/** Copies models that no disk holds out of the weight store before anybody waits for them. */
import type { EngineProfile } from '@bulrushspar/catalogue';
import type { PlannedLoad, PlannedServer } from './plan.js';

/** What is known when a prefetch is considered. */
export interface PrefetchInput {
  readonly profile: EngineProfile;
  readonly servers: readonly PlannedServer[];
  /** Nobody has asked for a model yet. */
  readonly beforeTraffic: boolean;
  /** Loads out of the weight store that may begin now. */
  readonly coldLoads: number;
}

/** Cold loads that wait for nobody and run at once while there is traffic. */
const COLD_LOADS_IN_TRAFFIC = 1;

const isIdle = ({ busyMilliseconds, running }: PlannedServer): boolean =>
  busyMilliseconds === 0 && running === 0;

function freeMegabytes(server: PlannedServer, profile: EngineProfile): number {
  const used = server.models.reduce((sum, { name, adapters }) => {
    const model = profile.models.get(name);
    return sum + (model ? model.megabytes + adapters * model.adapterMegabytes : 0);
  }, 0);
  return profile.weightsMegabytes - used - server.doubtfulMegabytes;
}

/** Models that only the weight store holds, the smallest first. */
function orphans({ profile, servers }: PrefetchInput) {
  const held = new Set(
    servers.flatMap(({ models, inMemory, onDisk }) => [
      ...models.map(({ name }) => name),
      ...inMemory,
      ...onDisk,
    ]),
  );
  return [...profile.models.values()]
    .filter(({ name }) => !held.has(name))
    .sort((a, b) => a.megabytes - b.megabytes);
}

/** The model whose other copies make it the least missed, if it alone makes enough room. */
function chooseVictim(
  server: PlannedServer,
  missing: number,
  { profile, servers }: PrefetchInput,
): string | undefined {
  const copiesOf = (name: string): number =>
    servers.filter(({ models }) => models.some((model) => model.name === name)).length;
  return server.models
    .filter(({ name, inUse, fresh }) => {
      const megabytes = profile.models.get(name)?.megabytes ?? 0;
      return !inUse && !fresh && megabytes >= missing;
    })
    .map(({ name }) => ({ name, copies: copiesOf(name) }))
    .sort((a, b) => b.copies - a.copies)[0]?.name;
}

/**
 * Plans loads of models that no disk holds. Before traffic a resident model makes way where it
 * must, since it comes back from memory at once; later only free memory is used.
 */
export function planPrefetch(input: PrefetchInput): readonly PlannedLoad[] {
  const { profile, servers, beforeTraffic } = input;
  let left = beforeTraffic ? input.coldLoads : Math.min(input.coldLoads, COLD_LOADS_IN_TRAFFIC);
  const idle = new Set(servers.filter(isIdle));
  return orphans(input).flatMap((model): PlannedLoad[] => {
    if (left < 1) return [];
    const roomy = [...idle].find((server) => freeMegabytes(server, profile) >= model.megabytes);
    const options = [...idle].flatMap((server) => {
      const missing = model.megabytes - freeMegabytes(server, profile);
      const victim = chooseVictim(server, missing, input);
      return victim === undefined ? [] : [{ server, victim }];
    });
    const [swap] = beforeTraffic ? options : [];
    const server = roomy ?? swap?.server;
    if (!server) return [];
    idle.delete(server);
    left -= 1;
    return [
      {
        model: model.name,
        server: server.id,
        victims: roomy || !swap ? [] : [swap.victim],
        readyMilliseconds: model.coldMilliseconds,
        cold: true,
        startsNow: true,
      },
    ];
  });
}
