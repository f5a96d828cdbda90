import { randomUUID } from 'node:crypto';
import { startStopwatch, type Clock, type Stopwatch } from '@bulrushspar/clock';
import type { Refusal } from '@bulrushspar/errors';
import {
  ABSENT,
  isStoreError,
  RETRIED_WRITE_OUTCOME,
  writeWithRetry,
  WRITE_OUTCOME,
  type Incarnation,
  type ObjectKey,
  type ObjectStore,
  type StoredObject,
  type Version,
} from '@bulrushspar/store';
import {
  CALL_STATE,
  CALL_KIND,
  getCallRecordName,
  type CallIdentity,
  type CallRecord,
  type CallState,
  type RecordedAnswer,
} from './record.js';
import {
  createKeyReusedRefusal,
  createMayHaveRunRefusal,
  createInternalRefusal,
  createStoreUnavailableRefusal,
} from './refusals.js';

/** Result of one attempt to send a call to its target. */
export type AttemptResult =
  | { readonly sent: true; readonly answer: RecordedAnswer }
  /** No byte reached the target, so the call did not run. */
  | { readonly sent: false; readonly refusal: Refusal }
  /** The target may have run the call. */
  | { readonly sent: 'unknown'; readonly refusal: Refusal };

/** A call that must run at most once. */
export interface AtMostOnceCall {
  readonly identity: CallIdentity;
  /** Fingerprint of the request; see {@link fingerprintCall}. */
  readonly fingerprint: string;
  /** Time left until the caller's deadline, in milliseconds. */
  readonly remainingMilliseconds: () => number;
  /** Sends the call once, without a retry; if it rejects, the call may have run. */
  readonly perform: () => Promise<AttemptResult>;
}

/** Answer to a call. */
export interface AtMostOnceAnswer {
  readonly answer: RecordedAnswer;
  /** True if the answer was replayed from the record of an earlier request. */
  readonly replayed: boolean;
}

/** Runs each call at most once across all hosts. */
export interface Ledger {
  /**
   * Runs a call, or waits for the answer to an earlier request for the same call. Rejects with a
   * refusal whose `ran` states correctly whether the call ran.
   */
  run(call: AtMostOnceCall): Promise<AtMostOnceAnswer>;
  /** Resolves once all pending writes of records have ended. */
  drain(): Promise<void>;
  /** Number of records that this host still has to write. */
  pending(): number;
}

/** Options of {@link createLedger}. */
export interface LedgerOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly self: Incarnation;
  /** Tells whether a process has certainly ended. */
  readonly isGone: (owner: Incarnation) => boolean;
  /** Time for which a record is kept, so that its answer can be replayed, in milliseconds. */
  readonly retentionMilliseconds?: number;
  /** Longest time between the start of the intent's write and the sending, in milliseconds. */
  readonly maxSendDelayMilliseconds?: number;
  /** Timeout for writing a record, in milliseconds; an outcome is written again after it. */
  readonly writeTimeoutMilliseconds?: number;
  /** Longest time that the delivery of an answer waits for its record, in milliseconds. */
  readonly recordTimeoutMilliseconds?: number;
  /**
   * Largest answer that is recorded, in characters of base64. A larger one is delivered once and
   * can't be replayed.
   */
  readonly maxAnswerCharacters?: number;
  /** Delay between reads of a call that runs elsewhere and between retries, in milliseconds. */
  readonly pollMilliseconds?: number;
}

interface Intent {
  readonly key: ObjectKey;
  readonly record: CallRecord;
  readonly version: Version;
  readonly age: Stopwatch;
}

type BeginResult =
  | { readonly kind: 'ours'; readonly intent: Intent }
  | { readonly kind: 'found'; readonly record: CallRecord };

const DAY_MILLISECONDS = 86_400_000;

/**
 * Creates the ledger of one host. The intent to run a call is stored before the call is sent, and
 * only the process that wrote the intent ever sends the call.
 */
