import { every, type Clock, type Stop } from '@bulrushspar/clock';
import { TARGET_KIND, type Configuration, type Target } from '@bulrushspar/configuration';
import { createHttpEngine, type Engine, type EngineState, type LoadedModel } from './engine.js';
import { createConnections, type Connections } from './exchange.js';

/** A model server as this host knows it. */
export interface ServerView {
  readonly name: string;
  readonly target: Target;
  readonly engine: Engine;
  /** Latest report; undefined before the first and after the server went silent. */
  state: EngineState | undefined;
  /** Reports missed in a row. */
  missed: number;
  /** Nothing listens there, as the last report showed: its process has ended. */
  refuses: boolean;
  /** The report being waited for. */
  asking: Promise<void> | undefined;
  /** Requests of this host that the server runs now. */
  outstanding: number;
}

/** A plain service's target as this host knows it. */
export interface ServiceView {
  readonly name: string;
  readonly target: Target;
  readonly connections: Connections;
  outstanding: number;
}

/** Knows the targets of the accepted configuration. */
export interface TargetRegistry {
  /** Follows a newer configuration; targets that stay keep their connections. */
  update(configuration: Configuration): void;
  server(name: string): ServerView | undefined;
  servers(): readonly ServerView[];
  service(name: string): ServiceView | undefined;
  /** Asks one server for its state at once. */
  refresh(server: ServerView): Promise<void>;
  stop(): Promise<void>;
}

/** Options of {@link createTargetRegistry}. */
export interface TargetRegistryOptions {
  readonly clock: Clock;
  /** Time between reports, in milliseconds. */
  readonly pollMilliseconds?: number;
  /** Missed reports after which a server counts as silent. */
  readonly missedReports?: number;
  readonly openEngine?: (origin: string) => Engine;
  readonly onSilent?: (server: string) => void;
}

/** What a server last reported of a model; undefined where it does not hold it. */
export function reportOf({ state }: ServerView, model: string): LoadedModel | undefined {
  return state?.loaded.find((loaded) => loaded.model === model);
}

/** Tells whether a server holds a model and takes new work. */
export function holdsModel(server: ServerView, model: string): boolean {
  return !server.target.leaving && reportOf(server, model) !== undefined;
}

/** Tells whether a server reports that it is loading a model. */
export function isLoading({ state }: ServerView, model: string): boolean {
  return state?.loading.includes(model) ?? false;
}

/** URL origin of a target. */
export function originOf({ address, port }: Target): string {
  return address.includes(':') ? `http://[${address}]:${port}` : `http://${address}:${port}`;
}

const sameEndpoint = (a: Target, b: Target): boolean => originOf(a) === originOf(b);

/** Creates a registry that asks each server for its state in turn. */
export function createTargetRegistry(options: TargetRegistryOptions): TargetRegistry {
  const { clock, pollMilliseconds = 500, missedReports = 4 } = options;
  const { openEngine = createHttpEngine } = options;
  const servers = new Map<string, ServerView>();
  const services = new Map<string, ServiceView>();

  const askState = async (server: ServerView): Promise<void> => {
    const view = server;
    try {
      view.state = await server.engine.state();
      view.missed = 0;
      view.refuses = false;
    } catch (error) {
      view.refuses = (error as NodeJS.ErrnoException).code === 'ECONNREFUSED';
      view.missed += 1;
      if (view.missed === missedReports) options.onSilent?.(server.name);
      if (view.missed >= missedReports) view.state = undefined;
    }
  };

  const refresh = (server: ServerView): Promise<void> => {
    const view = server;
    view.asking ??= askState(server).finally(() => {
      view.asking = undefined;
    });
    return view.asking;
  };

  const updateServer = (name: string, target: Target): void => {
    const known = servers.get(name);
    if (known && sameEndpoint(known.target, target)) {
      servers.set(name, Object.assign(known, { target }));
      return;
    }
    known?.engine.close().catch(() => {});
    const engine = openEngine(originOf(target));
    const server: ServerView = {
      name,
      target,
      engine,
      state: undefined,
      missed: 0,
      refuses: false,
      asking: undefined,
      outstanding: 0,
    };
    servers.set(name, server);
    refresh(server).catch(() => {});
  };

  const updateService = (name: string, target: Target): void => {
    const known = services.get(name);
    if (known && sameEndpoint(known.target, target)) {
      services.set(name, Object.assign(known, { target }));
      return;
    }
    known?.connections.close().catch(() => {});
    const connections = createConnections(originOf(target));
    services.set(name, { name, target, connections, outstanding: 0 });
  };

  const removeMissing = (configuration: Configuration): void => {
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

  const stopPolling: Stop = every(clock, pollMilliseconds, () => {
    servers.forEach((server) => {
      refresh(server).catch(() => {});
    });
  });

  return {
    update: (configuration) => {
      removeMissing(configuration);
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
