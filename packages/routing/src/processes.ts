/** Server processes that were lost, and how far their crashes are confirmed. */

/** What a host knows of the end of a server process. */
export interface ProcessRecord {
  /** Time on the monotonic clock of the last connection lost before the crash was confirmed. */
  at: number;
  /** This host has lost a connection to the process. */
  isOwn: boolean;
  isConfirmed: boolean;
  /** Several servers were lost at once, and none has answered since: this host may be cut off. */
  isDoubtful: boolean;
  /** This host has failed to connect to the process. */
  isUnreachable: boolean;
}

/** Records by process. */
export type ProcessRecords = Map<string, ProcessRecord>;

/** Number of servers that break their connections at once from which this host suspects its link. */
const LINK_FAILURE_SERVERS = 4;
const LINK_FAILURE_MILLISECONDS = 300;

/** Returns the record of a process; creates it with a time on the monotonic clock if there is none. */
export function ensureRecord(records: ProcessRecords, process: string, at: number): ProcessRecord {
  const record = records.get(process) ?? {
    at,
    isOwn: false,
    isConfirmed: false,
    isDoubtful: false,
    isUnreachable: false,
  };
  records.set(process, record);
  return record;
}

/** Marks servers that were lost at the same time, as happens when this host loses its own link. */
export function doubtLossesAtOnce(records: ProcessRecords, now: number): void {
  const recent = [...records.values()].filter(
    ({ at, isOwn }) => isOwn && now - at <= LINK_FAILURE_MILLISECONDS,
  );
  if (recent.length < LINK_FAILURE_SERVERS) return;
  recent.forEach((record) => Object.assign(record, { isDoubtful: true }));
}
