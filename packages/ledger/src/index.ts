/** Durable records of calls that must run at most once. */
export {
  createLedger,
  type Ledger,
  type LedgerOptions,
  type AtMostOnceAnswer,
  type AtMostOnceCall,
  type AttemptResult,
} from './ledger.js';
export { sweepCalls, type SweepOptions } from './sweep.js';
export {
  CALL_STATE,
  CALL_KIND,
  fingerprintCall,
  getCallRecordName,
  type CallIdentity,
  type CallRecord,
  type CallState,
  type RecordedAnswer,
} from './record.js';
