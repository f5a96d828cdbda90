import { startMonotonicStopwatch, type Clock, type Stopwatch } from '@bulrushspar/clock';

/** Refill rate and capacity of a token bucket. */
export interface BucketSize {
  /** Tokens added per second. */
  readonly rate: number;
  /** Maximum number of tokens that the bucket holds. */
  readonly burst: number;
}

/** Tokens lent to another host; they count against the burst until settled or timed out. */
export interface Grant {
  readonly id: number;
  readonly tokens: number;
}

/** Tokens withdrawn for a request; the unused part may be refunded when the request ends. */
export interface Reservation {
  readonly tokens: number;
  /** Refund limit of the bucket when the tokens were reserved. */
  readonly refundLimit: RefundLimit;
}

/**
 * Fraction of the tokens reserved in an epoch that may still be refunded. A new epoch begins once
 * nothing of the earlier reservations is refundable.
 */
interface RefundLimit {
  readonly epoch: number;
  readonly factor: number;
}

/** What the borrower did with the tokens of a grant. */
export interface GrantUse {
  /** Tokens that were not needed. */
  readonly unused: number;
  /** Tokens that a request reserved, of which it may return a part when it ends. */
  readonly reserved: number;
}

/**
 * Token bucket with one host's part of a workspace's credit. Available tokens, open grants and the
 * refundable part of reservations together never exceed the burst. A late refund therefore adds no
 * more tokens than the bucket would hold if only the used tokens had been withdrawn: tokens that
 * arrived above the burst in the meantime are discarded.
 */
export interface Bucket {
  /** Reserves the tokens, or returns undefined if fewer are available. */
  reserve(tokens: number): Reservation | undefined;
  /** Ends a reservation and refunds its unused tokens up to the refund limit. */
  release(reservation: Reservation, unused: number): void;
  /**
   * Withdraws up to the given number of tokens without a later refund.
   * @returns how many were withdrawn
   */
  withdrawUpTo(tokens: number): number;
  /**
   * Adds tokens that were withdrawn from another bucket.
   * @returns how many of them fitted
   */
  deposit(tokens: number): number;
  /** Withdraws tokens that a request used beyond its reservation; the balance may go negative. */
  debit(tokens: number): void;
  /** Withdraws up to the given number of tokens for another host; undefined if none are available. */
  grant(tokens: number): Grant | undefined;
  /** Ends a grant and returns its unused tokens to the bucket; unknown or expired ids are ignored. */
  settleGrant(id: number, use: GrantUse): void;
  /** Ends the reservation that a borrower made from the grant with this id. */
  releaseGrantReservation(id: number, unused: number): void;
  /** Changes rate and burst; tokens above the new burst are discarded. */
  resize(size: BucketSize): void;
  /** Tokens available now; negative after a {@link Bucket.debit} beyond the balance. */
  availableTokens(): number;
  /** Tokens that can still be added. */
  remainingCapacity(): number;
}

/** Options of {@link createBucket}. */
export interface BucketOptions {
  readonly clock: Clock;
  readonly size: BucketSize;
  /** Tokens available at the start; 0 by default. */
  readonly initialTokens?: number;
  /** Time after which an unsettled grant expires, in milliseconds. */
  readonly grantTimeoutMilliseconds?: number;
}

interface OpenGrant {
  readonly tokens: number;
  readonly age: Stopwatch;
}

const MILLISECONDS_PER_SECOND = 1000;
/** Refund factor at or below which nothing is refunded and a new epoch begins. */
const MIN_REFUND_FACTOR = 1e-6;

