import {
  createRouteTable,
  pickWeightedShare,
  type FleetConfiguration,
  type Quota,
  type Route,
  type RouteTable,
  type Workspace,
} from '@bulrushspar/catalogue';
import { createRefusal, REFUSAL, type Refusal } from '@bulrushspar/errors';
import type { ReplicatedBucket } from '@bulrushspar/shares';
import type { Call } from './call.js';

/** The routing, priority and quota cost of an admitted request. */
export interface AdmittedRequest {
  readonly route: Route;
  readonly service: string;
  readonly workspace?: Workspace;
  /** 0 is the highest priority. */
  readonly priority: number;
  /** Amount that the request was charged against the workspace's quota. */
  readonly cost: number;
  /** Refunds the quota if the request did not run; later calls have no effect. */
  refund(): void;
}

/** Checks each request against routes, keys and quotas. */
export interface Admission {
  /** Admits a request or throws its refusal. */
  admit(call: Call): AdmittedRequest;
  update(configuration: FleetConfiguration): void;
  version(): number;
}

/** Options of {@link createAdmission}. */
export interface AdmissionOptions {
  readonly bucketOf: (workspace: string) => ReplicatedBucket | undefined;
  readonly random: () => number;
}

interface ActiveConfiguration {
  readonly configuration: FleetConfiguration;
  readonly routes: RouteTable;
  readonly workspacesByKey: ReadonlyMap<string, Workspace>;
}

const MILLISECONDS_PER_SECOND = 1000;
/** Retry-After of a host that has not received a configuration yet. */
const NOT_READY_RETRY_SECONDS = 1;

const createNotReadyRefusal = (): Refusal =>
  createRefusal({
    status: 503,
    code: REFUSAL.NOT_READY,
    message: 'this host has not received a configuration yet',
    retryAfterSeconds: NOT_READY_RETRY_SECONDS,
  });

const createNoRouteRefusal = (call: Call): Refusal =>
  createRefusal({
    status: 404,
    code: REFUSAL.NOT_FOUND,
    message: `no route matches path "${call.path}" on host "${call.host}"`,
  });

const createKeyRefusal = (present: boolean): Refusal =>
  createRefusal({
    status: 401,
    code: present ? REFUSAL.KEY_UNKNOWN : REFUSAL.KEY_MISSING,
    message: present ? 'the API key is unknown' : 'an API key is required',
  });

const createQuotaRefusal = (
  { name, quota }: Workspace,
  bucket: ReplicatedBucket,
  cost: number,
): Refusal => {
  const { ratePerSecond, burst } = quota!;
  const milliseconds = bucket.millisecondsUntil(cost);
  const availability = `${Math.round(bucket.availableTokens())} of ${burst} available, refilled at ${ratePerSecond} per second`;
  return createRefusal({
    status: 429,
    code: REFUSAL.RATE_EXCEEDED,
    message: `workspace "${name}" exceeded its quota: the request costs ${cost}, ${availability}`,
    ...(Number.isFinite(milliseconds)
      ? { retryAfterSeconds: milliseconds / MILLISECONDS_PER_SECOND }
      : {}),
  });
};

/**
 * @returns 1, or the request's tokens if the quota counts them; `defaultRequestTokens` if it states
 * none
 */
export function computeQuotaCost(call: Call, quota: Quota): number {
  if (!quota.countsTokens) return 1;
  return call.tokens ?? quota.defaultRequestTokens;
}

function indexKeys(workspaces: readonly Workspace[]): ReadonlyMap<string, Workspace> {
  return new Map(
    workspaces.flatMap((workspace) =>
      workspace.keys.map((key): [string, Workspace] => [key, workspace]),
    ),
  );
}

/** Creates the admission of one host; it refuses every request until it has a configuration. */
export function createAdmission(options: AdmissionOptions): Admission {
  const { bucketOf, random } = options;
  let active: ActiveConfiguration | undefined;

  const findWorkspace = (
    call: Call,
    route: Route,
    { configuration, workspacesByKey }: ActiveConfiguration,
  ) => {
    if (route.open || configuration.workspaces.length === 0) return undefined;
    const workspace = call.key === undefined ? undefined : workspacesByKey.get(call.key);
    if (!workspace) throw createKeyRefusal(call.key !== undefined);
    return workspace;
  };

  const takeQuota = (call: Call, workspace: Workspace | undefined) => {
    const bucket = workspace?.quota && bucketOf(workspace.name);
    if (!bucket) return { cost: 0, refund: () => {} };
    const cost = computeQuotaCost(call, workspace.quota!);
    if (!bucket.take(cost)) throw createQuotaRefusal(workspace, bucket, cost);
    let refunded = false;
    return {
      cost,
      refund: () => {
        if (!refunded) bucket.refund(cost);
        refunded = true;
      },
    };
  };

  return {
    admit: (call) => {
      if (!active) throw createNotReadyRefusal();
      const route = active.routes.find(call.host, call.path);
      if (!route) throw createNoRouteRefusal(call);
      const workspace = findWorkspace(call, route, active);
      const share = pickWeightedShare(route.shares, random());
      if (!share) throw createNoRouteRefusal(call);
      const priority = workspace?.priority ?? route.priority;
      const quota = takeQuota(call, workspace);
      return { route, service: share.service, workspace, priority, ...quota };
    },
    update: (configuration) => {
      if (active && configuration.version <= active.configuration.version) return;
      const routes = createRouteTable(configuration.routes);
      active = { configuration, routes, workspacesByKey: indexKeys(configuration.workspaces) };
    },
    version: () => active?.configuration.version ?? 0,
  };
}
