import { createHash, randomBytes, timingSafeEqual } from 'node:crypto';
import type { Configuration } from '@bulrushspar/configuration';

/** Identity that a valid key proves. */
export interface Identity {
  /** Name of the key in the configuration. */
  readonly keyName: string;
  readonly workspace: string;
  /** SHA-256 of the key, in hexadecimal. */
  readonly sha256: string;
}

/** Keys of one configuration. */
export interface Keyring {
  /** @returns the identity of a key; undefined if the key is unknown */
  identify(key: string): Identity | undefined;
  /** @returns whether the key of an earlier identity still belongs to the same workspace */
  isStillValid(identity: Identity): boolean;
}

const KEY_BYTES = 32;
const KEY_PREFIX = 'bsp_';

/** @returns the SHA-256 of a key in hexadecimal, the only form in which keys are stored */
export function hashKey(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}

/** Generates a random key of 32 bytes in base64url, with the prefix of keys. */
export function generateKey(): string {
  return `${KEY_PREFIX}${randomBytes(KEY_BYTES).toString('base64url')}`;
}

function areDigestsEqual(a: string, b: string): boolean {
  return timingSafeEqual(Buffer.from(a, 'hex'), Buffer.from(b, 'hex'));
}

/** Creates a keyring that indexes the keys of a configuration by their hashes. */
export function createKeyring(configuration: Configuration): Keyring {
  const identitiesByHash = new Map<string, Identity>();
  Object.entries(configuration.keys).forEach(([name, { workspace, sha256 }]) => {
    identitiesByHash.set(sha256, { keyName: name, workspace, sha256 });
  });
  return {
    identify: (key) => {
      const digest = hashKey(key);
      const identity = identitiesByHash.get(digest);
      return identity && areDigestsEqual(identity.sha256, digest) ? identity : undefined;
    },
    isStillValid: ({ sha256, workspace }) => identitiesByHash.get(sha256)?.workspace === workspace,
  };
}
