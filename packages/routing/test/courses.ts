/** Plays requests on servers that crash under one prompt part, at hosts whose messages are delayed. */
import { createManualClock, startMonotonicStopwatch, type Stopwatch } from '@bulrushspar/clock';
import {
  createPromptPartTracker,
  type PromptPartTracker,
  type PromptPartUpdate,
  type ServerProcess,
} from '@bulrushspar/routing';

/** What is played. */
export interface CourseOptions {
  readonly seed: number;
  readonly hosts: number;
  readonly requestsPerSecond: number;
  /** Fraction of the requests that hold the part on which servers crash. */
  readonly culpritFraction: number;
  /** Whether the part is the first of its requests. */
  readonly isFirstPart: boolean;
}

/** What was seen. */
export interface CourseResult {
  readonly crashes: number;
  /** Crashes under requests that were sent later than 3 s after the fifth crash. */
  readonly lateCrashes: number;
  /** Sound requests after the first crash, and how many of them were blocked at their first send. */
  readonly sound: number;
  readonly soundBlocked: number;
}

interface RunningRequest {
  readonly host: number;
  readonly parts: readonly string[];
  readonly server: ServerProcess;
  readonly sentAt: number;
  readonly sinceBegun: Stopwatch;
  readonly endsAt: number;
  readonly sends: number;
}

const STEP_MILLISECONDS = 20;
const DURATION_MILLISECONDS = 30_000;
const SERVERS = 12;
/** Time after which a server begins its answer. */
const ANSWER_MILLISECONDS = 40;
const CULPRIT = 'culprit';
/** Time after which a server crashes under a request that holds the part. */
const CRASH_MILLISECONDS = 60;
const RESTART_MILLISECONDS = 3000;
const CONTACT_MILLISECONDS = 3000;
const MAX_MESSAGE_MILLISECONDS = 400;
const MAX_CONFIRMATION_MILLISECONDS = 600;
const MAX_RUN_MILLISECONDS = 3000;

/** Creates a generator of numbers from 0 up to 1 (mulberry32). */
function createRandom(seed: number): () => number {
  let state = seed;
  /* eslint-disable no-bitwise -- the generator is defined on 32-bit integers */
  return () => {
    state += 0x6d2b79f5;
    state |= 0;
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  };
  /* eslint-enable no-bitwise */
}

/** Plays one course. */
export async function playCourse(options: CourseOptions): Promise<CourseResult> {
  const clock = createManualClock();
  const random = createRandom(options.seed);
  const pick = (count: number): number => Math.floor(random() * count);
  const hosts: PromptPartTracker[] = [];
  const broadcast = (from: number) => (update: PromptPartUpdate) =>
    hosts.forEach((host, index) => {
      if (index === from) return;
      const sent = startMonotonicStopwatch(clock);
      clock.after(random() * MAX_MESSAGE_MILLISECONDS, () =>
        host.applyUpdate({ ...update, age: update.age + sent() }),
      );
    });
  for (let index = 0; index < options.hosts; index += 1)
    hosts.push(createPromptPartTracker({ clock, onUpdate: broadcast(index) }));
  const processes = Array.from({ length: SERVERS }, (_none, index) => ({
    id: `s${index}`,
    born: 1,
    upAt: 0,
  }));
  let running: RunningRequest[] = [];
  const crashTimes: number[] = [];
  let lateCrashes = 0;
  let sound = 0;
  let soundBlocked = 0;

  const send = (host: number, parts: readonly string[], sends: number): void => {
    const isSound = !parts.includes(CULPRIT);
    const isBlocked = hosts[host]!.findBlocked(parts, sends > 0 ? 2 : undefined) !== undefined;
    if (isSound && sends === 0 && crashTimes.length > 0) {
      sound += 1;
      if (isBlocked) soundBlocked += 1;
    }
    const now = clock.monotonic();
    const up = processes.filter(({ upAt }) => upAt <= now);
    if (isBlocked || up.length === 0) return;
    const { id, born } = up[pick(up.length)]!;
    clock.after(ANSWER_MILLISECONDS, () => hosts[host]!.recordAnswer());
    running.push({
      host,
      parts,
      server: { id, born },
      sentAt: now,
      sinceBegun: startMonotonicStopwatch(clock),
      endsAt: now + (isSound ? 100 + random() * MAX_RUN_MILLISECONDS : CRASH_MILLISECONDS),
      sends: sends + 1,
    });
  };

  const createParts = (): string[] => {
    const shared = [`first${pick(2)}`, `second${pick(8)}`, `third${pick(40)}`];
    if (random() >= options.culpritFraction) return shared;
    return options.isFirstPart ? [CULPRIT, ...shared] : [shared[0]!, CULPRIT, shared[2]!];
  };

  const crash = ({ server, sentAt }: RunningRequest): void => {
    const now = clock.monotonic();
    const [fifth = Infinity] = crashTimes.slice(4);
    if (sentAt > fifth + CONTACT_MILLISECONDS) lateCrashes += 1;
    crashTimes.push(now);
    const process = processes.find(({ id }) => id === server.id)!;
    Object.assign(process, { born: process.born + 1, upAt: now + RESTART_MILLISECONDS });
    const lost = running.filter((other) => other.server.id === server.id);
    running = running.filter((other) => other.server.id !== server.id);
    lost.forEach(({ host, parts }) => hosts[host]!.recordLoss(server, parts));
    new Set(lost.map(({ host }) => host)).forEach((host) =>
      clock.after(random() * MAX_CONFIRMATION_MILLISECONDS, () =>
        hosts[host]!.recordUnreachable(server),
      ),
    );
    lost
      .filter(({ sends }) => sends < 2)
      .forEach(({ host, parts, sends }) => send(host, parts, sends));
  };

  const end = (request: RunningRequest): void => {
    // An earlier crash of this step may have ended it.
    if (!running.includes(request)) return;
    if (request.parts.includes(CULPRIT)) {
      crash(request);
      return;
    }
    running = running.filter((other) => other !== request);
    hosts[request.host]!.recordServed(request.parts, request.sinceBegun);
  };

  while (clock.monotonic() < DURATION_MILLISECONDS) {
    // eslint-disable-next-line no-await-in-loop -- the steps follow each other
    await clock.advance(STEP_MILLISECONDS);
    const now = clock.monotonic();
    const expected = (options.requestsPerSecond * STEP_MILLISECONDS) / 1000;
    const arrivals = Math.floor(expected) + (random() < expected % 1 ? 1 : 0);
    for (let count = 0; count < arrivals; count += 1) send(pick(hosts.length), createParts(), 0);
    running.filter(({ endsAt }) => endsAt <= now).forEach(end);
  }
  return { crashes: crashTimes.length, lateCrashes, sound, soundBlocked };
}
