/** Limits of the loads from the weight store: their rate and how many run concurrently. */
import { acceptsRequests, type EngineProfile } from '@bulrushspar/catalogue';
import type { Clock } from '@bulrushspar/clock';
import type { Logger } from '@bulrushspar/logging';
import type { ColdLoad, ServerState } from './book.js';
import { createConcurrencyLimit } from './concurrency.js';
import { ORDER_OPERATION } from './engine.js';
import type { PlanInput, PlannedLoad } from './plan-input.js';

/** Part of the planner's input that limits cold loads. */
export type ColdLoadLimits = Pick<
  PlanInput,
  | 'availableColdLoads'
  | 'coldWaitMilliseconds'
  | 'maxConcurrentColdLoads'
  | 'coldPlaces'
  | 'coldSlowdown'
>;

/** Counts and measures the cold loads of the servers. */
export interface ColdLoads {
  /** Records that a cold load has been decided. */
  recordStart(): void;
  /** Measures the loads under way. @param isMoreWanted whether a higher limit would be used */
  observe(isMoreWanted: boolean): void;
  /** Forgets what was measured before this host took the lease. @param limit the last leader's */
  restart(limit: number | undefined): void;
  limits(engine: EngineProfile): ColdLoadLimits;
  /** The loads from the weight store that servers execute. */
  underWay(): readonly ColdLoad[];
  /** Number of servers that execute such a load, or are about to. */
  countServers(): number;
  /** Expected milliseconds until the cold load of a server ends, if its speed has been learnt. */
  remainingOn(server: ServerState): number | undefined;
}

/** Options of {@link createColdLoads}. */
export interface ColdLoadsOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly servers: ReadonlyMap<string, ServerState>;
  /** Loads whose orders are being sent, by server. */
  readonly startingLoads: ReadonlyMap<string, PlannedLoad>;
  readonly profile: (service: string) => EngineProfile | undefined;
  /** Most loads that run concurrently, whatever is learnt; no bound by default. */
  readonly maxConcurrent?: number;
  readonly onLimit?: (limit: number) => void;
}

/**
 * Longest time for which no cold load begins since the states of some servers are not known yet. Servers
 * answer requests for reports in 300 ms or not at all.
 */
const MAX_UNKNOWN_MILLISECONDS = 500;
/** Window over which the starts of cold loads are counted against their rate limit. */
const WINDOW_MILLISECONDS = 5000;
const MILLISECONDS_PER_SECOND = 1000;

const idOf = ({ entry, pendingOrder }: ServerState): string =>
  `${entry.id} ${pendingOrder!.request.model} ${pendingOrder!.startedAt}`;

