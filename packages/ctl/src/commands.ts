import { readFileSync } from 'node:fs';
import { formatFinding, type Finding } from '@bulrushspar/errors';
import { generateKey, hashKey } from '@bulrushspar/keys';
import type { NodeAnswer, NodeClient } from './client.js';
import { formatTable, type Row } from './table.js';
import { createUsageError } from './usage.js';

/** Exit codes; docs/OPERATIONS.md documents them. */
export const EXIT = {
  DONE: 0,
  FAILED: 1,
  USAGE: 2,
  REFUSED: 3,
  UNKNOWN: 4,
  NOT_FOUND: 5,
} as const;

/** Result of a command. */
export interface CommandResult {
  /** One of {@link EXIT}. */
  readonly exit: number;
  /** Output for people. */
  readonly text: string;
  /** Output for programs, printed as JSON. */
  readonly data: unknown;
}

/** Arguments and options of a command. */
export interface CommandInput {
  /** Arguments after the words of the command. */
  readonly positionals: readonly string[];
  /** Team in whose name a change is made; empty if not given. */
  readonly author: string;
  /** Generation that the document was edited from. */
  readonly base?: number;
  readonly workspace?: string;
  readonly name?: string;
  /** Maximum number of listed changes or records. */
  readonly limit: number;
}

/** Runs a command against one node. */
export type Command = (client: NodeClient, input: CommandInput) => Promise<CommandResult>;

interface EntryChange {
  readonly section: string;
  readonly name: string;
  readonly before?: unknown;
  readonly after?: unknown;
}

interface CommitAnswer {
  readonly outcome: 'accepted' | 'refused' | 'unknown';
  readonly generation: number;
  readonly entries: readonly EntryChange[];
  readonly reason: string;
  readonly findings: readonly Finding[];
  readonly conflicts: readonly EntryChange[];
}

const HTTP_OK = 200;
const HTTP_NOT_FOUND = 404;

function createFailure({ status, body }: NodeAnswer): CommandResult {
  const exit = status === HTTP_NOT_FOUND ? EXIT.NOT_FOUND : EXIT.FAILED;
  return {
    exit,
    text: String(body.error ?? `the node answered with status ${status}`),
    data: body,
  };
}

function requireArgument(value: string | undefined, argumentName: string): string {
  if (value === undefined || value === '') throw createUsageError(`${argumentName} is missing`);
  return value;
}

const formatValue = (value: unknown): string =>
  value === undefined ? 'nothing' : JSON.stringify(value);

const formatChange = ({ section, name, before, after }: EntryChange): string =>
  `  ${section}.${name}: ${formatValue(before)} -> ${formatValue(after)}`;

function createCommitResult(answer: NodeAnswer): CommandResult {
  const commit = answer.body as unknown as CommitAnswer;
  if (commit.outcome === 'accepted') {
    const lines = commit.entries.map(formatChange);
    const text = [`accepted: generation ${commit.generation}`, ...lines].join('\n');
    return { exit: EXIT.DONE, text, data: commit };
  }
  if (commit.outcome === 'unknown') {
    const text =
      `unknown: the store did not confirm whether the change took effect.\n` +
      `Look for generation ${commit.generation} in "bulrushsparctl config history" before trying again.`;
    return { exit: EXIT.UNKNOWN, text, data: commit };
  }
  if (commit.outcome !== 'refused') return createFailure(answer);
  const conflictHeading = commit.conflicts.length > 0 ? ['conflicting changes:'] : [];
  const text = [
    `refused: ${commit.reason}`,
    ...commit.findings.map(formatFinding),
    ...conflictHeading,
    ...commit.conflicts.map(formatChange),
  ].join('\n');
  return { exit: EXIT.REFUSED, text, data: commit };
}

function readDocument(input: CommandInput) {
  const file = requireArgument(input.positionals[0], 'FILE');
  return { file, text: readFileSync(file, 'utf8') };
}

const checkConfig: Command = async (client, input) => {
  const answer = await client.post('/operator/configuration/check', readDocument(input));
  if (answer.status !== HTTP_OK) return createFailure(answer);
  const findings = answer.body.findings as Finding[];
  const text = findings.length === 0 ? 'no findings' : findings.map(formatFinding).join('\n');
  return { exit: findings.length === 0 ? EXIT.DONE : EXIT.REFUSED, text, data: answer.body };
};

const applyConfig: Command = async (client, input) => {
  const { author, base } = input;
  const body = { ...readDocument(input), author, base };
  return createCommitResult(await client.post('/operator/configuration/apply', body));
};

const showConfig: Command = async (client) => {
  const answer = await client.get('/operator/configuration');
  if (answer.status !== HTTP_OK) return createFailure(answer);
  return { exit: EXIT.DONE, text: String(answer.body.text), data: answer.body };
};

