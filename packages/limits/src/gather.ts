import { startStopwatch, type Clock } from '@bulrushspar/clock';
import type { Bucket, GrantUse } from './bucket.js';

/** Tokens collected from other hosts for one request. */
export interface CollectedCredit {
  /** Tokens that may be used now; 0 once the loans are too old. */
  usableTokens(): number;
  /** True if every lender answered. */
  readonly allAnswered: boolean;
  /**
   * True if in the last round every lender answered and lent less than it was asked for, so that
   * no more tokens are available.
   */
  readonly exhausted: boolean;
  /** Reports to the lenders how their tokens were used; must be called exactly once. */
  settle(use: CollectedCreditUse): BorrowedTokens;
}

/** How collected tokens were used; this host keeps those that are neither unused nor reserved. */
export interface CollectedCreditUse {
  /** Tokens that were not needed and are returned to the lenders. */
  readonly unused: number;
  /** Tokens that the request reserved. */
  readonly reserved: number;
}

/** Tokens of other hosts that a request reserved. */
export interface BorrowedTokens {
  readonly tokens: number;
  /** Returns the tokens that the request did not use, once it has ended. */
  returnUnused(unused: number): void;
}

/** Another host that may lend tokens. */
export interface Lender {
  /**
   * Asks for a loan.
   * @returns the loan, whose tokens the lender has set aside; rejects if no answer arrives in time
   */
  requestLoan(workspace: string, tokens: number, milliseconds: number): Promise<Loan>;
  /** Reports how the tokens of a loan were used. */
  settleLoan(workspace: string, id: number, use: GrantUse): void;
  /** Returns the unused part of a loan's reserved tokens. */
  returnReserved(workspace: string, id: number, unused: number): void;
}

/** Tokens set aside by a lender; `tokens` is 0 if it lends nothing. */
export interface Loan {
  readonly id: number;
  readonly tokens: number;
}

/** Number of tokens that a host wants to borrow. */
export interface CreditDemand {
  /** Tokens that the request lacks. */
  readonly missingTokens: number;
  /** Further tokens that fit into this host's bucket, for later requests. */
  readonly extraTokens: number;
}

/** Collects credit of a workspace from other hosts. */
export type CreditCollector = (workspace: string, demand: CreditDemand) => Promise<CollectedCredit>;

/** Options of {@link createCreditCollector}. */
export interface CreditCollectorOptions {
  readonly clock: Clock;
  /** Returns the hosts that answered recently; called anew for each round. */
  readonly lenders: () => readonly Lender[];
  /** Timeout for the answer of each lender, in milliseconds. */
  readonly answerTimeoutMilliseconds?: number;
}

interface ReceivedLoan extends Loan {
  readonly lender: Lender;
  readonly requestedTokens: number;
}

interface CollectionResult {
  readonly loans: readonly ReceivedLoan[];
  readonly lastRound: readonly ReceivedLoan[];
}

const NO_LOAN: Loan = { id: 0, tokens: 0 };
const UNANSWERED: Loan = { id: -1, tokens: 0 };
/**
 * Age above which borrowed tokens must not be used. It is well below the grant timeout of a bucket
 * (1000 ms by default), after which the lender uses the tokens itself again.
 */
const USABLE_MILLISECONDS = 500;
/** Delay before each round and fraction of the missing tokens requested from each lender in it. */
const ROUNDS = [
  { delayMilliseconds: 0, computeFraction: (lenders: number) => 2 / lenders },
  { delayMilliseconds: 0, computeFraction: () => 1 },
  { delayMilliseconds: 10, computeFraction: () => 1 },
] as const;

/** Sets aside tokens for another host; an undefined bucket lends nothing. */
export function lendTokens(bucket: Bucket | undefined, tokens: number): Loan {
  return bucket?.grant(tokens) ?? NO_LOAN;
}

function createBorrowedTokens(workspace: string, loans: readonly ReceivedLoan[]): BorrowedTokens {
  return {
    tokens: loans.reduce((sum, { tokens }) => sum + tokens, 0),
    returnUnused: (unused) => {
      let remaining = unused;
      loans.forEach(({ lender, id, tokens }) => {
        const returned = Math.min(remaining, tokens);
        remaining -= returned;
        lender.returnReserved(workspace, id, returned);
      });
    },
  };
}

/** Creates the collector that borrows tokens for one host. */
export function createCreditCollector(options: CreditCollectorOptions): CreditCollector {
  const { clock, lenders, answerTimeoutMilliseconds = 250 } = options;

  const requestLoans = async (workspace: string, tokens: number): Promise<ReceivedLoan[]> => {
    const answers = lenders().map(async (lender): Promise<ReceivedLoan> => {
      const loan = await lender
        .requestLoan(workspace, tokens, answerTimeoutMilliseconds)
        .catch(() => UNANSWERED);
      return { ...loan, lender, requestedTokens: tokens };
    });
    return Promise.all(answers);
  };

  const collectLoans = async (
    workspace: string,
    demand: CreditDemand,
  ): Promise<CollectionResult> => {
    const loans: ReceivedLoan[] = [];
    let lastRound: readonly ReceivedLoan[] = [];
    let { missingTokens } = demand;
    for (let round = 0; round < ROUNDS.length && missingTokens > 0; round += 1) {
      const { delayMilliseconds, computeFraction } = ROUNDS[round]!;
      // eslint-disable-next-line no-await-in-loop -- each round requests what the ones before left missing
      if (delayMilliseconds > 0) await clock.delay(delayMilliseconds);
      const lenderCount = Math.max(1, lenders().length);
      const extraPerLender = round === 0 ? demand.extraTokens / lenderCount : 0;
      const tokensPerLender =
        missingTokens * Math.min(1, computeFraction(lenderCount)) + extraPerLender;
      // eslint-disable-next-line no-await-in-loop -- each round requests what the ones before left missing
      const roundLoans = await requestLoans(workspace, tokensPerLender);
      loans.push(...roundLoans);
      lastRound = roundLoans;
      missingTokens -= roundLoans.reduce((sum, loan) => sum + loan.tokens, 0);
    }
    return { loans, lastRound };
  };

  const settleLoans = (
    workspace: string,
    received: readonly ReceivedLoan[],
    use: CollectedCreditUse,
  ): BorrowedTokens => {
    let { unused: toReturn, reserved: toReserve } = use;
    const reservedLoans: ReceivedLoan[] = [];
    const loans = received.filter(({ tokens }) => tokens > 0);
    loans.forEach((loan) => {
      const unused = Math.min(toReturn, loan.tokens);
      const reserved = Math.min(toReserve, loan.tokens - unused);
      toReturn -= unused;
      toReserve -= reserved;
      loan.lender.settleLoan(workspace, loan.id, { unused, reserved });
      if (reserved > 0) reservedLoans.push({ ...loan, tokens: reserved });
    });
    return createBorrowedTokens(workspace, reservedLoans);
  };

  return async (workspace, demand) => {
    const age = startStopwatch(clock);
    const { loans, lastRound } = await collectLoans(workspace, demand);
    const total = loans.reduce((sum, loan) => sum + loan.tokens, 0);
    return {
      allAnswered: loans.every(({ id }) => id !== UNANSWERED.id),
      exhausted: lastRound.every(
        ({ id, tokens, requestedTokens }) => id !== UNANSWERED.id && tokens < requestedTokens,
      ),
      usableTokens: () => (age() <= USABLE_MILLISECONDS ? total : 0),
      settle: (use) => settleLoans(workspace, loans, use),
    };
  };
}
