import type { Clock } from '@bulrushspar/clock';
import type { ObjectStore } from '@bulrushspar/store';
import type { ServerView } from '@bulrushspar/targets';
import {
  MEMORY_KIND,
  EMPTY_REPLICA_RECORD,
  EMPTY_MEMORY_RECORD,
  REPLICA,
  REPLICA_KIND,
  reservedGigabytes,
  withoutModelReservations,
  type MemoryRecord,
  type ReplicaDecision,
  type ReplicaRecord,
  type Reservation,
} from './records.js';
import { createUpdater } from './update.js';

/** A placement decision and the model that it is about. */
export interface ModelDecision {
  readonly model: string;
  readonly decision: ReplicaDecision;
}

/**
 * Reads and updates the stored records of replicas and server memory. Methods throw a StoreError
 * when the store fails or the outcome of a write stays unknown.
 */
export interface PlacementStore {
  readReplicas(model: string): Promise<ReplicaRecord>;
  readMemory(server: string): Promise<MemoryRecord>;
  listDecisions(): Promise<readonly ModelDecision[]>;
  /**
   * Adds a decision, unless the record has changed since it was read.
   * @param expected the record as it was read
   * @returns the record as stored afterwards
   */
  addReplica(model: string, expected: ReplicaRecord, server: string): Promise<ReplicaRecord>;
  /** Marks a replica as releasing; returns its decision, or undefined if there is none. */
  startRelease(model: string, server: string): Promise<ReplicaDecision | undefined>;
  /** Frees the memory of a released replica and removes its decision. */
  finishRelease(model: string, decision: ReplicaDecision): Promise<void>;
  /**
   * Reserves memory of a server for a model or adapter.
   * @param reservationKey the model's name, or the result of {@link adapterReservationKey}
   * @returns whether the memory is reserved for this decision or a later one
   */
  reserveMemory(
    server: ServerView,
    reservationKey: string,
    reservation: Reservation,
  ): Promise<boolean>;
  /** Returns whether a decision to hold the model is still in force under this fencing number. */
  isDecided(model: string, server: string, fencing: number): Promise<boolean>;
}

/** Options of {@link createPlacementStore}. */
export interface PlacementStoreOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
}

const replicaObjectKey = (model: string) => ({ kind: REPLICA_KIND, name: model });
const memoryObjectKey = (server: string) => ({ kind: MEMORY_KIND, name: server });

/** Creates the placement store; every change of a record is one conditional update. */
export function createPlacementStore({ store, clock }: PlacementStoreOptions): PlacementStore {
  const update = createUpdater({ store, clock });

  const updateMemory = (
    server: string,
    change: (record: MemoryRecord) => MemoryRecord | undefined,
  ) => update<MemoryRecord>(memoryObjectKey(server), EMPTY_MEMORY_RECORD, change);

  const updateReplicas = (
    model: string,
    change: (record: ReplicaRecord) => Omit<ReplicaRecord, 'token'> | undefined,
  ) => update<ReplicaRecord>(replicaObjectKey(model), EMPTY_REPLICA_RECORD, change);

  const readReplicas = async (model: string): Promise<ReplicaRecord> =>
    (await store.read<ReplicaRecord>(replicaObjectKey(model)))?.value ?? EMPTY_REPLICA_RECORD;

  return {
    readReplicas,
    readMemory: async (server) =>
      (await store.read<MemoryRecord>(memoryObjectKey(server)))?.value ?? EMPTY_MEMORY_RECORD,
    listDecisions: async () => {
      const { objects } = await store.list<ReplicaRecord>(REPLICA_KIND);
      return objects.flatMap(({ name, value }) =>
        value.replicas.map((decision) => ({ model: name, decision })),
      );
    },
    addReplica: (model, expected, server) =>
      updateReplicas(model, (present) => {
        if (present.token !== expected.token) return undefined;
        const fencing = present.fencing + 1;
        const decision = { server, state: REPLICA.DECIDED, fencing };
        return { fencing, replicas: [...present.replicas, decision] };
      }),
    startRelease: async (model, server) => {
      const record = await updateReplicas(model, (present) => {
        const found = present.replicas.find((replica) => replica.server === server);
        if (!found || found.state === REPLICA.RELEASING) return undefined;
        const fencing = present.fencing + 1;
        const releasing = { ...found, state: REPLICA.RELEASING, fencing };
        const replicas = present.replicas.map((other) => (other === found ? releasing : other));
        return { fencing, replicas };
      });
      return record.replicas.find((replica) => replica.server === server);
    },
    finishRelease: async (model, { server, fencing }) => {
      // Frees the memory first: a crash after removing the decision first would leak the memory.
      await updateMemory(server, (present) => withoutModelReservations(present, model, fencing));
      await updateReplicas(model, (present) => {
        const replicas = present.replicas.filter(
          (other) => other.server !== server || other.fencing !== fencing,
        );
        return replicas.length === present.replicas.length ? undefined : { ...present, replicas };
      });
    },
    reserveMemory: async (server, reservationKey, reservation) => {
      const total = server.target.memory_gigabytes ?? 0;
      const record = await updateMemory(server.name, (present) => {
        const { [reservationKey]: existing, ...others } = present.reservations;
        if (existing && existing.fencing >= reservation.fencing) return undefined;
        const next = { ...present, reservations: { ...others, [reservationKey]: reservation } };
        return reservedGigabytes(next) > total ? undefined : next;
      });
      return (record.reservations[reservationKey]?.fencing ?? 0) >= reservation.fencing;
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
