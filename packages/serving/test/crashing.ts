/** Simulated servers that crash, and hosts that serve requests with them. */
import { createAdmissionQueue, type AdmissionQueue } from '@bulrushspar/admission';
import type { Route, ServerEntry, Workspace } from '@bulrushspar/catalogue';
import type { ManualClock } from '@bulrushspar/clock';
import { createDemandTracker } from '@bulrushspar/loading';
import { createMetrics } from '@bulrushspar/metrics';
import type { PromptPartTracker, ServerProcess } from '@bulrushspar/routing';
import {
  createAdmission,
  createBalancing,
  createConfirmedSend,
  createEndConfirmation,
  createModelWaits,
  createRequestHandler,
  createServerLimits,
  createServerStates,
  createServingMetrics,
  createStreamVersions,
  listGroupServers,
  PROCESS_STATE,
  type Call,
  type ModelWaits,
  type ProcessState,
  type Reply,
  type RequestHandler,
  type SendCall,
  type ServerLimits,
} from '@bulrushspar/serving';
import { createReplicatedBucket, createRetryBudget } from '@bulrushspar/shares';
import { EXCHANGE_FAULT, EXCHANGE_PROGRESS, type ExchangeError } from '@bulrushspar/targets';

/** A simulated server. */
export interface TestServer {
  readonly id: string;
  born: number;
  isUp: boolean;
  readonly failureDomain?: string;
  isLeaving?: boolean;
  isListed?: boolean;
  /** Ends the exchanges that run at the server. */
  readonly cuts: Set<() => void>;
}

/** What the caller of a request received. */
export interface TestAnswer {
  status: number | undefined;
  retryAfter: number | undefined;
  isBroken: boolean;
  isEnded: boolean;
  text: string;
}

/** A host that serves requests. */
export interface TestHost {
  readonly handler: RequestHandler<Call>;
  readonly waits: ModelWaits;
  /** Requests that wait for a place; undefined if the host sends each at once. */
  readonly places: AdmissionQueue | undefined;
  /**
   * Reads the states of the servers again.
   * @param ageMilliseconds longest time since they changed; 0 by default
   */
  updateServers(ageMilliseconds?: number): void;
}

/** Options of {@link createTestHost}. */
export interface TestHostOptions {
  readonly clock: ManualClock;
  readonly servers: readonly TestServer[];
  readonly promptParts: PromptPartTracker;
  readonly send: SendCall<Call>;
  readonly route?: Partial<Route>;
  readonly workspaces?: readonly Workspace[];
  /** Retries that a host may send besides those that its requests allow; 56 by default. */
  readonly retrySlack?: number;
  /** Limits that servers have named; created for this host by default. */
  readonly limits?: ServerLimits;
  /** Asks a server process for an answer; by default it answers if it runs. */
  readonly ask?: (server: ServerProcess) => Promise<ProcessState>;
  /** Whether a host that passes on a connection has run until its end; true by default. */
  readonly outlivedConnection?: () => Promise<boolean>;
  /** Failure domains to whose servers nothing may be sent. */
  readonly evacuatedDomains?: () => ReadonlySet<string>;
  /** @returns a number from 0 up to but not including 1; always 0 by default */
  readonly random?: () => number;
  /** Loads an adapter; at once by default. */
  readonly ensureAdapter?: () => Promise<boolean>;
  /** Whether a server holds the model. */
  readonly isLoaded?: (server: TestServer) => boolean;
  readonly sharesCapacity?: boolean;
  /** Tokens that each server holds. */
  readonly cacheTokens?: number;
  /** Whether requests wait for places at servers. */
  readonly takesPlaces?: boolean;
}

/** The model that the servers hold. */
export const MODEL = 'm';
const STEP_MILLISECONDS = 10;
const RESTART_MILLISECONDS = 3000;

