import type { JsonClient } from './http.js';
import { createStoreError, EFFECT } from './failure.js';

/** State of a host in the platform's list. */
export const HOST_STATE = { LIVE: 'live', LEAVING: 'leaving' } as const;

/** One of {@link HOST_STATE}. */
export type HostState = (typeof HOST_STATE)[keyof typeof HOST_STATE];

/** A host that the platform runs a node on. */
export interface ListedHost {
  readonly name: string;
  readonly failureDomain: string;
  /** IP address and port of the node's peer interface. */
  readonly address: string;
  readonly port: number;
  readonly state: HostState;
}

/** Port to the platform's host list, which lags behind the truth. */
export interface HostList {
  /** Throws a StoreError when unanswered. */
  hosts(): Promise<readonly ListedHost[]>;
}

const OK = 200;

/** Creates the adapter to the host list over HTTP. */
export function createHttpHostList(client: JsonClient): HostList {
  return {
    hosts: async () => {
      const answer = await client.call({ method: 'GET', path: '/v1/hosts' });
      if (answer.status !== OK) {
        throw createStoreError(EFFECT.NONE, `the host list answered ${answer.status}`);
      }
      return (answer.body as { hosts: ListedHost[] }).hosts;
    },
  };
}
