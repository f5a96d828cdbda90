import * as z from 'zod';

/** Priorities of requests. */
export const PRIORITY = { PERSON: 'person', BATCH: 'batch' } as const;

/** One of {@link PRIORITY}. */
export type Priority = (typeof PRIORITY)[keyof typeof PRIORITY];

/** Kinds of targets. */
export const TARGET_KIND = { ENGINE: 'engine', SERVICE: 'service' } as const;

const HIGHEST_PORT = 65_535;
const NAME_PATTERN = /^[a-z0-9][a-z0-9._-]*$/;
const SHA256_PATTERN = /^[0-9a-f]{64}$/;
const PATH_PATTERN = /^\/[^?#]*$/;

const name = z
  .string('a name')
  .regex(NAME_PATTERN, 'a name of lower-case letters, digits, dots, dashes and underscores');
const positive = (what: string) => z.number(what).positive(`${what} above 0`);
const count = (what: string) => z.int(what).positive(`${what} above 0`);
const flag = z.boolean('true or false');
const named = <Entry extends z.ZodType>(entry: Entry) =>
  z.record(name, entry, 'a table of named entries').default({});

const hosts = z
  .strictObject({
    /** Longest time a request may wait or run unless its route says otherwise. */
    deadline_seconds: positive('a number of seconds').default(30),
    /** Requests that one host holds at once. */
    open_requests: count('a whole number').default(2000),
    body_bytes: count('a number of bytes').default(1_000_000),
    /** Silence after which a target is probed and its connection dropped. */
    silence_seconds: positive('a number of seconds').default(10),
    /** Age at which a host's knowledge of the configuration counts as stale. */
    freshness_seconds: positive('a number of seconds').default(5),
  })
  .prefault({});

const workspace = z.strictObject({
  rate_tokens_per_second: positive('a number of tokens per second'),
  burst_tokens: positive('a number of tokens'),
  weight: positive('a number').default(1),
});

const key = z.strictObject({
  workspace: name,
  sha256: z
    .string('a hash')
    .regex(SHA256_PATTERN, 'a SHA-256 hash of 64 lower-case hexadecimal digits'),
});

const model = z.strictObject({
  memory_gigabytes: positive('a number of gigabytes'),
  maximum_replicas: count('a whole number').default(1),
  /** Memory for the KV cache of each replica. */
  cache_gigabytes: z
    .number('a number of gigabytes')
    .nonnegative('a number of gigabytes')
    .default(0),
  /** Requests that one replica runs at once. */
  concurrent_requests: count('a whole number').default(64),
  /** Servers that may hold it; all engines where empty. */
  targets: z.array(name, 'a list of targets').default([]),
});

const adapter = z.strictObject({
  model: name,
  memory_gigabytes: positive('a number of gigabytes'),
});

const path = z.string('a path').regex(PATH_PATTERN, 'a path that begins with /');

const route = z.strictObject({
  /** Name under which callers ask for a model. */
  model: name.optional(),
  adapter: name.optional(),
  /** Plain service, for routes below /services/NAME. */
  service: name.optional(),
  path: path.default('/'),
  methods: z
    .array(z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE'], 'an HTTP method'))
    .default(['GET']),
  /** No key is asked for. */
  open: flag.default(false),
  /** Calls may be repeated without harm. */
  repeatable: flag.default(true),
  /** Workspaces that may use it; all where empty. */
  workspaces: z.array(name, 'a list of workspaces').default([]),
  priority: z.enum(['person', 'batch'], 'one of person, batch').default(PRIORITY.PERSON),
  deadline_seconds: positive('a number of seconds').optional(),
  /** Tokens that a call of a plain service costs its workspace. */
  cost_tokens: z.number('a number of tokens').nonnegative('a number of tokens').default(1),
});

const service = z.strictObject({
  targets: z.array(name, 'a list of targets').min(1, 'at least one target'),
});

const target = z.strictObject({
  kind: z.enum(['engine', 'service'], 'one of engine, service'),
  address: z.union([z.ipv4(), z.ipv6()], 'an IP address'),
  port: z.int('a whole number').min(1, 'a port from 1').max(HIGHEST_PORT, 'a port to 65535'),
  failure_domain: z.string('a failure domain').min(1, 'a failure domain'),
  memory_gigabytes: positive('a number of gigabytes').optional(),
  /** The target refuses orders with an old fencing number. */
  checks_orders: flag.default(false),
  /** Gets no new work. */
  leaving: flag.default(false),
});

/** Schema of the whole document. */
export const documentSchema = z.strictObject({
  /** Team that owns each section. */
  owners: z.record(z.string(), z.string('the name of a team'), 'a table of owners').default({}),
  hosts,
  workspaces: named(workspace),
  keys: named(key),
  models: named(model),
  adapters: named(adapter),
  routes: named(route),
  services: named(service),
  targets: named(target),
});

/** The configuration that operators write. */
export type Configuration = z.output<typeof documentSchema>;
/** Limits of each host. */
export type HostLimits = Configuration['hosts'];
/** Rate and burst of a workspace. */
export type Workspace = z.output<typeof workspace>;
/** Hash of a key and the workspace it opens. */
export type Key = z.output<typeof key>;
/** A model and what it needs. */
export type Model = z.output<typeof model>;
/** An adapter on top of a model. */
export type Adapter = z.output<typeof adapter>;
/** Which work callers may ask for, and how it is treated. */
export type Route = z.output<typeof route>;
/** A plain service beside the model engines. */
export type Service = z.output<typeof service>;
/** A model server or the host of a plain service. */
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
