import { createHash } from 'node:crypto';
import type { Incarnation } from '@bulrushspar/store';

/** States of a call that must run at most once. */
export const CALL_STATE = {
  /** The call may be running, or may have run. */
  INTENDED: 'intended',
  /** The call did not run, and the process that wrote the intent will not send it. */
  NOT_RUN: 'not-run',
  /** The call ran, and its answer is recorded. */
  FINISHED: 'finished',
  /** The call was sent, but its answer is missing or was too large to record. */
  UNKNOWN: 'unknown',
} as const;

/** One of {@link CALL_STATE}. */
export type CallState = (typeof CALL_STATE)[keyof typeof CALL_STATE];

/** Complete answer of a target. */
export interface RecordedAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  /** Body in base64. */
  readonly body: string;
}

/** Record of one call in the store. */
export interface CallRecord {
  readonly state: CallState;
  /** SHA-256 of the request; see {@link fingerprintCall}. */
  readonly fingerprint: string;
  /** Process that wrote the intent. */
  readonly owner: Incarnation;
  /** Unique for each intent. */
  readonly token: string;
  /** ISO 8601 time at which the record was created. */
  readonly at: string;
  /** ISO 8601 time after which the record may be removed. */
  readonly expiresAt: string;
  readonly answer?: RecordedAnswer;
}

/** Object kind of the call records; their names come from {@link getCallRecordName}. */
export const CALL_KIND = 'call';

/** Identity of a call: requests that agree in all fields are the same call. */
export interface CallIdentity {
  readonly workspace: string;
  readonly route: string;
  readonly idempotencyKey: string;
}

const hashParts = (parts: readonly (string | Buffer)[]): string => {
  const hash = createHash('sha256');
  parts.forEach((part) => {
    hash.update(`${part.length}:`);
    hash.update(part);
  });
  return hash.digest('hex');
};

/** Returns the name of a call's record. */
export function getCallRecordName({ workspace, route, idempotencyKey }: CallIdentity): string {
  return hashParts([workspace, route, idempotencyKey]);
}

/** Returns the fingerprint of a request, which detects a reused idempotency key. */
export function fingerprintCall(method: string, path: string, body: Buffer): string {
  return hashParts([method, path, body]);
}
