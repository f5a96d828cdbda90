/** Simulated hosts, servers and callers without a network, to measure what the hosts' queues decide. */
import {
  createAdmissionQueue,
  type AdmissionQueue,
  type Place,
  type PlaceRequest,
  type ServerView,
} from '@bulrushspar/admission';
import { createManualClock, type ManualClock } from '@bulrushspar/clock';
import { isRefusal } from '@bulrushspar/errors';

/** A class of requests. */
export interface RequestClass {
  readonly name: string;
  readonly priority: number;
  readonly perSecond: number;
  readonly objectiveMilliseconds: number;
  readonly timeoutMilliseconds: number;
  /** When its requests come, in milliseconds; always by default. */
  readonly from?: number;
  readonly to?: number;
  readonly workspace?: string;
  /** Number of hosts that its requests come to; all by default. */
  readonly hosts?: number;
}

/** Options of {@link runFleet}. */
export interface FleetOptions {
  readonly hosts: number;
  readonly servers: number;
  readonly slots: number;
  /** Shortest and longest time of a run. */
  readonly runMilliseconds: readonly [number, number];
  /** Requests that wait at a server before it rejects others. */
  readonly serverQueue?: number;
  readonly classes: readonly RequestClass[];
  readonly milliseconds: number;
  readonly seed: number;
  /** Whether requests take a place; otherwise they go to the least loaded server at once. */
  readonly usesQueue?: boolean;
  /** When the servers run nothing, in milliseconds. */
  readonly stop?: readonly [number, number];
  /** Number of parts of the fleet without states of each other; `hosts` if no host receives any. */
  readonly parts?: number;
  readonly reportsLoad?: boolean;
  /** Number of models, and of the servers that hold each; requests ask for low numbers most. */
  readonly models?: { readonly count: number; readonly holders: number };
}

/** What became of a request. */
export interface Outcome {
  readonly name: string;
  readonly workspace: string;
  readonly arrivedAt: number;
  /** When its run began to be sent to a server; undefined if it was refused. */
  readonly sentAt: number | undefined;
  /** When its answer began, in the middle of its run. */
  readonly firstByteAt: number | undefined;
  /** When it was answered; undefined if it was not. */
  readonly answeredAt: number | undefined;
  readonly refusals: number;
  readonly objectiveMilliseconds: number;
  readonly timeoutMilliseconds: number;
}

/** What happened in a fleet. */
export interface FleetResult {
  readonly outcomes: readonly Outcome[];
  /** Rejections by servers. */
  readonly rejections: number;
  /** Fraction of the slots in use, from the second second until the end of the arrivals. */
  readonly utilization: number;
  /** Mean and greatest number of requests at a server in that time. */
  readonly meanAtServer: number;
  readonly mostAtServer: number;
  readonly grants: readonly { readonly at: number; readonly host: number; readonly name: string }[];
  /** Requests and places left when all were answered. */
  readonly waitingAtEnd: number;
  readonly heldAtEnd: number;
  /** Longest wait of a request on a host, as a fraction of the time that it had left. */
  readonly longestWaitFraction: number;
}

interface Job {
  readonly priority: number;
  readonly begin: (runMilliseconds: number) => void;
  readonly end: (wasRun: boolean) => void;
}

interface SimulatedServer {
  readonly id: string;
  running: number;
  queue: Job[];
}

interface SimulatedHost {
  readonly index: number;
  readonly queue: AdmissionQueue;
  readonly outstanding: number[];
  readonly reports: ({ requests: number; at: number } | undefined)[];
  readonly avoidedUntil: number[];
  /** Last state that the others know, and sums of what the others have told. */
  told: { running: number[]; waiting: Record<string, number> };
  heard: { running: number[]; waiting: Record<string, number> };
}

const GOSSIP_MILLISECONDS = 200;
const MESSAGE_MILLISECONDS = 50;
const STEP_MILLISECONDS = 10;
const REJECTED_AVOID_MILLISECONDS = 50;
const WARM_UP_MILLISECONDS = 1000;
const MAX_SENDS = 5;
const SERVICE = 'llm';
/** Distance between the first holders of two models; it shares no factor with the number of servers. */
const MODEL_STEP = 5;

const RANDOM_FACTOR = 16_807;
const RANDOM_MODULUS = 2_147_483_647;

