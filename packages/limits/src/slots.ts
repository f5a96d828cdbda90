import { createHash, randomUUID } from 'node:crypto';
import {
  startMonotonicStopwatch,
  startStopwatch,
  type Clock,
  type Stopwatch,
} from '@bulrushspar/clock';
import {
  HOST_STATE,
  isSameIncarnation,
  RETRIED_WRITE_OUTCOME,
  writeWithRetry,
  type HostList,
  type Incarnation,
  type ListedHost,
  type ObjectStore,
  type Version,
} from '@bulrushspar/store';
import {
  buildSlotViews,
  SLOT_COUNT,
  SLOT_KIND,
  type Credit,
  type SlotRecord,
  type SlotView,
} from './slot.js';

/** Claims, holds and releases this host's part of the fixed slots into which all credit is divided. */
export interface SlotManager {
  /** Fraction of every workspace's rate and burst that this host holds, from 0 to 1. */
  share(): number;
  /** Tells whether this host certainly still holds its slots, so that their credit may be used. */
  isUsable(): boolean;
  /** Polls the slots without waiting for the next interval. */
  pollNow(): void;
  /** Polls and rebalances the slots until the signal is aborted. */
  run(signal: AbortSignal): Promise<void>;
  /** Releases all slots together with their credit; the credit is not usable from then on. */
  releaseAll(): Promise<void>;
}

/** Options of {@link createSlotManager}. */
export interface SlotManagerOptions {
  readonly store: ObjectStore;
  readonly hostList: HostList;
  readonly clock: Clock;
  readonly self: Incarnation;
  /** Called after the share has changed. */
  readonly onShareChanged?: () => void;
  /** Returns the bursts of the workspaces that exist now. */
  readonly getBursts?: () => Credit;
  /** Called with the credit that this host receives together with a slot. */
  readonly onCreditReceived?: (credit: Credit) => void;
  /** Withdraws this fraction of all credit from use and returns it. */
  readonly withdrawCredit?: (fraction: number) => Credit;
  /** Called after a slot was taken over from a host that is gone. */
  readonly onTakeover?: (slot: string, former: Incarnation) => void;
  /** Tells whether no host can reach the store, so that no slot can change its holder. */
  readonly storeDownForAll?: () => boolean;
  /** Tells whether this host is linked with the majority of the fleet. */
  readonly linkedWithMajority?: () => boolean;
  /** Interval at which the slots are read, in milliseconds. */
  readonly pollMilliseconds?: number;
}

/** Time for which a read of the store proves that this host holds its slots. */
export const SLOT_VALIDITY_MILLISECONDS = 5000;
/**
 * Time for which a contender waits for the holder's objection; longer than
 * {@link SLOT_VALIDITY_MILLISECONDS}, so that the holder's last proof has expired by then.
 */
export const SLOT_TAKEOVER_WAIT_MILLISECONDS = 12_000;

const WRITE_TIMEOUT_MILLISECONDS = 3000;
/** Poll interval while this host wants slots that are free. */
const FAST_POLL_MILLISECONDS = 100;

interface ObservedContender {
  readonly version: Version;
  readonly since: Stopwatch;
}

