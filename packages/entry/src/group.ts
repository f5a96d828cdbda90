import { randomBytes } from 'node:crypto';
import type { Clock } from '@bulrushspar/clock';
import { messageOf } from '@bulrushspar/errors';
import type { Logger } from '@bulrushspar/logging';
import type { PeerAddress } from '@bulrushspar/peer';
import {
  ABSENT,
  SETTLED,
  settleWrite,
  type Incarnation,
  type ObjectStore,
  type ObjectView,
} from '@bulrushspar/store';
import type { HostPlace } from './topology.js';

/** Kind of the records by which the hosts find each other; named by host. */
export const HOST_KIND = 'bulrushspar-hosts';
/** Kind of the secret that hosts prove themselves with. */
export const SECRET_KIND = 'bulrushspar-secrets';

/** What the store holds of a host. */
export interface HostRecord {
  readonly address: string;
  readonly port: number;
  readonly failureDomain: string;
  /** Processor that the host has, in cores. */
  readonly cores: number;
  readonly incarnation: string;
}

/** Where a host listens for links, and its place in the fleet. */
export type ListedPeer = PeerAddress & HostPlace;

/** What a host writes about itself. */
export interface OwnRecord extends Omit<HostRecord, 'incarnation'> {
  /** The fleet starts for the first time, so that no record of an earlier process is expected. */
  readonly firstStart: boolean;
}

/** Options of {@link joinGroup} and {@link readSecret}. */
export interface GroupOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly logger: Logger;
}

const SECRET_BYTES = 32;
const SETTLE_MILLISECONDS = 2000;
const PAUSE_MILLISECONDS = 250;
const LONGEST_PAUSE_MILLISECONDS = 1000;

/** Repeats work that depends on the store until it succeeds. */
async function insist<Value>(
  { clock, logger }: GroupOptions,
  what: string,
  work: () => Promise<Value | undefined>,
): Promise<Value> {
  for (let pause = PAUSE_MILLISECONDS; ; pause = Math.min(pause * 2, LONGEST_PAUSE_MILLISECONDS)) {
    /* eslint-disable no-await-in-loop -- tries follow one another */
    try {
      const value = await work();
      if (value !== undefined) return value;
    } catch (error) {
      logger.warn(`${what} failed`, { error: messageOf(error) });
    }
    await clock.delay(pause);
    /* eslint-enable no-await-in-loop */
  }
}

/** Reads the secret that all hosts share; the first host makes it. */
export function readSecret(options: GroupOptions): Promise<string> {
  const { store } = options;
  const key = { kind: SECRET_KIND, name: 'links' };
  return insist(options, 'reading the secret of the links', async () => {
    const found = await store.read<{ secret: string }>(key);
    if (found) return found.value.secret;
    await store.write(key, { secret: randomBytes(SECRET_BYTES).toString('base64') }, ABSENT);
    // Another host may have been first, and an answer can get lost: the next read tells.
    return undefined;
  });
}

/** Writes where this host listens for links, so that the others find it. */
export async function joinGroup(
  options: GroupOptions,
  self: Incarnation,
  { firstStart, ...place }: OwnRecord,
): Promise<void> {
  const { store, clock } = options;
  const key = { kind: HOST_KIND, name: self.host };
  const value: HostRecord = { ...place, incarnation: self.incarnation };
  let known = !firstStart;
  await insist(options, 'joining the group of hosts', async () => {
    const found = known ? await store.read<HostRecord>(key) : undefined;
    known = true;
    const settled = await settleWrite<HostRecord>({
      store,
      clock,
      key,
      value,
      expected: found?.version ?? ABSENT,
      isOurs: ({ incarnation }) => incarnation === self.incarnation,
      withinMilliseconds: SETTLE_MILLISECONDS,
    });
    return settled.outcome === SETTLED.WRITTEN ? true : undefined;
  });
}

/** The hosts that are on record, this one included. */
export function hostsOf(view: ObjectView<unknown>): readonly ListedPeer[] {
  return [...view.values()].flatMap(({ name, value }) => {
    const { address, port, failureDomain = '', cores = 0 } = (value ?? {}) as Partial<HostRecord>;
    if (typeof address !== 'string' || typeof port !== 'number') return [];
    return [{ host: name, address, port, failureDomain, cores }];
  });
}
