/** Limits that apply to all hosts together: token buckets, the retry budget and send schedules. */
export {
  createReplicatedBucket,
  type BucketGroup,
  type BucketLimits,
  type ReplicatedBucket,
  type ReplicatedBucketOptions,
} from './bucket.js';
export {
  createSendSchedule,
  type Reservation,
  type ReservationRequest,
  type SendSchedule,
  type SendScheduleOptions,
} from './schedule.js';
export { createRetryBudget, type RetryBudget, type RetryBudgetOptions } from './budget.js';
