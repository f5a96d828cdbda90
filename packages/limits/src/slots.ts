import { createHash, randomUUID } from 'node:crypto';
import { startSlowStopwatch, startStopwatch, type Clock, type Stopwatch } from '@bulrushspar/clock';
import {
  HOST_STATE,
  isSameIncarnation,
  SETTLED,
  settleWrite,
  type HostList,
  type Incarnation,
  type ListedHost,
  type ObjectStore,
  type Version,
} from '@bulrushspar/store';
import {
  SLOT_COUNT,
  SLOT_KIND,
  viewSlots,
  type Credit,
  type SlotRecord,
  type SlotView,
} from './slot.js';

/** Holds this host's part of the fixed slots into which all credit is divided. */
export interface SlotKeeper {
  /** Part of every workspace's rate and burst that this host holds, from 0 to 1. */
  share(): number;
  /** Tells whether the slots are certainly still held. */
  usable(): boolean;
  /** Looks at the slots without waiting for the next turn. */
  wake(): void;
  /** Reads and mends the slots until the signal. */
  run(signal: AbortSignal): Promise<void>;
  /** Gives all slots back. */
  release(): Promise<void>;
}

/** Options of {@link createSlotKeeper}. */
export interface SlotKeeperOptions {
  readonly store: ObjectStore;
  readonly hostList: HostList;
  readonly clock: Clock;
  readonly self: Incarnation;
  /** Called after the share has changed. */
  readonly onShare?: () => void;
  /** Bursts of the workspaces that exist now. */
  readonly bursts?: () => Credit;
  /** Called with credit that comes with a slot. */
  readonly onCredit?: (credit: Credit) => void;
  /** Takes this part of all credit out of use. */
  readonly takeCredit?: (fraction: number) => Credit;
  /** Called when a slot was taken from a host that is gone. */
  readonly onTakeover?: (slot: string, former: Incarnation) => void;
  /** Tells that nobody can reach the store, so that no slot can change hands. */
  readonly storeDownForAll?: () => boolean;
  /** Tells that this host is linked with most of the fleet. */
  readonly linkedWithMajority?: () => boolean;
  /** Time between looks at the slots, in milliseconds. */
  readonly lookMilliseconds?: number;
}

/** Time for which a look at the store proves that slots are held. */
export const SLOT_PROOF_MILLISECONDS = 5000;
/** Time for which a contender waits for an objection; longer than any proof lasts. */
export const SLOT_CONTEST_MILLISECONDS = 12_000;

const SETTLE_MILLISECONDS = 3000;
const SOON_MILLISECONDS = 100;

interface Sighting {
  readonly version: Version;
  readonly since: Stopwatch;
}

