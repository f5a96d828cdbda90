import VError from 'verror';

/** Whether a failed request was executed at its target. */
export const RAN = { NO: false, YES: true, UNKNOWN: 'unknown' } as const;

/** One of the values of {@link RAN}. */
export type Ran = (typeof RAN)[keyof typeof RAN];

/** Codes of refusals. They are part of the callers' interface and must not change. */
export const REFUSAL = {
  BAD_REQUEST: 'bad_request',
  BODY_TOO_LARGE: 'body_too_large',
  KEY_MISSING: 'key_missing',
  KEY_UNKNOWN: 'key_unknown',
  KEY_WITHDRAWN: 'key_withdrawn',
  FORBIDDEN: 'forbidden',
  NOT_FOUND: 'not_found',
  RATE_EXCEEDED: 'rate_exceeded',
  QUEUE_FULL: 'queue_full',
  DEADLINE: 'deadline',
  NO_CAPACITY: 'no_capacity',
  STOPPING: 'stopping',
  NOT_READY: 'not_ready',
  STORE_UNAVAILABLE: 'store_unavailable',
  IDEMPOTENCY_KEY_REQUIRED: 'idempotency_key_required',
  IDEMPOTENCY_KEY_REUSED: 'idempotency_key_reused',
  MAY_HAVE_RUN: 'may_have_run',
  TARGET_UNREACHABLE: 'target_unreachable',
  TARGET_FAILED: 'target_failed',
  TARGET_SILENT: 'target_silent',
  ANSWER_CUT: 'answer_cut',
  ANSWER_MISMATCHED: 'answer_mismatched',
  CRASHES_SERVERS: 'crashes_servers',
  INTERNAL: 'internal',
} as const;

/** One of the codes of {@link REFUSAL}. */
export type RefusalCode = (typeof REFUSAL)[keyof typeof REFUSAL];

/** Options of {@link createRefusal}. */
export interface RefusalOptions {
  /** HTTP status of the answer to the caller. */
  readonly status: number;
  readonly code: RefusalCode;
  /** One readable sentence for the caller. */
  readonly message: string;
  /** Whether the request was executed; false by default. */
  readonly ran?: Ran;
  /** Seconds after which a retry may succeed. */
  readonly retryAfterSeconds?: number;
  readonly cause?: unknown;
}

/** Error that ends a request which was not served; holds the answer to the caller. */
export type Refusal = VError & {
  readonly refusal: Required<Omit<RefusalOptions, 'cause' | 'retryAfterSeconds'>> &
    Pick<RefusalOptions, 'retryAfterSeconds'>;
};

/**
 * Creates a refusal.
 * @returns an error with the status, the code and whether the request was executed
 */
export function createRefusal(options: RefusalOptions): Refusal {
  const { cause, ran = RAN.NO, ...rest } = options;
  const error = new VError(
    { name: 'Refusal', ...(cause instanceof Error ? { cause } : {}) },
    '%s',
    options.message,
  );
  return Object.assign(error, { refusal: { ...rest, ran } });
}

/**
 * Adapts a refusal to a request of which an earlier attempt may have been executed.
 * @returns a refusal with `ran` unknown if the given one has `ran` false; otherwise the given one
 */
export function markPossiblyRan(refusal: Refusal): Refusal {
  const { ran, ...rest } = refusal.refusal;
  return ran === RAN.NO ? createRefusal({ ...rest, ran: RAN.UNKNOWN, cause: refusal }) : refusal;
}

/** Returns whether an error is a {@link Refusal}. */
export function isRefusal(error: unknown): error is Refusal {
  return error instanceof VError && 'refusal' in error;
}

/**
 * Wraps an error in another one that names the failed operation.
 * @param cause any thrown value
 * @param message the operation that failed
 */
export function wrapError(cause: unknown, message: string): VError {
  const error = cause instanceof Error ? cause : new Error(String(cause));
  return new VError({ cause: error }, '%s', message);
}

/** Returns the message of any thrown value. */
export function errorMessage(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
