/** States of a replica decision. */
export const REPLICA = { DECIDED: 'decided', RELEASING: 'releasing' } as const;

/** One of {@link REPLICA}. */
export type ReplicaState = (typeof REPLICA)[keyof typeof REPLICA];

/** Decision that a server holds a replica of a model, or releases it. */
export interface ReplicaDecision {
  readonly server: string;
  readonly state: ReplicaState;
  /** Fencing number of the latest order about the replica. */
  readonly fencing: number;
}

/** All decided replicas of one model that are not yet known to be unloaded. */
export interface ReplicaRecord {
  /** Highest fencing number issued for this model. */
  readonly fencing: number;
  readonly replicas: readonly ReplicaDecision[];
  /** Unique for each write, so that a host recognizes its own write when it reads back. */
  readonly token: string;
}

/** Memory that one replica or adapter takes. */
export interface Reservation {
  readonly gigabytes: number;
  /** Fencing number of the decision; a release with a lower or equal number does not free it. */
  readonly fencing: number;
}

/** Reserved memory of one server, by model or {@link adapterReservationKey}. */
export interface MemoryRecord {
  readonly reservations: Readonly<Record<string, Reservation>>;
  /** Unique for each write, so that a host recognizes its own write when it reads back. */
  readonly token: string;
}

/** Kind of the replica records; a record has the name of its model. */
export const REPLICA_KIND = 'replicas';
/** Kind of the memory records; a record has the name of its server. */
export const MEMORY_KIND = 'server-memory';

/** Record of a model that has never been placed. */
export const EMPTY_REPLICA_RECORD: ReplicaRecord = { fencing: 0, replicas: [], token: '' };
/** Record of a server without reservations. */
export const EMPTY_MEMORY_RECORD: MemoryRecord = { reservations: {}, token: '' };

/** Key of an adapter's reservation in a memory record. */
export const adapterReservationKey = (model: string, adapter: string): string =>
  `${model}/${adapter}`;

const isReservationOf = (key: string, model: string): boolean =>
  key === model || key.startsWith(`${model}/`);

/** Sum of all reservations of a server, in gigabytes. */
export function reservedGigabytes({ reservations }: MemoryRecord): number {
  return Object.values(reservations).reduce((sum, { gigabytes }) => sum + gigabytes, 0);
}

/** Sum of the reservations of a model and its adapters, in gigabytes. */
export function modelGigabytes({ reservations }: MemoryRecord, model: string): number {
  const modelReservations = Object.entries(reservations).filter(([key]) =>
    isReservationOf(key, model),
  );
  return modelReservations.reduce((sum, [, { gigabytes }]) => sum + gigabytes, 0);
}

/**
 * Removes the reservations of a model and its adapters that are older than a release.
 * @param fencing fencing number of the release
 * @returns undefined if there is none to remove
 */
export function withoutModelReservations(
  record: MemoryRecord,
  model: string,
  fencing: number,
): MemoryRecord | undefined {
  const remaining = Object.entries(record.reservations).filter(
    ([key, reservation]) => !isReservationOf(key, model) || reservation.fencing >= fencing,
  );
  if (remaining.length === Object.keys(record.reservations).length) return undefined;
  return { ...record, reservations: Object.fromEntries(remaining) };
}
