/** Selects servers by expected room and completion, where hosts share the capacity of the servers. */
import {
  computeLoadRatios,
  computePreemptionMilliseconds,
  countUsableSlots,
  createServerChoice,
  estimateRequests,
  estimateSlowness,
  estimateTokens,
  OTHERS_AGE_MILLISECONDS,
  recentFailureRate,
} from '@bulrushspar/balancing';
import type { Logger } from '@bulrushspar/logging';
import type { Metrics } from '@bulrushspar/metrics';
import type { Call } from './call.js';
import {
  countServerRequests,
  CROSS_DOMAIN_COST_MILLISECONDS,
  estimateLimitMilliseconds,
  FAILURE_COST_MILLISECONDS,
  MISSING_ADAPTER_COST_MILLISECONDS,
  type ServerSelection,
} from './choose.js';
import { createObservations, SLOW_SERVER, type BalancedSend } from './observe.js';
import { countTokens, createUncachedCounter } from './prompts.js';
import type { ServerState, ServerStates } from './servers.js';
import { createSlownessExchange, type SlownessExchange } from './slowness.js';

/** What this host learns about servers from its own requests, and the selection that uses it. */
export interface Balancing {
  /** Selects a server of {@link ServerSelection.candidates}. */
  select(selection: ServerSelection): ServerState | undefined;
  /** Records that a request is sent to a server; called before it counts as outstanding there. */
  recordSend(state: ServerState, call: Call): BalancedSend;
  /** @returns the highest utilization of a server over the mean of its service; 1 if few requests run */
  busiestRatio(): number;
  /** Slowness that hosts tell each other; present with the servers. */
  readonly exchange: SlownessExchange | undefined;
}

/** Options of {@link createBalancing}. */
export interface BalancingOptions {
  /** @returns the time on the monotonic clock, in milliseconds */
  readonly now: () => number;
  readonly logger?: Logger;
  /** All servers, for the metrics and for what other hosts tell of them. */
  readonly servers?: ServerStates;
  readonly metrics?: Metrics;
}

/**
 * Servers of which one is chosen; the load over 400 servers is nearly as even with 64 of them (docs/design/balancing.md),
 * and a choice takes a fraction of the time.
 */
const MAX_LISTED_SERVERS = 64;

