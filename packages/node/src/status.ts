import type { AcceptedConfiguration } from '@bulrushspar/configuration';
import type { ModelQueues, Readiness } from '@bulrushspar/gateway';
import type { Incarnation, WeightStore, WeightStoreStatus } from '@bulrushspar/store';
import type { Placer, TurnQueue } from '@bulrushspar/placement';
import type { MemberView } from '@bulrushspar/membership';
import type { Traffic } from '@bulrushspar/peer';
import type { ServerView, TargetRegistry } from '@bulrushspar/targets';

/** Inputs of {@link describeStatus}. */
export interface StatusInputs {
  readonly self: Incarnation;
  readonly failureDomain: string;
  readonly accepted: AcceptedConfiguration;
  readonly staleness: number;
  readonly readiness: Readiness;
  readonly creditShare: number;
  /** Tokens available on this host, by workspace. */
  readonly credit: Readonly<Record<string, number>>;
  readonly registry: TargetRegistry;
  readonly queues: ModelQueues;
  readonly placer: Placer;
  readonly turns: TurnQueue;
  readonly members: readonly MemberView[];
  readonly traffic: Readonly<Traffic>;
  readonly weightStore: WeightStore;
}

/** State of another host, as observed by this one. */
export interface HostStatus {
  readonly name: string;
  readonly failureDomain: string;
  readonly listed: string;
  readonly sight: string;
  readonly generation?: number;
  readonly staleness?: number;
}

/** State of one server, as observed by a host. */
export interface ServerStatus {
  readonly name: string;
  readonly failureDomain: string;
  readonly state: 'live' | 'leaving' | 'silent';
  readonly loaded: readonly string[];
  readonly loading: readonly string[];
  readonly running: number;
}

/** State of a model's request queue on a host. */
export interface QueueStatus {
  readonly model: string;
  readonly waiting: number;
  readonly running: number;
}

/** State of the fleet, as observed by one host. */
export interface FleetStatus {
  readonly host: string;
  readonly incarnation: string;
  readonly failureDomain: string;
  readonly generation: number;
  /** Milliseconds since the generation was last confirmed. */
  readonly staleness: number;
  readonly ready: boolean;
  readonly why: string;
  readonly creditShare: number;
  /** Tokens available on this host, by workspace. */
  readonly credit: Readonly<Record<string, number>>;
  /** The other hosts, as observed by this one. */
  readonly hosts: readonly HostStatus[];
  /** Messages and bytes exchanged with other nodes since this node started. */
  readonly traffic: Readonly<Traffic>;
  readonly servers: readonly ServerStatus[];
  readonly queues: readonly QueueStatus[];
  readonly loads: readonly string[];
  /** Models whose loads wait for a turn at the weight store. */
  readonly loadsWaiting: readonly string[];
  readonly weightStore?: WeightStoreStatus;
}

function describeServer({ name, target, state }: ServerView): ServerStatus {
  const liveState = target.leaving ? 'leaving' : 'live';
  return {
    name,
    failureDomain: target.failure_domain,
    state: state ? liveState : 'silent',
    loaded: state?.loaded.map(({ model }) => model) ?? [],
    loading: state?.loading ?? [],
    running: state?.loaded.reduce((sum, { running }) => sum + running, 0) ?? 0,
  };
}

function describeHost({ host, failureDomain, listed, sight, report }: MemberView): HostStatus {
  return {
    name: host,
    failureDomain,
    listed,
    sight,
    generation: report?.generation,
    staleness: report && Math.round(report.staleness),
  };
}

/** Collects the status of the fleet. If the weight store does not answer, its part is omitted. */
export async function describeStatus(inputs: StatusInputs): Promise<FleetStatus> {
  const { self, accepted, readiness, registry, queues, placer } = inputs;
  const weightStore = await inputs.weightStore.status().catch(() => undefined);
  return {
    ...self,
    failureDomain: inputs.failureDomain,
    generation: accepted.generation,
    staleness: Math.round(inputs.staleness),
    ready: readiness.ready,
    why: readiness.ready ? '' : readiness.why,
    creditShare: inputs.creditShare,
    credit: inputs.credit,
    hosts: inputs.members.map(describeHost),
    traffic: { ...inputs.traffic },
    servers: registry.servers().map(describeServer),
    queues: [...queues.getQueues()].map(([model, queue]) => ({
      model,
      waiting: queue.countWaiting(),
      running: queue.countRunning(),
    })),
    loads: placer.loading(),
    loadsWaiting: inputs.turns.waiting(),
    weightStore,
  };
}
