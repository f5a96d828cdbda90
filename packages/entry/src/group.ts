import { randomBytes } from 'node:crypto';
import { isIP } from 'node:net';
import type { Clock } from '@bulrushspar/clock';
import { errorMessage } from '@bulrushspar/errors';
import type { Logger } from '@bulrushspar/logging';
import type { PeerAddress } from '@bulrushspar/peer';
import {
  ABSENT,
  RETRIED_WRITE_OUTCOME,
  writeWithRetry,
  type Incarnation,
  type ObjectStore,
  type ObjectView,
} from '@bulrushspar/store';
import type { HostPlace } from './topology.js';

/** Kind of the records with which hosts discover each other; the object name is the host name. */
export const HOST_KIND = 'bulrushspar-hosts';
/** Kind of the secret with which hosts authenticate to each other. */
export const SECRET_KIND = 'bulrushspar-secrets';

/** Record of a host in the store. */
export interface HostRecord {
  readonly address: string;
  readonly port: number;
  readonly failureDomain: string;
  /** Processor capacity of the host, in cores. */
  readonly cores: number;
  readonly incarnation: string;
}

/** Address at which a host accepts links, and the properties that determine its rank. */
export type ListedPeer = PeerAddress & HostPlace;

/** This host's own record, without the incarnation. */
export interface OwnRecord extends Omit<HostRecord, 'incarnation'> {
  /** The fleet starts for the first time, so that no earlier process has written a record. */
  readonly isFirstStart: boolean;
}

/** Options of {@link registerHost} and {@link readSecret}. */
export interface RegistrationOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly logger: Logger;
}

const SECRET_BYTES = 32;
const MAX_PORT = 65_535;
const WRITE_TIMEOUT_MILLISECONDS = 2000;
const FIRST_RETRY_DELAY_MILLISECONDS = 250;
const MAX_RETRY_DELAY_MILLISECONDS = 1000;

/** Repeats an operation on the store, with exponential backoff, until it returns a value. */
async function retryUntilDefined<Value>(
  { clock, logger }: RegistrationOptions,
  operation: string,
  attempt: () => Promise<Value | undefined>,
): Promise<Value> {
  for (
    let delayMilliseconds = FIRST_RETRY_DELAY_MILLISECONDS;
    ;
    delayMilliseconds = Math.min(delayMilliseconds * 2, MAX_RETRY_DELAY_MILLISECONDS)
  ) {
    /* eslint-disable no-await-in-loop -- attempts are sequential */
    try {
      const value = await attempt();
      if (value !== undefined) return value;
    } catch (error) {
      logger.warn(`${operation} failed`, { error: errorMessage(error) });
    }
    await clock.delay(delayMilliseconds);
    /* eslint-enable no-await-in-loop */
  }
}

/** Reads the secret; replaces an object that another writer has left in its place and that holds none. */
async function readOrWriteSecret(
  { store }: RegistrationOptions,
  createSecret: () => string,
): Promise<string | undefined> {
  const key = { kind: SECRET_KIND, name: 'links' };
  const found = await store.read<Partial<Record<'secret', unknown>> | null>(key);
  const secret = found?.value?.secret;
  if (typeof secret === 'string' && secret !== '') return secret;
  await store.write(key, { secret: createSecret() }, found?.version ?? ABSENT);
  // Another host may have written it first, or the answer may be lost: the next read decides.
  return undefined;
}

/** Reads the secret that all hosts share; creates it if there is none. */
export function readSecret(options: RegistrationOptions): Promise<string> {
  return retryUntilDefined(options, 'reading the secret for links', () =>
    readOrWriteSecret(options, () => randomBytes(SECRET_BYTES).toString('base64')),
  );
}

/**
 * Writes the shared secret again if the store has lost it.
 * @returns the secret that the store has now; another one if a new host was faster
 */
export function restoreSecret(options: RegistrationOptions, secret: string): Promise<string> {
  return retryUntilDefined(options, 'restoring the secret for links', () =>
    readOrWriteSecret(options, () => secret),
  );
}

/** Writes this host's record, so that the other hosts discover it. */
export async function registerHost(
  options: RegistrationOptions,
  self: Incarnation,
  { isFirstStart, ...place }: OwnRecord,
): Promise<void> {
  const { store, clock } = options;
  const key = { kind: HOST_KIND, name: self.host };
  const value: HostRecord = { ...place, incarnation: self.incarnation };
  let mayExist = !isFirstStart;
  await retryUntilDefined(options, 'writing the record of this host', async () => {
    const found = mayExist ? await store.read<HostRecord>(key) : undefined;
    mayExist = true;
    const settled = await writeWithRetry<HostRecord>({
      store,
      clock,
      key,
      value,
      expected: found?.version ?? ABSENT,
      isOwnWrite: ({ incarnation }) => incarnation === self.incarnation,
      timeoutMilliseconds: WRITE_TIMEOUT_MILLISECONDS,
    });
    return settled.outcome === RETRIED_WRITE_OUTCOME.WRITTEN ? true : undefined;
  });
}

const isPort = (port: unknown): port is number =>
  Number.isInteger(port) && (port as number) > 0 && (port as number) <= MAX_PORT;

/** Parses the host records, leaving out those without a valid address and port. */
export function parseHostRecords(view: ObjectView<unknown>): readonly ListedPeer[] {
  return [...view.values()].flatMap(({ name, value }) => {
    const record = (value ?? {}) as Partial<Record<keyof HostRecord, unknown>>;
    const { address, port, failureDomain = '', cores = 0 } = record;
    if (typeof address !== 'string' || isIP(address) === 0 || !isPort(port)) return [];
    // A host that claims endless processor time would rank first for every duty.
    if (typeof failureDomain !== 'string' || typeof cores !== 'number' || !Number.isFinite(cores))
      return [];
    return [{ host: name, address, port, failureDomain, cores }];
  });
}