/** Creates the balancing of one host. */
export function createBalancing(options: BalancingOptions): Balancing {
  const { now, logger, servers, metrics } = options;
  const exchange = servers && createSlownessExchange(now, servers);
  const choice = createServerChoice();
  const observations = createObservations(now, logger, exchange);
  const uncachedCounter = createUncachedCounter();
  // Its length only grows: emptying it would drop the memory that the next choice needs.
  const eligible: ServerState[] = [];
  let eligibleCount = 0;

  const isEligible = (selection: ServerSelection, state: ServerState): boolean => {
    const { entry, closedUntil, isBrittle } = state;
    const { requirements } = selection;
    if (closedUntil > selection.now || selection.excluded.has(entry.id)) return false;
    if (entry.evacuated === true) return false;
    if (isBrittle && countServerRequests(state, selection.now) >= entry.slots) return false;
    if (selection.millisecondsUntilFree(entry.id) > selection.maxLimitMilliseconds) return false;
    return requirements ? selection.canServeModel(state, requirements.model) : !entry.leaving;
  };

  /**
   * Lists the servers that can run the request; avoided ones only if there is no other. Of many servers
   * a random part is enough, with those that hold the beginning of the prompt.
   */
  const listEligible = (selection: ServerSelection): void => {
    const { candidates, now: at } = selection;
    const { length } = candidates;
    const start = length > MAX_LISTED_SERVERS ? Math.floor(selection.random() * length) : 0;
    eligibleCount = 0;
    let hasPreferred = false;
    for (let count = 0; count < length; count += 1) {
      const index = start + count;
      const state = candidates[index < length ? index : index - length]!;
      const isEnough = hasPreferred && eligibleCount >= MAX_LISTED_SERVERS;
      if (isEnough && !uncachedCounter.hasParts()) return;
      if ((!isEnough || uncachedCounter.holdsFirst(state, at)) && isEligible(selection, state)) {
        const isPreferred = state.avoidUntil <= at;
        if (isPreferred && !hasPreferred) eligibleCount = 0;
        hasPreferred ||= isPreferred;
        if (isPreferred || !hasPreferred) {
          eligible[eligibleCount] = state;
          eligibleCount += 1;
        }
      }
    }
  };

  /** Delay at a server that does not depend on its speed. */
  const countExtraMilliseconds = (selection: ServerSelection, state: ServerState): number => {
    const { entry, knowledge } = state;
    let extra =
      FAILURE_COST_MILLISECONDS * recentFailureRate(knowledge, state.failureRate, selection.now);
    if (entry.failureDomain !== selection.failureDomain) extra += CROSS_DOMAIN_COST_MILLISECONDS;
    return extra + estimateLimitMilliseconds(entry.id, selection);
  };

  /** Work that a request needs at one server and not at another, at usual speed. */
  const countWorkMilliseconds = (
    selection: ServerSelection,
    state: ServerState,
    tokenMilliseconds: number,
  ): number => {
    const { requirements } = selection;
    if (!requirements) return 0;
    const { model, adapter } = requirements;
    const work = uncachedCounter.count(state, selection.now) * tokenMilliseconds;
    return adapter === undefined || selection.hasAdapter(state, model, adapter)
      ? work
      : work + MISSING_ADAPTER_COST_MILLISECONDS;
  };

  /** Whether messages of other hosts have told of any request at these servers. */
  const knowsOthers = (): boolean => {
    for (let index = 0; index < eligibleCount; index += 1) {
      if (eligible[index]!.outstandingFromOtherHosts > 0) return true;
    }
    return false;
  };

  const select = (selection: ServerSelection): ServerState | undefined => {
    const { requirements, random, call, cacheTokens = Infinity } = selection;
    const at = selection.now;
    uncachedCounter.begin(requirements);
    listEligible(selection);
    if (eligibleCount <= 1) return eligibleCount === 0 ? undefined : eligible[0];
    const kind = observations.kindOf(eligible[0]!.entry.service, requirements?.model);
    const tokenMilliseconds = kind.tokenMilliseconds();
    const holdingMilliseconds = kind.holdingMilliseconds();
    const tokensPerRequest = kind.tokens();
    const tokens = call ? countTokens(call) : 0;
    const hasOthers = knowsOthers();
    choice.begin();
    for (let index = 0; index < eligibleCount; index += 1) {
      const state = eligible[index]!;
      const { entry, knowledge, outstanding: own } = state;
      const others = state.outstandingFromOtherHosts;
      const requests = estimateRequests(knowledge, own, others, hasOthers, at);
      let extra = countExtraMilliseconds(selection, state);
      const held = estimateTokens(requests, own, knowledge.ownTokens, tokensPerRequest);
      if (held + tokens > cacheTokens)
        extra += computePreemptionMilliseconds(
          tokensPerRequest,
          tokenMilliseconds,
          holdingMilliseconds,
        );
      choice.add(
        requests,
        countUsableSlots(entry.slots, cacheTokens, tokensPerRequest),
        estimateSlowness(knowledge, at),
        countWorkMilliseconds(selection, state, tokenMilliseconds),
        extra,
      );
    }
    const ageMilliseconds = OTHERS_AGE_MILLISECONDS;
    return eligible[choice.choose({ ageMilliseconds, holdingMilliseconds, random })];
  };

  const busiestRatio = (): number => {
    const shares = [...(servers?.all() ?? [])].map((state) => ({
      service: state.entry.service,
      requests: state.outstanding + state.outstandingFromOtherHosts,
      slots: state.entry.slots,
    }));
    return Math.max(1, ...computeLoadRatios(shares).values());
  };
  const countSlowServers = (): number =>
    [...(servers?.all() ?? [])].filter(
      ({ knowledge }) => estimateSlowness(knowledge, now()) > SLOW_SERVER,
    ).length;
  metrics?.gauge(
    'busiest_server_ratio',
    'Highest utilization of a server over the mean of its service, of the service where it is highest.',
    busiestRatio,
  );
  metrics?.gauge('slow_servers', 'Servers that work slower than the others.', countSlowServers);

  return { select, recordSend: observations.recordSend, busiestRatio, exchange };
}
