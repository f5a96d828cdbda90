/**
 * Which software version began each stream. What two versions of a service write does not fit
 * together, so that a stream goes on only at the version that began it, also when the caller takes it
 * up again at another host.
 */
import type { ServerView } from '@bulrushspar/catalogue';
import type { Clock } from '@bulrushspar/clock';

/** Report that a server has sent the first event of a stream. */
export interface BegunStream {
  /** Id of the caller's attempt that received the event. */
  readonly attempt: string;
  readonly service: string;
  readonly softwareVersion: string;
}

/** Where a stream that is taken up again may go on. */
export type StreamRequirement =
  | { readonly isKnown: true; readonly softwareVersion: string | undefined }
  | { readonly isKnown: false };

/** Versions of the streams that callers may take up again. */
export interface StreamVersions {
  /** Replaces the current servers. */
  updateServers(servers: ServerView): void;
  /** Records a stream that this host has begun to pass on. */
  recordBegun(stream: BegunStream): void;
  /** Applies the report of another host. */
  applyReport(stream: BegunStream): void;
  /**
   * Returns where a stream may go on.
   * @param attempt the caller's attempt that received the first event
   */
  requirementOf(service: string, attempt: string): StreamRequirement;
}

/** Options of {@link createStreamVersions}. */
export interface StreamVersionsOptions {
  readonly clock: Clock;
  /** Called with a stream that the other hosts must know. */
  readonly onBegun?: (stream: BegunStream) => void;
  /** Time after its first event in which a stream may be taken up again. */
  readonly retentionMilliseconds?: number;
  /** Number of streams from which the oldest are forgotten. */
  readonly maxStreams?: number;
}

interface RecordedStream extends BegunStream {
  readonly at: number;
  readonly isOwn: boolean;
}

/** Creates the record of one host. */
export function createStreamVersions(options: StreamVersionsOptions): StreamVersions {
  const {
    clock,
    onBegun = () => {},
    retentionMilliseconds = 60_000,
    maxStreams = 10_000,
  } = options;
  const streams = new Map<string, RecordedStream>();
  /** When the last server of each version left the list, by service; Infinity while one is listed. */
  const versionsByService = new Map<string, Map<string, number>>();

  /** Versions that may have begun a stream that can still be taken up again. */
  const recentVersions = (service: string): readonly string[] => {
    const versions = versionsByService.get(service) ?? new Map<string, number>();
    const oldest = clock.monotonic() - retentionMilliseconds;
    return [...versions].filter(([, goneAt]) => goneAt >= oldest).map(([version]) => version);
  };

  const recordListedVersions = (servers: ServerView): void => {
    versionsByService.forEach((versions) =>
      versions.forEach((goneAt, version) =>
        versions.set(version, Math.min(goneAt, clock.monotonic())),
      ),
    );
    servers.forEach(({ service, softwareVersion }) => {
      if (softwareVersion === undefined) return;
      const versions = versionsByService.get(service) ?? new Map<string, number>();
      versionsByService.set(service, versions.set(softwareVersion, Infinity));
    });
  };

  const isMixed = (service: string): boolean => recentVersions(service).length > 1;

  const record = (stream: BegunStream, isOwn: boolean): void => {
    streams.delete(stream.attempt);
    streams.set(stream.attempt, { ...stream, at: clock.monotonic(), isOwn });
    const oldest = clock.monotonic() - retentionMilliseconds;
    for (const [attempt, { at }] of streams) {
      if (streams.size <= maxStreams && at >= oldest) break;
      streams.delete(attempt);
    }
  };

  return {
    updateServers: (servers) => {
      const mixedBefore = new Set([...versionsByService.keys()].filter(isMixed));
      recordListedVersions(servers);
      // While there was one version only, the other hosts did not need to know its streams.
      streams.forEach(({ attempt, service, softwareVersion, isOwn }) => {
        if (isOwn && isMixed(service) && !mixedBefore.has(service))
          onBegun({ attempt, service, softwareVersion });
      });
    },
    recordBegun: (stream) => {
      record(stream, true);
      if (isMixed(stream.service)) onBegun(stream);
    },
    applyReport: (stream) => record(stream, false),
    requirementOf: (service, attempt) => {
      const known = streams.get(attempt);
      if (known) return { isKnown: true, softwareVersion: known.softwareVersion };
      const versions = recentVersions(service);
      return versions.length > 1
        ? { isKnown: false }
        : { isKnown: true, softwareVersion: versions[0] };
    },
  };
}
