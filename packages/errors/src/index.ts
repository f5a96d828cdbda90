/** Typed errors: refusals of requests, wrapped causes, and errors found in documents. */
export { formatFinding, type Finding, type Place } from './finding.js';
export {
  markPossiblyRan,
  createRefusal,
  isRefusal,
  errorMessage,
  RAN,
  REFUSAL,
  wrapError,
  type Ran,
  type Refusal,
  type RefusalCode,
  type RefusalOptions,
} from './refusal.js';
