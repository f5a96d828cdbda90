import { startStopwatch, type Clock, type Stopwatch } from '@bulrushspar/clock';
import { createRefusal, REFUSAL, type Refusal } from '@bulrushspar/errors';
import { createBucket, type Bucket, type BucketSize, type Reservation } from './bucket.js';
import type { BorrowedTokens, CreditCollector } from './gather.js';

/** Credit reserved for one admitted request. */
export interface Admission {
  /**
   * Ends the request, refunds unused tokens and debits tokens used beyond the reservation. Calls
   * after the first have no effect.
   * @param tokens actual cost of the request
   */
  settle(tokens: number): void;
}

/** Enforces each workspace's rate and burst on this host. */
export interface Limits {
  /**
   * Reserves credit for a request; rejects with a refusal if too little is available now.
   * @param tokens maximum cost of the request
   */
  admit(workspace: string, tokens: number): Promise<Admission>;
  /** Sets the workspaces and their bucket sizes from a newer configuration. */
  updateSizes(sizes: ReadonlyMap<string, BucketSize>): void;
  /** Resizes all buckets after this host's share has changed. */
  applyShare(): void;
  /** Deposits credit that this host received together with a slot. */
  depositCredit(credit: Readonly<Record<string, number>>): void;
  /** Withdraws a fraction of all credit, so that it can be released together with a slot. */
  withdrawCredit(fraction: number): Readonly<Record<string, number>>;
  /** Tokens that this host has available now, rounded, by workspace. */
  getAvailableTokens(): Readonly<Record<string, number>>;
  /** Bucket from which tokens are lent to other hosts; undefined while the share is not usable. */
  findLendableBucket(workspace: string): Bucket | undefined;
}

/** Options of {@link createLimits}. */
export interface LimitsOptions {
  readonly clock: Clock;
  /** Fraction of every workspace's rate and burst that this host holds, from 0 to 1. */
  readonly share: () => number;
  /** Tells whether the share may be used now. */
  readonly isUsable: () => boolean;
  /** Borrows credit from other hosts; by default nothing is borrowed. */
  readonly collectCredit?: CreditCollector;
}

const NOTHING_BORROWED: BorrowedTokens = { tokens: 0, returnUnused: () => {} };

const collectNothing: CreditCollector = async () => ({
  allAnswered: true,
  exhausted: true,
  usableTokens: () => 0,
  settle: () => NOTHING_BORROWED,
});

function createRateExceededRefusal(workspace: string, seconds: number): Refusal {
  return createRefusal({
    status: 429,
    code: REFUSAL.RATE_EXCEEDED,
    message: `workspace ${workspace} has exhausted its rate and burst`,
    retryAfterSeconds: Math.max(1, Math.ceil(seconds)),
  });
}

function createBurstExceededRefusal(workspace: string, tokens: number, burst: number): Refusal {
  return createRefusal({
    status: 429,
    code: REFUSAL.RATE_EXCEEDED,
    message: `the request may cost ${tokens} tokens, but the burst of workspace ${workspace} is only ${burst}`,
  });
}

const MAX_COLLECTION_ATTEMPTS = 3;
/**
 * Time for which a shortage confirmed by all lenders is used to refuse further requests without
 * asking the lenders again.
 */
const SHORTAGE_MILLISECONDS = 100;
const MILLISECONDS_PER_SECOND = 1000;

/** Tokens that one request reserved, here and at other hosts. */
interface RequestReservation {
  readonly own?: Reservation;
  readonly borrowed: BorrowedTokens;
}

/** Result of a collection that left the lenders without tokens. */
interface Shortage {
  /** Tokens found in the whole fleet. */
  readonly found: number;
  /** Tokens available on this host at that time. */
  readonly own: number;
  readonly age: Stopwatch;
}

