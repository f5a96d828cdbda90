import { listen, pause, type Standin } from './listen.js';

/** Rate limits of the weight store. */
export interface WeightLimits {
  /** Transfers that may start in one second. */
  readonly startsPerSecond: number;
  /** Concurrent transfers that run at full speed; more than these share their total speed. */
  readonly fullSpeedTransfers: number;
  /** Speed of a single transfer. */
  readonly gigabytesPerSecond: number;
}

/** Running stand-in for the rate-limited weight store. */
export interface WeightStoreStandin extends Standin {
  /** Divides the speed of all transfers by the factor, also of those in progress. */
  setSlowdownFactor(factor: number): void;
  /** Returns the number of completed transfers. */
  completedTransfers(): number;
}

const STEP_MILLISECONDS = 10;
const MILLISECONDS_PER_SECOND = 1000;

/**
 * Starts a weight store stand-in on loopback. `GET /v1/transfer?gigabytes=N` responds when N
 * gigabytes have been transferred; `GET /v1/status` reports the transfers in progress and the limits.
 */
export async function startWeightStore(
  limits: WeightLimits,
  port = 0,
): Promise<WeightStoreStandin> {
  let activeTransfers = 0;
  let completedTransfers = 0;
  let slowdownFactor = 1;
  let nextStartAt = 0;

  const awaitTransferStart = async (): Promise<void> => {
    const now = Date.now();
    nextStartAt = Math.max(now, nextStartAt + MILLISECONDS_PER_SECOND / limits.startsPerSecond);
    await pause(nextStartAt - now);
  };

  const transfer = async (gigabytes: number, isAborted: () => boolean): Promise<void> => {
    await awaitTransferStart();
    activeTransfers += 1;
    let remainingGigabytes = gigabytes;
    while (remainingGigabytes > 0 && !isAborted()) {
      const contentionFactor = Math.max(1, activeTransfers / limits.fullSpeedTransfers);
      const currentGigabytesPerSecond =
        limits.gigabytesPerSecond / contentionFactor / slowdownFactor;
      // eslint-disable-next-line no-await-in-loop -- simulates the transfer in steps
      await pause(STEP_MILLISECONDS);
      remainingGigabytes -=
        (currentGigabytesPerSecond * STEP_MILLISECONDS) / MILLISECONDS_PER_SECOND;
    }
    activeTransfers -= 1;
    if (!isAborted()) completedTransfers += 1;
  };

  const standin = await listen((request, response) => {
    const url = new URL(request.url ?? '/', 'http://weights');
    if (url.pathname === '/v1/status') {
      response.writeHead(200, { 'content-type': 'application/json' });
      const { startsPerSecond, fullSpeedTransfers } = limits;
      response.end(
        JSON.stringify({ transfers: activeTransfers, startsPerSecond, fullSpeedTransfers }),
      );
      return;
    }
    if (url.pathname !== '/v1/transfer') {
      response.writeHead(404).end();
      return;
    }
    const gigabytes = Number(url.searchParams.get('gigabytes'));
    transfer(gigabytes, () => response.destroyed).then(
      () => response.writeHead(200).end(),
      () => response.destroy(),
    );
  }, port);
  return {
    ...standin,
    setSlowdownFactor: (factor) => {
      slowdownFactor = factor;
    },
    completedTransfers: () => completedTransfers,
  };
}
