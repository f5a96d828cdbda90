/** Leases with fencing numbers, recorded in the platform's object store. */
export { createLease, LEASE_KIND, type Lease, type LeaseOptions } from './lease.js';
export type { LeaseRecord } from './record.js';