/** Creates the error of an exchange whose connection broke, or that its host has ended. */
export const createCut = (
  progress: string = EXCHANGE_PROGRESS.ANSWERED,
  fault: string = EXCHANGE_FAULT.CUT,
): ExchangeError =>
  Object.assign(new Error('connection lost'), { progress, fault }) as ExchangeError;

/** Creates servers that run. */
export const createServers = (count: number): TestServer[] =>
  Array.from({ length: count }, (_none, index) => ({
    id: `s${index}`,
    born: 1,
    isUp: true,
    cuts: new Set(),
  }));

const createEntry = (
  { id, born, failureDomain = 'd1', isLeaving = false }: TestServer,
  isLoaded: boolean,
  evacuatedDomains: ReadonlySet<string>,
): ServerEntry => ({
  id,
  service: 'llm',
  address: '127.0.0.1:1',
  failureDomain,
  slots: 8,
  leaving: isLeaving,
  evacuated: evacuatedDomains.has(failureDomain),
  born,
  models: isLoaded ? [{ name: MODEL, version: 1, adapters: [] }] : [],
  inMemory: [],
  onDisk: [],
});

const ROUTE: Route = {
  name: 'r',
  host: 'example',
  pathPrefix: '/r/',
  kind: 'stream',
  timeoutMilliseconds: 10_000,
  objectiveMilliseconds: 5000,
  callerTimeoutMilliseconds: 10_000,
  priority: 0,
  shares: [{ service: 'llm', weight: 1 }],
  attempts: 2,
  open: true,
  resumable: true,
};

/** Creates a host that knows the servers. */
export function createTestHost(options: TestHostOptions): TestHost {
  const { clock, servers, promptParts, send, isLoaded = () => true } = options;
  const { limits = createServerLimits({ clock }), evacuatedDomains = () => new Set() } = options;
  const { ensureAdapter = () => Promise.resolve(true) } = options;
  const { outlivedConnection = () => Promise.resolve(true) } = options;
  const logger = { info: () => {}, warn: () => {}, error: () => {} };
  const askServer = async ({ id, born }: ServerProcess): Promise<ProcessState> => {
    const server = servers.find((candidate) => candidate.id === id)!;
    if (!server.isUp) return PROCESS_STATE.UNREACHABLE;
    return server.born === born ? PROCESS_STATE.ALIVE : PROCESS_STATE.ENDED;
  };
  const states = createServerStates(clock);
  const streams = createStreamVersions({ clock, isFirstStart: true });
  const waits = createModelWaits({ clock });
  const updateServers = (ageMilliseconds = 0): void => {
    const entries = new Map(
      servers
        .filter(({ isListed = true }) => isListed)
        .map((server) => [server.id, createEntry(server, isLoaded(server), evacuatedDomains())]),
    );
    states.update(entries, ageMilliseconds);
    limits.updateServers(entries);
    streams.updateServers(entries);
    promptParts.updateServers(entries);
    const isInUse = ({ failureDomain = 'd1' }: TestServer): boolean =>
      !evacuatedDomains().has(failureDomain);
    waits.endEvacuatedWaits(() => !servers.some(isInUse));
    waits.endReadyWaits(() => servers.some((server) => isLoaded(server) && isInUse(server)));
  };
  updateServers();
  const bucket = createReplicatedBucket({
    clock,
    limits: { perSecond: 1, burst: 1 },
    group: () => ({ linkedFraction: 1 }),
    initialTokens: 1,
    slackPerSecond: 0,
  });
  const admission = createAdmission({ bucketOf: () => bucket, random: () => 0 });
  admission.update({
    version: 1,
    routes: [{ ...ROUTE, ...options.route }],
    services: new Map(),
    workspaces: options.workspaces ?? [],
    callerLimits: { headerBytes: 1, bodyBytes: 1, headerMilliseconds: 1, idleMilliseconds: 1 },
  });
  const places = options.takesPlaces
    ? createAdmissionQueue({
        clock,
        random: () => 0.5,
        fleet: () => ({ hosts: 1, linkedFraction: 1 }),
        waitingElsewhere: () => ({}),
        listServers: (group) => listGroupServers(states, group),
      })
    : undefined;
  const handler = createRequestHandler<Call>({
    clock,
    logger,
    metrics: createServingMetrics(createMetrics()),
    random: options.random ?? (() => 0),
    failureDomain: 'd1',
    admission,
    servers: states,
    waits,
    demand: createDemandTracker({ clock }),
    budget: createRetryBudget({
      clock,
      retriesPerRequest: 0.2,
      slack: options.retrySlack ?? 56,
      windowMilliseconds: 10_000,
      hosts: () => 1,
    }),
    promptParts,
    streams,
    limits,
    onNotice: (server, { limitPerSecond }) => {
      if (limitPerSecond !== undefined) limits.recordNamed(server, limitPerSecond);
    },
    ...(options.sharesCapacity ? { balancing: createBalancing({ now: clock.monotonic }) } : {}),
    cacheTokensOf: () => options.cacheTokens,
    ensureAdapter,
    isEvacuated: ({ failureDomain }) => evacuatedDomains().has(failureDomain),
    getStoppingRefusal: () => undefined,
    places,
    send: createConfirmedSend({
      clock,
      logger,
      send,
      confirmation: createEndConfirmation({ clock, ask: options.ask ?? askServer }),
      outlivedConnection,
    }),
  });
  return { handler, waits, places, updateServers };
}