/** Creates the keeper of one host; it holds nothing until it runs. */
export function createSlotKeeper(options: SlotKeeperOptions): SlotKeeper {
  const { store, hostList, clock, self, onShare = () => {}, onTakeover = () => {} } = options;
  const { bursts = (): Credit => ({}), onCredit = () => {}, takeCredit = () => ({}) } = options;
  const { storeDownForAll = () => false, linkedWithMajority = () => true } = options;
  const { lookMilliseconds = 2000 } = options;
  const held = new Set<string>();
  /** Slots that are being given back, with the credit that goes with them. */
  const givenBack = new Map<string, Credit>();
  const contests = new Map<string, Stopwatch>();
  const rivals = new Map<string, Sighting>();
  let sinceProof: Stopwatch | undefined;
  let stopped = false;
  let unsettled = false;
  let turn = new AbortController();

  const isSelf = (holder: Incarnation | undefined): boolean => isSameIncarnation(holder, self);

  /** Writes a slot; its list of issued workspaces only ever grows. */
  const write = async (
    slot: SlotView,
    record: Partial<Omit<SlotRecord, 'token'>>,
  ): Promise<Version | undefined> => {
    const value = { issued: slot.record.issued, ...record, token: randomUUID() };
    const settled = await settleWrite<SlotRecord>({
      store,
      clock,
      key: { kind: SLOT_KIND, name: slot.name },
      value,
      expected: slot.version,
      isOurs: ({ token }) => token === value.token,
      withinMilliseconds: SETTLE_MILLISECONDS,
    });
    return settled.outcome === SETTLED.WRITTEN ? settled.version : undefined;
  };

  const setHeld = (names: readonly string[]): void => {
    const same = names.length === held.size && names.every((name) => held.has(name));
    if (same) return;
    // The credit that came in with a slot since it was lost belongs to its new holder.
    const lost = [...held].filter((name) => !names.includes(name)).length;
    if (lost > 0) takeCredit(lost / held.size);
    held.clear();
    names.forEach((name) => held.add(name));
    onShare();
  };

  const isGone = ({ host }: Incarnation, hosts: readonly ListedHost[]): boolean =>
    !hosts.some(({ name }) => name === host);

  /** Tells whether another contender was announced and may still finish. */
  const isContested = (slot: SlotView): boolean => {
    const { contender } = slot.record;
    if (contender === undefined || isSelf(contender)) return false;
    const seen = rivals.get(slot.name);
    if (seen?.version !== slot.version) {
      rivals.set(slot.name, { version: slot.version, since: startSlowStopwatch(clock) });
      return true;
    }
    return seen.since() < 2 * SLOT_CONTEST_MILLISECONDS;
  };

  /** Announces a takeover, or finishes one to which the holder had time to object. */
  const contend = async (slot: SlotView): Promise<boolean> => {
    const { holder, contender } = slot.record;
    if (isContested(slot)) return false;
    if (!isSelf(contender)) {
      contests.delete(slot.name);
      if (await write(slot, { holder, contender: self })) {
        contests.set(slot.name, startSlowStopwatch(clock));
      }
      return false;
    }
    const contest = contests.get(slot.name);
    if (!contest || contest() < SLOT_CONTEST_MILLISECONDS) return false;
    contests.delete(slot.name);
    if (!(await write(slot, { holder: self }))) return false;
    onTakeover(slot.name, holder!);
    return true;
  };

  const startHolding = (name: string, credit: Credit): void => {
    givenBack.delete(name);
    held.add(name);
    onShare();
    onCredit(credit);
  };

  /** First bursts of workspaces that are new to a slot. */
  const firstBursts = ({ record }: SlotView): Credit => {
    const fresh = Object.entries(bursts()).filter(([name]) => !record.issued.includes(name));
    return Object.fromEntries(fresh.map(([name, burst]) => [name, burst / SLOT_COUNT]));
  };

  /** Writes a slot as held by this host, together with the first bursts that come with it. */
  const hold = async (slot: SlotView, fresh: Credit): Promise<boolean> => {
    const issued = [...slot.record.issued, ...Object.keys(fresh)];
    return (await write(slot, { holder: self, issued })) !== undefined;
  };

  const claim = async (slot: SlotView, hosts: readonly ListedHost[]): Promise<void> => {
    const { holder, credit = {} } = slot.record;
    // A process that runs where the holder ran proves that the holder has ended.
    const vacant = holder === undefined || holder.host === self.host;
    if (vacant) {
      const fresh = firstBursts(slot);
      if (await hold(slot, fresh)) startHolding(slot.name, { ...credit, ...fresh });
    } else if (isGone(holder, hosts) && linkedWithMajority() && (await contend(slot))) {
      startHolding(slot.name, {});
    }
  };

  /** Gives workspaces that are new to a slot their first burst, after noting it in the store. */
  const issue = async (slot: SlotView): Promise<void> => {
    const fresh = firstBursts(slot);
    if (Object.keys(fresh).length === 0) return;
    if (await hold(slot, fresh)) onCredit(fresh);
  };

  /** Tells contenders that this holder lives. */
  const rejectContenders = async (slots: readonly SlotView[]): Promise<void> => {
    const contested = slots.filter(
      ({ record }) => isSelf(record.holder) && record.contender !== undefined,
    );
    await Promise.all(contested.map((slot) => write(slot, { holder: self })));
  };

  const giveBack = async (slot: SlotView): Promise<void> => {
    const credit = takeCredit(1 / held.size);
    givenBack.set(slot.name, credit);
    held.delete(slot.name);
    onShare();
    await write(slot, { credit });
  };

  const countOf = (slots: readonly SlotView[], host: string): number =>
    slots.filter(({ record }) => record.holder?.host === host).length;

  /** Each host begins at another slot, so that they seldom want the same one. */
  const inOwnOrder = (slots: readonly SlotView[]): readonly SlotView[] => {
    const rank = ({ name }: SlotView): string =>
      createHash('sha256').update(`${self.host}/${name}`).digest('hex');
    return [...slots].sort((a, b) => (rank(a) < rank(b) ? -1 : 1));
  };

  const rebalance = async (slots: readonly SlotView[], hosts: readonly ListedHost[]) => {
    const live = hosts.filter(({ state }) => state === HOST_STATE.LIVE);
    if (!live.some(({ name }) => name === self.host)) return;
    const least = Math.floor(SLOT_COUNT / live.length);
    const most = Math.ceil(SLOT_COUNT / live.length);
    const mine = slots.filter(({ name, record }) => isSelf(record.holder) && !givenBack.has(name));
    const open = slots.filter(
      ({ record: { holder } }) =>
        holder === undefined ||
        (holder.host === self.host && !isSelf(holder)) ||
        isGone(holder, hosts),
    );
    const wanted = inOwnOrder(open).slice(0, Math.max(0, most - mine.length));
    unsettled = wanted.some(({ record }) => record.holder === undefined);
    await Promise.all(wanted.map((slot) => claim(slot, hosts)));
    const starved = live.some(({ name }) => countOf(slots, name) < least);
    const surplus = mine.length > least ? mine[0] : undefined;
    if (open.length === 0 && starved && surplus) await giveBack(surplus);
  };

  const look = async (): Promise<void> => {
    const proof = startStopwatch(clock);
    const [list, hosts] = await Promise.all([store.list<SlotRecord>(SLOT_KIND), hostList.hosts()]);
    const slots = viewSlots(list.objects);
    const mine = slots.filter(({ record }) => isSelf(record.holder));
    setHeld(mine.map(({ name }) => name).filter((name) => !givenBack.has(name)));
    sinceProof = proof;
    await rejectContenders(slots);
    const kept = mine.filter(({ name, record }) => held.has(name) && !record.contender);
    await Promise.all(kept.map(issue));
    // A slot that is still ours was not given back: its credit was not left there either.
    const leaving = mine.filter(({ name }) => givenBack.has(name));
    await Promise.all(leaving.map((slot) => write(slot, { credit: givenBack.get(slot.name)! })));
    await rebalance(slots, hosts);
  };

  return {
    share: () => held.size / SLOT_COUNT,
    usable: () => {
      if (stopped || sinceProof === undefined) return false;
      return sinceProof() <= SLOT_PROOF_MILLISECONDS || storeDownForAll();
    },
    wake: () => turn.abort(),
    run: async (signal) => {
      while (!signal.aborted) {
        turn = new AbortController();
        // eslint-disable-next-line no-await-in-loop -- looks follow one another
        await look().catch(() => {});
        // eslint-disable-next-line no-await-in-loop -- looks follow one another
        await clock.delay(
          unsettled ? SOON_MILLISECONDS : lookMilliseconds,
          AbortSignal.any([signal, turn.signal]),
        );
      }
    },
    release: async () => {
      stopped = true;
      const credit = takeCredit(1 / held.size);
      const list = await store.list<SlotRecord>(SLOT_KIND);
      const mine = viewSlots(list.objects).filter(({ record }) => isSelf(record.holder));
      await Promise.all(mine.map((slot) => write(slot, held.has(slot.name) ? { credit } : {})));
    },
  };
}
