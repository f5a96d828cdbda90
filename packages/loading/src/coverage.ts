/** Reports which models no server holds, and how long callers have asked for them in vain. */
import type { EngineProfile } from '@bulrushspar/catalogue';
import type { Clock } from '@bulrushspar/clock';
import type { Logger } from '@bulrushspar/logging';
import type { DemandTracker } from './demand.js';
import type { PlannedServer } from './plan-input.js';

/** State of a service's models, as the leader's plans see it. */
export interface CoverageInput {
  readonly service: string;
  readonly profile: EngineProfile;
  readonly servers: readonly PlannedServer[];
  readonly demand: Pick<DemandTracker, 'idleMilliseconds' | 'requestsPerSecond'>;
  /** Returns whether no server holds or loads the model. */
  readonly isMissing: (model: string) => boolean;
}

/** Observes the models of the services while this host is the leader. */
export interface Coverage {
  /** Observes a service; logs a line at intervals while models with requests are missing. */
  observe(input: CoverageInput): void;
  /**
   * Returns the model of a service without a copy that callers have asked for in vain for longest;
   * undefined if there is none, or not for long.
   */
  longestMissed(service: string): string | undefined;
  /** Forgets what was observed, since another host has been the leader. */
  restart(): void;
}

/** Options of {@link createCoverage}. */
export interface CoverageOptions {
  readonly clock: Clock;
  readonly logger: Logger;
}

const REPORT_INTERVAL_MILLISECONDS = 2000;
/** Time since the last request after which a missing model counts as not asked for. */
const REQUESTED_MILLISECONDS = 30_000;
/** Number of models that a line names, those asked for in vain for longest. */
const MAX_NAMES = 5;
/** Time from which a model counts as asked for in vain for long; longer than a load takes. */
const LONG_MILLISECONDS = 10_000;
/** Request rate that it must have: three requests, averaged over 30 s. */
const MIN_REQUESTS_PER_SECOND = 3 / 30;

/** Creates the observation of one leader. */
export function createCoverage({ clock, logger }: CoverageOptions): Coverage {
  const reportedAt = new Map<string, number>();
  /** When each missing model was first seen with requests. */
  const missedSince = new Map<string, number>();
  const longestMissed = new Map<string, string>();

  const observe = ({ service, profile, servers, demand, isMissing }: CoverageInput): void => {
    const now = clock.monotonic();
    // An earlier leader may have seen for long what is missing at the beginning of a term.
    const since = reportedAt.has(service) ? now : now - LONG_MILLISECONDS;
    const missing = [...profile.models.keys()].filter(isMissing);
    const requested = new Set(
      missing.filter((model) => demand.idleMilliseconds(model) < REQUESTED_MILLISECONDS),
    );
    profile.models.forEach((_profile, model) => {
      if (!requested.has(model)) missedSince.delete(model);
      else if (!missedSince.has(model)) missedSince.set(model, since);
    });
    const copied = new Set(servers.flatMap(({ inMemory, onDisk }) => [...inMemory, ...onDisk]));
    const longest = [...requested].sort(
      (a, b) =>
        missedSince.get(a)! - missedSince.get(b)! ||
        demand.requestsPerSecond(b) - demand.requestsPerSecond(a),
    );
    const first = longest.find(
      (model) =>
        !copied.has(model) &&
        now - missedSince.get(model)! >= LONG_MILLISECONDS &&
        demand.requestsPerSecond(model) >= MIN_REQUESTS_PER_SECOND,
    );
    if (first === undefined) longestMissed.delete(service);
    else longestMissed.set(service, first);
    if (now - (reportedAt.get(service) ?? -Infinity) < REPORT_INTERVAL_MILLISECONDS) return;
    reportedAt.set(service, now);
    if (requested.size === 0) return;
    logger.info('models with requests are on no server', {
      service,
      models: profile.models.size,
      missing: missing.length,
      missingWithoutCopy: missing.filter((model) => !copied.has(model)).length,
      requested: requested.size,
      requestedWithoutCopy: [...requested].filter((model) => !copied.has(model)).length,
      longest: longest.slice(0, MAX_NAMES).join(' '),
      longestMilliseconds: Math.round(now - missedSince.get(longest[0]!)!),
    });
  };

  return {
    observe,
    longestMissed: (service) => longestMissed.get(service),
    restart: () => {
      longestMissed.clear();
      reportedAt.clear();
      missedSince.clear();
    },
  };
}
