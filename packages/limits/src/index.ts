/** Enforces the rate and burst of each workspace across all hosts. */
export {
  createBucket,
  type Bucket,
  type BucketOptions,
  type BucketSize,
  type Grant,
  type GrantUse,
  type Reservation,
} from './bucket.js';
export {
  createCreditCollector,
  lendTokens,
  type BorrowedTokens,
  type CreditDemand,
  type CreditCollector,
  type CollectedCredit,
  type CollectedCreditUse,
  type CreditCollectorOptions,
  type Lender,
  type Loan,
} from './gather.js';
export { createLimits, type Admission, type Limits, type LimitsOptions } from './limits.js';
export { SLOT_COUNT, SLOT_KIND, type Credit, type SlotRecord } from './slot.js';
export {
  createSlotManager,
  SLOT_TAKEOVER_WAIT_MILLISECONDS,
  SLOT_VALIDITY_MILLISECONDS,
  type SlotManager,
  type SlotManagerOptions,
} from './slots.js';
