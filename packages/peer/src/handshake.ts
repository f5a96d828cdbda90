import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto';
import type { Incarnation } from '@bulrushspar/store';
import type { Connection } from './connection.js';

/** The two ends of a connection. */
export const ROLE = { DIALLER: 'dialler', LISTENER: 'listener' } as const;

/** One of {@link ROLE}. */
export type Role = (typeof ROLE)[keyof typeof ROLE];

interface Hello extends Incarnation {
  readonly nonce: string;
}

const NONCE_BYTES = 24;
const HANDSHAKE_MILLISECONDS = 2000;
const HELLO = 'hello';
const PROOF = 'proof';

const isHello = (value: unknown): value is Hello => {
  const hello = value as Partial<Hello> | undefined;
  return [hello?.host, hello?.incarnation, hello?.nonce].every((part) => typeof part === 'string');
};

/** Proves knowledge of a secret for this connection and this end of it only. */
function makeProof(secret: string, role: Role, prover: Hello, verifier: Hello): Buffer {
  const parts = [
    role,
    prover.host,
    prover.incarnation,
    prover.nonce,
    verifier.host,
    verifier.nonce,
  ];
  return createHmac('sha256', secret).update(JSON.stringify(parts)).digest();
}

function matchesAny(proofs: readonly unknown[], expected: readonly Buffer[]): boolean {
  return proofs.some(
    (proof) =>
      proof instanceof Uint8Array &&
      expected.some((wanted) => proof.length === wanted.length && timingSafeEqual(proof, wanted)),
  );
}

async function receiveBody(connection: Connection, type: string): Promise<unknown> {
  const message = await connection.receive(HANDSHAKE_MILLISECONDS);
  return message?.type === type ? message.body : undefined;
}

/**
 * Lets both ends prove to each other that they share a secret; while one is being replaced, any
 * secret that both know will do.
 * @returns the other end, or undefined where it could not prove itself
 */
export async function shakeHands(
  connection: Connection,
  role: Role,
  self: Incarnation,
  secrets: readonly string[],
): Promise<Incarnation | undefined> {
  const ours: Hello = { ...self, nonce: randomBytes(NONCE_BYTES).toString('base64') };
  connection.send({ type: HELLO, body: ours });
  const theirs = await receiveBody(connection, HELLO);
  if (!isHello(theirs)) return undefined;
  const proofs = secrets.map((secret) => makeProof(secret, role, ours, theirs));
  connection.send({ type: PROOF, body: proofs });
  const answered = await receiveBody(connection, PROOF);
  const otherRole = role === ROLE.DIALLER ? ROLE.LISTENER : ROLE.DIALLER;
  const expected = secrets.map((secret) => makeProof(secret, otherRole, theirs, ours));
  if (!Array.isArray(answered) || !matchesAny(answered, expected)) return undefined;
  return { host: theirs.host, incarnation: theirs.incarnation };
}
