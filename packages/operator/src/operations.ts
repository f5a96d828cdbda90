import * as z from 'zod';
import type { AuditRecord, AuditTrail } from '@bulrushspar/audit';
import {
  checkConfiguration,
  COMMIT,
  entryName,
  printConfiguration,
  readHistory,
  type AcceptedChange,
  type AcceptedConfiguration,
  type CommitResult,
  type Committer,
} from '@bulrushspar/configuration';
import type { ObjectStore } from '@bulrushspar/store';
import type { Operation, OperatorAnswer, OperatorRequest } from './operator.js';

/** What the operations work with. */
export interface OperationsOptions {
  readonly store: ObjectStore;
  readonly committer: Committer;
  readonly accepted: () => AcceptedConfiguration;
  readonly audit: AuditTrail;
  /** State of the fleet as this host sees it. */
  readonly status: () => Promise<unknown>;
  /** What happened to a request, on whichever host. */
  readonly explain: (requestId: string) => Promise<unknown>;
}

const DEFAULT_RECORDS = 100;

const documentBody = z.object({
  file: z.string(),
  text: z.string(),
  author: z.string().min(1),
  base: z.int().nonnegative().optional(),
});

const grantBody = z.object({
  name: z.string(),
  workspace: z.string(),
  sha256: z.string(),
  author: z.string().min(1),
});

const withdrawBody = z.object({ name: z.string(), author: z.string().min(1) });

const ok = (body: unknown): OperatorAnswer => ({ status: 200, body });

/** An operator's change as the audit trail shows it. */
function auditChange({ generation, at, author, entries }: AcceptedChange): AuditRecord {
  return {
    at,
    host: '',
    author,
    action: 'configuration.changed',
    subject: `generation ${generation - 1} to ${generation}`,
    detail: entries.map(entryName).join(' '),
  };
}

const STATUS_OF_OUTCOME = {
  [COMMIT.ACCEPTED]: 200,
  [COMMIT.REFUSED]: 409,
  [COMMIT.UNKNOWN]: 504,
} as const;

function commitAnswer(result: CommitResult): OperatorAnswer {
  return { status: STATUS_OF_OUTCOME[result.outcome], body: result };
}

/** Parses a body, then performs; everything wrong in the body is reported together. */
function withBody<Body>(
  schema: z.ZodType<Body>,
  perform: (body: Body) => Promise<OperatorAnswer>,
): (request: OperatorRequest) => Promise<OperatorAnswer> {
  return async ({ body }) => {
    const parsed = schema.safeParse(body);
    if (parsed.success) return perform(parsed.data);
    return { status: 400, body: { error: z.prettifyError(parsed.error) } };
  };
}

/** Lists the operations of the operators' interface. */
export function createOperations(options: OperationsOptions): readonly Operation[] {
  const { store, committer, accepted, audit } = options;

  const checkOperation: Operation = {
    method: 'POST',
    pattern: '/operator/configuration/check',
    perform: withBody(z.object({ file: z.string(), text: z.string() }), async ({ file, text }) => {
      const checked = checkConfiguration(file, text);
      return ok({ findings: checked.ok ? [] : checked.findings });
    }),
  };

  const applyOperation: Operation = {
    method: 'POST',
    pattern: '/operator/configuration/apply',
    perform: withBody(documentBody, async (body) =>
      commitAnswer(await committer.commitDocument(body)),
    ),
  };

  const showOperation: Operation = {
    method: 'GET',
    pattern: '/operator/configuration',
    perform: async () => ok({ ...accepted(), text: printConfiguration(accepted()) }),
  };

  const historyOperation: Operation = {
    method: 'GET',
    pattern: '/operator/configuration/history',
    perform: async ({ query }) => {
      const limit = Number(query.get('limit') ?? DEFAULT_RECORDS);
      return ok({ changes: (await readHistory(store)).slice(0, limit) });
    },
  };

  const grantOperation: Operation = {
    method: 'POST',
    pattern: '/operator/keys/grant',
    perform: withBody(grantBody, async ({ name, workspace, sha256, author }) => {
      const after = { workspace, sha256 };
      const entries = [{ section: 'keys' as const, name, after, mustBeNew: true }];
      return commitAnswer(await committer.commitEntries({ entries, author }));
    }),
  };

  const withdrawOperation: Operation = {
    method: 'POST',
    pattern: '/operator/keys/withdraw',
    perform: withBody(withdrawBody, async ({ name, author }) => {
      const entries = [{ section: 'keys' as const, name }];
      const result = await committer.commitEntries({ entries, author });
      const unchanged = result.outcome === COMMIT.ACCEPTED && result.entries.length === 0;
      if (unchanged) return { status: 404, body: { error: `there is no key ${name}` } };
      return commitAnswer(result);
    }),
  };

  return [
    checkOperation,
    applyOperation,
    showOperation,
    historyOperation,
    grantOperation,
    withdrawOperation,
    { method: 'GET', pattern: '/operator/status', perform: async () => ok(await options.status()) },
    {
      method: 'GET',
      pattern: '/operator/requests/:id',
      perform: async ({ parameters }) => {
        const trace = await options.explain(parameters.id!);
        if (trace) return ok(trace);
        return { status: 404, body: { error: `no host remembers request ${parameters.id}` } };
      },
    },
    {
      method: 'GET',
      pattern: '/operator/audit',
      perform: async ({ query }) => {
        await audit.flush();
        const limit = Number(query.get('limit') ?? DEFAULT_RECORDS);
        const [records, history] = await Promise.all([audit.read(limit), readHistory(store)]);
        const all = [...records, ...history.map(auditChange)];
        all.sort((a, b) => b.at.localeCompare(a.at));
        return ok({ records: all.slice(0, limit) });
      },
    },
  ];
}
