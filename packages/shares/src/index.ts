/** Limits that all hosts keep together. */
export {
  createReplicatedBucket,
  type BucketGroup,
  type BucketLimits,
  type ReplicatedBucket,
  type ReplicatedBucketOptions,
} from './bucket.js';
export { createRetryBudget, type RetryBudget, type RetryBudgetOptions } from './budget.js';
