/** Hosts that share the few requests which cold servers accept. */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import type { ColdStart, ServerEntry } from '@bulrushspar/catalogue';
import { createManualClock, startMonotonicStopwatch, type ManualClock } from '@bulrushspar/clock';
import { createPromptPartTracker } from '@bulrushspar/routing';
import {
  createColdServers,
  createServerLimits,
  type Call,
  type ColdServers,
  type SendCall,
} from '@bulrushspar/serving';
import {
  createSendSchedule,
  type Reservation,
  type ReservationRequest,
  type SendSchedule,
} from '@bulrushspar/shares';
import { EXCHANGE_PROGRESS } from '@bulrushspar/targets';
import {
  advance,
  createAnswer,
  createCut,
  createReply,
  createServers,
  createTestHost,
  describeAnswer,
  type TestAnswer,
  type TestHost,
  type TestServer,
} from './crashing.js';

interface ColdTestServer extends TestServer {
  coldFrom: number;
  coldUntil: number;
  /** Whether its entry and its answers tell how long it stays cold. */
  tells: boolean;
  isListed: boolean;
  heartbeat: number;
  readonly receivedAt: number[];
}

interface ColdWorld {
  clock: ManualClock;
  coldStart: ColdStart | undefined;
  servers: ColdTestServer[];
  hosts: TestHost[];
  cold: ColdServers[];
  schedule: SendSchedule;
  /** How the scheduling host answers: a reservation, no answer, or no such host. */
  ask: (request: ReservationRequest) => Promise<Reservation>;
  answers: (TestAnswer & { readonly arrivedAt: number })[];
  arrivals: {
    readonly hosts: readonly TestHost[];
    readonly perSecond: number;
    readonly seconds: number;
  };
  entry: ServerEntry;
}

const COLD_START: ColdStart = { milliseconds: 3000, requestsPerSecond: 29 };
const MAX_PER_SECOND = 48;
const STEP_MILLISECONDS = 10;
const SECOND_MILLISECONDS = 1000;
const MESSAGE_MILLISECONDS = 10;
const LOST_MESSAGE_MILLISECONDS = 300;
const RUN_MILLISECONDS = 30;
const HEARTBEAT_MILLISECONDS = 1000;
const MIN_ENTRY_LAG_MILLISECONDS = 50;
const ENTRY_LAG_SPREAD_MILLISECONDS = 250;
/** Time for which a server is down that starts again; its former entry stays in the list. */
const DOWN_MILLISECONDS = 400;
/** Time in which hosts learn that a server is cold again that has been warm. */
const NOTICE_MILLISECONDS = 300;
const flow = { pause: () => {}, resume: () => {} };

const createEntry = (
  { id, born }: Pick<TestServer, 'id' | 'born'>,
  more: Partial<ServerEntry> = {},
): ServerEntry => ({
  id,
  service: 'llm',
  address: '127.0.0.1:1',
  failureDomain: 'd1',
  slots: 64,
  leaving: false,
  born,
  models: [],
  inMemory: [],
  onDisk: [],
  ...more,
});

/** Creates a generator of the numbers of a linear congruential sequence, from 0 to 1. */
function createRandom(): () => number {
  let state = 1;
  return () => {
    state = (state * 48_271) % 2_147_483_647;
    return state / 2_147_483_647;
  };
}

const coldLeft = ({ clock }: ColdWorld, { coldFrom, coldUntil }: ColdTestServer): number =>
  clock.monotonic() >= coldFrom ? Math.max(0, coldUntil - clock.monotonic()) : 0;

const createSend =
  (world: ColdWorld): SendCall<Call> =>
  async (_call, { server }, sink) => {
    const { clock } = world;
    const receiver = world.servers.find(({ id }) => id === server.id)!;
    await clock.delay(MESSAGE_MILLISECONDS / 2);
    if (!receiver.isUp) throw createCut(EXCHANGE_PROGRESS.NOT_SENT);
    receiver.receivedAt.push(clock.monotonic());
    await clock.delay(RUN_MILLISECONDS);
    const left = coldLeft(world, receiver);
    sink.onHead(
      {
        status: 200,
        notRun: false,
        misdirected: false,
        signed: true,
        framed: true,
        headers: [],
        ...(left > 0 && receiver.tells
          ? { notice: { isLeaving: false, coldMilliseconds: left } }
          : {}),
      },
      flow,
    );
    sink.onData(Buffer.from('whole'));
  };

