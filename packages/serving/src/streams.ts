/**
 * Which software version began each stream. What two versions of a service write does not fit
 * together, so that a stream goes on only at the version that began it, also when the caller takes it
 * up again at another host. A host that has received no report of a stream derives its version only if one version
 * alone can have begun it.
 */
import type { ServerEntry, ServerView } from '@bulrushspar/catalogue';
import type { Clock } from '@bulrushspar/clock';

/** Report that a server has sent the first event of a stream. */
export interface BegunStream {
  /** Id of the caller's attempt that received the event. */
  readonly attempt: string;
  readonly service: string;
  readonly softwareVersion: string;
}

/** Why it is not known which version began a stream. */
export const UNKNOWN_VERSION_CAUSE = {
  /** Several versions may have begun it. */
  SEVERAL_VERSIONS: 'several versions',
  /** This host does not know all versions that served while the stream may have begun. */
  INCOMPLETE: 'incomplete history',
  /** Another version may have appeared since this host last learned of the versions. */
  UNCONFIRMED: 'unconfirmed history',
} as const;

/** One of {@link UNKNOWN_VERSION_CAUSE}. */
export type UnknownVersionCause =
  (typeof UNKNOWN_VERSION_CAUSE)[keyof typeof UNKNOWN_VERSION_CAUSE];

/** Where a stream that is taken up again may go on. */
export type StreamRequirement =
  | { readonly isKnown: true; readonly softwareVersion: string | undefined }
  | { readonly isKnown: false; readonly cause: UnknownVersionCause };

/** The versions of the servers that may have begun streams, by service. */
export interface VersionHistory {
  /** Time up to now in which no other version can have begun a stream; Infinity without limit. */
  readonly completeMilliseconds: number;
  /** Time since each version was last listed, at least; 0 while it is listed. */
  readonly goneMilliseconds: ReadonlyMap<string, ReadonlyMap<string, number>>;
}

/** Versions of the streams that callers may take up again. */
export interface StreamVersions {
  /** Replaces the current servers. */
  updateServers(servers: ServerView): void;
  /** Records a stream that this host has begun to pass on. */
  recordBegun(stream: BegunStream): void;
  /** Applies the report of another host. */
  applyReport(stream: BegunStream): void;
  /** Adds what is recorded for all hosts; they know of the versions that are recorded as listed. */
  applyHistory(history: VersionHistory): void;
  /** @returns the recent versions that this host knows of, and for how long it knows them all */
  history(): VersionHistory;
  /** @returns the versions of a service that are listed now, and those that have left recently */
  describeVersions(service: string): { readonly listed: string; readonly recent: string };
  /**
   * Whether streams should begin at a server: its version is recorded, so that a host that takes the
   * stream up finds it, and has been for a while if there is another one.
   */
  mayBegin(server: Pick<ServerEntry, 'service' | 'softwareVersion'>): boolean;
  /**
   * Returns where a stream may go on, as far as this host knows now.
   * @param attempt the caller's attempt that received the first event
   */
  requirementOf(service: string, attempt: string): StreamRequirement;
  /** Like {@link StreamVersions.requirementOf}, after what other hosts have recorded was read. */
  findRequirement(service: string, attempt: string): Promise<StreamRequirement>;
}

/** Options of {@link createStreamVersions}. */
export interface StreamVersionsOptions {
  readonly clock: Clock;
  /** Called with a stream that the other hosts must know. */
  readonly onBegun?: (stream: BegunStream) => void;
  /** No stream can have begun before this host started. */
  readonly isFirstStart?: boolean;
  /**
   * Applies the versions that any host has recorded until now.
   * @returns whether this host knows of all of them; never rejects
   */
  readonly confirmHistory?: () => Promise<boolean>;
  /** Time after its first event in which a stream may be taken up again. */
  readonly retentionMilliseconds?: number;
  /** Number of streams from which the oldest are forgotten. */
  readonly maxStreams?: number;
}

interface RecordedStream extends BegunStream {
  readonly at: number;
  readonly isOwn: boolean;
}

/**
 * Time from the record of a further version until streams begin at it. A host that cannot read the record
 * trusts what it knows while all others report to it, and notices a lost link up to 1 s late.
 */
const SETTLE_MILLISECONDS = 1200;

