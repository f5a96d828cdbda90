import VError from 'verror';

const ERROR_NAME = 'UsageError';

/** Creates the error for an invalid command line. */
export function createUsageError(message: string): Error {
  return new VError({ name: ERROR_NAME }, '%s', message);
}

/** Returns whether an error was caused by an invalid command line. */
export function isUsageError(error: unknown): boolean {
  if (!(error instanceof Error)) return false;
  const { code = '' } = error as { code?: string };
  return error.name === ERROR_NAME || code.startsWith('ERR_PARSE_ARGS');
}
