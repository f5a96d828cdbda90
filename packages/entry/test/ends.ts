/** Asks servers and hosts that answer in different ways. */
import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import type { ServerEntry } from '@bulrushspar/catalogue';
import { createHostQuestion, createServerQuestion } from '@bulrushspar/entry';
import type { ServerReport } from '@bulrushspar/loading';
import type { ProcessState } from '@bulrushspar/serving';
import { createExchangeError, EXCHANGE_FAULT, EXCHANGE_PROGRESS } from '@bulrushspar/targets';

interface EndsWorld {
  state: ProcessState;
  hasOutlived: boolean;
}

const SERVER = { id: 's1', born: 7 } as ServerEntry;
const logger = { info: () => {}, warn: () => {}, error: () => {} };

const createReport = (born: number): ServerReport => ({
  born,
  busy: false,
  sequence: 0,
  models: [],
});

const fail = (
  progress: Parameters<typeof createExchangeError>[1],
  fault: Parameters<typeof createExchangeError>[2],
) => Promise.reject(createExchangeError(new Error('no report'), progress, fault));

const REPORTS: Readonly<Record<string, () => Promise<ServerReport>>> = {
  'reports that it was started at 7': async () => createReport(7),
  'reports that it was started at 8': async () => createReport(8),
  'answers with another status': () => Promise.reject(new Error('status 400')),
  'another server answers': () => fail(EXCHANGE_PROGRESS.ANSWERED, EXCHANGE_FAULT.REPLACED),
  'no connection can be opened': () => fail(EXCHANGE_PROGRESS.NOT_SENT, EXCHANGE_FAULT.UNREACHABLE),
  'the connection is cut before an answer': () => fail(EXCHANGE_PROGRESS.SENT, EXCHANGE_FAULT.CUT),
  'nothing may be sent to it': () => Promise.reject(new Error('the server was asked')),
};

const UPTIMES: Readonly<Record<string, () => Promise<unknown>>> = {
  'tells 5001 ms': async () => 5001,
  'tells 4999 ms': async () => 4999,
  'answers like a build without uptimes': async () => undefined,
  'does not answer': () => Promise.reject(new Error('no answer')),
};

When(
  /^the process started at 7 is asked for its report, and (.+)$/,
  async function ask(this: EndsWorld, outcome: string) {
    const question = createServerQuestion({
      report: REPORTS[outcome]!,
      isClosed: () => outcome === 'nothing may be sent to it',
    });
    this.state = await question(SERVER);
  },
);

Then(/^it counts as (\w+)$/, function check(this: EndsWorld, state: string) {
  assert.equal(this.state, state);
});

When(
  /^a host that opened a connection 5000 ms ago (.+) when asked for its uptime$/,
  async function ask(this: EndsWorld, answer: string) {
    const question = createHostQuestion({ logger, requestUptime: UPTIMES[answer]! });
    this.hasOutlived = await question({ host: 'b', sinceOpened: () => 5000 });
  },
);

Then(
  /^it (has|has not) passed the connection on until its end$/,
  function check(this: EndsWorld, has: string) {
    assert.equal(this.hasOutlived, has === 'has');
  },
);
