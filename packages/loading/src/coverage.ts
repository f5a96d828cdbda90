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
  readonly demand: Pick<DemandTracker, 'idleMilliseconds'>;
  /** Returns whether no server holds or loads the model. */
  readonly isMissing: (model: string) => boolean;
}

/** Observes the models of the services while this host is the leader. */
export interface Coverage {
  /** Observes a service; logs a line at intervals while models with requests are missing. */
  observe(input: CoverageInput): void;
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

/** Creates the observation of one leader. */
export function createCoverage({ clock, logger }: CoverageOptions): Coverage {
  const reportedAt = new Map<string, number>();
  /** When each missing model was first seen with requests. */
  const missedSince = new Map<string, number>();

  const observe = ({ service, profile, servers, demand, isMissing }: CoverageInput): void => {
    const now = clock.monotonic();
    if (now - (reportedAt.get(service) ?? -Infinity) < REPORT_INTERVAL_MILLISECONDS) return;
    reportedAt.set(service, now);
    const missing = [...profile.models.keys()].filter(isMissing);
    const requested = new Set(
      missing.filter((model) => demand.idleMilliseconds(model) < REQUESTED_MILLISECONDS),
    );
    profile.models.forEach((_profile, model) => {
      if (!requested.has(model)) missedSince.delete(model);
      else if (!missedSince.has(model)) missedSince.set(model, now);
    });
    if (requested.size === 0) return;
    const copied = new Set(servers.flatMap(({ inMemory, onDisk }) => [...inMemory, ...onDisk]));
    const longest = [...requested].sort((a, b) => missedSince.get(a)! - missedSince.get(b)!);
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
    restart: () => {
      reportedAt.clear();
      missedSince.clear();
    },
  };
}