Given(
  /^(\d+) hosts and (\d+) servers of a service (with|without) cold starts$/,
  function create(this: ColdWorld, hostCount: string, serverCount: string, has: string) {
    const clock = createManualClock();
    const count = Number(hostCount);
    const servers = createServers(Number(serverCount)).map((server) => ({
      ...server,
      coldFrom: -1,
      coldUntil: -1,
      tells: true,
      isListed: true,
      heartbeat: 1,
      receivedAt: [],
    }));
    const schedule = createSendSchedule({ clock });
    Object.assign(this, { clock, servers, schedule, hosts: [], cold: [], answers: [] });
    Object.assign(this, { coldStart: has === 'with' ? COLD_START : undefined });
    const promptParts = createPromptPartTracker({ clock });
    const send = createSend(this);
    const random = createRandom();
    for (let index = 0; index < count; index += 1) {
      const cold = createColdServers({
        clock,
        coldStartOf: () => this.coldStart,
        onUpdate: (update) =>
          clock.after(2 * MESSAGE_MILLISECONDS, () =>
            this.cold.forEach((other) => other.applyUpdate(update)),
          ),
      });
      const limits = createServerLimits({
        clock,
        cold,
        // Golden-ratio steps spread the hosts evenly.
        random: () => ((index + 1) * 0.618) % 1,
        countHosts: () => count,
        requestReservation: (request) => this.ask(request),
      });
      this.cold.push(cold);
      const route = {
        kind: 'once',
        attempts: 1,
        resumable: false,
        objectiveMilliseconds: 500,
      } as const;
      this.hosts.push(createTestHost({ clock, servers, promptParts, limits, send, route, random }));
    }
  },
);

const grant = async (world: ColdWorld, request: ReservationRequest): Promise<Reservation> => {
  await world.clock.delay(MESSAGE_MILLISECONDS);
  const reservation = world.schedule.reserve(request);
  await world.clock.delay(MESSAGE_MILLISECONDS);
  return reservation;
};

const loseAnswer = async ({ clock }: ColdWorld): Promise<never> => {
  await clock.delay(LOST_MESSAGE_MILLISECONDS);
  throw new Error('the host that schedules requests does not answer');
};

const SCHEDULING: Readonly<Record<string, (world: ColdWorld) => ColdWorld['ask']>> = {
  'is running': (world) => (request) => grant(world, request),
  'is missing': () => () => Promise.reject(new Error('no host schedules requests')),
  'does not answer': (world) => () => loseAnswer(world),
  'does not answer from 3 s on': (world) => (request) =>
    world.clock.monotonic() > 3 * SECOND_MILLISECONDS ? loseAnswer(world) : grant(world, request),
  'does not answer for 3.2 s': (world) => (request) =>
    world.clock.monotonic() < 3.2 * SECOND_MILLISECONDS ? loseAnswer(world) : grant(world, request),
  'is another one after each 1 s': (world) => {
    const { clock } = world;
    const change = (): void => {
      Object.assign(world, { schedule: createSendSchedule({ clock }) });
      clock.after(SECOND_MILLISECONDS, change);
    };
    clock.after(SECOND_MILLISECONDS, change);
    return (request) => grant(world, request);
  },
};

When(
  /^(all hosts|one host) get (\d+) requests a second for (\d+) s, while the scheduling host (.+)$/,
  function plan(
    this: ColdWorld,
    where: string,
    perSecond: string,
    seconds: string,
    scheduling: string,
  ) {
    this.ask = SCHEDULING[scheduling]!(this);
    const hosts = where === 'one host' ? this.hosts.slice(-1) : this.hosts;
    this.arrivals = { hosts, perSecond: Number(perSecond), seconds: Number(seconds) };
  },
);