/** Creates the record of one host. */
export function createStreamVersions(options: StreamVersionsOptions): StreamVersions {
  const {
    clock,
    onBegun = () => {},
    isFirstStart = false,
    confirmHistory = () => Promise.resolve(true),
    retentionMilliseconds = 60_000,
    maxStreams = 10_000,
  } = options;
  const streams = new Map<string, RecordedStream>();
  /** When the last server of each version left the list, by service; Infinity while one is listed. */
  const versionsByService = new Map<string, Map<string, number>>();
  /** When this host learned that a version is recorded as listed, by service. */
  const sharedByService = new Map<string, Map<string, number>>();
  /** Services whose listed servers name no version. */
  let unversionedServices: ReadonlySet<string> = new Set();
  /** Time since which this host knows of all versions; undefined while it knows nothing. */
  let completeSince: number | undefined = isFirstStart ? -Infinity : undefined;

  const versionsOf = (service: string): Map<string, number> => {
    const versions = versionsByService.get(service) ?? new Map<string, number>();
    versionsByService.set(service, versions);
    return versions;
  };

  /** Versions that may have begun a stream that can still be taken up again. */
  const recentVersions = (service: string): readonly string[] => {
    const oldest = clock.monotonic() - retentionMilliseconds;
    return [...(versionsByService.get(service) ?? [])]
      .filter(([, goneAt]) => goneAt >= oldest)
      .map(([version]) => version);
  };

  const listVersions = (): readonly (readonly [service: string, version: string])[] =>
    [...versionsByService].flatMap(([service, versions]) =>
      [...versions]
        .filter(([, goneAt]) => goneAt === Infinity)
        .map(([version]) => [service, version] as const),
    );

  const recordListedVersions = (servers: ServerView): void => {
    const now = clock.monotonic();
    completeSince ??= now;
    const listedBefore = listVersions();
    versionsByService.forEach((versions) =>
      versions.forEach((goneAt, version) => versions.set(version, Math.min(goneAt, now))),
    );
    const unversioned = new Set<string>();
    servers.forEach(({ service, softwareVersion }) => {
      if (softwareVersion === undefined) unversioned.add(service);
      else versionsOf(service).set(softwareVersion, Infinity);
    });
    unversionedServices = unversioned;
    // A version that comes back may have been recorded as gone meanwhile.
    listedBefore.forEach(([service, version]) => {
      if (versionsOf(service).get(version) !== Infinity)
        sharedByService.get(service)?.delete(version);
    });
  };

  const isMixed = (service: string): boolean => recentVersions(service).length > 1;

  /** Applies a change to the versions, and reports own streams that other hosts must know from now on. */
  const changeVersions = (change: () => void): void => {
    const mixedBefore = new Set([...versionsByService.keys()].filter(isMixed));
    change();
    // While there was one version only, the other hosts did not need to know its streams.
    streams.forEach(({ attempt, service, softwareVersion, isOwn }) => {
      if (isOwn && isMixed(service) && !mixedBefore.has(service))
        onBegun({ attempt, service, softwareVersion });
    });
  };

  const record = (stream: BegunStream, isOwn: boolean): void => {
    streams.delete(stream.attempt);
    streams.set(stream.attempt, { ...stream, at: clock.monotonic(), isOwn });
    const oldest = clock.monotonic() - retentionMilliseconds;
    for (const [attempt, { at }] of streams) {
      if (streams.size <= maxStreams && at >= oldest) break;
      streams.delete(attempt);
    }
  };

  const applyGoneVersion = (service: string, version: string, goneMilliseconds: number): void => {
    const now = clock.monotonic();
    const versions = versionsOf(service);
    versions.set(version, Math.max(versions.get(version) ?? -Infinity, now - goneMilliseconds));
    const shared = sharedByService.get(service) ?? new Map<string, number>();
    if (goneMilliseconds > 0) shared.delete(version);
    else if (!shared.has(version)) shared.set(version, now);
    sharedByService.set(service, shared);
  };

  const requirementOf = (service: string, attempt: string): StreamRequirement => {
    const known = streams.get(attempt);
    if (known) return { isKnown: true, softwareVersion: known.softwareVersion };
    const versions = recentVersions(service);
    if (versions.length > 1)
      return { isKnown: false, cause: UNKNOWN_VERSION_CAUSE.SEVERAL_VERSIONS };
    const oldest = clock.monotonic() - retentionMilliseconds;
    if (!isWithoutVersions(service) && (completeSince === undefined || completeSince > oldest))
      return { isKnown: false, cause: UNKNOWN_VERSION_CAUSE.INCOMPLETE };
    return { isKnown: true, softwareVersion: versions[0] };
  };

  /** Whether the servers of a service name no version, and none that this host knows of ever did. */
  const isWithoutVersions = (service: string): boolean =>
    unversionedServices.has(service) && !versionsByService.has(service);

  return {
    updateServers: (servers) => changeVersions(() => recordListedVersions(servers)),
    recordBegun: (stream) => {
      record(stream, true);
      if (isMixed(stream.service)) onBegun(stream);
    },
    applyReport: (stream) => record(stream, false),
    applyHistory: ({ completeMilliseconds, goneMilliseconds }) =>
      changeVersions(() => {
        goneMilliseconds.forEach((versions, service) =>
          versions.forEach((gone, version) => applyGoneVersion(service, version, gone)),
        );
        const since = clock.monotonic() - completeMilliseconds;
        completeSince = Math.min(completeSince ?? Infinity, since);
      }),
    history: () => {
      const now = clock.monotonic();
      const gone = [...versionsByService.keys()].map((service) => {
        const versions = versionsByService.get(service)!;
        const recent = recentVersions(service).map((version): [string, number] => [
          version,
          Math.max(0, now - versions.get(version)!),
        ]);
        return [service, new Map(recent)] as const;
      });
      return {
        completeMilliseconds: completeSince === undefined ? 0 : now - completeSince,
        goneMilliseconds: new Map(gone.filter(([, versions]) => versions.size > 0)),
      };
    },
    describeVersions: (service) => {
      const recent = recentVersions(service);
      const versions = versionsByService.get(service);
      return {
        listed: recent.filter((version) => versions?.get(version) === Infinity).join(' '),
        recent: recent.join(' '),
      };
    },
    mayBegin: ({ service, softwareVersion }) => {
      if (softwareVersion === undefined) return true;
      const sharedAt = sharedByService.get(service)?.get(softwareVersion);
      if (sharedAt === undefined) return false;
      return !isMixed(service) || clock.monotonic() - sharedAt >= SETTLE_MILLISECONDS;
    },
    requirementOf,
    findRequirement: async (service, attempt) => {
      if (streams.has(attempt) || isWithoutVersions(service) || isMixed(service))
        return requirementOf(service, attempt);
      const isConfirmed = await confirmHistory();
      const requirement = requirementOf(service, attempt);
      const isHeard = streams.has(attempt);
      return isConfirmed || isHeard || !requirement.isKnown
        ? requirement
        : { isKnown: false, cause: UNKNOWN_VERSION_CAUSE.UNCONFIRMED };
    },
  };
}
