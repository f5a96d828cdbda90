/** Quotas of one workspace, for tests of what hosts tell each other about them. */
import type { ManualClock } from '@bulrushspar/clock';
import { createQuotas, type Quotas } from '@bulrushspar/entry';

/** Workspace whose tokens are counted. */
export const WORKSPACE = 'w';

/** Creates the quotas of one host; the bucket of the workspace is full and never refilled. */
export function createTestQuotas(clock: ManualClock, burst: number): Quotas {
  const quotas = createQuotas({
    clock,
    linkedFraction: () => 1,
    isFirstStart: true,
    tolerance: { windowMilliseconds: 8000, overshoot: 0.1, slack: 0 },
  });
  const quota = { ratePerSecond: 0, burst, countsTokens: true, defaultRequestTokens: 1 };
  quotas.update({
    version: 1,
    routes: [],
    services: new Map(),
    workspaces: [{ name: WORKSPACE, keys: [], quota }],
    callerLimits: { headerBytes: 0, bodyBytes: 0, headerMilliseconds: 0, idleMilliseconds: 0 },
  });
  return quotas;
}
