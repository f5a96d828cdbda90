/** Audit trail of changes in the platform's store. */
export {
  createAuditTrail,
  type AuditRecord,
  type AuditTrail,
  type AuditTrailOptions,
} from './audit.js';