/** Creates the limits of one host. */
export function createLimits(options: LimitsOptions): Limits {
  const { clock, share, isUsable, collectCredit = collectNothing } = options;
  const queueTails = new Map<string, Promise<void>>();
  const shortages = new Map<string, Shortage>();
  const buckets = new Map<string, Bucket>();
  let sizes: ReadonlyMap<string, BucketSize> = new Map();

  const computeOwnSize = ({ rate, burst }: BucketSize): BucketSize => {
    const fraction = share();
    return { rate: rate * fraction, burst: burst * fraction };
  };

  const resizeBuckets = (): void => {
    [...buckets.keys()].filter((name) => !sizes.has(name)).forEach((name) => buckets.delete(name));
    sizes.forEach((size, name) => {
      const bucket = buckets.get(name);
      if (bucket) bucket.resize(computeOwnSize(size));
      else buckets.set(name, createBucket({ clock, size: computeOwnSize(size) }));
    });
  };

  const createAdmission = (bucket: Bucket, { own, borrowed }: RequestReservation): Admission => {
    let settled = false;
    const ownTokens = own?.tokens ?? 0;
    return {
      settle: (cost) => {
        if (settled) return;
        settled = true;
        const unused = ownTokens + borrowed.tokens - cost;
        const ownUnused = Math.min(ownTokens, Math.max(0, unused));
        if (own) bucket.release(own, ownUnused);
        borrowed.returnUnused(Math.max(0, unused - ownUnused));
        if (unused < 0) bucket.debit(-unused);
      },
    };
  };

  /**
   * Runs one collection at a time for each workspace: a later one often finds enough tokens left
   * over by the one before.
   */
  const runInSequence = async <Value>(
    workspace: string,
    operation: () => Promise<Value>,
  ): Promise<Value> => {
    const previous = queueTails.get(workspace) ?? Promise.resolve();
    const result = previous.then(operation);
    queueTails.set(
      workspace,
      result.then(
        () => {},
        () => {},
      ),
    );
    return result;
  };

  const getRate = (workspace: string): number => sizes.get(workspace)?.rate ?? 1;

  /**
   * Upper bound of the tokens left in the fleet: the last shortage plus refill and refunds since
   * then; infinite without a recent shortage.
   */
  const estimateMaxAvailable = (workspace: string, bucket: Bucket): number => {
    const shortage = shortages.get(workspace);
    const age = shortage?.age() ?? Number.POSITIVE_INFINITY;
    if (!shortage || age > SHORTAGE_MILLISECONDS) return Number.POSITIVE_INFINITY;
    const inflow = (getRate(workspace) * age) / MILLISECONDS_PER_SECOND;
    const refunded = Math.max(0, bucket.availableTokens() - shortage.own);
    return shortage.found + inflow + refunded;
  };

  /** Records that the fleet has no more tokens than were found or are left on this host. */
  const recordShortage = (workspace: string, bucket: Bucket, found: number): void => {
    const own = Math.max(0, bucket.availableTokens());
    shortages.set(workspace, { found: Math.max(found, own), own, age: startStopwatch(clock) });
  };

  const reserveOwn = (bucket: Bucket, tokens: number): RequestReservation | undefined => {
    const own = isUsable() ? bucket.reserve(tokens) : undefined;
    return own && { own, borrowed: NOTHING_BORROWED };
  };

  /**
   * Reserves tokens from this host's bucket and from loans of other hosts; deposits borrowed tokens
   * that are left over in the bucket, as far as they fit.
   * @param attemptsLeft attempts left if a lender does not answer
   */
  const reserveWithLoans = async (
    workspace: string,
    bucket: Bucket,
    tokens: number,
    attemptsLeft = MAX_COLLECTION_ATTEMPTS,
  ): Promise<RequestReservation> => {
    const ownReservation = reserveOwn(bucket, tokens);
    if (ownReservation) return ownReservation;
    const missing = tokens - estimateMaxAvailable(workspace, bucket);
    if (missing > 0) throw createRateExceededRefusal(workspace, missing / getRate(workspace));
    const own = isUsable() ? Math.max(0, bucket.availableTokens()) : 0;
    const demand = {
      missingTokens: tokens - own,
      extraTokens: isUsable() ? bucket.remainingCapacity() : 0,
    };
    const collected = await collectCredit(workspace, demand);
    const lent = collected.usableTokens();
    const remainder = Math.max(0, tokens - lent);
    const ownPart = remainder === 0 ? undefined : reserveOwn(bucket, remainder)?.own;
    const sufficient = remainder === 0 || ownPart !== undefined;
    const reserved = sufficient ? tokens - remainder : 0;
    const deposited = isUsable() && lent > 0 ? bucket.deposit(lent - reserved) : 0;
    const borrowed = collected.settle({ unused: lent - reserved - deposited, reserved });
    if (collected.exhausted) recordShortage(workspace, bucket, sufficient ? 0 : own + lent);
    if (sufficient) return { own: ownPart, borrowed };
    if (!collected.allAnswered && attemptsLeft > 1)
      return reserveWithLoans(workspace, bucket, tokens, attemptsLeft - 1);
    throw createRateExceededRefusal(workspace, (tokens - own - lent) / getRate(workspace));
  };

  return {
    admit: async (workspace, tokens) => {
      const size = sizes.get(workspace);
      const bucket = buckets.get(workspace);
      if (!size || !bucket) throw createRateExceededRefusal(workspace, 1);
      if (tokens > size.burst) throw createBurstExceededRefusal(workspace, tokens, size.burst);
      const reservation =
        reserveOwn(bucket, tokens) ??
        (await runInSequence(workspace, () => reserveWithLoans(workspace, bucket, tokens)));
      return createAdmission(bucket, reservation);
    },
    updateSizes: (newSizes) => {
      sizes = newSizes;
      resizeBuckets();
    },
    applyShare: resizeBuckets,
    depositCredit: (credit) => {
      Object.entries(credit).forEach(([name, tokens]) => buckets.get(name)?.deposit(tokens));
    },
    withdrawCredit: (fraction) =>
      Object.fromEntries(
        [...buckets].map(([name, bucket]) => [
          name,
          bucket.withdrawUpTo(bucket.availableTokens() * fraction),
        ]),
      ),
    getAvailableTokens: () =>
      Object.fromEntries(
        [...buckets].map(([name, bucket]) => [name, Math.round(bucket.availableTokens())]),
      ),
    findLendableBucket: (workspace) => (isUsable() ? buckets.get(workspace) : undefined),
  };
}