/**
 * Ends a server with all that it runs; its entry goes when the server is back as a new process.
 * @param onRestart called when the server is back
 */
export function crashServer(clock: ManualClock, server: TestServer, onRestart: () => void): void {
  Object.assign(server, { isUp: false });
  [...server.cuts].forEach((cut) => cut());
  clock.after(RESTART_MILLISECONDS, () => {
    Object.assign(server, { isUp: true, born: server.born + 1 });
    onRestart();
  });
}

/** Connects to a server, as a host does to confirm that its process has ended. */
export function probeServer(
  servers: readonly TestServer[],
  promptParts: PromptPartTracker,
  process: ServerProcess,
): void {
  const { isUp, born } = servers.find(({ id }) => id === process.id)!;
  if (!isUp || born !== process.born) promptParts.recordUnreachable(process);
}

/** Creates the reply that records what a caller receives. */
export const createReply = (answer: TestAnswer): Reply => ({
  gone: new AbortController().signal,
  hasBegun: () => answer.status !== undefined,
  writeHead: (status) => Object.assign(answer, { status }),
  write: (chunk) => {
    Object.assign(answer, { text: answer.text + chunk.toString('utf8') });
    return true;
  },
  onDrain: () => {},
  unreadBytes: () => 0,
  onClose: () => {},
  end: () => Object.assign(answer, { isEnded: true }),
  reset: () => Object.assign(answer, { isBroken: true }),
  refuse: (status, _message, retryAfter) =>
    Object.assign(answer, { status, retryAfter, isEnded: true }),
});

/** Creates an answer of which nothing has arrived. */
export const createAnswer = (): TestAnswer => ({
  status: undefined,
  retryAfter: undefined,
  isBroken: false,
  isEnded: false,
  text: '',
});

/** Describes what the caller of a request received. */
export const describeAnswer = ({ status, isBroken, isEnded }: TestAnswer): string => {
  if (isBroken) return 'a broken answer';
  return status === 200 && isEnded ? 'the answer' : String(status);
};

/** Advances the clock in small steps, so that work that follows each step can run. */
export async function advance(clock: ManualClock, milliseconds: number): Promise<void> {
  for (let elapsed = 0; elapsed < milliseconds; elapsed += STEP_MILLISECONDS) {
    // eslint-disable-next-line no-await-in-loop -- each step starts after the previous one
    await clock.advance(STEP_MILLISECONDS);
  }
}
