/** Key verification, and removal of keys from requests to targets. */
export {
  hasKeyInPathOrBody,
  extractBearerKey,
  removeCredentials,
  type SanitizedRequest,
  type HeaderValues,
} from './credentials.js';
export { createKeyring, generateKey, hashKey, type Identity, type Keyring } from './keyring.js';
