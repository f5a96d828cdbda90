import {
  createHttpHostList,
  createHttpObjectStore,
  createHttpWeightStore,
  createJsonClient,
  type HostList,
  type ObjectStore,
  type WeightStore,
} from '@bulrushspar/store';
import type { Settings } from '@bulrushspar/settings';

/** Connections to the platform. */
export interface Platform {
  readonly store: ObjectStore;
  readonly hostList: HostList;
  readonly weightStore: WeightStore;
  close(): Promise<void>;
}

const MILLISECONDS_PER_SECOND = 1000;

/** Opens the adapters to the platform's services. */
export function openPlatform({ platform }: Settings): Platform {
  const timeout = platform.timeout_seconds * MILLISECONDS_PER_SECOND;
  const objects = createJsonClient(platform.object_api, timeout);
  const hosts = createJsonClient(platform.host_list, timeout);
  const weights = createJsonClient(platform.weight_store, timeout);
  return {
    store: createHttpObjectStore(objects),
    hostList: createHttpHostList(hosts),
    weightStore: createHttpWeightStore(weights),
    close: async () => {
      await Promise.all([objects, hosts, weights].map((client) => client.close()));
    },
  };
}