/** Creates a bucket. */
export function createBucket(options: BucketOptions): Bucket {
  const { clock, grantTimeoutMilliseconds = 1000 } = options;
  const openGrants = new Map<number, OpenGrant>();
  const borrowerReservations = new Map<number, Reservation>();
  let { size, initialTokens: available = 0 } = options;
  let refilledAt = clock.monotonic();
  let nextGrantId = 1;
  let refundLimit: RefundLimit = { epoch: 0, factor: 1 };
  /** Tokens of all reservations together that may still be refunded. */
  let refundable = 0;

  const sumOpenGrants = (): number => {
    let sum = 0;
    openGrants.forEach(({ tokens, age }, id) => {
      if (age() > grantTimeoutMilliseconds) openGrants.delete(id);
      else sum += tokens;
    });
    return sum;
  };

  const computeCapacity = (): number => Math.max(0, size.burst - sumOpenGrants());

  /** Reduces the refundable tokens of all reservations in proportion, to the maximum that fits. */
  const limitRefunds = (maxRefundable: number): void => {
    if (refundable <= maxRefundable) return;
    const factor = refundLimit.factor * (maxRefundable / refundable);
    refundable = maxRefundable;
    if (factor > MIN_REFUND_FACTOR) {
      refundLimit = { ...refundLimit, factor };
      return;
    }
    refundable = 0;
    refundLimit = { epoch: refundLimit.epoch + 1, factor: 1 };
    borrowerReservations.clear();
  };

  const refill = (): void => {
    const now = clock.monotonic();
    const inflow = ((now - refilledAt) / MILLISECONDS_PER_SECOND) * size.rate;
    refilledAt = now;
    const capacity = computeCapacity();
    // Also discards tokens above the capacity that remain from a larger burst.
    available = Math.min(capacity, available + inflow);
    limitRefunds(capacity - available);
  };

  const withdrawUpTo = (tokens: number): number => {
    refill();
    const withdrawn = Math.max(0, Math.min(tokens, available));
    available -= withdrawn;
    return withdrawn;
  };

  const createReservation = (tokens: number): Reservation => {
    refundable += tokens;
    return { tokens, refundLimit };
  };

  const release = (reservation: Reservation, unused: number): void => {
    refill();
    const { epoch, factor } = reservation.refundLimit;
    if (epoch !== refundLimit.epoch) return;
    const maxRefund = Math.min(refundable, reservation.tokens * (refundLimit.factor / factor));
    refundable -= maxRefund;
    available += Math.min(maxRefund, Math.max(0, unused));
  };

  const remainingCapacity = (): number => {
    refill();
    return Math.max(0, computeCapacity() - available - refundable);
  };

  return {
    reserve: (tokens) => {
      refill();
      if (available < tokens) return undefined;
      available -= tokens;
      return createReservation(tokens);
    },
    release,
    withdrawUpTo,
    deposit: (tokens) => {
      const deposited = Math.max(0, Math.min(tokens, remainingCapacity()));
      available += deposited;
      return deposited;
    },
    debit: (tokens) => {
      refill();
      available -= tokens;
    },
    grant: (tokens) => {
      const withdrawn = withdrawUpTo(tokens);
      if (withdrawn <= 0) return undefined;
      const id = nextGrantId;
      nextGrantId += 1;
      openGrants.set(id, { tokens: withdrawn, age: startMonotonicStopwatch(clock) });
      return { id, tokens: withdrawn };
    },
    settleGrant: (id, { unused, reserved }) => {
      refill();
      const grant = openGrants.get(id);
      if (!grant) return;
      openGrants.delete(id);
      const returned = Math.min(grant.tokens, Math.max(0, unused));
      available += returned;
      const maxReserved = Math.min(grant.tokens - returned, Math.max(0, reserved));
      if (maxReserved > 0) borrowerReservations.set(id, createReservation(maxReserved));
    },
    releaseGrantReservation: (id, unused) => {
      const reservation = borrowerReservations.get(id);
      borrowerReservations.delete(id);
      if (reservation) release(reservation, unused);
    },
    resize: (newSize) => {
      refill();
      size = newSize;
      // Discards tokens above the new burst.
      refill();
    },
    availableTokens: () => {
      refill();
      return available;
    },
    remainingCapacity,
  };
}
