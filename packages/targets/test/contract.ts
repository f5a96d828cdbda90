import assert from 'node:assert/strict';
import { After, Given, Then, When } from '@cucumber/cucumber';
import {
  createConnections,
  createHttpEngine,
  exchange,
  isExchangeError,
  ORDER,
  ORDER_ANSWER,
  type Connections,
  type Engine,
  type FlowControl,
} from '@bulrushspar/targets';
import { pause, waitUntil } from '@bulrushspar/bench';
import {
  startEngine,
  startService,
  type EngineFault,
  type EngineStandin,
  type ServiceFault,
  type ServiceStandin,
} from '@bulrushspar/standins';
import type { Dispatcher } from 'undici';

interface TargetWorld {
  service?: ServiceStandin;
  connections?: Connections;
  pickDispatcher: (connections: Connections) => Dispatcher;
  engine?: Engine;
  standin?: EngineStandin;
  outcome: string;
  text: string;
}

const ADAPTERS: Readonly<Record<string, (origin: string) => Engine>> = { http: createHttpEngine };
const SILENCE_MILLISECONDS = 400;
const MODEL = 'model-a';
const TOKENS = 12;

After(async function close(this: TargetWorld) {
  await this.standin?.close();
  await this.engine?.close();
  await this.service?.close();
  await this.connections?.close();
});

Given(
  /^the engine adapter "(.*)" with an engine that (checks orders|does not check orders)$/,
  async function open(this: TargetWorld, adapter: string, checks: string) {
    this.standin = await startEngine({
      models: { [MODEL]: 30, 'model-b': 30, 'model-large': 60 },
      memoryGigabytes: 80,
      loadMilliseconds: 30,
      checksOrders: checks === 'checks orders',
    });
    this.engine = ADAPTERS[adapter]!(this.standin.url);
    this.text = '';
  },
);

const isLoaded = async ({ engine }: TargetWorld, model: string): Promise<boolean> =>
  (await engine!.state()).loaded.some((loaded) => loaded.model === model);

Then('a model that is ordered repeatedly is loaded once', async function load(this: TargetWorld) {
  const order = { order: ORDER.LOAD, model: MODEL, fencing: 5 };
  const answers = await Promise.all([1, 2, 3].map(() => this.engine!.order(order)));
  assert.deepEqual(
    answers,
    [1, 2, 3].map(() => ORDER_ANSWER.ACCEPTED),
  );
  await waitUntil('the load', () => isLoaded(this, MODEL), 2000);
  assert.equal(await this.engine!.order(order), ORDER_ANSWER.ACCEPTED);
  assert.equal(this.standin!.startedLoads[MODEL], 1);
});

Then(
  /^an order with an older fencing number is (.*)$/,
  async function sendOlder(this: TargetWorld, wanted: string) {
    const order = { order: ORDER.LOAD, model: MODEL, fencing: 4 };
    assert.equal(await this.engine!.order(order), wanted);
  },
);

Then(
  'a model that does not fit is answered with {string}',
  async function exceedMemory(this: TargetWorld, wanted: string) {
    const order = { order: ORDER.LOAD, model: 'model-large', fencing: 1 };
    assert.equal(await this.engine!.order(order), wanted);
  },
);

interface ExchangeHooks {
  readonly signal?: AbortSignal;
  readonly onData?: (flow: FlowControl) => void;
}

async function requestCompletion(world: TargetWorld, hooks: ExchangeHooks = {}): Promise<string> {
  const { signal = new AbortController().signal, onData = () => {} } = hooks;
  let flow: FlowControl | undefined;
  try {
    await exchange({
      dispatcher: world.engine!.connections.pool,
      call: {
        method: 'POST',
        path: '/v1/completions',
        headers: { 'content-type': 'application/json', 'x-request-id': 'r1' },
        body: JSON.stringify({
          model: MODEL,
          stream: true,
          max_tokens: TOKENS,
          prompt: `say ${TOKENS}`,
        }),
      },
      receiver: {
        onHead: (head, control) => {
          flow = control;
          assert.equal(head.headers['x-request-id'], 'r1');
        },
        onData: (chunk) => {
          Object.assign(world, { text: world.text + chunk.toString() });
          onData(flow!);
        },
      },
      signal,
      silenceMilliseconds: SILENCE_MILLISECONDS,
    });
    return world.text.includes('data: [DONE]') ? 'whole' : 'not whole';
  } catch (error) {
    return isExchangeError(error) ? `${error.fault}, ${error.progress}` : (error as Error).message;
  }
}

