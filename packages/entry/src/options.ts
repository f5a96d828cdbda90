/** Options and interface of a running entry host. */
import type { Socket } from 'node:net';
import type { FleetConfiguration, ServerEntry } from '@bulrushspar/catalogue';
import type { Clock } from '@bulrushspar/clock';
import type { EngineControl } from '@bulrushspar/loading';
import type { Logger } from '@bulrushspar/logging';
import type { Metrics } from '@bulrushspar/metrics';
import type {
  Call,
  PassingHost,
  RequestHandler,
  SendCall,
  ServerNotice,
} from '@bulrushspar/serving';
import type { EraTracker, ObjectStore, ObjectView } from '@bulrushspar/store';
import type { Evacuation } from './evacuations.js';
import type { QuotaTolerance } from './quotas.js';

/** Location and capacity of a host, and the address at which it accepts links. */
export interface EntryHost {
  readonly name: string;
  readonly failureDomain: string;
  readonly address: string;
  readonly port: number;
  /** Processor capacity, in cores; hosts with the most cores become hubs and leaders. */
  readonly cores: number;
}

/** Tolerances and limits for quotas, retries and handovers. */
export interface FleetBounds {
  readonly quota: QuotaTolerance;
  /** Retries allowed per request. */
  readonly retriesPerRequest: number;
  /** Additional retries allowed to all hosts together in a window. */
  readonly retrySlack: number;
  readonly retryWindowMilliseconds: number;
  /** Minimum time between orders of two hosts to the same server. */
  readonly handoverMilliseconds: number;
  /** Time in which an acknowledged configuration must be in force. */
  readonly configurationMilliseconds?: number;
  /** Time for which a server serves after the store has accepted that it leaves. */
  readonly departureMilliseconds?: number;
  /** Tolerance of the limit on the requests that a cold server receives in a second. */
  readonly cold?: { readonly overshoot: number; readonly slack: number };
}

/** Options of {@link startEntry}. */
export interface EntryOptions<SomeCall extends Call> {
  readonly host: EntryHost;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly store: ObjectStore;
  /** Era of the store, if it can be restored from an older copy. */
  readonly eras?: EraTracker;
  /** Kinds of the platform's objects. */
  readonly kinds: {
    readonly configuration: string;
    readonly servers: string;
    /** Absent if the operators of the deployment do not evacuate failure domains. */
    readonly evacuations?: string | undefined;
  };
  /** @returns undefined if there is no valid configuration */
  readonly decodeConfiguration: (view: ObjectView<unknown>) => FleetConfiguration | undefined;
  /** @returns the version that the operators gave a stored configuration; 0 if it has none */
  readonly rankConfiguration: (value: unknown) => number;
  /** @returns undefined if the entry does not describe a usable server */
  readonly decodeServer: (name: string, value: unknown) => ServerEntry | undefined;
  /** Decodes an operator's request to evacuate a failure domain; it is obeyed whatever its value. */
  readonly decodeEvacuation: (name: string, value: unknown) => Evacuation;
  /**
   * Creates the client for reports and orders.
   * @param onNotice called with what a server tells about itself
   */
  readonly createEngineControl: (
    onNotice: (server: ServerEntry, notice: ServerNotice) => void,
  ) => EngineControl;
  readonly send: SendCall<SomeCall>;
  /** Opens a connection to a server from this host itself. */
  readonly openDirect: (address: string, signal: AbortSignal) => Promise<Socket>;
  /** Whether this host reaches servers itself, as far as it knows. */
  readonly reachesServers: () => boolean;
  /** Called when idle connections may have become unusable, as they lead through a host that stops. */
  readonly onUnusable?: () => void;
  readonly bounds: FleetBounds;
  /** Whether hosts order waiting requests and weigh servers by capacity and speed. */
  readonly sharesCapacity?: boolean;
  /**
   * Whether answers are read on and held for callers that read slowly. Off on the platform until the
   * scenario with 500 slow callers is reliable (KNOWN-RED.txt).
   */
  readonly buffersUnread?: boolean;
  /** Memory of the host; a fraction of it holds answers where capacity is shared. */
  readonly memoryBytes?: number | undefined;
  /** The fleet starts for the first time. */
  readonly isFirstStart: boolean;
  readonly onConfiguration?: (configuration: FleetConfiguration) => void;
  readonly onServers?: (servers: ReadonlyMap<string, ServerEntry>) => void;
  readonly random?: () => number;
}

/** Running entry host of a fleet. */
export interface Entry<SomeCall extends Call> {
  readonly serve: RequestHandler<SomeCall>;
  /** Opens a connection to a server through another host. */
  openThroughHost(address: string, signal: AbortSignal): Promise<Socket>;
  /** Whether a connection may be used for a further request. */
  isUsable(socket: Socket): boolean;
  /** @returns the host through which a connection leads; undefined if it is direct */
  findPassingHost(socket: Socket): PassingHost | undefined;
  /** Opens no more connections for other hosts, and tells them to leave those that it passes on. */
  stopRelaying(): void;
  /** @returns the connections to servers that this host passes on for other hosts */
  countRelayed(): number;
  /** Resets the connections that this host passes on, as it ends before they do. */
  resetRelayed(): void;
  /** Whether nothing may be sent to the server at an address, because of an evacuation. */
  isEvacuated(address: string): boolean;
  /** Whether the host has a configuration and accepts new requests. */
  isReady(): boolean;
  /** Refuses new requests from now on. */
  refuseNewRequests(): void;
  /** Releases the lease for orders, so that another host takes it over. */
  releaseOrderLease(): Promise<void>;
  stop(): Promise<void>;
}
