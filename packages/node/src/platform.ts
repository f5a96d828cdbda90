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
import { createConnections } from '@bulrushspar/targets';

/** Clients of the platform's services. */
export interface PlatformClients {
  readonly store: ObjectStore;
  readonly hostList: HostList;
  readonly weightStore: WeightStore;
  close(): Promise<void>;
}

const MILLISECONDS_PER_SECOND = 1000;

/** Creates the HTTP clients of the platform's services. */
export function createPlatformClients({ platform }: Settings): PlatformClients {
  const timeoutMilliseconds = platform.timeout_seconds * MILLISECONDS_PER_SECOND;
  const createClient = (baseUrl: string) =>
    createJsonClient(baseUrl, timeoutMilliseconds, {
      dispatcher: createConnections(new URL(baseUrl).origin, timeoutMilliseconds).pool,
    });
  const objectClient = createClient(platform.object_api);
  const hostListClient = createClient(platform.host_list);
  const weightStoreClient = createClient(platform.weight_store);
  return {
    store: createHttpObjectStore(objectClient),
    hostList: createHttpHostList(hostListClient),
    weightStore: createHttpWeightStore(weightStoreClient),
    close: async () => {
      await Promise.all(
        [objectClient, hostListClient, weightStoreClient].map((client) => client.close()),
      );
    },
  };
}
