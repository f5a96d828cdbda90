import * as z from 'zod';

/** Priorities of requests. */
export const PRIORITY = { PERSON: 'person', BATCH: 'batch' } as const;

/** One of {@link PRIORITY}. */
export type Priority = (typeof PRIORITY)[keyof typeof PRIORITY];

/** Kinds of targets: model engines and plain services. */
export const TARGET_KIND = { ENGINE: 'engine', SERVICE: 'service' } as const;

const MAX_PORT = 65_535;
const NAME_PATTERN = /^[a-z0-9][a-z0-9._-]*$/;
const SHA256_PATTERN = /^[0-9a-f]{64}$/;
const PATH_PATTERN = /^\/[^?#]*$/;

const name = z
  .string('a name')
  .regex(NAME_PATTERN, 'a name of lower-case letters, digits, dots, dashes and underscores');
const positiveNumber = (description: string) =>
  z.number(description).positive(`${description} above 0`);
const positiveInteger = (description: string) =>
  z.int(description).positive(`${description} above 0`);
const booleanFlag = z.boolean('true or false');
const namedEntries = <Entry extends z.ZodType>(entry: Entry) =>
  z.record(name, entry, 'a table of named entries').default({});

const hosts = z
  .strictObject({
    /** Longest time that a request may wait and run, unless its route sets another one. */
    deadline_seconds: positiveNumber('a number of seconds').default(30),
    /** Maximum number of open requests of one host. */
    open_requests: positiveInteger('a whole number').default(2000),
    /** Maximum size of a request body. */
    body_bytes: positiveInteger('a number of bytes').default(1_000_000),
    /** Time without data from a target after which it is probed and its connection closed. */
    silence_seconds: positiveNumber('a number of seconds').default(10),
    /** Time since the last confirmation after which a host's configuration counts as stale. */
    freshness_seconds: positiveNumber('a number of seconds').default(5),
  })
  .prefault({});

const workspace = z.strictObject({
  rate_tokens_per_second: positiveNumber('a number of tokens per second'),
  burst_tokens: positiveNumber('a number of tokens'),
  weight: positiveNumber('a number').default(1),
});

const key = z.strictObject({
  workspace: name,
  sha256: z
    .string('a hash')
    .regex(SHA256_PATTERN, 'a SHA-256 hash of 64 lower-case hexadecimal digits'),
});

const model = z.strictObject({
  memory_gigabytes: positiveNumber('a number of gigabytes'),
  maximum_replicas: positiveInteger('a whole number').default(1),
  /** Memory for the KV cache of each replica, in gigabytes. */
  cache_gigabytes: z
    .number('a number of gigabytes')
    .nonnegative('a number of gigabytes')
    .default(0),
  /** Requests that one replica runs concurrently. */
  concurrent_requests: positiveInteger('a whole number').default(64),
  /** Targets that may load the model; all engines if empty. */
  targets: z.array(name, 'a list of targets').default([]),
});

const adapter = z.strictObject({
  model: name,
  memory_gigabytes: positiveNumber('a number of gigabytes'),
});

const path = z.string('a path').regex(PATH_PATTERN, 'a path that begins with /');

const route = z.strictObject({
  /** Model that serves the route; callers request it by the name of the route. */
  model: name.optional(),
  adapter: name.optional(),
  /** Plain service, for routes below /services/NAME. */
  service: name.optional(),
  path: path.default('/'),
  methods: z
    .array(z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE'], 'an HTTP method'))
    .default(['GET']),
  /** Accepts requests without a key. */
  open: booleanFlag.default(false),
  /** Calls are idempotent and may be retried. */
  repeatable: booleanFlag.default(true),
  /** Workspaces that may use the route; all if empty. */
  workspaces: z.array(name, 'a list of workspaces').default([]),
  priority: z.enum(['person', 'batch'], 'one of person, batch').default(PRIORITY.PERSON),
  deadline_seconds: positiveNumber('a number of seconds').optional(),
  /** Tokens that a call of a plain service takes from the quota of its workspace. */
  cost_tokens: z.number('a number of tokens').nonnegative('a number of tokens').default(1),
});

const service = z.strictObject({
  targets: z.array(name, 'a list of targets').min(1, 'at least one target'),
});

const target = z.strictObject({
  kind: z.enum(['engine', 'service'], 'one of engine, service'),
  address: z.union([z.ipv4(), z.ipv6()], 'an IP address'),
  port: z.int('a whole number').min(1, 'a port from 1').max(MAX_PORT, 'a port to 65535'),
  failure_domain: z.string('a failure domain').min(1, 'a failure domain'),
  memory_gigabytes: positiveNumber('a number of gigabytes').optional(),
  /** The target refuses orders with a stale fencing token. */
  checks_orders: booleanFlag.default(false),
  /** Draining: receives no new requests. */
  leaving: booleanFlag.default(false),
});

/** Schema of the configuration document. */
export const documentSchema = z.strictObject({
  /** Owning team by section; only this team may change the section. */
  owners: z.record(z.string(), z.string('the name of a team'), 'a table of owners').default({}),
  hosts,
  workspaces: namedEntries(workspace),
  keys: namedEntries(key),
  models: namedEntries(model),
  adapters: namedEntries(adapter),
  routes: namedEntries(route),
  services: namedEntries(service),
  targets: namedEntries(target),
});

/** The configuration, with defaults filled in. */
export type Configuration = z.output<typeof documentSchema>;
/** Limits that apply to each host. */
export type HostLimits = Configuration['hosts'];
/** Token rate, burst and weight of a workspace. */
export type Workspace = z.output<typeof workspace>;
/** Hash of an API key and the workspace that it gives access to. */
export type Key = z.output<typeof key>;
/** A model with its memory, replicas and concurrency. */
export type Model = z.output<typeof model>;
/** An adapter, its base model and its memory. */
export type Adapter = z.output<typeof adapter>;
/** Model or service that callers may request, who may, and with which limits. */
export type Route = z.output<typeof route>;
/** A plain service and its targets. */
export type Service = z.output<typeof service>;
/** A model engine or a server of a plain service. */
export type Target = z.output<typeof target>;

/** Sections of the document in the order in which they are shown. */
export const SECTIONS = [
  'owners',
  'hosts',
  'workspaces',
  'keys',
  'models',
  'adapters',
  'routes',
  'services',
  'targets',
] as const;

/** Name of a section. */
export type SectionName = (typeof SECTIONS)[number];
