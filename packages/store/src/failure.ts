import VError from 'verror';

/** Effect of a failed call at the store: certainly none, or unknown. */
export const EFFECT = { NONE: 'none', UNKNOWN: 'unknown' } as const;

/** One of {@link EFFECT}. */
export type Effect = (typeof EFFECT)[keyof typeof EFFECT];

/** Error of a call to the platform that got no usable answer. */
export type StoreError = VError & { readonly effect: Effect };

/**
 * Creates the error of a call without a usable answer.
 * @param effect NONE only if the call certainly had no effect at the store
 */
export function createStoreError(effect: Effect, message: string, cause?: unknown): StoreError {
  const options = { name: 'StoreError', ...(cause instanceof Error ? { cause } : {}) };
  return Object.assign(new VError(options, '%s', message), { effect });
}

/** Returns whether an error is a {@link StoreError}. */
export function isStoreError(error: unknown): error is StoreError {
  return error instanceof VError && 'effect' in error;
}