/** Creates a source of numbers that a seed determines (Lehmer generator). */
export function createSeededRandom(seed: number): () => number {
  let state = (seed % (RANDOM_MODULUS - 1)) + 1;
  const next = (): number => {
    state = (state * RANDOM_FACTOR) % RANDOM_MODULUS;
    return (state - 1) / (RANDOM_MODULUS - 1);
  };
  next();
  return next;
}

/** Runs a fleet until all of its requests are answered or refused. */
export async function runFleet(options: FleetOptions): Promise<FleetResult> {
  const { hosts: hostCount, servers: serverCount, slots, seed, parts = 1 } = options;
  const { usesQueue = true, serverQueue = Infinity, reportsLoad = true, milliseconds } = options;
  const random = createSeededRandom(seed);
  /** The requests of fleets with the same seed come at the same times, whatever the hosts decide. */
  const arrivals = options.classes.map((_kind, index) => createSeededRandom(seed + index + 1));
  const clock: ManualClock = createManualClock();
  const now = (): number => clock.monotonic();
  const outcomes: Outcome[] = [];
  const grants: { at: number; host: number; name: string }[] = [];
  const counters = { rejections: 0, used: 0, present: 0, samples: 0, most: 0, longest: 0 };
  const ids = Array.from({ length: serverCount }, (_none, index) => `s${index}`);
  const servers: SimulatedServer[] = ids.map((id) => ({ id, running: 0, queue: [] }));

  const isStopped = (): boolean =>
    options.stop !== undefined && now() >= options.stop[0] && now() < options.stop[1];

  const runMore = (server: SimulatedServer): void => {
    const changed = server;
    while (!isStopped() && server.running < slots && server.queue.length > 0) {
      const first = server.queue.reduce((best, job) => (job.priority < best.priority ? job : best));
      changed.queue = server.queue.filter((job) => job !== first);
      changed.running += 1;
      const [least, most] = options.runMilliseconds;
      const end = (): void => {
        // A stopped server ends its runs when it goes on.
        if (isStopped()) {
          clock.after(options.stop![1] - now() + 1, end);
          return;
        }
        changed.running -= 1;
        first.end(true);
        runMore(server);
      };
      const runMilliseconds = least + random() * (most - least);
      first.begin(runMilliseconds);
      clock.after(runMilliseconds, end);
    }
  };

  const submit = (server: SimulatedServer, job: Job): void => {
    if (server.running >= slots && server.queue.length >= serverQueue) {
      counters.rejections += 1;
      clock.after(1, () => job.end(false));
      return;
    }
    server.queue.push(job);
    runMore(server);
  };

  const partOf = (index: number): number => index % parts;

  /** Servers that hold a model; all if the name is empty. */
  const holdersOf = (model: string): readonly string[] => {
    if (model === '' || !options.models) return ids;
    const first = Number(model) * MODEL_STEP;
    return Array.from(
      { length: options.models.holders },
      (_none, index) => ids[(first + index) % serverCount]!,
    );
  };
  const drawModel = (draw: () => number): string =>
    options.models ? String(Math.floor(draw() ** 2 * options.models.count)) : '';

  const createHost = (index: number): SimulatedHost => {
    const heardHosts = Array.from({ length: hostCount }, (_none, other) => other).filter(
      (other) => partOf(other) === partOf(index),
    ).length;
    const host: SimulatedHost = {
      index,
      outstanding: ids.map(() => 0),
      reports: ids.map(() => undefined),
      avoidedUntil: ids.map(() => 0),
      told: { running: ids.map(() => 0), waiting: {} },
      heard: { running: ids.map(() => 0), waiting: {} },
      queue: createAdmissionQueue({
        clock,
        random,
        fleet: () => ({ hosts: hostCount, linkedFraction: heardHosts / hostCount }),
        waitingElsewhere: () => host.heard.waiting,
        listServers: ({ model }) => holdersOf(model),
      }),
    };
    return host;
  };
  const hosts = Array.from({ length: hostCount }, (_none, index) => createHost(index));

  const exchange = (host: SimulatedHost): void => {
    const told = { running: [...host.outstanding], waiting: { ...host.queue.waiting() } };
    clock.after(MESSAGE_MILLISECONDS, () => {
      Object.assign(host, { told });
      const running = ids.map(() => 0);
      const waiting: Record<string, number> = {};
      hosts.forEach((other) => {
        if (other === host || partOf(other.index) !== partOf(host.index)) return;
        other.told.running.forEach((count, server) => {
          running[server]! += count;
        });
        Object.entries(other.told.waiting).forEach(([key, count]) => {
          waiting[key] = (waiting[key] ?? 0) + count;
        });
      });
      clock.after(MESSAGE_MILLISECONDS, () => Object.assign(host, { heard: { running, waiting } }));
    });
    clock.after(GOSSIP_MILLISECONDS, () => exchange(host));
  };
  hosts.forEach((host) => clock.after(random() * GOSSIP_MILLISECONDS, () => exchange(host)));

  const describeServers = (host: SimulatedHost, model: string): readonly ServerView[] =>
    holdersOf(model).map((id) => {
      const index = ids.indexOf(id);
      const report = host.reports[index];
      return {
        id,
        slots,
        outstanding: host.outstanding[index]!,
        requestsFromOtherHosts: host.heard.running[index]!,
        report: report && { requests: report.requests, ageMilliseconds: now() - report.at },
        isAvoided: host.avoidedUntil[index]! > now(),
        isBrittle: false,
      };
    });

  const selectLeast = (host: SimulatedHost, model: string, isAllowed: (id: string) => boolean) => {
    const loadOf = (index: number): number =>
      host.outstanding[index]! + host.heard.running[index]! + random();
    const allowed = holdersOf(model)
      .filter(isAllowed)
      .map((id) => ids.indexOf(id));
    const free = allowed.filter((index) => host.avoidedUntil[index]! <= now());
    // Two random ones are compared, so that hosts with the same knowledge do not select the same one.
    const [least] = (free.length > 0 ? free : allowed)
      .map((index) => ({ index, order: random() }))
      .sort((a, b) => a.order - b.order)
      .slice(0, 2)
      .map(({ index }) => index)
      .sort((a, b) => loadOf(a) - loadOf(b));
    return least === undefined ? undefined : ids[least];
  };

  const takePlace = async (host: SimulatedHost, request: PlaceRequest): Promise<Place> => {
    if (usesQueue) return host.queue.take(request);
    return {
      server: selectLeast(host, request.model, () => true),
      waitedMilliseconds: 0,
      release: () => {},
    };
  };

  const send = (
    host: SimulatedHost,
    place: Place,
    priority: number,
    begin: Job['begin'],
  ): Promise<boolean> =>
    new Promise((resolve) => {
      const index = ids.indexOf(place.server!);
      const changed = host;
      changed.outstanding[index]! += 1;
      const server = servers[index]!;
      submit(server, {
        priority,
        begin,
        end: (wasRun) => {
          changed.outstanding[index]! -= 1;
          if (reportsLoad)
            changed.reports[index] = { requests: server.running + server.queue.length, at: now() };
          if (!wasRun) changed.avoidedUntil[index] = now() + REJECTED_AVOID_MILLISECONDS;
          place.release(wasRun);
          resolve(wasRun);
        },
      });
    });

  const serve = async (host: SimulatedHost, kind: RequestClass, model: string): Promise<void> => {
    const arrivedAt = now();
    const { name, workspace = name, priority, objectiveMilliseconds, timeoutMilliseconds } = kind;
    let sentAt: number | undefined;
    let answeredAt: number | undefined;
    let refusals = 0;
    let firstByteAt: number | undefined;
    const begin = (runMilliseconds: number): void => {
      firstByteAt = now() + runMilliseconds / 2;
    };
    const attempt = async (at: SimulatedHost): Promise<boolean> => {
      for (let sends = 0; sends < MAX_SENDS; sends += 1) {
        const remainingMilliseconds = arrivedAt + timeoutMilliseconds - now();
        if (remainingMilliseconds <= 0) return true;
        // eslint-disable-next-line no-await-in-loop -- each send follows the rejection of the one before
        const place = await takePlace(at, {
          service: SERVICE,
          model,
          workspace,
          weight: 1,
          priority,
          expectedTokens: 1,
          objectiveMilliseconds,
          remainingMilliseconds,
          signal: new AbortController().signal,
          listServers: () => describeServers(at, model),
          select: (isAllowed) => selectLeast(at, model, isAllowed),
        });
        counters.longest = Math.max(
          counters.longest,
          place.waitedMilliseconds / remainingMilliseconds,
        );
        sentAt = now();
        grants.push({ at: now(), host: at.index, name });
        // eslint-disable-next-line no-await-in-loop -- each send follows the rejection of the one before
        if (await send(at, place, priority, begin)) return true;
      }
      return false;
    };
    for (let tries = 0; tries < 2; tries += 1) {
      try {
        // eslint-disable-next-line no-await-in-loop -- the caller returns after the refusal
        if (await attempt(tries === 0 ? host : hosts[Math.floor(random() * hostCount)]!)) {
          answeredAt = now();
          break;
        }
        refusals += 1;
      } catch (error) {
        if (!isRefusal(error)) throw error;
        refusals += 1;
        sentAt = undefined;
        const left = arrivedAt + timeoutMilliseconds - now();
        const retryAfter = (error.refusal.retryAfterSeconds ?? 0) * 1000;
        // eslint-disable-next-line no-await-in-loop -- the caller returns after the refusal
        if (tries === 0) await clock.delay(Math.min(retryAfter, left / 3));
      }
    }
    unfinished.count -= 1;
    outcomes.push({
      name,
      workspace,
      arrivedAt,
      sentAt,
      firstByteAt,
      answeredAt,
      refusals,
      objectiveMilliseconds,
      timeoutMilliseconds,
    });
  };

  const tasks: Promise<void>[] = [];
  const unfinished = { count: 0 };
  options.classes.forEach((kind, index) => {
    const draw = arrivals[index]!;
    const arrive = (): void => {
      if (now() >= Math.min(milliseconds, kind.to ?? Infinity)) return;
      unfinished.count += 1;
      tasks.push(
        serve(hosts[Math.floor(draw() * (kind.hosts ?? hostCount))]!, kind, drawModel(draw)),
      );
      clock.after((-Math.log(1 - draw()) * 1000) / kind.perSecond, arrive);
    };
    clock.after(Math.max(kind.from ?? 0, draw()), arrive);
  });
  if (options.stop) clock.after(options.stop[1] + 1, () => servers.forEach(runMore));

  const sample = (): void => {
    if (now() < WARM_UP_MILLISECONDS || now() > milliseconds) return;
    servers.forEach(({ running, queue }) => {
      counters.samples += 1;
      counters.used += running / slots;
      counters.present += running + queue.length;
      counters.most = Math.max(counters.most, running + queue.length);
    });
  };
  while (now() < milliseconds || unfinished.count > 0) {
    // eslint-disable-next-line no-await-in-loop -- time advances in steps
    await clock.advance(STEP_MILLISECONDS);
    sample();
  }
  await Promise.all(tasks);
  return {
    outcomes,
    rejections: counters.rejections,
    utilization: counters.used / counters.samples,
    meanAtServer: counters.present / counters.samples,
    mostAtServer: counters.most,
    grants,
    waitingAtEnd: hosts.reduce((sum, { queue }) => sum + queue.countWaiting(), 0),
    heldAtEnd: hosts.reduce((sum, { queue }) => sum + queue.countHeld(), 0),
    longestWaitFraction: counters.longest,
  };
}

