import { runPeriodically, type Clock, type Stop } from '@bulrushspar/clock';
import { TARGET_KIND, type Configuration, type Target } from '@bulrushspar/configuration';
import { createHttpEngine, type Engine, type EngineState, type LoadedModel } from './engine.js';
import { createConnections, type Connections } from './exchange.js';

/** Local state of a model server: its target, its latest report and its open requests. */
export interface ServerView {
  readonly name: string;
  readonly target: Target;
  readonly engine: Engine;
  /** Latest report; undefined before the first report and once the server counts as silent. */
  state: EngineState | undefined;
  /** Consecutive state requests that failed. */
  consecutiveFailures: number;
  /** The last state request failed with ECONNREFUSED, so the server process has ended. */
  refusesConnections: boolean;
  /** State request in flight, shared by all callers of `refresh`. */
  stateRequest: Promise<void> | undefined;
  /** Requests of this host in flight at the server. */
  requestsInFlight: number;
}

/** Local state of a plain service's target: its connections and its open requests. */
export interface ServiceView {
  readonly name: string;
  readonly target: Target;
  readonly connections: Connections;
  /** Requests of this host in flight at the target. */
  requestsInFlight: number;
}

/** Holds the targets of the accepted configuration and polls the state of the engines. */
export interface TargetRegistry {
  /** Applies a newer configuration; targets whose endpoint is unchanged keep their connections. */
  update(configuration: Configuration): void;
  server(name: string): ServerView | undefined;
  servers(): readonly ServerView[];
  service(name: string): ServiceView | undefined;
  /** Requests the state of one server now, or joins the request in flight. Never rejects. */
  refresh(server: ServerView): Promise<void>;
  /** Stops polling and closes all connections. */
  stop(): Promise<void>;
}

/** Options of {@link createTargetRegistry}. */
export interface TargetRegistryOptions {
  readonly clock: Clock;
  /** Polling interval, in milliseconds; 500 by default. */
  readonly pollIntervalMilliseconds?: number;
  /** Consecutive failed state requests after which a server counts as silent; 4 by default. */
  readonly missedReportLimit?: number;
  readonly openEngine?: (origin: string) => Engine;
  /** Called once each time a server goes silent. */
  readonly onSilent?: (server: string) => void;
}

/** Returns the server's latest report on a model, or undefined if the model is not loaded there. */
export function findLoadedModel({ state }: ServerView, model: string): LoadedModel | undefined {
  return state?.loaded.find((loaded) => loaded.model === model);
}

/** Returns whether a server has the model loaded and accepts new requests. */
export function canServeModel(server: ServerView, model: string): boolean {
  return !server.target.leaving && findLoadedModel(server, model) !== undefined;
}

/** Returns whether a server reports that it is loading the model. */
export function isLoading({ state }: ServerView, model: string): boolean {
  return state?.loading.includes(model) ?? false;
}

/** Returns the HTTP origin of a target, with IPv6 addresses in brackets. */
export function targetOrigin({ address, port }: Target): string {
  return address.includes(':') ? `http://[${address}]:${port}` : `http://${address}:${port}`;
}

const isSameEndpoint = (a: Target, b: Target): boolean => targetOrigin(a) === targetOrigin(b);

/** Creates a registry that polls the state of every server at a fixed interval. */
export function createTargetRegistry(options: TargetRegistryOptions): TargetRegistry {
  const { clock, pollIntervalMilliseconds = 500, missedReportLimit = 4 } = options;
  const { openEngine = createHttpEngine } = options;
  const servers = new Map<string, ServerView>();
  const services = new Map<string, ServiceView>();

  const pollState = async (server: ServerView): Promise<void> => {
    const view = server;
    try {
      view.state = await server.engine.state();
      view.consecutiveFailures = 0;
      view.refusesConnections = false;
    } catch (error) {
      view.refusesConnections = (error as NodeJS.ErrnoException).code === 'ECONNREFUSED';
      view.consecutiveFailures += 1;
      if (view.consecutiveFailures === missedReportLimit) options.onSilent?.(server.name);
      if (view.consecutiveFailures >= missedReportLimit) view.state = undefined;
    }
  };

  const refresh = (server: ServerView): Promise<void> => {
    const view = server;
    view.stateRequest ??= pollState(server).finally(() => {
      view.stateRequest = undefined;
    });
    return view.stateRequest;
  };

  const updateServer = (name: string, target: Target): void => {
    const known = servers.get(name);
    if (known && isSameEndpoint(known.target, target)) {
      servers.set(name, Object.assign(known, { target }));
      return;
    }
    known?.engine.close().catch(() => {});
    const engine = openEngine(targetOrigin(target));
    const server: ServerView = {
      name,
      target,
      engine,
      state: undefined,
      consecutiveFailures: 0,
      refusesConnections: false,
      stateRequest: undefined,
      requestsInFlight: 0,
    };
    servers.set(name, server);
    refresh(server).catch(() => {});
  };

  const updateService = (name: string, target: Target): void => {
    const known = services.get(name);
    if (known && isSameEndpoint(known.target, target)) {
      services.set(name, Object.assign(known, { target }));
      return;
    }
    known?.connections.close().catch(() => {});
    const connections = createConnections(targetOrigin(target));
    services.set(name, { name, target, connections, requestsInFlight: 0 });
  };

  const removeUnconfigured = (configuration: Configuration): void => {
    const kindOf = (name: string) => configuration.targets[name]?.kind;
    [...servers].forEach(([name, { engine }]) => {
      if (kindOf(name) === TARGET_KIND.ENGINE) return;
      servers.delete(name);
      engine.close().catch(() => {});
    });
    [...services].forEach(([name, { connections }]) => {
      if (kindOf(name) === TARGET_KIND.SERVICE) return;
      services.delete(name);
      connections.close().catch(() => {});
    });
  };

  const stopPolling: Stop = runPeriodically(clock, pollIntervalMilliseconds, () => {
    servers.forEach((server) => {
      refresh(server).catch(() => {});
    });
  });

  return {
    update: (configuration) => {
      removeUnconfigured(configuration);
      Object.entries(configuration.targets).forEach(([name, target]) => {
        if (target.kind === TARGET_KIND.ENGINE) updateServer(name, target);
        else updateService(name, target);
      });
    },
    server: (name) => servers.get(name),
    servers: () => [...servers.values()],
    service: (name) => services.get(name),
    refresh,
    stop: async () => {
      stopPolling();
      await Promise.all([
        ...[...servers.values()].map(({ engine }) => engine.close()),
        ...[...services.values()].map(({ connections }) => connections.close()),
      ]);
    },
  };
}