/** Writes the entry of each server; hosts read the list some time later. */
function publish(world: ColdWorld): void {
  const { clock, servers, cold, hosts } = world;
  const listed = servers.filter(({ isListed }) => isListed);
  const view = new Map(
    listed.map((server) => {
      const { id, heartbeat, tells } = server;
      const coldMilliseconds = tells ? coldLeft(world, server) : undefined;
      return [id, createEntry(server, { heartbeat, coldMilliseconds })];
    }),
  );
  hosts.forEach((host, index) => {
    const lag = MIN_ENTRY_LAG_MILLISECONDS + ((index * 0.618) % 1) * ENTRY_LAG_SPREAD_MILLISECONDS;
    clock.after(lag, () => {
      cold[index]!.updateServers(view);
      host.updateServers();
    });
  });
}

function startServer(world: ColdWorld, server: ColdTestServer): void {
  const now = world.clock.monotonic();
  const coldUntil = now + COLD_START.milliseconds;
  Object.assign(server, { born: server.born + 1, isListed: true, isUp: true });
  Object.assign(server, { coldFrom: now, coldUntil });
}

async function play(world: ColdWorld, events: readonly [number, () => void][]): Promise<void> {
  const { clock, answers, arrivals } = world;
  const { hosts, perSecond, seconds } = arrivals;
  const first = new Map(world.servers.map((server) => [server.id, createEntry(server)]));
  world.cold.forEach((cold) => cold.updateServers(first));
  const endMilliseconds = seconds * SECOND_MILLISECONDS;
  let sent = 0;
  for (let at = 0; at < endMilliseconds + 2 * SECOND_MILLISECONDS; at += STEP_MILLISECONDS) {
    events.filter(([time]) => time === at).forEach(([, run]) => run());
    if (at % HEARTBEAT_MILLISECONDS === 0 || events.some(([time]) => time === at)) {
      world.servers.forEach((server) => Object.assign(server, { heartbeat: server.heartbeat + 1 }));
      publish(world);
    }
    while (at < endMilliseconds && (sent * SECOND_MILLISECONDS) / perSecond <= at) {
      const answer = { ...createAnswer(), arrivedAt: at };
      answers.push(answer);
      const id = `call-${sent}`;
      hosts[sent % hosts.length]!.handler(
        { id, host: 'example', path: '/r/1', fingerprint: () => id },
        createReply(answer),
      ).catch(assert.fail);
      sent += 1;
    }
    // eslint-disable-next-line no-await-in-loop -- each step starts after the previous one
    await advance(clock, STEP_MILLISECONDS);
  }
}

When(
  /^(the first server|all servers) (starts?|is cold again|starts again) after ([\d.]+) s( and tells nothing)?$/,
  { timeout: 60_000 },
  async function run(
    this: ColdWorld,
    which: string,
    what: string,
    seconds: string,
    how: string | null,
  ) {
    const { clock, servers } = this;
    const changed = which === 'all servers' ? servers : servers.slice(0, 1);
    const at = Number(seconds) * SECOND_MILLISECONDS;
    const events: [number, () => void][] = [];
    if (what === 'is cold again')
      events.push([
        at,
        () => {
          const now = clock.monotonic();
          const coldFrom = now;
          Object.assign(servers[0]!, { coldFrom, coldUntil: now + COLD_START.milliseconds });
          // The entry is written with the next heartbeat.
        },
      ]);
    else {
      changed.forEach((server) => Object.assign(server, { tells: how !== ' and tells nothing' }));
      if (what === 'starts again')
        events.push([at - DOWN_MILLISECONDS, () => Object.assign(servers[0]!, { isUp: false })]);
      else if (at > 0)
        events.push([
          0,
          () => changed.forEach((server) => Object.assign(server, { isListed: false })),
        ]);
      events.push([at, () => changed.forEach((server) => startServer(this, server))]);
    }
    await play(this, events);
  },
);

const coldArrivals = ({ servers }: ColdWorld): readonly number[] => {
  const { receivedAt, coldFrom, coldUntil, born } = servers[0]!;
  const from = born > 1 ? coldFrom : coldFrom + NOTICE_MILLISECONDS;
  return receivedAt.filter((at) => at >= from && at <= coldUntil);
};

