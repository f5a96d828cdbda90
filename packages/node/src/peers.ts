import type { Clock } from '@bulrushspar/clock';
import {
  PEER_COMPARISON,
  type ConfigurationFollower,
  type ConfigurationUpdate,
} from '@bulrushspar/configuration';
import type { Trace, TraceBuffer } from '@bulrushspar/gateway';
import {
  lendTokens,
  type GrantUse,
  type Lender,
  type Limits,
  type Loan,
} from '@bulrushspar/limits';
import type { ReceivedHeartbeat, Membership, HeartbeatReport } from '@bulrushspar/membership';
import { HEARTBEAT } from '@bulrushspar/membership';
import type { Link, PeerHandlers, PeerNetwork } from '@bulrushspar/peer';
import type { SuspectUpdate, SuspectTracker } from '@bulrushspar/routing';

/** Types of the messages between nodes, other than heartbeats. */
export const MESSAGE_TYPE = {
  CONFIGURATION: 'configuration',
  CONFIGURATION_SINCE: 'configuration.since',
  CREDIT_ASK: 'credit.ask',
  CREDIT_SETTLE: 'credit.settle',
  CREDIT_GIVE_BACK: 'credit.give-back',
  SUSPECT: 'suspect',
  TRACE: 'trace',
} as const;

interface CreditAsk {
  readonly workspace: string;
  readonly tokens: number;
}

interface CreditSettle {
  readonly workspace: string;
  readonly id: number;
  readonly use: GrantUse;
}

interface CreditGiveBack {
  readonly workspace: string;
  readonly id: number;
  readonly unused: number;
}

/** Options of {@link createPeerHandlers}. */
export interface PeerHandlerOptions {
  readonly follower: ConfigurationFollower;
  readonly getLimits: () => Limits;
  readonly traces: TraceBuffer;
  readonly suspects: SuspectTracker;
}

const ANSWER_TIMEOUT_MILLISECONDS = 2000;

const createVitals = (follower: ConfigurationFollower): HeartbeatReport => {
  const staleness = follower.staleness();
  return {
    generation: follower.current().generation,
    digest: follower.digest(),
    staleness: Number.isFinite(staleness) ? staleness : -1,
  };
};

/** Creates the handlers of messages from other nodes. */
export function createPeerHandlers({
  follower,
  getLimits,
  traces,
  suspects,
}: PeerHandlerOptions): PeerHandlers {
  return {
    [HEARTBEAT]: () => createVitals(follower),
    [MESSAGE_TYPE.CONFIGURATION]: (body) => follower.applyUpdate(body as ConfigurationUpdate),
    [MESSAGE_TYPE.CONFIGURATION_SINCE]: (body) => follower.getUpdateSince(Number(body)),
    [MESSAGE_TYPE.CREDIT_ASK]: (body) => {
      const { workspace, tokens } = body as CreditAsk;
      return lendTokens(getLimits().findLendableBucket(workspace), tokens);
    },
    [MESSAGE_TYPE.CREDIT_SETTLE]: (body) => {
      const { workspace, id, use } = body as CreditSettle;
      getLimits().findLendableBucket(workspace)?.settleGrant(id, use);
    },
    [MESSAGE_TYPE.CREDIT_GIVE_BACK]: (body) => {
      const { workspace, id, unused } = body as CreditGiveBack;
      getLimits().findLendableBucket(workspace)?.releaseGrantReservation(id, unused);
    },
    [MESSAGE_TYPE.SUSPECT]: (body) => suspects.applyUpdate(body as SuspectUpdate),
    [MESSAGE_TYPE.TRACE]: (body) => traces.findTrace(String(body)),
  };
}

/**
 * Sends the changes since the previous generation to all neighbours. Neighbours that already have
 * them ignore the message.
 */
export function broadcastConfiguration(
  network: PeerNetwork,
  follower: ConfigurationFollower,
  previousGeneration: number,
): void {
  const update = follower.getUpdateSince(previousGeneration);
  network.getLinks().forEach((link) => link.send(MESSAGE_TYPE.CONFIGURATION, update));
}

/**
 * Compares a neighbour's vitals with this host's configuration. Requests an update if the neighbour
 * has a newer generation; reloads from the store if the same generation has a different digest.
 */
export async function applyPeerVitals(
  { link, report, sinceRequest }: ReceivedHeartbeat,
  follower: ConfigurationFollower,
): Promise<void> {
  const requiredAction = follower.comparePeerState({ ...report, sinceRequest });
  if (requiredAction === PEER_COMPARISON.BEHIND) {
    const { generation } = follower.current();
    const update = await link.request<ConfigurationUpdate>(
      MESSAGE_TYPE.CONFIGURATION_SINCE,
      generation,
      ANSWER_TIMEOUT_MILLISECONDS,
    );
    follower.applyUpdate(update);
  }
  if (requiredAction === PEER_COMPARISON.DIFFERENT) await follower.reload();
}

function createLender(link: Link): Lender {
  return {
    requestLoan: (workspace, tokens, timeoutMilliseconds) =>
      link.request<Loan>(MESSAGE_TYPE.CREDIT_ASK, { workspace, tokens }, timeoutMilliseconds),
    settleLoan: (workspace, id, use) =>
      link.send(MESSAGE_TYPE.CREDIT_SETTLE, { workspace, id, use }),
    returnReserved: (workspace, id, unused) =>
      link.send(MESSAGE_TYPE.CREDIT_GIVE_BACK, { workspace, id, unused }),
  };
}

/** Creates a credit lender for each neighbour with recent vitals. */
export function createLenders(membership: Membership): readonly Lender[] {
  return membership.recentHeartbeats().map(({ link }) => createLender(link));
}

/** Fetches the trace of a request from the host that is named in its identifier. */
export async function fetchTrace(
  id: string,
  traces: TraceBuffer,
  network: PeerNetwork,
): Promise<Trace | undefined> {
  const link = network.getLink(id.split(':')[0]!);
  if (!link) return traces.findTrace(id);
  return link.request<Trace | undefined>(MESSAGE_TYPE.TRACE, id, ANSWER_TIMEOUT_MILLISECONDS);
}

/**
 * Waits until this host is linked with a majority of the fleet. A change committed without a
 * majority might not reach every host.
 * @returns undefined once it is linked with a majority, or the reason for refusal after the timeout
 */
export async function waitForMajority(
  membership: Membership,
  clock: Clock,
  timeoutMilliseconds: number,
): Promise<string | undefined> {
  const POLL_INTERVAL_MILLISECONDS = 50;
  for (
    let waitedMilliseconds = 0;
    waitedMilliseconds <= timeoutMilliseconds;
    waitedMilliseconds += POLL_INTERVAL_MILLISECONDS
  ) {
    if (membership.isLinkedWithMajority()) return undefined;
    // eslint-disable-next-line no-await-in-loop -- polls in sequence
    await clock.delay(POLL_INTERVAL_MILLISECONDS);
  }
  return 'this host is not linked with more than half of the hosts, so the change might not reach all';
}
