import type { JsonClient } from './http.js';
import { createStoreError, EFFECT } from './failure.js';

/** Load on the weight store. */
export interface WeightStoreStatus {
  /** Transfers under way. */
  readonly transfers: number;
  /** Transfers that run at full speed side by side. */
  readonly fullSpeedTransfers: number;
  /** Transfers that may begin in a second. */
  readonly startsPerSecond: number;
}

/** Port to the rate-limited store of checkpoints, from which engines load. */
export interface WeightStore {
  /** Throws a StoreError when unanswered. */
  status(): Promise<WeightStoreStatus>;
}

const OK = 200;

/** Creates the adapter to the weight store over HTTP. */
export function createHttpWeightStore(client: JsonClient): WeightStore {
  return {
    status: async () => {
      const answer = await client.call({ method: 'GET', path: '/v1/status' });
      if (answer.status !== OK) {
        throw createStoreError(EFFECT.NONE, `the weight store answered ${answer.status}`);
      }
      return answer.body as WeightStoreStatus;
    },
  };
}
