import VError from 'verror';

/** Whether a call that failed had an effect at the store. */
export const EFFECT = { NONE: 'none', UNKNOWN: 'unknown' } as const;

/** One of {@link EFFECT}. */
export type Effect = (typeof EFFECT)[keyof typeof EFFECT];

/** A call to the platform that brought no usable answer. */
export type StoreError = VError & { readonly effect: Effect };

/**
 * Creates the error of an unanswered call.
 * @param effect NONE only where the call certainly did not reach the store
 */
export function createStoreError(effect: Effect, message: string, cause?: unknown): StoreError {
  const options = { name: 'StoreError', ...(cause instanceof Error ? { cause } : {}) };
  return Object.assign(new VError(options, '%s', message), { effect });
}

/** Tells whether an error says that the store gave no usable answer. */
export function isStoreError(error: unknown): error is StoreError {
  return error instanceof VError && 'effect' in error;
}