/** Creates the slot manager of one host; it holds no slots until it runs. */
export function createSlotManager(options: SlotManagerOptions): SlotManager {
  const {
    store,
    hostList,
    clock,
    self,
    onShareChanged = () => {},
    onTakeover = () => {},
  } = options;
  const {
    getBursts = (): Credit => ({}),
    onCreditReceived = () => {},
    withdrawCredit = () => ({}),
  } = options;
  const { storeDownForAll = () => false, linkedWithMajority = () => true } = options;
  const { pollMilliseconds = 2000 } = options;
  const held = new Set<string>();
  /** Credit that this host released with a slot, by slot; kept until it holds the slot again. */
  const releasedCredit = new Map<string, Credit>();
  const ownTakeovers = new Map<string, Stopwatch>();
  const observedContenders = new Map<string, ObservedContender>();
  let sinceLastRead: Stopwatch | undefined;
  let stopped = false;
  let wantsFreeSlots = false;
  let pollDelay = new AbortController();

  const isSelf = (holder: Incarnation | undefined): boolean => isSameIncarnation(holder, self);

  /** Writes a slot record; the list of issued workspaces is carried over, so it never shrinks. */
  const writeSlot = async (
    slot: SlotView,
    record: Partial<Omit<SlotRecord, 'token'>>,
  ): Promise<Version | undefined> => {
    const value = { issued: slot.record.issued, ...record, token: randomUUID() };
    const settled = await writeWithRetry<SlotRecord>({
      store,
      clock,
      key: { kind: SLOT_KIND, name: slot.name },
      value,
      expected: slot.version,
      isOwnWrite: ({ token }) => token === value.token,
      timeoutMilliseconds: WRITE_TIMEOUT_MILLISECONDS,
    });
    return settled.outcome === RETRIED_WRITE_OUTCOME.WRITTEN ? settled.version : undefined;
  };

  const setHeldSlots = (names: readonly string[]): void => {
    const unchanged = names.length === held.size && names.every((name) => held.has(name));
    if (unchanged) return;
    // The credit of a lost slot, with what was refilled since the loss, belongs to the new holder.
    const lostCount = [...held].filter((name) => !names.includes(name)).length;
    if (lostCount > 0) withdrawCredit(lostCount / held.size);
    held.clear();
    names.forEach((name) => held.add(name));
    onShareChanged();
  };

  const isUnlisted = ({ host }: Incarnation, hosts: readonly ListedHost[]): boolean =>
    !hosts.some(({ name }) => name === host);

  /**
   * Tells whether another host has announced a takeover that it may still finish. It is given
   * twice the takeover wait, counted from when this host first read that version of the record.
   */
  const hasOtherContender = (slot: SlotView): boolean => {
    const { contender } = slot.record;
    if (contender === undefined || isSelf(contender)) return false;
    const observed = observedContenders.get(slot.name);
    if (observed?.version !== slot.version) {
      observedContenders.set(slot.name, {
        version: slot.version,
        since: startMonotonicStopwatch(clock),
      });
      return true;
    }
    return observed.since() < 2 * SLOT_TAKEOVER_WAIT_MILLISECONDS;
  };

  /**
   * Announces a takeover, or finishes it once the holder has had time to object.
   * @returns whether the slot was taken over
   */
  const advanceTakeover = async (slot: SlotView): Promise<boolean> => {
    const { holder, contender } = slot.record;
    if (hasOtherContender(slot)) return false;
    if (!isSelf(contender)) {
      ownTakeovers.delete(slot.name);
      if (await writeSlot(slot, { holder, contender: self })) {
        ownTakeovers.set(slot.name, startMonotonicStopwatch(clock));
      }
      return false;
    }
    const sinceAnnouncement = ownTakeovers.get(slot.name);
    if (!sinceAnnouncement || sinceAnnouncement() < SLOT_TAKEOVER_WAIT_MILLISECONDS) return false;
    ownTakeovers.delete(slot.name);
    if (!(await writeSlot(slot, { holder: self }))) return false;
    onTakeover(slot.name, holder!);
    return true;
  };

  const startHolding = (name: string, credit: Credit): void => {
    releasedCredit.delete(name);
    held.add(name);
    onShareChanged();
    onCreditReceived(credit);
  };

  /** Returns this slot's part of the initial bursts of workspaces that it has not issued yet. */
  const computeUnissuedBursts = ({ record }: SlotView): Credit => {
    const unissued = Object.entries(getBursts()).filter(([name]) => !record.issued.includes(name));
    return Object.fromEntries(unissued.map(([name, burst]) => [name, burst / SLOT_COUNT]));
  };

  /**
   * Writes this host as the holder of a slot and marks the given initial bursts as issued.
   * @returns whether the write took effect
   */
  const writeHolder = async (slot: SlotView, initialBursts: Credit): Promise<boolean> => {
    const issued = [...slot.record.issued, ...Object.keys(initialBursts)];
    return (await writeSlot(slot, { holder: self, issued })) !== undefined;
  };

  const claimSlot = async (slot: SlotView, hosts: readonly ListedHost[]): Promise<void> => {
    const { holder, credit = {} } = slot.record;
    // If the holder ran on this host, this process proves that the holder's process has ended.
    const isFree = holder === undefined || holder.host === self.host;
    if (isFree) {
      const initialBursts = computeUnissuedBursts(slot);
      if (await writeHolder(slot, initialBursts))
        startHolding(slot.name, { ...credit, ...initialBursts });
    } else if (isUnlisted(holder, hosts) && linkedWithMajority() && (await advanceTakeover(slot))) {
      startHolding(slot.name, {});
    }
  };

  /**
   * Issues the initial bursts of workspaces that are new to a held slot. The store records them as
   * issued first, so that they are never issued twice.
   */
  const issueInitialBursts = async (slot: SlotView): Promise<void> => {
    const initialBursts = computeUnissuedBursts(slot);
    if (Object.keys(initialBursts).length === 0) return;
    if (await writeHolder(slot, initialBursts)) onCreditReceived(initialBursts);
  };

  /** Objects to takeovers of this host's slots by removing the contender from their records. */
  const rejectContenders = async (slots: readonly SlotView[]): Promise<void> => {
    const contested = slots.filter(
      ({ record }) => isSelf(record.holder) && record.contender !== undefined,
    );
    await Promise.all(contested.map((slot) => writeSlot(slot, { holder: self })));
  };

  const releaseSlot = async (slot: SlotView): Promise<void> => {
    const credit = withdrawCredit(1 / held.size);
    releasedCredit.set(slot.name, credit);
    held.delete(slot.name);
    onShareChanged();
    await writeSlot(slot, { credit });
  };

  const countSlots = (slots: readonly SlotView[], host: string): number =>
    slots.filter(({ record }) => record.holder?.host === host).length;

  /** Sorts slots in an order specific to this host, so that hosts rarely claim the same slot. */
  const sortByHostHash = (slots: readonly SlotView[]): readonly SlotView[] => {
    const hash = ({ name }: SlotView): string =>
      createHash('sha256').update(`${self.host}/${name}`).digest('hex');
    return [...slots].sort((a, b) => (hash(a) < hash(b) ? -1 : 1));
  };

  /**
   * Claims open slots up to the maximum per host, or releases one slot above the minimum if no slot
   * is open and a live host has fewer than the minimum.
   */
  const rebalance = async (slots: readonly SlotView[], hosts: readonly ListedHost[]) => {
    const live = hosts.filter(({ state }) => state === HOST_STATE.LIVE);
    if (!live.some(({ name }) => name === self.host)) return;
    const minSlots = Math.floor(SLOT_COUNT / live.length);
    const maxSlots = Math.ceil(SLOT_COUNT / live.length);
    const own = slots.filter(
      ({ name, record }) => isSelf(record.holder) && !releasedCredit.has(name),
    );
    const open = slots.filter(
      ({ record: { holder } }) =>
        holder === undefined ||
        (holder.host === self.host && !isSelf(holder)) ||
        isUnlisted(holder, hosts),
    );
    const wanted = sortByHostHash(open).slice(0, Math.max(0, maxSlots - own.length));
    wantsFreeSlots = wanted.some(({ record }) => record.holder === undefined);
    await Promise.all(wanted.map((slot) => claimSlot(slot, hosts)));
    const hasHostBelowMinimum = live.some(({ name }) => countSlots(slots, name) < minSlots);
    const surplus = own.length > minSlots ? own[0] : undefined;
    if (open.length === 0 && hasHostBelowMinimum && surplus) await releaseSlot(surplus);
  };

  const poll = async (): Promise<void> => {
    const sinceRead = startStopwatch(clock);
    const [list, hosts] = await Promise.all([store.list<SlotRecord>(SLOT_KIND), hostList.hosts()]);
    const slots = buildSlotViews(list.objects);
    const own = slots.filter(({ record }) => isSelf(record.holder));
    setHeldSlots(own.map(({ name }) => name).filter((name) => !releasedCredit.has(name)));
    sinceLastRead = sinceRead;
    await rejectContenders(slots);
    const uncontested = own.filter(({ name, record }) => held.has(name) && !record.contender);
    await Promise.all(uncontested.map(issueInitialBursts));
    // The store still names this host as the holder, so neither the release nor its credit was
    // written: both are written again.
    const unreleased = own.filter(({ name }) => releasedCredit.has(name));
    await Promise.all(
      unreleased.map((slot) => writeSlot(slot, { credit: releasedCredit.get(slot.name)! })),
    );
    await rebalance(slots, hosts);
  };

  return {
    share: () => held.size / SLOT_COUNT,
    isUsable: () => {
      if (stopped || sinceLastRead === undefined) return false;
      return sinceLastRead() <= SLOT_VALIDITY_MILLISECONDS || storeDownForAll();
    },
    pollNow: () => pollDelay.abort(),
    run: async (signal) => {
      while (!signal.aborted) {
        pollDelay = new AbortController();
        // eslint-disable-next-line no-await-in-loop -- polls run one after another
        await poll().catch(() => {});
        // eslint-disable-next-line no-await-in-loop -- polls run one after another
        await clock.delay(
          wantsFreeSlots ? FAST_POLL_MILLISECONDS : pollMilliseconds,
          AbortSignal.any([signal, pollDelay.signal]),
        );
      }
    },
    releaseAll: async () => {
      stopped = true;
      const credit = withdrawCredit(1 / held.size);
      const list = await store.list<SlotRecord>(SLOT_KIND);
      const own = buildSlotViews(list.objects).filter(({ record }) => isSelf(record.holder));
      await Promise.all(own.map((slot) => writeSlot(slot, held.has(slot.name) ? { credit } : {})));
    },
  };
}