Then(
  'an unload order removes a model and lets its running request finish',
  async function unload(this: TargetWorld) {
    const running = requestCompletion(this);
    await waitUntil('the first chunk', () => this.text !== '', 2000);
    await this.engine!.order({ order: ORDER.UNLOAD, model: MODEL, fencing: 6 });
    assert.equal(await isLoaded(this, MODEL), false);
    assert.equal(await running, 'whole');
  },
);

async function loadModel(world: TargetWorld): Promise<void> {
  await world.engine!.order({ order: ORDER.LOAD, model: MODEL, fencing: 1 });
  await waitUntil('the load', () => isLoaded(world, MODEL), 2000);
}

const SPECIAL_EXCHANGES: Readonly<Record<string, (world: TargetWorld) => Promise<string>>> = {
  none: (world) => requestCompletion(world),
  'connection refused': async (world) => {
    await world.standin!.close();
    const unreachableConnections = createConnections(world.standin!.url);
    const engine = { ...world.engine!, connections: unreachableConnections };
    const outcome = await requestCompletion({ ...world, engine });
    await unreachableConnections.close();
    return outcome;
  },
  'aborted before sending': (world) => requestCompletion(world, { signal: AbortSignal.abort() }),
  'aborted while answering': (world) => {
    const controller = new AbortController();
    return requestCompletion(world, {
      signal: controller.signal,
      onData: () => controller.abort(),
    });
  },
  'receiver throws': (world) =>
    requestCompletion(world, {
      onData: () => {
        throw new Error('thrown by the receiver');
      },
    }),
};

When(
  'an exchange is subject to {string}',
  async function runWithFault(this: TargetWorld, fault: string) {
    await loadModel(this);
    const special = SPECIAL_EXCHANGES[fault];
    if (!special) this.standin!.setFault(() => fault as EngineFault);
    this.outcome = await (special ?? requestCompletion)(this);
  },
);

When(
  'an exchange is paused after its first chunk and resumed',
  async function pauseReceiver(this: TargetWorld) {
    await loadModel(this);
    let paused = false;
    this.outcome = await requestCompletion(this, {
      onData: (flow) => {
        if (paused) return;
        paused = true;
        flow.pause();
        // Longer than the silence timeout, which must not include pauses made by the receiver.
        pause(2 * SILENCE_MILLISECONDS).then(flow.resume, () => {});
      },
    });
  },
);

Then('it ends as {string}', function checkOutcome(this: TargetWorld, wanted: string) {
  assert.equal(this.outcome, wanted);
});

const CONNECTIONS: Readonly<Record<string, (connections: Connections) => Dispatcher>> = {
  'connection pool': ({ pool }) => pool,
  'dedicated client': ({ createSingleUseClient }) => createSingleUseClient(),
};

Given('the service adapter {string}', async function open(this: TargetWorld, name: string) {
  this.service = await startService();
  this.connections = createConnections(this.service.url);
  this.pickDispatcher = CONNECTIONS[name]!;
  // Leaves a keep-alive connection in the pool for the call under test to reuse.
  await callService(this, this.connections.pool);
  this.service.executedCalls.length = 0;
});

async function callService(
  world: TargetWorld,
  dispatcher: Dispatcher,
  maySend: () => boolean = () => true,
): Promise<string> {
  let text = '';
  try {
    await exchange({
      dispatcher,
      call: { method: 'POST', path: '/payments', headers: {}, body: '{}' },
      receiver: {
        onHead: () => {},
        onData: (chunk) => {
          text += chunk.toString();
        },
      },
      signal: new AbortController().signal,
      silenceMilliseconds: SILENCE_MILLISECONDS,
      maySend,
    });
    return text.includes(`"number":${world.service!.executedCalls.length}`) ? 'whole' : text;
  } catch (error) {
    return isExchangeError(error) ? `${error.fault}, ${error.progress}` : (error as Error).message;
  } finally {
    if (dispatcher !== world.connections!.pool) dispatcher.close().catch(() => {});
  }
}

/** The call may not be sent any more once its connection is open. */
const WITHDRAWAL = 'withdrawal';

When(
  'a call to the service is subject to {string}',
  async function runWithFault(this: TargetWorld, fault: string) {
    const { service, connections } = this;
    if (fault === 'connection refused') await service!.close();
    else if (fault !== 'none' && fault !== WITHDRAWAL)
      service!.setFault(() => fault as ServiceFault);
    const maySend = (): boolean => fault !== WITHDRAWAL;
    this.outcome = await callService(this, this.pickDispatcher(connections!), maySend);
  },
);

Then(
  'the call ends as {string} and ran {int} times',
  function checkOutcome(this: TargetWorld, wanted: string, runs: number) {
    assert.equal(this.outcome, wanted);
    assert.equal(this.service!.executedCalls.length, runs);
  },
);
