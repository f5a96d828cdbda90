import type { JsonClient } from './http.js';
import { createStoreError, EFFECT } from './failure.js';

/** States of a host in the platform's host list. */
export const HOST_STATE = { LIVE: 'live', LEAVING: 'leaving' } as const;

/** One of {@link HOST_STATE}. */
export type HostState = (typeof HOST_STATE)[keyof typeof HOST_STATE];

/** Entry of the host list: a host on which the platform runs a node. */
export interface ListedHost {
  readonly name: string;
  readonly failureDomain: string;
  /** IP address of the node's peer interface; `port` is its port. */
  readonly address: string;
  readonly port: number;
  readonly state: HostState;
}

/** Interface to the platform's host list, which may be stale. */
export interface HostList {
  /** Rejects with a StoreError when the host list does not answer. */
  hosts(): Promise<readonly ListedHost[]>;
}

const OK = 200;

/** Creates a {@link HostList} that is read over HTTP. */
export function createHttpHostList(client: JsonClient): HostList {
  return {
    hosts: async () => {
      const answer = await client.call({ method: 'GET', path: '/v1/hosts' });
      if (answer.status !== OK) {
        throw createStoreError(
          EFFECT.NONE,
          `the host list answered ${answer.status} to GET /v1/hosts`,
        );
      }
      return (answer.body as { hosts: ListedHost[] }).hosts;
    },
  };
}
