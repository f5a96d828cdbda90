/** Hosts that share a workspace's credit over one store, with faults of each host's surroundings. */
import { createClock, createManualClock, type Clock, type ManualClock } from '@bulrushspar/clock';
import {
  createGather,
  createLimits,
  createSlotKeeper,
  lend,
  type Lender,
  type Limits,
  type SlotKeeper,
} from '@bulrushspar/limits';
import type { ListedHost, ObjectStore } from '@bulrushspar/store';
import { createMemoryStore, type MemoryStore } from '@bulrushspar/standins';

/** Rate, burst and name of the workspace. */
export const RATE = 20;
/** Burst of the workspace. */
export const BURST = 1000;
const WORKSPACE = 'alpha';
const MESSAGE_MILLISECONDS = 2;
const OUTAGE_MILLISECONDS = 2500;

/** Tokens that were given to a request. */
export interface Given {
  /** Milliseconds since the start. */
  readonly at: number;
  readonly tokens: number;
}

/** What all hosts share. */
export interface CreditStage {
  readonly clock: ManualClock;
  readonly store: MemoryStore;
  readonly hosts: CreditHost[];
  listed: ListedHost[];
  storeAway: boolean;
  storeAwaySince: number;
  readonly given: Given[];
  refused: number;
}

/** One host and the faults that it meets. */
export interface CreditHost {
  readonly name: string;
  alive: boolean;
  paused: boolean;
  cutFromStore: boolean;
  cutFromPeers: boolean;
  losesMessages: boolean;
  losesAnswers: boolean;
  /** Its writes take effect when the fault ends. */
  writesLate: boolean;
  /** Milliseconds by which its wall clock is off. */
  offset: number;
  limits: Limits;
  slots: SlotKeeper;
  start(): void;
  /** Ends the process without a goodbye. */
  kill(): void;
  /** Stops as planned. */
  stop(): Promise<void>;
  pause(): void;
  resume(): void;
  /** Asks for tokens as a request does; `used` of them are used. */
  ask(tokens: number, used?: number): Promise<void>;
}

/** Creates the stage without hosts. */
export function createCreditStage(): CreditStage {
  return {
    clock: createManualClock(),
    store: createMemoryStore(),
    hosts: [],
    listed: [],
    storeAway: false,
    storeAwaySince: 0,
    given: [],
    refused: 0,
  };
}

interface Gate {
  readonly clock: Clock;
  /** Resolves at once, or when the host goes on. */
  pass(): Promise<void>;
  pause(): void;
  resume(): void;
}

/** A clock whose timers wait while the host is paused, though time goes on. */
function createGate(base: Clock, offset: () => number): Gate {
  let paused = false;
  const waiting: (() => void)[] = [];
  const whenRunning = (action: () => void): void => {
    if (paused) waiting.push(action);
    else action();
  };
  const timer = {
    now: () => base.monotonic(),
    setTimer: (action: () => void, milliseconds: number) =>
      base.after(milliseconds, () => whenRunning(action)),
    clearTimer: (cancel: () => void) => cancel(),
  };
  return {
    clock: createClock(timer, () => new Date(base.now().getTime() + offset())),
    pass: () =>
      new Promise((resolve) => {
        whenRunning(resolve);
      }),
    pause: () => {
      paused = true;
    },
    resume: () => {
      paused = false;
      waiting.splice(0).forEach((action) => action());
    },
  };
}

function createHostStore(stage: CreditStage, host: CreditHost, gate: Gate): ObjectStore {
  let calls = 0;
  const store = stage.store.withFaults(({ method }) => {
    calls += 1;
    if (host.writesLate && method === 'PUT') return 'late';
    if (stage.storeAway || host.cutFromStore) return 'request-lost';
    return host.losesAnswers && calls % 3 === 0 ? 'answer-lost' : undefined;
  });
  const gated =
    <Words extends unknown[], Answer>(call: (...words: Words) => Promise<Answer>) =>
    async (...words: Words): Promise<Answer> => {
      await stage.clock.delay(MESSAGE_MILLISECONDS);
      const answer = call(...words);
      answer.catch(() => {});
      await stage.clock.delay(MESSAGE_MILLISECONDS);
      await gate.pass();
      if (!host.alive) return new Promise(() => {});
      return answer;
    };
  return {
    ...store,
    list: gated(store.list) as ObjectStore['list'],
    read: gated(store.read) as ObjectStore['read'],
    write: gated(store.write),
  };
}