const showHistory: Command = async (client, { limit }) => {
  const answer = await client.get(`/operator/configuration/history?limit=${limit}`);
  if (answer.status !== HTTP_OK) return createFailure(answer);
  const changes = answer.body.changes as (Row & { entries: EntryChange[] })[];
  const rows = changes.map((change) => ({
    ...change,
    changed: change.entries.map(({ section, name }) => `${section}.${name}`).join(' '),
  }));
  const text = formatTable(['generation', 'at', 'author', 'changed'], rows as unknown as Row[]);
  return { exit: EXIT.DONE, text, data: answer.body };
};

const grantKey: Command = async (client, input) => {
  const workspace = requireArgument(input.workspace, '--workspace');
  const name = requireArgument(input.name, '--name');
  const key = generateKey();
  const sha256 = hashKey(key);
  const { author } = input;
  const answer = await client.post('/operator/keys/grant', { name, workspace, sha256, author });
  if (answer.body.outcome === undefined) return createFailure(answer);
  const result = createCommitResult(answer);
  if (result.exit === EXIT.REFUSED) return result;
  // The node receives only the hash, so the key is printed here or lost. It is printed for an
  // unknown outcome too, since the grant may have taken effect.
  return {
    ...result,
    text: `${result.text}\nkey: ${key}`,
    data: { ...(result.data as object), key },
  };
};

const withdrawKey: Command = async (client, input) => {
  const name = requireArgument(input.positionals[0] ?? input.name, 'NAME');
  const body = { name, author: input.author };
  const answer = await client.post('/operator/keys/withdraw', body);
  return answer.body.outcome === undefined ? createFailure(answer) : createCommitResult(answer);
};

type Entries = Readonly<Record<string, Row>>;

function createListCommand(section: string, columns: readonly string[]): Command {
  return async (client) => {
    const answer = await client.get('/operator/configuration');
    if (answer.status !== HTTP_OK) return createFailure(answer);
    const entries = (answer.body.configuration as Record<string, Entries>)[section] ?? {};
    const rows = Object.entries(entries).map(([name, entry]) => ({ name, ...entry }));
    return { exit: EXIT.DONE, text: formatTable(['name', ...columns], rows), data: rows };
  };
}

const showStatus: Command = async (client) => {
  const answer = await client.get('/operator/status');
  if (answer.status !== HTTP_OK) return createFailure(answer);
  const status = answer.body as Record<string, unknown> & {
    hosts: Row[];
    servers: Row[];
    queues: Row[];
  };
  const readiness = status.ready ? 'ready' : `not ready: ${String(status.why)}`;
  const text = [
    `host ${String(status.host)} in ${String(status.failureDomain)}: ${readiness}`,
    `generation ${String(status.generation)}, confirmed ${String(status.staleness)} ms ago`,
    '',
    formatTable(
      ['name', 'failureDomain', 'listed', 'sight', 'generation', 'staleness'],
      status.hosts,
    ),
    '',
    formatTable(['name', 'failureDomain', 'state', 'running', 'loaded', 'loading'], status.servers),
    '',
    formatTable(['model', 'waiting', 'running'], status.queues),
  ].join('\n');
  return { exit: EXIT.DONE, text, data: status };
};

const explainRequest: Command = async (client, input) => {
  const id = requireArgument(input.positionals[0], 'REQUEST-ID');
  const answer = await client.get(`/operator/requests/${encodeURIComponent(id)}`);
  if (answer.status !== HTTP_OK) return createFailure(answer);
  const steps = answer.body.steps as Row[];
  const text = formatTable(['at', 'step', 'detail'], steps);
  return {
    exit: EXIT.DONE,
    text: `request ${id} on ${String(answer.body.host)}\n${text}`,
    data: answer.body,
  };
};

const showAudit: Command = async (client, { limit }) => {
  const answer = await client.get(`/operator/audit?limit=${limit}`);
  if (answer.status !== HTTP_OK) return createFailure(answer);
  const records = answer.body.records as Row[];
  const columns = ['at', 'host', 'author', 'action', 'subject', 'detail'];
  return { exit: EXIT.DONE, text: formatTable(columns, records), data: records };
};

/** All commands by their words on the command line. */
export const COMMANDS: Readonly<Record<string, Command>> = {
  'config check': checkConfig,
  'config apply': applyConfig,
  'config show': showConfig,
  'config history': showHistory,
  'key grant': grantKey,
  'key withdraw': withdrawKey,
  'workspace list': createListCommand('workspaces', [
    'rate_tokens_per_second',
    'burst_tokens',
    'weight',
  ]),
  'model list': createListCommand('models', [
    'memory_gigabytes',
    'cache_gigabytes',
    'maximum_replicas',
    'concurrent_requests',
  ]),
  'adapter list': createListCommand('adapters', ['model', 'memory_gigabytes']),
  status: showStatus,
  explain: explainRequest,
  audit: showAudit,
};