Then(
  'the first server received at most {int} requests in any second in which it was cold',
  function check(this: ColdWorld, most: number) {
    assert.equal(most, MAX_PER_SECOND);
    const arrivals = coldArrivals(this);
    arrivals.forEach((end) => {
      const count = arrivals.filter((at) => at <= end && at > end - SECOND_MILLISECONDS).length;
      assert.ok(count <= most, `${count} requests in the second until ${end} ms`);
    });
  },
);

Then(
  'it received at least {int} requests while it was cold',
  function check(this: ColdWorld, least: number) {
    assert.ok(coldArrivals(this).length >= least, `${coldArrivals(this).length} requests`);
  },
);

Then('at least {int} of 100 requests are served', function check(this: ColdWorld, least: number) {
  const served = this.answers.filter((answer) => describeAnswer(answer) === 'the answer');
  const share = (100 * served.length) / this.answers.length;
  assert.ok(share >= least, `${share} of 100`);
});

Then(
  'all requests that came after {float} s are served',
  function check(this: ColdWorld, seconds: number) {
    const late = this.answers.filter(({ arrivedAt }) => arrivedAt > seconds * SECOND_MILLISECONDS);
    assert.ok(late.length > 100);
    const missed = late.filter((answer) => describeAnswer(answer) !== 'the answer');
    assert.deepEqual(missed, []);
  },
);

const OLD = createEntry({ id: 'old', born: 5 });

const parseCold = (text: string | undefined): number | undefined =>
  text === undefined || text === '' ? undefined : Number(/cold for (\S+)/.exec(text)![1]);

Given(
  /^a host that has read a list with the server "old"(.*)$/,
  function create(this: ColdWorld, listed: string) {
    const clock = createManualClock();
    const cold = createColdServers({ clock, coldStartOf: () => COLD_START });
    Object.assign(this, { clock, cold: [cold], entry: { ...OLD, heartbeat: 1 } });
    cold.updateServers(new Map([['old', { ...OLD, coldMilliseconds: parseCold(listed) }]]));
  },
);

/** Plays one event, such as "new is listed cold for 700" or "100 ms". */
async function playColdEvent(world: ColdWorld, event: string): Promise<void> {
  const { clock } = world;
  const [cold] = world.cold as [ColdServers];
  const [, id = '', what = '', more] = /^(\w+) (is listed|answers)(?: (.+))?$/.exec(event) ?? [];
  const born = id === 'new' ? 7 : OLD.born;
  const [, told, milliseconds] =
    /^another host tells that (\w+) is cold for (\d+)$/.exec(event) ?? [];
  if (told !== undefined)
    cold.applyUpdate({
      id: 'old',
      born: told === 'former' ? 4 : 5,
      coldMilliseconds: Number(milliseconds),
    });
  else if (what === 'answers')
    cold.recordAnswer({ id, born }, parseCold(more), startMonotonicStopwatch(clock));
  else if (what === 'is listed') {
    Object.assign(world, { entry: { ...world.entry, heartbeat: world.entry.heartbeat! + 1 } });
    const { heartbeat } = world.entry;
    const entry = createEntry({ id, born }, { heartbeat, coldMilliseconds: parseCold(more) });
    cold.updateServers(
      new Map([
        ['old', OLD],
        [id, entry],
      ]),
    );
  } else if (event === 'old leaves the list') cold.updateServers(new Map());
  else if (event === 'old starts anew') cold.updateServers(new Map([['old', { ...OLD, born: 6 }]]));
  else await clock.advance(parseInt(event, 10));
}

When(
  /^this happens to its view of cold servers: (.+)$/,
  async function change(this: ColdWorld, events: string) {
    for (const event of events.split(', ')) {
      // eslint-disable-next-line no-await-in-loop -- events follow one another
      await playColdEvent(this, event);
    }
  },
);

Then(
  /^the server "(\w+)" is (cold|not cold)$/,
  function check(this: ColdWorld, id: string, state: string) {
    assert.equal(
      this.cold[0]!.limitOf(id),
      state === 'cold' ? COLD_START.requestsPerSecond : undefined,
    );
  },
);