/** Creates the limits of one leader's cold loads. */
export function createColdLoads(options: ColdLoadsOptions): ColdLoads {
  const { clock, logger, servers, startingLoads, profile, onLimit = () => {} } = options;
  const { maxConcurrent = Infinity } = options;
  let startTimes: number[] = [];
  const observed = new Map<string, { readonly state: ServerState; readonly model: string }>();
  let remaining: ReadonlyMap<string, number> = new Map();
  let restartedAt = -Infinity;
  const concurrency = createConcurrencyLimit({
    onChange: (limit) => {
      logger.info('limit of concurrent cold loads changed', { limit });
      onLimit(limit);
    },
  });

  const isColdLoad = ({ pendingOrder }: ServerState): boolean =>
    pendingOrder?.request.operation === ORDER_OPERATION.LOAD && pendingOrder.isCold === true;

  const startsLeft = ({ coldLoadsPerSecond }: EngineProfile): number => {
    const windowStart = clock.monotonic() - WINDOW_MILLISECONDS;
    startTimes = startTimes.filter((at) => at > windowStart);
    const perWindow = (coldLoadsPerSecond * WINDOW_MILLISECONDS) / MILLISECONDS_PER_SECOND;
    return Math.floor(perWindow) - startTimes.length;
  };

  const remainingOn = (state: ServerState): number | undefined =>
    isColdLoad(state) ? remaining.get(idOf(state)) : undefined;

  /** Number of loads beyond which more would never start within one load's time, by the rate. */
  const maxByRate = ({ coldLoadsPerSecond, models }: EngineProfile): number => {
    const longest = Math.max(0, ...[...models.values()].map((model) => model.coldMilliseconds));
    return Math.max(1, Math.floor((coldLoadsPerSecond * longest) / MILLISECONDS_PER_SECOND));
  };

  /** Whether a server may execute a load of an earlier leader that is not known from its report yet. */
  const mayRunUnknown = (): boolean =>
    clock.monotonic() - restartedAt < MAX_UNKNOWN_MILLISECONDS &&
    [...servers.values()].some(
      ({ entry, sequence, hasForeignOrder }) =>
        sequence === undefined && !hasForeignOrder && acceptsRequests(entry),
    );

  const limits = (engine: EngineProfile): ColdLoadLimits => {
    const places = Math.min(concurrency.limit(), maxByRate(engine), maxConcurrent);
    const busy = [...servers.values()].flatMap((state) => {
      const starting = startingLoads.get(state.entry.id);
      if (isColdLoad(state))
        return [remainingOn(state) ?? state.pendingOrder!.expectedMilliseconds];
      if (starting?.cold === true) return [starting.readyMilliseconds];
      // The load of an earlier leader; where its weights come from is unknown.
      return state.hasForeignOrder ? [WINDOW_MILLISECONDS] : [];
    });
    const ends = busy.sort((a, b) => a - b);
    const free = Array.from({ length: Math.max(0, places - ends.length) }, () => 0);
    const left = startsLeft(engine);
    const untilStart =
      left > 0 ? 0 : (startTimes[0] ?? clock.monotonic()) + WINDOW_MILLISECONDS - clock.monotonic();
    const coldPlaces = [...free, ...ends.slice(Math.max(0, ends.length - places))].map((end) =>
      Math.max(end, untilStart),
    );
    return {
      availableColdLoads: mayRunUnknown() ? 0 : Math.min(left, free.length),
      coldWaitMilliseconds: Math.min(...coldPlaces),
      maxConcurrentColdLoads: places,
      coldPlaces,
      coldSlowdown: concurrency.slowdown(),
    };
  };

  return {
    recordStart: () => {
      startTimes.push(clock.monotonic());
    },
    observe: (isMoreWanted) => {
      const states = [...servers.values()].filter(({ entry }) => profile(entry.service));
      const isOwn = (state: ServerState): boolean =>
        isColdLoad(state) && state.pendingOrder!.isInherited !== true;
      const running = states.filter(isOwn).map((state) => {
        const id = idOf(state);
        const { request, expectedMilliseconds } = state.pendingOrder!;
        observed.set(id, { state, model: request.model });
        return { id, statedMilliseconds: expectedMilliseconds };
      });
      concurrency.observe({
        now: clock.monotonic(),
        running,
        others: states.filter(
          ({ hasForeignOrder, pendingOrder }) => hasForeignOrder || pendingOrder?.isInherited,
        ).length,
        isMoreWanted,
        hasSucceeded: (id) => {
          const load = observed.get(id);
          return (
            load !== undefined &&
            servers.get(load.state.entry.id) === load.state &&
            load.state.models.has(load.model)
          );
        },
      });
      const ids = new Set(running.map(({ id }) => id));
      [...observed.keys()].forEach((id) => {
        if (!ids.has(id)) observed.delete(id);
      });
      remaining = concurrency.remaining();
    },
    restart: (limit) => {
      observed.clear();
      remaining = new Map();
      concurrency.restart(limit);
      restartedAt = clock.monotonic();
    },
    limits,
    countServers: () =>
      [...servers.values()].filter(
        (state) => isColdLoad(state) || startingLoads.get(state.entry.id)?.cold === true,
      ).length,
    underWay: () =>
      [...servers.values()].filter(isColdLoad).map(({ entry, pendingOrder }) => ({
        server: entry.id,
        model: pendingOrder!.request.model,
        milliseconds: Math.round(clock.monotonic() - pendingOrder!.startedAt),
      })),
    remainingOn,
  };
}
