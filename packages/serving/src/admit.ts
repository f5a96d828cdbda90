import {
  createRouteTable,
  pickShare,
  type FleetConfiguration,
  type Quota,
  type Route,
  type RouteTable,
  type Workspace,
} from '@bulrushspar/catalogue';
import { createRefusal, REFUSAL, type Refusal } from '@bulrushspar/errors';
import type { ReplicatedBucket } from '@bulrushspar/shares';
import type { Call } from './call.js';

/** A request that may be served. */
export interface Admitted {
  readonly route: Route;
  readonly service: string;
  readonly workspace?: Workspace;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** What the request counts against the workspace's quota. */
  readonly cost: number;
  /** Gives the quota back where the request did not run. */
  refund(): void;
}

/** Decides which requests may be served. */
export interface Admission {
  /** Throws a refusal where a request may not be served. */
  admit(call: Call): Admitted;
  update(configuration: FleetConfiguration): void;
  version(): number;
}

/** Options of {@link createAdmission}. */
export interface AdmissionOptions {
  readonly bucketOf: (workspace: string) => ReplicatedBucket | undefined;
  readonly random: () => number;
}

interface InForce {
  readonly configuration: FleetConfiguration;
  readonly routes: RouteTable;
  readonly byKey: ReadonlyMap<string, Workspace>;
}

const MILLISECONDS_PER_SECOND = 1000;
/** Retry-After of a host that has no configuration yet. */
const START_SECONDS = 1;

const notReady = (): Refusal =>
  createRefusal({
    status: 503,
    code: REFUSAL.NOT_READY,
    message: 'this host has no configuration yet',
    retryAfterSeconds: START_SECONDS,
  });

const noRoute = (call: Call): Refusal =>
  createRefusal({
    status: 404,
    code: REFUSAL.NOT_FOUND,
    message: `no route leads from ${call.path} at ${call.host}`,
  });

const badKey = (present: boolean): Refusal =>
  createRefusal({
    status: 401,
    code: present ? REFUSAL.KEY_UNKNOWN : REFUSAL.KEY_MISSING,
    message: present ? 'the key is not known' : 'a key is needed',
  });

const overQuota = ({ name, quota }: Workspace, bucket: ReplicatedBucket, cost: number): Refusal => {
  const { perSecond, burst } = quota!;
  const milliseconds = bucket.millisecondsUntil(cost);
  const left = `${Math.round(bucket.level())} left of ${burst}, ${perSecond} more each second`;
  return createRefusal({
    status: 429,
    code: REFUSAL.RATE_EXCEEDED,
    message: `workspace "${name}" has used its rate and burst: ${cost} needed, ${left}`,
    ...(Number.isFinite(milliseconds)
      ? { retryAfterSeconds: milliseconds / MILLISECONDS_PER_SECOND }
      : {}),
  });
};

/** What a request counts against a quota. */
export function costOfCall(call: Call, quota: Quota): number {
  if (!quota.countsTokens) return 1;
  return call.tokens ?? quota.plainTokens;
}

function indexKeys(workspaces: readonly Workspace[]): ReadonlyMap<string, Workspace> {
  return new Map(
    workspaces.flatMap((workspace) =>
      workspace.keys.map((key): [string, Workspace] => [key, workspace]),
    ),
  );
}

/** Creates the admission of one host; it refuses everything until it has a configuration. */
export function createAdmission(options: AdmissionOptions): Admission {
  const { bucketOf, random } = options;
  let inForce: InForce | undefined;

  const findWorkspace = (call: Call, route: Route, { configuration, byKey }: InForce) => {
    if (route.open || configuration.workspaces.length === 0) return undefined;
    const workspace = call.key === undefined ? undefined : byKey.get(call.key);
    if (!workspace) throw badKey(call.key !== undefined);
    return workspace;
  };

  const takeQuota = (call: Call, workspace: Workspace | undefined) => {
    const bucket = workspace?.quota && bucketOf(workspace.name);
    if (!bucket) return { cost: 0, refund: () => {} };
    const cost = costOfCall(call, workspace.quota!);
    if (!bucket.take(cost)) throw overQuota(workspace, bucket, cost);
    let refunded = false;
    return {
      cost,
      refund: () => {
        if (!refunded) bucket.giveBack(cost);
        refunded = true;
      },
    };
  };

  return {
    admit: (call) => {
      if (!inForce) throw notReady();
      const route = inForce.routes.find(call.host, call.path);
      if (!route) throw noRoute(call);
      const workspace = findWorkspace(call, route, inForce);
      const share = pickShare(route.shares, random());
      if (!share) throw noRoute(call);
      const priority = workspace?.priority ?? route.priority;
      const quota = takeQuota(call, workspace);
      return { route, service: share.service, workspace, priority, ...quota };
    },
    update: (configuration) => {
      if (inForce && configuration.version <= inForce.configuration.version) return;
      const routes = createRouteTable(configuration.routes);
      inForce = { configuration, routes, byKey: indexKeys(configuration.workspaces) };
    },
    version: () => inForce?.configuration.version ?? 0,
  };
}
