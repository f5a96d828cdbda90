/**
 * Record of the software versions that have been listed, in the store. It names a version before streams
 * begin at it, so that hosts that were all lost at once do not join streams of two versions.
 */
import { randomUUID } from 'node:crypto';
import type { ServerView } from '@bulrushspar/catalogue';
import type { Clock, Stop } from '@bulrushspar/clock';
import { errorMessage } from '@bulrushspar/errors';
import type { Logger } from '@bulrushspar/logging';
import type { StreamVersions, VersionHistory } from '@bulrushspar/serving';
import {
  ABSENT,
  RETRIED_WRITE_OUTCOME,
  writeWithRetry,
  type EraTracker,
  type ObjectStore,
} from '@bulrushspar/store';
import {
  buildVersionsRecord,
  listSoftwareVersions,
  parseVersionsRecord,
  toHistory,
  type ListedVersions,
  type VersionsRecord,
} from './history.js';

/** Kind of the record of software versions; it has one object. */
export const VERSIONS_KIND = 'bulrushspar-versions';

/** The record as the store has it, for other hosts. */
export interface VersionsUpdate {
  /** Version of the object in the store. */
  readonly version: number;
  readonly record: VersionsRecord;
}

/** Keeps the record, and tells the streams of one host what it says. */
export interface VersionsKeeper {
  /** Compares the listed servers with the record, and writes it if this host is the one to do so. */
  updateServers(servers: ServerView): void;
  /**
   * Reads the record, so that this host knows of each version at which any host has begun a stream until
   * now. If it cannot be read, what this host knows counts while all hosts report to it.
   * @returns whether this host knows of all of them; never rejects
   */
  confirm(): Promise<boolean>;
  /** Applies the record that another host has told. @returns whether it is newer, to be relayed */
  receive(update: VersionsUpdate): boolean;
  /** @returns the newest known record, for a host that was disconnected */
  latest(): VersionsUpdate | undefined;
  stop(): void;
}

/** Options of {@link createVersionsKeeper}. */
export interface VersionsKeeperOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly random: () => number;
  readonly eras: EraTracker;
  readonly streams: StreamVersions;
  /** The fleet starts for the first time, so that no stream has begun yet. */
  readonly isFirstStart: boolean;
  /** @returns the number of better ranked hosts that watch the servers; undefined if this one does not */
  readonly watcherRank: () => number | undefined;
  /** Whether all hosts have reported to this one recently, and it has not stood still since. */
  readonly doAllHostsReport: () => boolean;
  /** Called with a record that the other hosts must know. */
  readonly onRecorded: (update: VersionsUpdate) => void;
}

const KEY = { kind: VERSIONS_KIND, name: 'all' } as const;
/** Longest wait of a request for the record; most timeouts of requests are seconds. */
const CONFIRM_TIMEOUT_MILLISECONDS = 500;
/** Time after which the next watcher of the servers writes; a write and its message take tens of ms. */
const RANK_DELAY_MILLISECONDS = 300;
/** Hosts that start together find out within this time whether there is a record. */
const FIRST_SPREAD_MILLISECONDS = 500;
/** Time after which hosts that do not watch the servers write, and over which they are spread. */
const LAST_RESORT_MILLISECONDS = { after: 1000, spread: 2000 };
/** Time without a listed server after which a version is recorded as gone; entries may flap. */
const GONE_AFTER_MILLISECONDS = 2000;
const WRITE_TIMEOUT_MILLISECONDS = 2000;
const RETRY_MILLISECONDS = 1000;

