/**
 * Hosts that choose servers from figures that are out of date, without a network: seeded arrivals, the
 * selection of `serving`, and servers with slots, a queue, a speed and a cache of prompts.
 */
import {
  createBalancing,
  promptPartKey,
  selectServer,
  type Balancing,
  type BalancedSend,
  type Call,
  type ModelRequirements,
  type ServerState,
} from '@bulrushspar/serving';
import { createServerKnowledge, recordPassedSlowness } from '@bulrushspar/balancing';
import {
  createEntry,
  createSimulatedServers,
  type LoadPattern,
  type PatternResult,
  type SimulatedServer,
} from './pattern.js';
import { createEventQueue, createRandom } from './simulation.js';

const SNAPSHOT_MILLISECONDS = 200;
const SNAPSHOTS = 4;
const SAMPLE_MILLISECONDS = 20;
const WINDOW_MILLISECONDS = 5000;
const PROMPT_TOKENS = 1000;
const TOKENS_PER_MILLISECOND = 30;
const PROMPT_LIFETIME_MILLISECONDS = 20_000;
const FIRST_EVENT_MILLISECONDS = 15;
/** Part of its time by which a request is slower when all slots are in use. */
const FULL_SLOWNESS = 0.5;
const AVOID_MILLISECONDS = 50;
const MAX_SENDS = 5;
const WARM_UP_MILLISECONDS = 3000;
const LIMIT = { limitOf: () => undefined, millisecondsUntilFree: () => 0 };

const quantile = (sorted: readonly number[], share: number): number =>
  sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;

