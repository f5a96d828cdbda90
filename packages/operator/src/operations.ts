import * as z from 'zod';
import type { AuditRecord, AuditTrail } from '@bulrushspar/audit';
import {
  checkConfiguration,
  COMMIT_OUTCOME,
  formatEntryName,
  printConfiguration,
  readHistory,
  type AcceptedChange,
  type AcceptedConfiguration,
  type CommitResult,
  type Committer,
} from '@bulrushspar/configuration';
import type { ObjectStore } from '@bulrushspar/store';
import type { Operation, OperatorResponse, OperatorRequest } from './operator.js';

/** Options of {@link createOperations}. */
export interface OperationsOptions {
  readonly store: ObjectStore;
  readonly committer: Committer;
  readonly getAcceptedConfiguration: () => AcceptedConfiguration;
  readonly audit: AuditTrail;
  /** Returns the state of the fleet, as observed by this host. */
  readonly getStatus: () => Promise<unknown>;
  /** Returns the trace of a request that any host of the fleet has handled. */
  readonly findTrace: (requestId: string) => Promise<unknown>;
}

const DEFAULT_RECORD_LIMIT = 100;

const applyBodySchema = z.object({
  file: z.string(),
  text: z.string(),
  author: z.string().min(1),
  base: z.int().nonnegative().optional(),
});

const grantKeyBodySchema = z.object({
  name: z.string(),
  workspace: z.string(),
  sha256: z.string(),
  author: z.string().min(1),
});

const withdrawKeyBodySchema = z.object({ name: z.string(), author: z.string().min(1) });

const createOkResponse = (body: unknown): OperatorResponse => ({ status: 200, body });

/** Converts a configuration change to an audit record. */
function toAuditRecord({ generation, at, author, entries }: AcceptedChange): AuditRecord {
  return {
    at,
    host: '',
    author,
    action: 'configuration.changed',
    subject: `generation ${generation - 1} to ${generation}`,
    detail: entries.map(formatEntryName).join(' '),
  };
}

const HTTP_STATUS_BY_OUTCOME = {
  [COMMIT_OUTCOME.ACCEPTED]: 200,
  [COMMIT_OUTCOME.REFUSED]: 409,
  [COMMIT_OUTCOME.UNKNOWN]: 504,
} as const;

function toCommitResponse(result: CommitResult): OperatorResponse {
  return { status: HTTP_STATUS_BY_OUTCOME[result.outcome], body: result };
}

/**
 * Creates a handler that validates the request body before the operation runs. An invalid body is
 * answered with 400 and a list of all its errors.
 */
function createBodyHandler<Body>(
  schema: z.ZodType<Body>,
  perform: (body: Body) => Promise<OperatorResponse>,
): (request: OperatorRequest) => Promise<OperatorResponse> {
  return async ({ body }) => {
    const result = schema.safeParse(body);
    if (result.success) return perform(result.data);
    return { status: 400, body: { error: z.prettifyError(result.error) } };
  };
}

/** Creates the operations of the operator API. */
export function createOperations(options: OperationsOptions): readonly Operation[] {
  const { store, committer, getAcceptedConfiguration, audit } = options;

  const checkOperation: Operation = {
    method: 'POST',
    pattern: '/operator/configuration/check',
    perform: createBodyHandler(
      z.object({ file: z.string(), text: z.string() }),
      async ({ file, text }) => {
        const result = checkConfiguration(file, text);
        return createOkResponse({ findings: result.ok ? [] : result.findings });
      },
    ),
  };

  const applyOperation: Operation = {
    method: 'POST',
    pattern: '/operator/configuration/apply',
    perform: createBodyHandler(applyBodySchema, async (body) =>
      toCommitResponse(await committer.commitDocument(body)),
    ),
  };

  const showOperation: Operation = {
    method: 'GET',
    pattern: '/operator/configuration',
    perform: async () =>
      createOkResponse({
        ...getAcceptedConfiguration(),
        text: printConfiguration(getAcceptedConfiguration()),
      }),
  };

  const historyOperation: Operation = {
    method: 'GET',
    pattern: '/operator/configuration/history',
    perform: async ({ query }) => {
      const limit = Number(query.get('limit') ?? DEFAULT_RECORD_LIMIT);
      return createOkResponse({ changes: (await readHistory(store)).slice(0, limit) });
    },
  };

  const grantOperation: Operation = {
    method: 'POST',
    pattern: '/operator/keys/grant',
    perform: createBodyHandler(grantKeyBodySchema, async ({ name, workspace, sha256, author }) => {
      const after = { workspace, sha256 };
      const entries = [{ section: 'keys' as const, name, after, mustBeNew: true }];
      return toCommitResponse(await committer.commitEntries({ entries, author }));
    }),
  };

  const withdrawOperation: Operation = {
    method: 'POST',
    pattern: '/operator/keys/withdraw',
    perform: createBodyHandler(withdrawKeyBodySchema, async ({ name, author }) => {
      const entries = [{ section: 'keys' as const, name }];
      const result = await committer.commitEntries({ entries, author });
      const isUnknownKey =
        result.outcome === COMMIT_OUTCOME.ACCEPTED && result.entries.length === 0;
      if (isUnknownKey) return { status: 404, body: { error: `there is no key ${name}` } };
      return toCommitResponse(result);
    }),
  };

  return [
    checkOperation,
    applyOperation,
    showOperation,
    historyOperation,
    grantOperation,
    withdrawOperation,
    {
      method: 'GET',
      pattern: '/operator/status',
      perform: async () => createOkResponse(await options.getStatus()),
    },
    {
      method: 'GET',
      pattern: '/operator/requests/:id',
      perform: async ({ parameters }) => {
        const trace = await options.findTrace(parameters.id!);
        if (trace) return createOkResponse(trace);
        return { status: 404, body: { error: `no host remembers request ${parameters.id}` } };
      },
    },
    {
      method: 'GET',
      pattern: '/operator/audit',
      perform: async ({ query }) => {
        await audit.flush();
        const limit = Number(query.get('limit') ?? DEFAULT_RECORD_LIMIT);
        const [records, history] = await Promise.all([audit.read(limit), readHistory(store)]);
        const allRecords = [...records, ...history.map(toAuditRecord)];
        allRecords.sort((a, b) => b.at.localeCompare(a.at));
        return createOkResponse({ records: allRecords.slice(0, limit) });
      },
    },
  ];
}