/** Creates the keeper of one host. */
export function createVersionsKeeper(options: VersionsKeeperOptions): VersionsKeeper {
  const { store, clock, logger, random, eras, streams, onRecorded } = options;
  const { isFirstStart, watcherRank, doAllHostsReport } = options;
  let known: VersionsUpdate | undefined;
  /** Version of the object that the next write replaces. */
  let expectedVersion = ABSENT;
  let listed: ListedVersions = new Map();
  /** When versions that are recorded as listed were first missing, by service and version. */
  const missingSince = new Map<string, number>();
  let timer: { readonly dueAt: number; readonly cancel: Stop } | undefined;
  let isWriting = false;
  let isStopped = false;
  let currentRead: Promise<boolean> | undefined;
  let nextRead: Promise<boolean> | undefined;

  const apply = (update: VersionsUpdate): boolean => {
    if (known && update.version <= known.version) return false;
    known = update;
    expectedVersion = update.version;
    streams.applyHistory(toHistory(update.record, clock.now().getTime(), eras.current()));
    trackMissing();
    schedule();
    return true;
  };

  const trackMissing = (): void => {
    const missing = new Set<string>();
    Object.entries(known?.record.gone ?? {}).forEach(([service, versions]) =>
      Object.entries(versions).forEach(([version, goneAt]) => {
        if (goneAt === 0 && !listed.get(service)?.has(version))
          missing.add(JSON.stringify([service, version]));
      }),
    );
    missingSince.forEach((_since, name) => {
      if (!missing.has(name)) missingSince.delete(name);
    });
    missing.forEach((name) => {
      if (!missingSince.has(name)) missingSince.set(name, clock.monotonic());
    });
  };

  const isGone = (service: string, version: string): boolean => {
    const since = missingSince.get(JSON.stringify([service, version]));
    return since !== undefined && clock.monotonic() - since >= GONE_AFTER_MILLISECONDS;
  };

  /** Whether a listed version is not recorded, or the record is from before the store came back. */
  const isBehind = (): boolean =>
    known === undefined
      ? listed.size > 0
      : known.record.era !== eras.current() ||
        [...listed].some(([service, versions]) =>
          [...versions].some((version) => known!.record.gone[service]?.[version] !== 0),
        );

  /** Whether a write by this host would change the record. */
  const isWriteNeeded = (): boolean =>
    isBehind() ||
    (watcherRank() !== undefined &&
      [...missingSince.values()].some(
        (since) => clock.monotonic() - since >= GONE_AFTER_MILLISECONDS,
      ));

  /** @returns milliseconds until this host checks whether to write; undefined if it need not */
  const findDelay = (): number | undefined => {
    const rank = watcherRank();
    if (known === undefined && listed.size > 0) return random() * FIRST_SPREAD_MILLISECONDS;
    if (isBehind()) {
      return rank === undefined
        ? LAST_RESORT_MILLISECONDS.after + random() * LAST_RESORT_MILLISECONDS.spread
        : rank * RANK_DELAY_MILLISECONDS;
    }
    if (missingSince.size === 0) return undefined;
    const first = Math.min(...missingSince.values());
    const remaining = Math.max(0, first + GONE_AFTER_MILLISECONDS - clock.monotonic());
    // Only a host that watches the servers knows that none is left; another one may watch later.
    return rank === undefined
      ? remaining + RETRY_MILLISECONDS
      : remaining + rank * RANK_DELAY_MILLISECONDS;
  };

  const schedule = (minMilliseconds = 0): void => {
    const delay = isStopped || isWriting ? undefined : findDelay();
    if (delay === undefined) return;
    const dueAt = clock.monotonic() + Math.max(delay, minMilliseconds);
    if (timer && timer.dueAt <= dueAt) return;
    timer?.cancel();
    const cancel = clock.after(dueAt - clock.monotonic(), () => {
      timer = undefined;
      write().catch((error: unknown) =>
        logger.error('recording software versions failed', { error: errorMessage(error) }),
      );
    });
    timer = { dueAt, cancel };
  };

  /** @returns whether the record names all versions until now; rejects without an answer */
  const read = async (): Promise<boolean> => {
    const found = await store.read(KEY);
    const record = found && parseVersionsRecord(found.value);
    if (!found || !record) {
      if (found)
        logger.warn('record of software versions does not fit', { version: found.version });
      known = undefined;
      expectedVersion = found?.version ?? ABSENT;
      schedule();
      return false;
    }
    apply({ version: found.version, record });
    return record.era === eras.current();
  };

  const startRead = (): Promise<boolean> => {
    const answered = read().catch((error: unknown) => {
      logger.info('record of software versions not read', { error: errorMessage(error) });
      return false;
    });
    const timedOut = new AbortController();
    const result = Promise.race([
      answered,
      clock.delay(CONFIRM_TIMEOUT_MILLISECONDS, timedOut.signal).then(() => false),
    ]).then((isRead) => {
      timedOut.abort();
      currentRead = undefined;
      return isRead || doAllHostsReport();
    });
    currentRead = result;
    return result;
  };

  const buildRecord = (): VersionsRecord => {
    const own = streams.history();
    const now = clock.now().getTime();
    const hasNoRecord = known === undefined;
    // Streams begin at versions that are recorded, so that none has begun where there is no record.
    const isNew = hasNoRecord && isFirstStart && !eras.hasChanged();
    const ownMilliseconds = doAllHostsReport() ? own.completeMilliseconds : 0;
    return buildVersionsRecord({
      known: known?.record,
      listed,
      isGone: (service, version) => watcherRank() !== undefined && isGone(service, version),
      own: {
        ...own,
        completeMilliseconds: isNew ? Infinity : ownMilliseconds,
      } satisfies VersionHistory,
      now,
      era: eras.current(),
      token: randomUUID(),
    });
  };

  const writeOnce = async (): Promise<boolean> => {
    if (watcherRank() === undefined || (!known && !isFirstStart)) await read();
    if (!isWriteNeeded()) return true;
    const record = buildRecord();
    const { outcome, ...settled } = await writeWithRetry<VersionsRecord>({
      store,
      clock,
      key: KEY,
      value: record,
      expected: expectedVersion,
      isOwnWrite: ({ token }) => token === record.token,
      timeoutMilliseconds: WRITE_TIMEOUT_MILLISECONDS,
    });
    if (outcome === RETRIED_WRITE_OUTCOME.CONFLICT) await read();
    if (outcome !== RETRIED_WRITE_OUTCOME.WRITTEN)
      return outcome === RETRIED_WRITE_OUTCOME.CONFLICT;
    const update = { version: (settled as { version: number }).version, record };
    logger.info('software versions recorded', {
      versions: JSON.stringify(record.gone),
      since: record.since,
    });
    apply(update);
    onRecorded(update);
    return true;
  };

  const write = async (): Promise<void> => {
    if (isWriting || isStopped) return;
    isWriting = true;
    const isSettled = await writeOnce().catch((error: unknown) => {
      logger.info('software versions not recorded', { error: errorMessage(error) });
      return false;
    });
    isWriting = false;
    schedule(isSettled ? 0 : RETRY_MILLISECONDS);
  };

  const cancelEraListener = eras.onChange(() => schedule());

  return {
    updateServers: (servers) => {
      listed = listSoftwareVersions(servers);
      trackMissing();
      schedule();
    },
    confirm: () => {
      if (!currentRead) return startRead();
      // A read that is under way may have been answered before the request arrived.
      nextRead ??= currentRead.then(() => {
        nextRead = undefined;
        return startRead();
      });
      return nextRead;
    },
    receive: (update) => {
      const record = parseVersionsRecord(update.record);
      return record !== undefined && apply({ version: update.version, record });
    },
    latest: () => known,
    stop: () => {
      isStopped = true;
      timer?.cancel();
      cancelEraListener();
    },
  };
}
