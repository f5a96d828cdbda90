import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto';
import type { Incarnation } from '@bulrushspar/store';
import type { Connection } from './connection.js';

/** Roles of the two ends of a connection. */
export const ROLE = { DIALLER: 'dialler', LISTENER: 'listener' } as const;

/** One of {@link ROLE}. */
export type Role = (typeof ROLE)[keyof typeof ROLE];

interface Hello extends Incarnation {
  readonly nonce: string;
}

const NONCE_BYTES = 24;
const HANDSHAKE_TIMEOUT_MILLISECONDS = 2000;
const HELLO = 'hello';
const PROOF = 'proof';

const isHello = (value: unknown): value is Hello => {
  const candidate = value as Partial<Hello> | undefined;
  return [candidate?.host, candidate?.incarnation, candidate?.nonce].every(
    (field) => typeof field === 'string',
  );
};

/**
 * Computes the HMAC that proves knowledge of a secret. It covers the role and both ends with their
 * nonces, so that a proof can't be replayed on another connection or returned by the other end.
 */
function computeProof(secret: string, role: Role, prover: Hello, verifier: Hello): Buffer {
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

function hasMatchingProof(proofs: readonly unknown[], expectedProofs: readonly Buffer[]): boolean {
  return proofs.some(
    (proof) =>
      proof instanceof Uint8Array &&
      expectedProofs.some(
        (expectedProof) =>
          proof.length === expectedProof.length && timingSafeEqual(proof, expectedProof),
      ),
  );
}

async function receiveMessageBody(connection: Connection, type: string): Promise<unknown> {
  const message = await connection.receive(HANDSHAKE_TIMEOUT_MILLISECONDS);
  return message?.type === type ? message.body : undefined;
}

/**
 * Authenticates both ends of a connection to each other. Each end sends one proof for each of its
 * secrets, and one match is enough, so that a secret can be rotated without downtime.
 * @returns the identity of the other end, or undefined if its authentication failed
 */
export async function performHandshake(
  connection: Connection,
  role: Role,
  self: Incarnation,
  secrets: readonly string[],
): Promise<Incarnation | undefined> {
  const ownHello: Hello = { ...self, nonce: randomBytes(NONCE_BYTES).toString('base64') };
  connection.send({ type: HELLO, body: ownHello });
  const peerHello = await receiveMessageBody(connection, HELLO);
  if (!isHello(peerHello)) return undefined;
  const ownProofs = secrets.map((secret) => computeProof(secret, role, ownHello, peerHello));
  connection.send({ type: PROOF, body: ownProofs });
  const peerProofs = await receiveMessageBody(connection, PROOF);
  const peerRole = role === ROLE.DIALLER ? ROLE.LISTENER : ROLE.DIALLER;
  const expectedProofs = secrets.map((secret) =>
    computeProof(secret, peerRole, peerHello, ownHello),
  );
  if (!Array.isArray(peerProofs) || !hasMatchingProof(peerProofs, expectedProofs)) return undefined;
  return { host: peerHello.host, incarnation: peerHello.incarnation };
}
