import type { Clock } from '@bulrushspar/clock';
import type { ObjectStore } from '@bulrushspar/store';
import type { ServerView } from '@bulrushspar/targets';
import {
  MEMORY_KIND,
  NO_REPLICAS,
  NO_RESERVATIONS,
  REPLICA,
  REPLICA_KIND,
  reservedGigabytes,
  withoutModel,
  type MemoryRecord,
  type ReplicaDecision,
  type ReplicaRecord,
  type Reservation,
} from './records.js';
import { createUpdater } from './update.js';

/** A model with one of its decisions. */
export interface BookedDecision {
  readonly model: string;
  readonly decision: ReplicaDecision;
}

/** The store's records of replicas and memory. Methods throw a StoreError without certainty. */
export interface PlacementBook {
  readReplicas(model: string): Promise<ReplicaRecord>;
  readMemory(server: string): Promise<MemoryRecord>;
  allDecisions(): Promise<readonly BookedDecision[]>;
  /** Adds a decision, unless the record has changed since it was read; returns what is in force. */
  addReplica(model: string, seen: ReplicaRecord, server: string): Promise<ReplicaRecord>;
  /** Marks a replica as releasing; returns its decision, or undefined where there is none. */
  startRelease(model: string, server: string): Promise<ReplicaDecision | undefined>;
  /** Frees the memory of a released replica and forgets it. */
  finishRelease(model: string, decision: ReplicaDecision): Promise<void>;
  /** @returns whether the memory is reserved */
  reserve(server: ServerView, item: string, wanted: Reservation): Promise<boolean>;
  /** Tells whether a decision is still in force. */
  isDecided(model: string, server: string, fencing: number): Promise<boolean>;
}

/** Options of {@link createPlacementBook}. */
export interface PlacementBookOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
}

const replicaKey = (model: string) => ({ kind: REPLICA_KIND, name: model });
const memoryKey = (server: string) => ({ kind: MEMORY_KIND, name: server });

/** Creates the book; every change is one conditional update. */
export function createPlacementBook({ store, clock }: PlacementBookOptions): PlacementBook {
  const update = createUpdater({ store, clock });

  const updateMemory = (
    server: string,
    change: (record: MemoryRecord) => MemoryRecord | undefined,
  ) => update<MemoryRecord>(memoryKey(server), NO_RESERVATIONS, change);

  const updateReplicas = (
    model: string,
    change: (record: ReplicaRecord) => Omit<ReplicaRecord, 'token'> | undefined,
  ) => update<ReplicaRecord>(replicaKey(model), NO_REPLICAS, change);

  const readReplicas = async (model: string): Promise<ReplicaRecord> =>
    (await store.read<ReplicaRecord>(replicaKey(model)))?.value ?? NO_REPLICAS;

  return {
    readReplicas,
    readMemory: async (server) =>
      (await store.read<MemoryRecord>(memoryKey(server)))?.value ?? NO_RESERVATIONS,
    allDecisions: async () => {
      const { objects } = await store.list<ReplicaRecord>(REPLICA_KIND);
      return objects.flatMap(({ name, value }) =>
        value.replicas.map((decision) => ({ model: name, decision })),
      );
    },
    addReplica: (model, seen, server) =>
      updateReplicas(model, (present) => {
        if (present.token !== seen.token) return undefined;
        const fencing = present.fencing + 1;
        const decision = { server, state: REPLICA.DECIDED, fencing };
        return { fencing, replicas: [...present.replicas, decision] };
      }),
    startRelease: async (model, server) => {
      const record = await updateReplicas(model, (present) => {
        const found = present.replicas.find((replica) => replica.server === server);
        if (!found || found.state === REPLICA.RELEASING) return undefined;
        const fencing = present.fencing + 1;
        const released = { ...found, state: REPLICA.RELEASING, fencing };
        const replicas = present.replicas.map((other) => (other === found ? released : other));
        return { fencing, replicas };
      });
      return record.replicas.find((replica) => replica.server === server);
    },
    finishRelease: async (model, { server, fencing }) => {
      // The memory goes first: were the replica forgotten first, a crash here would leak it.
      await updateMemory(server, (present) => withoutModel(present, model, fencing));
      await updateReplicas(model, (present) => {
        const replicas = present.replicas.filter(
          (other) => other.server !== server || other.fencing !== fencing,
        );
        return replicas.length === present.replicas.length ? undefined : { ...present, replicas };
      });
    },
    reserve: async (server, item, wanted) => {
      const total = server.target.memory_gigabytes ?? 0;
      const record = await updateMemory(server.name, (present) => {
        const { [item]: held, ...others } = present.reservations;
        if (held && held.fencing >= wanted.fencing) return undefined;
        const next = { ...present, reservations: { ...others, [item]: wanted } };
        return reservedGigabytes(next) > total ? undefined : next;
      });
      return (record.reservations[item]?.fencing ?? 0) >= wanted.fencing;
    },
    isDecided: async (model, server, fencing) => {
      const { replicas } = await readReplicas(model);
      return replicas.some(
        (other) =>
          other.server === server && other.fencing === fencing && other.state === REPLICA.DECIDED,
      );
    },
  };
}
