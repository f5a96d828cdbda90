import { createFairLine } from '@bulrushspar/admission';
import type { Clock } from '@bulrushspar/clock';
import { PRIORITY, type Priority } from '@bulrushspar/configuration';
import { createRefusal, REFUSAL, type Refusal } from '@bulrushspar/errors';

/** A request that asks for a slot. */
export interface QueueRequest {
  readonly workspace: string;
  /** Share of the workspace relative to others while requests wait. */
  readonly weight: number;
  readonly priority: Priority;
  /** Expected cost of the request in tokens. */
  readonly expectedTokens: number;
  /** Time left until the deadline, in milliseconds. */
  readonly remainingMilliseconds: number;
  readonly signal: AbortSignal;
}

/** Permission to run one request. */
export interface QueueSlot {
  /**
   * Frees the slot; further calls have no effect.
   * @param actualTokens actual cost of the request in tokens
   */
  release(actualTokens: number): void;
}

/** Queue that limits concurrent requests and shares capacity fairly between workspaces. */
export interface FairQueue {
  /**
   * Resolves when the request may run. Rejects with a refusal if its expected wait exceeds the time
   * left, or when its deadline passes or its signal aborts while it waits.
   */
  acquireSlot(request: QueueRequest): Promise<QueueSlot>;
  /** Admits waiting requests up to the capacity; called after the capacity has grown. */
  admitWaiting(): void;
  countWaiting(): number;
  countRunning(): number;
  /** Number of waiting requests of each workspace that has any. */
  countWaitingByWorkspace(): ReadonlyMap<string, number>;
}

/** Options of {@link createFairQueue}. */
export interface FairQueueOptions {
  readonly clock: Clock;
  /** @returns the maximum number of concurrent requests; called at each admission decision */
  readonly getCapacity: () => number;
}

interface QueueEntry {
  readonly workspace: string;
  readonly weight: number;
  readonly request: QueueRequest;
  readonly admit: () => void;
}

/** Weight of the newest sample in the moving average of the service time. */
const SERVICE_TIME_SMOOTHING_FACTOR = 0.1;
const MILLISECONDS_PER_SECOND = 1000;

const createEntry = (request: QueueRequest, admit: () => void): QueueEntry => ({
  workspace: request.workspace,
  weight: request.weight,
  request,
  admit,
});

function createDeadlineRefusal(retryAfterSeconds: number): Refusal {
  return createRefusal({
    status: 503,
    code: REFUSAL.DEADLINE,
    message: 'no capacity becomes free for the request before its deadline',
    retryAfterSeconds: Math.max(1, Math.ceil(retryAfterSeconds)),
  });
}

/**
 * Creates a weighted fair queue. It admits requests of priority `person` before those of priority
 * `batch` and, within a priority, those of the workspace that received the fewest tokens relative to
 * its weight.
 */
export function createFairQueue(options: FairQueueOptions): FairQueue {
  const { clock, getCapacity } = options;
  const line = createFairLine<QueueEntry>(({ request }) =>
    request.priority === PRIORITY.PERSON ? 0 : 1,
  );
  let runningCount = 0;
  let averageServiceMilliseconds = 0;

  const admitWaiting = (): void => {
    while (line.size() > 0 && runningCount < getCapacity()) line.first()!.admit();
  };

  const startRequest = (entry: QueueEntry): QueueSlot => {
    const { request } = entry;
    runningCount += 1;
    line.charge(entry, request.expectedTokens);
    const startedAtMilliseconds = clock.monotonic();
    let released = false;
    return {
      release: (actualTokens) => {
        if (released) return;
        released = true;
        runningCount -= 1;
        line.charge(entry, actualTokens - request.expectedTokens);
        line.removeRequest(request.workspace);
        const elapsedMilliseconds = clock.monotonic() - startedAtMilliseconds;
        averageServiceMilliseconds +=
          (elapsedMilliseconds - averageServiceMilliseconds) * SERVICE_TIME_SMOOTHING_FACTOR;
        admitWaiting();
      },
    };
  };

  const estimateWaitMilliseconds = (request: QueueRequest): number => {
    const entriesAhead = [...line.entries()].filter(
      (other) =>
        !(request.priority === PRIORITY.PERSON && other.request.priority === PRIORITY.BATCH),
    ).length;
    return (entriesAhead * averageServiceMilliseconds) / Math.max(1, getCapacity());
  };

  const waitForSlot = (request: QueueRequest): Promise<QueueSlot> =>
    new Promise((resolve, reject) => {
      const removeEntry = (): void => {
        line.remove(entry);
        cancelTimer();
        request.signal.removeEventListener('abort', rejectEntry);
      };
      const rejectEntry = (): void => {
        if (!line.has(entry)) return;
        removeEntry();
        line.removeRequest(request.workspace);
        reject(createDeadlineRefusal(estimateWaitMilliseconds(request) / MILLISECONDS_PER_SECOND));
      };
      const entry = createEntry(request, () => {
        removeEntry();
        resolve(startRequest(entry));
      });
      line.add(entry);
      request.signal.addEventListener('abort', rejectEntry, { once: true });
      const cancelTimer = clock.after(request.remainingMilliseconds, rejectEntry);
    });

  return {
    acquireSlot: async (request) => {
      const expectedWaitMilliseconds = estimateWaitMilliseconds(request);
      const isFull = runningCount >= getCapacity();
      if (isFull && expectedWaitMilliseconds > request.remainingMilliseconds) {
        throw createDeadlineRefusal(expectedWaitMilliseconds / MILLISECONDS_PER_SECOND);
      }
      line.addRequest(request.workspace);
      return isFull ? waitForSlot(request) : startRequest(createEntry(request, () => {}));
    },
    admitWaiting,
    countWaiting: line.size,
    countRunning: () => runningCount,
    countWaitingByWorkspace: () => {
      const counts = new Map<string, number>();
      [...line.entries()].forEach(({ workspace }) => {
        counts.set(workspace, (counts.get(workspace) ?? 0) + 1);
      });
      return counts;
    },
  };
}