/** Plays a pattern. */
export function playPattern(pattern: LoadPattern): PatternResult {
  const { hosts, slots, speeds, seconds, prompts = 0, models = 0 } = pattern;
  const { maxWaiting = Infinity } = pattern;
  const random = createRandom(pattern.seed);
  const events = createEventQueue();
  const end = seconds * 1000;
  const servers = createSimulatedServers(pattern, random);
  const entries = servers.map((server) => createEntry(server, slots));
  const size = servers.length;
  const own = new Int16Array(hosts * size);
  const snapshots = Array.from({ length: SNAPSHOTS }, () => ({
    own: new Int16Array(hosts * size),
    total: new Float64Array(size),
    slowdown: new Float64Array(size),
    slowdownAt: new Float64Array(size),
  }));
  const latestSlowdown = new Float64Array(size);
  const latestSlowdownAt = new Float64Array(size);
  const delays = Array.from({ length: hosts }, () => 200 + random() * 100);
  const empty = new Map<string, number>();
  const states = Array.from({ length: hosts }, (_host, host) =>
    servers.map(({ index }): ServerState => ({
      entry: entries[index]!,
      get outstanding() {
        return own[host * size + index]!;
      },
      outstandingByModel: empty,
      get outstandingFromOtherHosts() {
        const at = Math.max(0, Math.floor((events.now() - delays[host]!) / SNAPSHOT_MILLISECONDS));
        const snapshot = snapshots[at % SNAPSHOTS]!;
        const { knowledge } = states[host]![index]!;
        if (pattern.passesOnSlowness && snapshot.slowdownAt[index]! > 0)
          recordPassedSlowness(knowledge, snapshot.slowdown[index]!, snapshot.slowdownAt[index]!);
        return snapshot.total[index]! - snapshot.own[host * size + index]!;
      },
      failureRate: 0,
      avoidUntil: 0,
      closedUntil: -Infinity,
      isBrittle: false,
      adapterLoadTimes: empty,
      leavingSince: undefined,
      unloadOrderTimes: empty,
      promptPartTimes: prompts > 0 ? new Map() : empty,
      knowledge: createServerKnowledge(),
    })),
  );
  const balancings: (Balancing | undefined)[] = states.map(() =>
    pattern.isBalanced ? createBalancing({ now: events.now }) : undefined,
  );
  const completions: number[] = [];
  const firstEvents: number[] = [];
  let requests = 0;
  let rejections = 0;
  let failures = 0;
  let failuresInLastHalf = 0;

  const reportOf = (server: SimulatedServer) => ({
    running: server.running,
    waiting: server.queue.length,
    slots,
    ...(pattern.reportsSlowness ? { slowdown: server.slowness } : {}),
  });

  const run = (place: number, request: SimulatedRequest, onDone: () => void): void => {
    const server = servers[place]!;
    const { running, prompts: cached, slowness } = server;
    server.running += 1;
    const now = events.now();
    const { prompt } = request;
    let prefill = FIRST_EVENT_MILLISECONDS;
    if (prompt !== undefined) {
      const at = cached.get(prompt);
      if (at === undefined || now - at > PROMPT_LIFETIME_MILLISECONDS)
        prefill += PROMPT_TOKENS / TOKENS_PER_MILLISECOND;
      cached.set(prompt, now);
    }
    const factor = slowness * (1 + (FULL_SLOWNESS * running) / slots);
    const first = now + factor * prefill;
    const last = first + factor * request.milliseconds;
    events.add(first, () => request.onFirst());
    events.add(last, () => {
      server.running -= 1;
      server.queue.shift()?.();
      onDone();
    });
  };

  interface SimulatedRequest {
    readonly host: number;
    readonly arrivedAt: number;
    readonly milliseconds: number;
    readonly prompt: string | undefined;
    readonly call: Call;
    readonly tried: Set<string>;
    onFirst: () => void;
  }

  const record = (state: ServerState, failed: boolean): void => {
    const changed = state;
    changed.failureRate += ((failed ? 1 : 0) - changed.failureRate) * 0.2;
    if (failed) changed.knowledge.failedAt = events.now();
  };

  const send = (request: SimulatedRequest): void => {
    const { host, call, tried } = request;
    const balancing = balancings[host];
    const select = (excluded: ReadonlySet<string>) =>
      selectServer({
        candidates: states[host]!,
        ...(call.requirements ? { requirements: call.requirements } : {}),
        failureDomain: `d${host % 3}`,
        excluded,
        now: events.now(),
        maxLimitMilliseconds: 1000,
        ...LIMIT,
        canServeModel: ({ entry }, model) =>
          models === 0 || servers[Number(entry.id.slice(1))]!.models.has(model),
        hasAdapter: () => true,
        random,
        ...(balancing ? { balancing } : {}),
      });
    const state = select(tried) ?? select(new Set());
    if (!state) return;
    tried.add(state.entry.id);
    const server = servers[Number(state.entry.id.slice(1))]!;
    const place = host * size + server.index;
    const sent: BalancedSend | undefined = balancing?.recordSend(state, call);
    if (request.prompt !== undefined && call.requirements)
      state.promptPartTimes.set(promptPartKey(call.requirements, request.prompt), events.now());
    own[place]! += 1;
    server.received += 1;
    const recordLoad = (): void => {
      latestSlowdown[server.index] = server.slowness;
      latestSlowdownAt[server.index] = events.now();
      state.reportedLoad = { ...reportOf(server), at: events.now() };
      sent?.recordHead(reportOf(server), false);
    };
    if (server.isFailing) {
      events.add(events.now() + 2, () => {
        own[place]! -= 1;
        sent?.recordEnd(false);
        record(state, true);
        failures += 1;
        if (events.now() > end / 2) failuresInLastHalf += 1;
      });
      return;
    }
    if (server.running >= slots && server.queue.length >= maxWaiting) {
      rejections += 1;
      recordLoad();
      own[place]! -= 1;
      sent?.recordEnd(false);
      state.avoidUntil = events.now() + AVOID_MILLISECONDS;
      if (tried.size < MAX_SENDS) send(request);
      return;
    }
    request.onFirst = () => {
      recordLoad();
      sent?.recordFirstEvent();
      if (request.arrivedAt > WARM_UP_MILLISECONDS)
        firstEvents.push(events.now() - request.arrivedAt);
    };
    const begin = (): void =>
      run(server.index, request, () => {
        own[place]! -= 1;
        sent?.recordEnd(true);
        record(state, false);
        if (request.arrivedAt > WARM_UP_MILLISECONDS)
          completions.push(events.now() - request.arrivedAt);
      });
    if (server.running < slots) begin();
    else server.queue.push(begin);
  };

  const pickSkewed = (count: number): number => Math.floor(count * random() ** 2);

  const arrive = (): void => {
    requests += 1;
    const prompt = prompts > 0 ? `p${pickSkewed(prompts)}` : undefined;
    const model = models > 0 ? `m${pickSkewed(models)}` : 'm';
    const requirements: ModelRequirements | undefined =
      models > 0 || prompts > 0
        ? {
            model,
            promptParts: [
              ...(prompt === undefined ? [] : [{ id: prompt, tokens: PROMPT_TOKENS }]),
              { id: 'last', tokens: 0 },
            ],
          }
        : undefined;
    send({
      host: Math.floor(random() * hosts),
      arrivedAt: events.now(),
      milliseconds: pattern.serviceMilliseconds * (0.5 + random()),
      prompt,
      call: {
        id: 'call',
        host: 'example',
        path: '/',
        ...(requirements ? { requirements } : {}),
        fingerprint: () => '',
      },
      tried: new Set(),
      onFirst: () => {},
    });
    events.add(events.now() - (Math.log(1 - random()) * 1000) / pattern.requestsPerSecond, arrive);
  };

  const takeSnapshot = (): void => {
    const at = Math.round(events.now() / SNAPSHOT_MILLISECONDS);
    const snapshot = snapshots[at % SNAPSHOTS]!;
    snapshot.own.set(own);
    snapshot.slowdown.set(latestSlowdown);
    snapshot.slowdownAt.set(latestSlowdownAt);
    servers.forEach(({ index, running, queue }) => {
      snapshot.total[index] = running + queue.length;
    });
    events.add((at + 1) * SNAPSHOT_MILLISECONDS, takeSnapshot);
  };

  const slowDown = (): void => {
    const server = servers[Math.floor(random() * size)]!;
    server.slowness = 4 + 4 * random();
    events.add(events.now() + 3000 + 5000 * random(), () => {
      server.slowness = 1;
    });
    // About one server in eight is slow at a time.
    events.add(events.now() + (8 * 5500) / size, slowDown);
  };

  let samples = 0;
  let ratios = 0;
  let waitingSamples = 0;
  const sample = (): void => {
    events.add(events.now() + SAMPLE_MILLISECONDS, sample);
    if (events.now() < WARM_UP_MILLISECONDS) return;
    samples += 1;
    const counts = servers.map(({ running, queue }) => running + queue.length);
    const mean = counts.reduce((sum, count) => sum + count, 0) / size;
    ratios += mean > 0 ? Math.max(...counts) / mean : 1;
    const waits = servers.some(
      ({ queue, slowness }) =>
        queue.length > 0 &&
        servers.some((other) => other.running < slots && other.slowness <= slowness),
    );
    if (waits) waitingSamples += 1;
  };

  let windows = 0;
  let windowRatios = 0;
  const endWindow = (): void => {
    events.add(events.now() + WINDOW_MILLISECONDS, endWindow);
    const received = servers.map((server) => server.received);
    servers.forEach((server) => Object.assign(server, { received: 0 }));
    const mean = received.reduce((sum, count) => sum + count, 0) / size;
    if (events.now() <= WINDOW_MILLISECONDS) return;
    windows += 1;
    windowRatios += Math.max(...received) / mean;
  };

  events.add(0, takeSnapshot);
  events.add(0, arrive);
  events.add(SAMPLE_MILLISECONDS, sample);
  events.add(WINDOW_MILLISECONDS, endWindow);
  if (speeds === 'changing') events.add(0, slowDown);
  events.runUntil(end);
  completions.sort((a, b) => a - b);
  firstEvents.sort((a, b) => a - b);
  return {
    busiestOverMean: ratios / samples,
    receivedOverMean: windowRatios / windows,
    waitingWhileFree: waitingSamples / samples,
    p50Milliseconds: quantile(completions, 0.5),
    p99Milliseconds: quantile(completions, 0.99),
    firstEventP99Milliseconds: quantile(firstEvents, 0.99),
    rejections,
    failures,
    failuresInLastHalf,
    requests,
  };
}