/** Shares of the requests of one class, by what became of them. */
export interface ClassSummary {
  readonly requests: number;
  /** Answered within the objective. */
  readonly inTime: number;
  /** Answered within the timeout. */
  readonly answered: number;
  /** Refused, and not served when they came back. */
  readonly refused: number;
  readonly refusedTwice: number;
  readonly meanMilliseconds: number;
}

/** Summarizes the outcomes of a class, of those that arrived in an interval. */
export function summarize(
  { outcomes }: Pick<FleetResult, 'outcomes'>,
  name: string,
  from = 0,
  to = Infinity,
): ClassSummary {
  const own = outcomes.filter(
    (outcome) => outcome.name === name && outcome.arrivedAt >= from && outcome.arrivedAt < to,
  );
  const tookMilliseconds = ({ answeredAt, arrivedAt }: Outcome): number =>
    (answeredAt ?? Infinity) - arrivedAt;
  const shareOf = (matches: (outcome: Outcome) => boolean): number =>
    own.filter(matches).length / Math.max(1, own.length);
  const answered = own.filter((outcome) => tookMilliseconds(outcome) < Infinity);
  return {
    requests: own.length,
    inTime: shareOf(
      ({ firstByteAt = Infinity, arrivedAt, objectiveMilliseconds }) =>
        firstByteAt - arrivedAt <= objectiveMilliseconds,
    ),
    answered: shareOf((outcome) => tookMilliseconds(outcome) <= outcome.timeoutMilliseconds),
    refused: shareOf(({ answeredAt }) => answeredAt === undefined),
    refusedTwice: shareOf(({ refusals }) => refusals > 1),
    meanMilliseconds:
      answered.reduce((sum, outcome) => sum + tookMilliseconds(outcome), 0) /
      Math.max(1, answered.length),
  };
}
