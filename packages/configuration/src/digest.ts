import { createHash } from 'node:crypto';
import type { EntryChange } from './delta.js';
import { SECTIONS, type Configuration } from './schema.js';

/**
 * XOR of the hashes of all entries, in hexadecimal. It can be updated by the changed entries
 * alone, without reading the others.
 */
export type Digest = string;

const DIGEST_BYTES = 16;

/** Serializes a value to JSON with sorted keys, so that equal values give equal texts. */
function toCanonicalJson(value: unknown): string {
  return JSON.stringify(value, (_, part: unknown) => {
    if (part === null || typeof part !== 'object' || Array.isArray(part)) return part;
    const entries = Object.entries(part).sort(([a], [b]) => (a < b ? -1 : 1));
    return Object.fromEntries(entries);
  });
}

function xorEntryHash(digestBytes: Buffer, section: string, name: string, value: unknown): void {
  if (value === undefined) return;
  const hash = createHash('sha256')
    .update(toCanonicalJson([section, name, value]))
    .digest();
  const bytes = digestBytes;
  for (let index = 0; index < DIGEST_BYTES; index += 1) {
    bytes[index] = bytes[index]! ^ hash[index]!; // eslint-disable-line no-bitwise -- XOR of hashes
  }
}

/** Computes the digest of a whole configuration. */
export function digestConfiguration(configuration: Configuration): Digest {
  const digestBytes = Buffer.alloc(DIGEST_BYTES);
  SECTIONS.forEach((section) => {
    Object.entries(configuration[section]).forEach(([name, value]) => {
      xorEntryHash(digestBytes, section, name, value);
    });
  });
  return digestBytes.toString('hex');
}

/** Returns the digest after the changes. */
export function digestChanges(digest: Digest, changes: readonly EntryChange[]): Digest {
  const digestBytes = Buffer.from(digest, 'hex');
  changes.forEach(({ section, name, before, after }) => {
    xorEntryHash(digestBytes, section, name, before);
    xorEntryHash(digestBytes, section, name, after);
  });
  return digestBytes.toString('hex');
}