export function createLedger(options: LedgerOptions): Ledger {
  const { store, clock, self, isGone } = options;
  const { retentionMilliseconds = DAY_MILLISECONDS, maxSendDelayMilliseconds = 5000 } = options;
  const {
    writeTimeoutMilliseconds = 3000,
    recordTimeoutMilliseconds = 1000,
    pollMilliseconds = 100,
  } = options;
  const { maxAnswerCharacters = 600_000 } = options;
  const pendingWrites = new Set<Promise<void>>();

  const trackWrite = (write: Promise<void>): Promise<void> => {
    const tracked = write.finally(() => pendingWrites.delete(tracked));
    pendingWrites.add(tracked);
    return tracked;
  };

  const createRecord = (
    state: CallState,
    { fingerprint, token }: Pick<CallRecord, 'fingerprint' | 'token'>,
    answer?: RecordedAnswer,
  ): CallRecord => {
    const now = clock.now().getTime();
    return {
      state,
      fingerprint,
      owner: self,
      token,
      at: new Date(now).toISOString(),
      expiresAt: new Date(now + retentionMilliseconds).toISOString(),
      ...(answer ? { answer } : {}),
    };
  };

  /** Records that an intent will not be sent; retries without limit while the store fails. */
  const recordNotRun = async (key: ObjectKey, intended: CallRecord, expected: Version) => {
    for (;;) {
      try {
        /* eslint-disable no-await-in-loop -- attempts run one after another */
        const found = await store.read<CallRecord>(key);
        const isOurs = found ? found.value.token === intended.token : expected === ABSENT;
        const isUnchanged = found?.version === expected;
        if (!isOurs && !isUnchanged) return;
        const value = createRecord(CALL_STATE.NOT_RUN, intended);
        // The write changes the version, so a delayed write of the intent can't take effect later.
        const written = await store.write(key, value, found?.version ?? ABSENT);
        if (written.outcome === WRITE_OUTCOME.WRITTEN) return;
      } catch (error) {
        if (!isStoreError(error)) throw error;
        await clock.delay(pollMilliseconds);
        /* eslint-enable no-await-in-loop */
      }
    }
  };

  /** Writes the intent of a call, or finds the record of an earlier request for it. */
  const beginCall = async (call: AtMostOnceCall): Promise<BeginResult> => {
    const key = { kind: CALL_KIND, name: getCallRecordName(call.identity) };
    const found = await store.read<CallRecord>(key);
    if (found && found.value.state !== CALL_STATE.NOT_RUN) {
      return { kind: 'found', record: found.value };
    }
    if (found && found.value.fingerprint !== call.fingerprint) throw createKeyReusedRefusal();
    return writeIntent(call, key, found);
  };

  const writeIntent = async (
    call: AtMostOnceCall,
    key: ObjectKey,
    found: StoredObject<CallRecord> | undefined,
  ): Promise<BeginResult> => {
    const { fingerprint } = call;
    const record = createRecord(CALL_STATE.INTENDED, { fingerprint, token: randomUUID() });
    const expected = found?.version ?? ABSENT;
    const age = startStopwatch(clock);
    const settled = await writeWithRetry<CallRecord>({
      store,
      clock,
      key,
      value: record,
      expected,
      isOwnWrite: ({ token }) => token === record.token,
      timeoutMilliseconds: Math.min(writeTimeoutMilliseconds, call.remainingMilliseconds()),
    });
    if (settled.outcome === RETRIED_WRITE_OUTCOME.WRITTEN) {
      return { kind: 'ours', intent: { key, record, version: settled.version, age } };
    }
    if (settled.outcome === RETRIED_WRITE_OUTCOME.CONFLICT) {
      const present = await store.read<CallRecord>(key);
      if (present) return { kind: 'found', record: present.value };
    }
    if (settled.outcome === RETRIED_WRITE_OUTCOME.UNKNOWN) {
      trackWrite(recordNotRun(key, record, expected)).catch(() => {});
    }
    throw createStoreUnavailableRefusal();
  };

  /**
   * Replaces the intent by its outcome; retries without limit. No other process writes a record in
   * the state `intended`.
   */
  const writeOutcome = async (
    { key, record, version }: Intent,
    outcome: CallRecord,
  ): Promise<void> => {
    const attemptWrite = async (): Promise<boolean> => {
      const settled = await writeWithRetry<CallRecord>({
        store,
        clock,
        key,
        value: outcome,
        expected: version,
        isOwnWrite: ({ token, state }) => token === record.token && state === outcome.state,
        timeoutMilliseconds: writeTimeoutMilliseconds,
        retryDelayMilliseconds: pollMilliseconds,
      });
      return (
        settled.outcome === RETRIED_WRITE_OUTCOME.WRITTEN ||
        settled.outcome === RETRIED_WRITE_OUTCOME.CONFLICT
      );
    };
    // eslint-disable-next-line no-await-in-loop -- attempts run one after another
    while (!(await attemptWrite()));
  };

  const sendCall = async (call: AtMostOnceCall, intent: Intent): Promise<AtMostOnceAnswer> => {
    const { record } = intent;
    // A process that was paused here must not send: its caller has already received another answer.
    const isLate = intent.age() > maxSendDelayMilliseconds || call.remainingMilliseconds() <= 0;
    const result: AttemptResult = isLate
      ? {
          sent: false,
          refusal: createStoreUnavailableRefusal(
            new Error('the send delay or the deadline passed between intent and sending'),
          ),
        }
      : await call.perform().catch((error: unknown): AttemptResult => ({
          sent: 'unknown',
          refusal: createInternalRefusal(error),
        }));
    if (result.sent === true) {
      const { answer } = result;
      const isRecordable = answer.body.length <= maxAnswerCharacters;
      const outcome = isRecordable
        ? createRecord(CALL_STATE.FINISHED, record, answer)
        : createRecord(CALL_STATE.UNKNOWN, record);
      const recording = trackWrite(writeOutcome(intent, outcome));
      await Promise.race([recording, clock.delay(recordTimeoutMilliseconds)]);
      return { answer: result.answer, replayed: false };
    }
    const state = result.sent === false ? CALL_STATE.NOT_RUN : CALL_STATE.UNKNOWN;
    trackWrite(writeOutcome(intent, createRecord(state, record))).catch(() => {});
    throw result.refusal;
  };

  /**
   * Waits for the outcome of a call whose intent another request wrote.
   * @returns undefined if the call certainly did not run
   */
  const awaitOutcome = async (
    call: AtMostOnceCall,
    initialRecord: CallRecord,
  ): Promise<AtMostOnceAnswer | undefined> => {
    let record = initialRecord;
    for (;;) {
      if (record.fingerprint !== call.fingerprint) throw createKeyReusedRefusal();
      if (record.answer) return { answer: record.answer, replayed: true };
      if (record.state === CALL_STATE.NOT_RUN) return undefined;
      if (record.state === CALL_STATE.UNKNOWN)
        throw createMayHaveRunRefusal('an earlier attempt at the call left no recorded answer');
      if (isGone(record.owner)) throw createMayHaveRunRefusal('the host that ran the call is gone');
      // Refuses while there is still time to answer: another read might end after the deadline.
      if (call.remainingMilliseconds() <= 2 * pollMilliseconds) {
        throw createMayHaveRunRefusal('an earlier attempt at the call is still running');
      }
      // eslint-disable-next-line no-await-in-loop -- reads run one after another
      await clock.delay(pollMilliseconds);
      // eslint-disable-next-line no-await-in-loop -- reads run one after another
      const found = await store
        .read<CallRecord>({ kind: CALL_KIND, name: getCallRecordName(call.identity) })
        .catch(() => undefined);
      record = found?.value ?? record;
    }
  };

  const runOrAwait = async (call: AtMostOnceCall): Promise<AtMostOnceAnswer | undefined> => {
    const result = await beginCall(call).catch((error: unknown) => {
      throw isStoreError(error) ? createStoreUnavailableRefusal(error) : error;
    });
    return result.kind === 'ours'
      ? sendCall(call, result.intent)
      : awaitOutcome(call, result.record);
  };

  return {
    run: async (call) => {
      for (;;) {
        // eslint-disable-next-line no-await-in-loop -- a call that did not run is attempted again
        const answer = await runOrAwait(call);
        if (answer) return answer;
      }
    },
    drain: async () => {
      await Promise.allSettled([...pendingWrites]);
    },
    pending: () => pendingWrites.size,
  };
}
