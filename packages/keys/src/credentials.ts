/** Headers of a request by lower-case name; repeated ones as arrays. */
export type HeaderValues = Readonly<Record<string, string | string[] | undefined>>;

/** Headers and path of a request after the removal of credentials. */
export interface SanitizedRequest {
  readonly headers: Readonly<Record<string, string>>;
  /** Path with query. */
  readonly path: string;
}

const BEARER_PATTERN = /^Bearer +(\S+)$/i;

/** Headers that carry credentials. */
const CREDENTIAL_HEADERS = new Set([
  'authorization',
  'proxy-authorization',
  'cookie',
  'x-api-key',
  'api-key',
  'x-auth-token',
  'x-access-token',
]);

/** Headers of the caller's connection, which the exchange with the target sets anew. */
const UNFORWARDED_HEADERS = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'host',
  'content-length',
  'expect',
]);

/** Lower-case names of query parameters that carry credentials. */
const CREDENTIAL_PARAMETERS = new Set([
  'key',
  'api_key',
  'api-key',
  'apikey',
  'access_token',
  'token',
  'authorization',
]);

/** @returns the bearer key in the authorization header; undefined if there is none */
export function extractBearerKey(headers: HeaderValues): string | undefined {
  const { authorization } = headers;
  if (typeof authorization !== 'string') return undefined;
  return BEARER_PATTERN.exec(authorization)?.[1];
}

function sanitizeHeaders(headers: HeaderValues, containsKey: (text: string) => boolean) {
  const connectionOptions = new Set(
    String(headers.connection ?? '')
      .toLowerCase()
      .split(/\s*,\s*/),
  );
  const kept = Object.entries(headers).flatMap(([name, value]): [string, string][] => {
    if (value === undefined || CREDENTIAL_HEADERS.has(name)) return [];
    if (UNFORWARDED_HEADERS.has(name) || connectionOptions.has(name)) return [];
    const text = Array.isArray(value) ? value.join(', ') : value;
    return containsKey(text) || containsKey(name) ? [] : [[name, text]];
  });
  return Object.fromEntries(kept);
}

function sanitizePath(path: string, containsKey: (text: string) => boolean): string {
  const queryStart = path.indexOf('?');
  if (queryStart < 0) return path;
  const parameters = new URLSearchParams(path.slice(queryStart + 1));
  const kept = [...parameters].filter(
    ([name, value]) =>
      !CREDENTIAL_PARAMETERS.has(name.toLowerCase()) && !containsKey(value) && !containsKey(name),
  );
  const query = new URLSearchParams(kept).toString();
  return query === '' ? path.slice(0, queryStart) : `${path.slice(0, queryStart)}?${query}`;
}

function decodeIfValid(text: string): string {
  try {
    return decodeURIComponent(text);
  } catch {
    return text;
  }
}

/** @returns a function that checks whether a text contains the key: plain, percent-encoded or base64 */
function createKeyMatcher(key: string | undefined): (text: string) => boolean {
  if (key === undefined) return () => false;
  const encodings = [
    key,
    Buffer.from(key).toString('base64'),
    Buffer.from(key).toString('base64url'),
  ];
  const unpaddedEncodings = encodings.map((encoding) => encoding.replace(/=+$/, ''));
  return (text) =>
    unpaddedEncodings.some((form) => text.includes(form) || decodeIfValid(text).includes(form));
}

/**
 * Removes everything that could send a caller's key to a target: credential headers, cookies,
 * credential query parameters, and any other header or parameter that contains the key.
 * Also removes the headers of the caller's connection.
 * @param key key of the request; undefined if it has none
 */
export function removeCredentials(
  headers: HeaderValues,
  path: string,
  key: string | undefined,
): SanitizedRequest {
  const containsKey = createKeyMatcher(key);
  return { headers: sanitizeHeaders(headers, containsKey), path: sanitizePath(path, containsKey) };
}

/** @returns whether the path or the body contains the key, from where it cannot be removed */
export function hasKeyInPathOrBody(key: string | undefined, path: string, body: Buffer): boolean {
  if (key === undefined) return false;
  const [pathWithoutQuery = ''] = path.split('?');
  return createKeyMatcher(key)(pathWithoutQuery) || body.includes(key);
}
