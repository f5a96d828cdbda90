/** Content of the record of software versions, and how it is read and continued. */
import type { ServerView } from '@bulrushspar/catalogue';
import type { VersionHistory } from '@bulrushspar/serving';

/** Record of the software versions that have been listed recently. */
export interface VersionsRecord {
  /** Unix time in milliseconds since which all versions are named; 0 for always. */
  readonly since: number;
  /** Era of the store in which the record was written; an older one may lack newer versions. */
  readonly era: number;
  /** Unix time in milliseconds at which each version left the list, by service; 0 while it is listed. */
  readonly gone: Readonly<Record<string, Readonly<Record<string, number>>>>;
  /** Unique for each write, so that a host recognizes its own write when it reads back. */
  readonly token: string;
}

/** Software versions of the listed servers, by service. */
export type ListedVersions = ReadonlyMap<string, ReadonlySet<string>>;

/** Input of {@link buildVersionsRecord}. */
export interface VersionsRecordInput {
  /** The record that the next one replaces. */
  readonly known: VersionsRecord | undefined;
  readonly listed: ListedVersions;
  /** Whether a version that is recorded as listed has left. */
  readonly isGone: (service: string, version: string) => boolean;
  /** What this host knows itself, for what is not recorded. */
  readonly own: VersionHistory;
  /** Unix time in milliseconds. */
  readonly now: number;
  readonly era: number;
  readonly token: string;
}

/** Wall clocks of two hosts may differ by so much after a jump; counted against each time read. */
const CLOCK_MARGIN_MILLISECONDS = 15_000;
/** Time after which a version is dropped: that of streams and the clocks of writer and reader. */
const RECORD_RETENTION_MILLISECONDS = 60_000 + 2 * CLOCK_MARGIN_MILLISECONDS;

/** @returns the record; undefined if the value is none */
export function parseVersionsRecord(value: unknown): VersionsRecord | undefined {
  const { since, era, gone, token } = (value ?? {}) as Partial<VersionsRecord>;
  const isValid =
    typeof since === 'number' &&
    typeof era === 'number' &&
    typeof token === 'string' &&
    typeof gone === 'object' &&
    gone !== null &&
    Object.values(gone).every(
      (versions) =>
        typeof versions === 'object' &&
        versions !== null &&
        Object.values(versions).every((goneAt) => typeof goneAt === 'number'),
    );
  return isValid ? { since, era, gone, token } : undefined;
}

/** @returns the versions of the servers, without services whose servers name none */
export function listSoftwareVersions(servers: ServerView): ListedVersions {
  const listed = new Map<string, Set<string>>();
  servers.forEach(({ service, softwareVersion }) => {
    if (softwareVersion === undefined) return;
    listed.set(service, (listed.get(service) ?? new Set()).add(softwareVersion));
  });
  return listed;
}

/**
 * Converts a record to times before now, each on the safe side of the clocks.
 * @param now Unix time in milliseconds
 * @param era current era of the store
 */
export function toHistory(record: VersionsRecord, now: number, era: number): VersionHistory {
  const age = (at: number): number => Math.max(1, now - at - CLOCK_MARGIN_MILLISECONDS);
  const services = Object.entries(record.gone).map(([service, versions]) => {
    const ages = Object.entries(versions).map(([version, goneAt]): [string, number] => [
      version,
      goneAt === 0 ? 0 : age(goneAt),
    ]);
    return [service, new Map(ages)] as const;
  });
  const sinceMilliseconds = record.since === 0 ? Infinity : age(record.since);
  return {
    completeMilliseconds: record.era === era ? sinceMilliseconds : 0,
    goneMilliseconds: new Map(services),
  };
}

/** Builds the record that follows a known one. */
export function buildVersionsRecord(input: VersionsRecordInput): VersionsRecord {
  const { known, listed, isGone, own, now, era, token } = input;
  const gone: Record<string, Record<string, number>> = {};
  const set = (service: string, version: string, goneAt: number): void => {
    gone[service] = { ...gone[service], [version]: goneAt };
  };
  own.goneMilliseconds.forEach((versions, service) =>
    versions.forEach((milliseconds, version) => set(service, version, now - milliseconds)),
  );
  Object.entries(known?.gone ?? {}).forEach(([service, versions]) =>
    Object.entries(versions).forEach(([version, goneAt]) => {
      if (goneAt === 0) set(service, version, isGone(service, version) ? now : 0);
      else if (now - goneAt < RECORD_RETENTION_MILLISECONDS) set(service, version, goneAt);
    }),
  );
  listed.forEach((versions, service) => versions.forEach((version) => set(service, version, 0)));
  const ownSince = own.completeMilliseconds === Infinity ? 0 : now - own.completeMilliseconds;
  return { since: known?.era === era ? known.since : ownSince, era, gone, token };
}
