/** Hosts that share the limits which servers name. */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { createManualClock, startMonotonicStopwatch, type ManualClock } from '@bulrushspar/clock';
import type { Outlook } from '@bulrushspar/loading';
import { createPromptPartTracker } from '@bulrushspar/routing';
import {
  createServerLimits,
  type Call,
  type LimitUpdate,
  type SendCall,
  type ServerLimits,
} from '@bulrushspar/serving';
import {
  createSendSchedule,
  type Reservation,
  type ReservationRequest,
  type SendSchedule,
} from '@bulrushspar/shares';
import {
  advance,
  createAnswer,
  createReply,
  createServers,
  createTestHost,
  describeAnswer,
  MODEL,
  type TestAnswer,
  type TestHost,
  type TestServer,
} from './crashing.js';

interface TimedAnswer extends TestAnswer {
  readonly arrivedAt: number;
  milliseconds: number;
}

interface LimitWorld {
  clock: ManualClock;
  servers: TestServer[];
  hosts: TestHost[];
  limits: ServerLimits[];
  schedule: SendSchedule;
  /** @returns whether a host schedules the requests of all hosts at this time */
  isScheduling: () => boolean;
  /** Limit that the first server names; undefined for none. */
  limit: number | undefined;
  /** When the first server received requests, and since when it has named its limit. */
  receivedAt: number[];
  namedAt: number | undefined;
  answers: TimedAnswer[];
  /** The first server rejects each second request, without naming its limit. */
  rejectsOften: boolean;
  /** What the leader reports on the model that requests need; undefined if they need none. */
  outlook: Outlook | undefined;
}

const MESSAGE_MILLISECONDS = 10;
const RUN_MILLISECONDS = 50;
const STEP_MILLISECONDS = 10;
const OUTLOOK_MILLISECONDS = 100;
const SECOND_MILLISECONDS = 1000;
const LOST_MESSAGE_MILLISECONDS = 300;
const WINDOW_MILLISECONDS = 4000;
const CONTACT_MILLISECONDS = 3000;
const flow = { pause: () => {}, resume: () => {} };
const NO_ROOM = ', beside one that has no room for more';
const ROUTE = {
  kind: 'once',
  attempts: 1,
  resumable: false,
  objectiveMilliseconds: 500,
  timeoutMilliseconds: 6000,
} as const;

const createSend =
  (world: LimitWorld): SendCall<Call> =>
  async (_call, { server }, sink) => {
    const { clock, servers } = world;
    const isLimited = server.id === servers[0]!.id;
    if (isLimited) world.receivedAt.push(clock.monotonic());
    await clock.delay(RUN_MILLISECONDS);
    const isRejected = isLimited && world.rejectsOften && world.receivedAt.length % 2 === 0;
    const limitPerSecond = isLimited && !isRejected ? world.limit : undefined;
    if (limitPerSecond !== undefined && world.namedAt === undefined)
      Object.assign(world, { namedAt: clock.monotonic() });
    sink.onHead(
      {
        status: isRejected ? 503 : 200,
        notRun: isRejected,
        misdirected: false,
        signed: true,
        framed: true,
        headers: [],
        namesLimit: limitPerSecond !== undefined,
        ...(limitPerSecond === undefined ? {} : { notice: { isLeaving: false, limitPerSecond } }),
      },
      flow,
    );
    sink.onData(Buffer.from('whole'));
  };

/** Asks the host that schedules the requests of all hosts. */
async function requestReservation(
  world: LimitWorld,
  request: ReservationRequest,
): Promise<Reservation> {
  const { clock } = world;
  if (!world.isScheduling()) {
    await clock.delay(LOST_MESSAGE_MILLISECONDS);
    throw new Error('the host that schedules requests does not answer');
  }
  await clock.delay(MESSAGE_MILLISECONDS);
  const reservation = world.schedule.reserve(request);
  await clock.delay(MESSAGE_MILLISECONDS);
  return reservation;
}

function createLimits(world: LimitWorld, index: number, hostCount: number): ServerLimits {
  const { clock, limits } = world;
  return createServerLimits({
    clock,
    random: () => index / hostCount,
    countHosts: () => hostCount,
    requestReservation: (request) => requestReservation(world, request),
    onUpdate: (update: LimitUpdate) =>
      clock.after(2 * MESSAGE_MILLISECONDS, () =>
        limits.forEach((other) =>
          other.applyUpdate({ ...update, age: update.age + 2 * MESSAGE_MILLISECONDS }),
        ),
      ),
  });
}

