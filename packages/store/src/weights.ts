import type { JsonClient } from './http.js';
import { createStoreError, EFFECT } from './failure.js';

/** Load and limits of the weight store. */
export interface WeightStoreStatus {
  /** Transfers in progress. */
  readonly transfers: number;
  /** Number of concurrent transfers up to which each runs at full speed. */
  readonly fullSpeedTransfers: number;
  /** Limit of transfers started per second. */
  readonly startsPerSecond: number;
}

/** Interface to the rate-limited checkpoint store from which engines load models. */
export interface WeightStore {
  /** Rejects with a StoreError when the weight store does not answer. */
  status(): Promise<WeightStoreStatus>;
}

const OK = 200;

/** Creates a {@link WeightStore} that is read over HTTP. */
export function createHttpWeightStore(client: JsonClient): WeightStore {
  return {
    status: async () => {
      const answer = await client.call({ method: 'GET', path: '/v1/status' });
      if (answer.status !== OK) {
        throw createStoreError(
          EFFECT.NONE,
          `the weight store answered ${answer.status} to GET /v1/status`,
        );
      }
      return answer.body as WeightStoreStatus;
    },
  };
}
