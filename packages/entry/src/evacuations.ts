/** Failure domains that operators evacuate: nothing more is sent to their servers. */
import type { ServerView } from '@bulrushspar/catalogue';
import { startMonotonicStopwatch, type Clock, type Stopwatch } from '@bulrushspar/clock';
import type { Logger } from '@bulrushspar/logging';
import type { Metrics } from '@bulrushspar/metrics';
import { eraOf, type EraTracker, type ObjectView } from '@bulrushspar/store';

/** An operator's request to send nothing more to the servers of a failure domain. */
export interface Evacuation {
  readonly failureDomain: string;
  /** What is wrong with the object; it is obeyed all the same. */
  readonly finding?: string | undefined;
}

/** An evacuation that a restored store has lost, and for how long it has been lost. */
export interface LostEvacuation {
  readonly failureDomain: string;
  /** Milliseconds since a host found it missing in the restored store. */
  readonly age: number;
}

/** The evacuations that one host obeys. */
export interface Evacuations {
  /** Replaces the objects of the store. */
  applyView(view: ObjectView<unknown>): void;
  /** Applies the evacuations that another host obeys although the restored store has lost them. */
  applyLost(evacuations: readonly LostEvacuation[]): void;
  /** @returns the evacuations that this host obeys although the restored store has lost them */
  listLost(): readonly LostEvacuation[];
  /** Looks for evacuations of failure domains that no server belongs to. */
  updateServers(servers: ServerView): void;
  /** Whether the objects of the store have been read since the start of this host. */
  isKnown(): boolean;
  covers(failureDomain: string): boolean;
  /** @returns the failure domains that are evacuated */
  domains(): ReadonlySet<string>;
}

/** Options of {@link createEvacuations}. */
export interface EvacuationsOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly eras: EraTracker;
  readonly decode: (name: string, value: unknown) => Evacuation;
  /** Called when the failure domains change, and when they are known for the first time. */
  readonly onChange: (domains: ReadonlySet<string>) => void;
  readonly lostMilliseconds?: number;
}

/**
 * Time for which an evacuation stays in force that a restored store lacks. The operators have not
 * ended it; within this time they can see that it is missing and write it again.
 */
const LOST_MILLISECONDS = 60_000;
/** Bounds the set that suppresses repeated log lines; further findings are counted only. */
const MAX_LOGGED_FINDINGS = 1000;
const UNKNOWN_DOMAIN = 'no server belongs to the failure domain';

/** Creates the evacuations of one host; which ones there are is not known yet. */
export function createEvacuations(options: EvacuationsOptions): Evacuations {
  const { clock, logger, metrics, eras, decode, onChange } = options;
  const { lostMilliseconds = LOST_MILLISECONDS } = options;
  /** Versions of the stored evacuations, by failure domain. */
  let stored: ReadonlyMap<string, number> | undefined;
  /** Evacuations that a restored store lacks, with the time since it was found. */
  const lost = new Map<string, Stopwatch>();
  let domains: ReadonlySet<string> = new Set();
  /** Since when each failure domain has been evacuated. */
  const sinceBegun = new Map<string, Stopwatch>();
  /** Evacuations of which it is not known yet whether servers belong to the failure domain. */
  const unchecked = new Set<string>();
  let servers: ServerView = new Map();
  const loggedFindings = new Set<string>();

  const oddEvacuations = metrics.counter(
    'evacuations_odd',
    'Evacuations with an invalid object or of a failure domain without servers.',
  );
  metrics.gauge('evacuated_domains', 'Failure domains that are evacuated.', () => domains.size);
  metrics.gauge(
    'evacuated_servers',
    'Listed servers to which nothing is sent because of an evacuation.',
    () => [...servers.values()].filter(({ evacuated }) => evacuated).length,
  );

  const recordFinding = (failureDomain: string, finding: string): void => {
    const key = `${failureDomain}: ${finding}`;
    if (loggedFindings.has(key)) return;
    oddEvacuations.add();
    if (loggedFindings.size >= MAX_LOGGED_FINDINGS) return;
    loggedFindings.add(key);
    logger.warn('evacuation does not fit', { failureDomain, finding });
  };

  const checkDomains = (): void => {
    if (unchecked.size === 0 || servers.size === 0) return;
    const populated = new Set([...servers.values()].map(({ failureDomain }) => failureDomain));
    unchecked.forEach((failureDomain) => {
      if (!populated.has(failureDomain)) recordFinding(failureDomain, UNKNOWN_DOMAIN);
    });
    unchecked.clear();
  };

  const refresh = (isFirst: boolean): void => {
    const next = new Set([...(stored?.keys() ?? []), ...lost.keys()]);
    const begun = [...next].filter((domain) => !domains.has(domain));
    const ended = [...domains].filter((domain) => !next.has(domain));
    domains = next;
    begun.forEach((failureDomain) => {
      sinceBegun.set(failureDomain, startMonotonicStopwatch(clock));
      unchecked.add(failureDomain);
      logger.info('evacuation begins', { failureDomain });
    });
    ended.forEach((failureDomain) => {
      const milliseconds = Math.round(sinceBegun.get(failureDomain)!());
      sinceBegun.delete(failureDomain);
      unchecked.delete(failureDomain);
      logger.info('evacuation ends', { failureDomain, milliseconds });
    });
    checkDomains();
    if (isFirst || begun.length > 0 || ended.length > 0) onChange(domains);
  };

  const removeExpired = (): void => {
    lost.forEach((since, failureDomain) => {
      if (since() < lostMilliseconds) return;
      lost.delete(failureDomain);
      logger.warn('evacuation not written again after the store was restored', { failureDomain });
    });
    refresh(false);
  };

  const keepLost = (failureDomain: string, age: number): void => {
    if (lost.has(failureDomain) || age >= lostMilliseconds) return;
    const since = startMonotonicStopwatch(clock);
    lost.set(failureDomain, () => age + since());
    clock.after(lostMilliseconds - age + 1, removeExpired);
    logger.warn('evacuation is missing in the restored store and stays in force', {
      failureDomain,
      age,
    });
  };

  return {
    applyView: (view) => {
      const isFirst = stored === undefined;
      const next = new Map<string, number>();
      view.forEach(({ name, version, value }) => {
        const { failureDomain, finding } = decode(name, value);
        if (finding !== undefined) recordFinding(failureDomain, finding);
        next.set(failureDomain, version);
      });
      // What has gone together with an era was not removed by the operators.
      stored?.forEach((version, failureDomain) => {
        if (!next.has(failureDomain) && eraOf(version) < eras.current()) keepLost(failureDomain, 0);
      });
      next.forEach((_version, failureDomain) => lost.delete(failureDomain));
      stored = next;
      refresh(isFirst);
    },
    applyLost: (evacuations) => {
      evacuations.forEach(({ failureDomain, age }) => {
        if (!stored?.has(failureDomain)) keepLost(failureDomain, age);
      });
      refresh(false);
    },
    listLost: () =>
      [...lost].map(([failureDomain, since]) => ({ failureDomain, age: Math.round(since()) })),
    updateServers: (next) => {
      servers = next;
      checkDomains();
    },
    isKnown: () => stored !== undefined,
    covers: (failureDomain) => domains.has(failureDomain),
    domains: () => domains,
  };
}
