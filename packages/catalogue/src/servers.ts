import { startSlowStopwatch, type Clock, type Stopwatch } from '@bulrushspar/clock';

/** A model on a server. */
export interface ResidentModel {
  readonly name: string;
  readonly version: number;
  readonly adapters: readonly string[];
}

/** What a server says of itself. */
export interface ServerEntry {
  readonly id: string;
  readonly service: string;
  readonly address: string;
  readonly failureDomain: string;
  readonly slots: number;
  /** Takes no new work and goes soon. */
  readonly leaving: boolean;
  /** Unix milliseconds of the server's start; tells starts under one id apart. */
  readonly born: number;
  readonly models: readonly ResidentModel[];
  /** Models that the server can load from its main memory. */
  readonly inMemory: readonly string[];
  /** Models that the server can load from its disk. */
  readonly onDisk: readonly string[];
}

/** Servers in use by id, with the entry that each wrote last. */
export type ServerView = ReadonlyMap<string, ServerEntry>;

/** Servers as the list of them tells, through the list's own outages. */
export interface Directory {
  /** Takes the entries of the list as they are now. */
  update(entries: ServerView): void;
  /** The list was out of reach until now: entries may be missing that come back. */
  noteOutage(): void;
  current(): ServerView;
}

/** Options of {@link createDirectory}. */
export interface DirectoryOptions {
  readonly clock: Clock;
  /** Called after servers have come, gone or changed. */
  readonly onChange?: (servers: ServerView) => void;
  /** Time after an outage within which missing entries of live servers come back. */
  readonly returnMilliseconds?: number;
}

const isNewer = (entry: ServerEntry, known: ServerEntry | undefined): boolean =>
  known === undefined || entry.born >= known.born;

/** Creates an empty directory. */
export function createDirectory(options: DirectoryOptions): Directory {
  const { clock, onChange = () => {}, returnMilliseconds = 2000 } = options;
  let servers = new Map<string, ServerEntry>();
  let listed: ServerView = new Map();
  let sinceOutage: Stopwatch | undefined;

  const mayReturn = (): boolean => sinceOutage !== undefined && sinceOutage() < returnMilliseconds;

  const merge = (): void => {
    const next = new Map<string, ServerEntry>();
    listed.forEach((entry, id) => {
      const known = servers.get(id);
      next.set(id, isNewer(entry, known) ? entry : known!);
    });
    if (mayReturn()) {
      servers.forEach((entry, id) => {
        if (!next.has(id)) next.set(id, entry);
      });
    }
    servers = next;
    onChange(servers);
  };

  return {
    update: (entries) => {
      listed = new Map(entries);
      merge();
    },
    noteOutage: () => {
      sinceOutage = startSlowStopwatch(clock);
      clock.after(returnMilliseconds + 1, merge);
    },
    current: () => servers,
  };
}