Given(
  /^(\d+) hosts and a server that names a limit of ([\d.]+) a second(, beside one without|, beside one that has no room for more)?$/,
  function create(this: LimitWorld, hostCount: string, limit: string, other: string | null) {
    const clock = createManualClock();
    const servers = createServers(other ? 2 : 1);
    const holdsModel = ({ id }: TestServer): boolean => other !== NO_ROOM || id === servers[0]!.id;
    const schedule = createSendSchedule({ clock });
    Object.assign(this, { clock, servers, schedule, hosts: [], limits: [], receivedAt: [] });
    Object.assign(this, { answers: [], limit: Number(limit), namedAt: undefined });
    Object.assign(this, { outlook: undefined, rejectsOften: false });
    const promptParts = createPromptPartTracker({ clock });
    const send = createSend(this);
    for (let index = 0; index < Number(hostCount); index += 1) {
      const limits = createLimits(this, index, Number(hostCount));
      this.limits.push(limits);
      this.hosts.push(
        createTestHost({
          clock,
          servers,
          promptParts,
          limits,
          send,
          route: ROUTE,
          isLoaded: holdsModel,
        }),
      );
    }
  },
);

Given(
  'the server rejects each second request without naming its limit',
  function reject(this: LimitWorld) {
    this.rejectsOften = true;
  },
);

Given(
  /^the leader (finds no server|reports that it is ready, as all servers have one) for its model$/,
  function report(this: LimitWorld, reports: string) {
    const readyMilliseconds = reports === 'finds no server' ? {} : { readyMilliseconds: 0 };
    this.outlook = { model: MODEL, ...readyMilliseconds };
  },
);

function arrive(world: LimitWorld, host: TestHost): void {
  const { clock, answers, outlook } = world;
  const answer = { ...createAnswer(), arrivedAt: clock.monotonic(), milliseconds: NaN };
  answers.push(answer);
  const call: Call = {
    id: `call-${answers.length}`,
    host: 'example',
    path: '/r/1',
    ...(outlook ? { requirements: { model: MODEL, promptParts: [] } } : {}),
    fingerprint: () => String(answers.length),
  };
  host
    .handler(call, createReply(answer))
    .then(() => Object.assign(answer, { milliseconds: clock.monotonic() - answer.arrivedAt }))
    .catch(assert.fail);
}

/** Sends requests to hosts at regular intervals, the hosts one after another. */
async function play(
  world: LimitWorld,
  hosts: readonly TestHost[],
  perSecond: number,
  seconds: number,
): Promise<void> {
  const { clock, outlook } = world;
  const intervalMilliseconds = SECOND_MILLISECONDS / (perSecond * hosts.length);
  let sent = 0;
  const endMilliseconds = seconds * SECOND_MILLISECONDS;
  const stopMilliseconds = endMilliseconds + ROUTE.timeoutMilliseconds;
  for (let at = 0; at < stopMilliseconds; at += STEP_MILLISECONDS) {
    while (at < endMilliseconds && sent * intervalMilliseconds <= at) {
      arrive(world, hosts[sent % hosts.length]!);
      sent += 1;
    }
    if (outlook && at % OUTLOOK_MILLISECONDS === 0)
      hosts.forEach(({ waits }) => waits.applyOutlook([outlook]));
    // eslint-disable-next-line no-await-in-loop -- each step starts after the previous one
    await advance(clock, STEP_MILLISECONDS);
  }
}

const SCHEDULING: Readonly<Record<string, (world: LimitWorld) => void>> = {
  'is running': (world) => Object.assign(world, { isScheduling: () => true }),
  'is missing': (world) => Object.assign(world, { isScheduling: () => false }),
  'is another one after each 4 s': (world) => {
    Object.assign(world, { isScheduling: () => true });
    const { clock } = world;
    const change = (): void => {
      Object.assign(world, { schedule: createSendSchedule({ clock }) });
      clock.after(4 * SECOND_MILLISECONDS, change);
    };
    change();
  },
  'is away for 1 s in each 4 s': (world) =>
    Object.assign(world, {
      isScheduling: () => world.clock.monotonic() % (4 * SECOND_MILLISECONDS) > SECOND_MILLISECONDS,
    }),
};