/** Creates a host; it does nothing until it is started. */
export function createCreditHost(stage: CreditStage, name: string): CreditHost {
  let gate = createGate(stage.clock, () => 0);
  let running = new AbortController();
  let incarnation = 0;
  let messages = 0;

  const reaches = (other: CreditHost): boolean =>
    other !== host && other.alive && !other.cutFromPeers && !host.cutFromPeers;

  const linkedWithMajority = (): boolean =>
    (stage.hosts.filter(reaches).length + 1) * 2 > stage.hosts.length;

  const storeDownForAll = (): boolean => {
    const long = stage.clock.monotonic() - stage.storeAwaySince > OUTAGE_MILLISECONDS;
    return stage.storeAway && long && linkedWithMajority();
  };

  const isLost = (other: CreditHost): boolean => {
    messages += 1;
    return !reaches(other) || ((host.losesMessages || other.losesMessages) && messages % 2 === 0);
  };

  const createLender = (other: CreditHost): Lender => ({
    ask: async (workspace, tokens, milliseconds) => {
      const { clock } = gate;
      await clock.delay(MESSAGE_MILLISECONDS);
      const loan = isLost(other) ? undefined : lend(other.limits.bucket(workspace), tokens);
      await clock.delay(MESSAGE_MILLISECONDS);
      await gate.pass();
      if (loan && !isLost(other)) return loan;
      await clock.delay(milliseconds);
      throw new Error('no answer');
    },
    settle: (workspace, id, use) => {
      if (!isLost(other)) other.limits.bucket(workspace)?.settle(id, use);
    },
    giveBack: (workspace, id, unused) => {
      if (!isLost(other)) other.limits.bucket(workspace)?.takeBack(id, unused);
    },
  });

  const host: CreditHost = {
    name,
    alive: false,
    paused: false,
    cutFromStore: false,
    cutFromPeers: false,
    losesMessages: false,
    losesAnswers: false,
    writesLate: false,
    offset: 0,
    limits: undefined as unknown as Limits,
    slots: undefined as unknown as SlotKeeper,
    start: () => {
      incarnation += 1;
      gate = createGate(stage.clock, () => host.offset);
      running = new AbortController();
      const { clock } = gate;
      const { signal } = running;
      const slots = createSlotKeeper({
        store: createHostStore(stage, host, gate),
        hostList: {
          hosts: async () => {
            await stage.clock.delay(MESSAGE_MILLISECONDS);
            return stage.listed;
          },
        },
        clock,
        self: { host: name, incarnation: `${name}-${incarnation}` },
        onShare: () => limits.reshare(),
        bursts: () => ({ [WORKSPACE]: BURST }),
        onCredit: (credit) => limits.addCredit(credit),
        takeCredit: (fraction) => limits.takeCredit(fraction),
        storeDownForAll,
        linkedWithMajority,
      });
      const limits = createLimits({
        clock,
        share: slots.share,
        usable: slots.usable,
        gather: createGather({
          clock,
          lenders: () => stage.hosts.filter(reaches).map(createLender),
        }),
      });
      limits.update(new Map([[WORKSPACE, { rate: RATE, burst: BURST }]]));
      Object.assign(host, { slots, limits, alive: true, paused: false });
      slots.run(signal).catch(() => {});
    },
    kill: () => {
      host.alive = false;
      running.abort();
    },
    stop: async () => {
      running.abort();
      await stage.clock.delay(MESSAGE_MILLISECONDS * 4);
      await host.slots.release();
      host.alive = false;
    },
    pause: () => {
      host.paused = true;
      gate.pause();
    },
    resume: () => {
      host.paused = false;
      gate.resume();
    },
    ask: async (tokens, used = tokens) => {
      if (!host.alive) return;
      await gate.pass();
      const { limits } = host;
      const admission = await limits.admit(WORKSPACE, tokens).catch(() => undefined);
      if (!host.alive || host.limits !== limits) return;
      if (!admission) {
        Object.assign(stage, { refused: stage.refused + 1 });
        return;
      }
      stage.given.push({ at: stage.clock.monotonic(), tokens: used });
      await gate.clock.delay(20);
      admission.settle(used);
    },
  };
  return host;
}

/** Adds hosts to a stage and starts them. */
export function addHosts(stage: CreditStage, names: readonly string[]): void {
  names.forEach((name) => {
    stage.hosts.push(createCreditHost(stage, name));
    stage.listed.push({ name, failureDomain: 'north', address: '', port: 0, state: 'live' });
  });
  stage.hosts.filter(({ name }) => names.includes(name)).forEach((host) => host.start());
}

/** Most tokens by which any stretch of the given record exceeds burst and rate. */
export function worstExcess(given: readonly Given[], stretchMilliseconds: number): number {
  let worst = Number.NEGATIVE_INFINITY;
  for (let first = 0; first < given.length; first += 1) {
    let sum = 0;
    for (let last = first; last < given.length; last += 1) {
      const took = given[last]!.at - given[first]!.at;
      if (took > stretchMilliseconds) break;
      sum += given[last]!.tokens;
      worst = Math.max(worst, sum - BURST - (RATE * took) / 1000);
    }
  }
  return worst;
}

/** Parts of the credit that hosts could use at this moment, together; never more than 1. */
export function usableShare({ hosts }: CreditStage): number {
  const usable = hosts.filter(({ alive, paused, slots }) => alive && !paused && slots.usable());
  return usable.reduce((sum, { slots }) => sum + slots.share(), 0);
}