When(
  /^(each|one) host gets ([\d.]+) requests a second for (\d+) s, while the scheduling host (.+)$/,
  async function playRequests(
    this: LimitWorld,
    where: string,
    perSecond: string,
    seconds: string,
    scheduling: string,
  ) {
    SCHEDULING[scheduling]!(this);
    const hosts = where === 'one' ? this.hosts.slice(-1) : this.hosts;
    await play(this, hosts, Number(perSecond), Number(seconds));
  },
);

When('the server names no limit any more', function change(this: LimitWorld) {
  this.limit = undefined;
});

Then(
  'the server receives at most 1.5 times its limit and 5 requests in any 4 s',
  function check(this: LimitWorld) {
    const allowed = (1.5 * this.limit! * WINDOW_MILLISECONDS) / SECOND_MILLISECONDS + 5;
    const from = this.namedAt! + CONTACT_MILLISECONDS;
    this.receivedAt
      .filter((at) => at >= from)
      .forEach((end) => {
        const count = this.receivedAt.filter(
          (at) => at <= end && at > end - WINDOW_MILLISECONDS && at > this.namedAt! + 500,
        ).length;
        assert.ok(count <= allowed, `${count} requests in 4 s until ${end} ms`);
      });
  },
);

Then('it receives at least {int} requests', function check(this: LimitWorld, least: number) {
  assert.ok(this.receivedAt.length >= least, `${this.receivedAt.length} requests`);
});

Then(
  'each refused request was refused within {int} ms and told to come back within {int} ms',
  function check(this: LimitWorld, milliseconds: number, retryMilliseconds: number) {
    const refused = this.answers.filter(({ status }) => status === 503);
    assert.ok(refused.length > 0);
    refused.forEach((answer) => {
      assert.ok(answer.milliseconds <= milliseconds, `${answer.milliseconds} ms`);
      assert.ok(answer.retryAfter! > 0 && answer.retryAfter! <= retryMilliseconds);
    });
  },
);

Then('each request is served', function check(this: LimitWorld) {
  const missed = this.answers.filter((answer) => describeAnswer(answer) !== 'the answer');
  assert.deepEqual(missed, []);
});

const LIMITED = { id: 's0', born: 2 };

Given('a host that knows a limit', async function create(this: LimitWorld) {
  const clock = createManualClock();
  Object.assign(this, { clock, limits: [createServerLimits({ clock })] });
  await clock.advance(SECOND_MILLISECONDS);
  this.limits[0]!.recordNamed(LIMITED, 2);
  await clock.advance(SECOND_MILLISECONDS);
});

const EVENTS: Readonly<Record<string, (limits: ServerLimits, clock: ManualClock) => unknown>> = {
  'an answer without it arrives, to a request that was sent before it was named': (limits) =>
    limits.recordUnlimited(LIMITED, () => 1500),
  'an answer without it arrives, to a request that was sent after it was named': (limits, clock) =>
    limits.recordUnlimited(LIMITED, startMonotonicStopwatch(clock)),
  'another host tells that it ended before it was named': (limits) =>
    limits.applyUpdate({ ...LIMITED, age: 1500 }),
  'another host tells that it ended after it was named': (limits) =>
    limits.applyUpdate({ ...LIMITED, age: 500 }),
  'the server starts again under its id': (limits) =>
    limits.updateServers(new Map([[LIMITED.id, { ...ENTRY, born: LIMITED.born + 1 }]])),
  'another host tells of the limit of an earlier process': (limits) =>
    limits.applyUpdate({ id: LIMITED.id, born: 1, age: 0 }),
};

const ENTRY = {
  id: LIMITED.id,
  service: 'llm',
  address: '127.0.0.1:1',
  failureDomain: 'd1',
  slots: 8,
  leaving: false,
  models: [],
  inMemory: [],
  onDisk: [],
};

When(
  new RegExp(`^(${Object.keys(EVENTS).join('|')})$`),
  function runEvent(this: LimitWorld, what: string) {
    EVENTS[what]!(this.limits[0]!, this.clock);
  },
);

Then(/^the server (has a|has no) limit$/, function check(this: LimitWorld, has: string) {
  assert.equal(this.limits[0]!.limitOf(LIMITED.id) !== undefined, has === 'has a');
});
