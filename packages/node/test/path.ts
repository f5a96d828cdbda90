import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import {
  callService,
  requestChat,
  pause,
  startFleet,
  waitUntil,
  type FleetWorld,
} from '@bulrushspar/bench';
import type { EngineFault } from '@bulrushspar/standins';

const KEY = 'secret-of-alpha';
const SERVICE_UNAVAILABLE = 503;
const MILLISECONDS_PER_SECOND = 1000;

const countWords = (text: string): number => {
  if (!text.startsWith('data: ')) {
    const body = JSON.parse(text) as { choices: { message: { content: string } }[] };
    return body.choices[0]!.message.content.split(' ').length;
  }
  return [...text.matchAll(/"content":"[^"]+"/g)].length;
};

Given('a fleet of {int} node(s)', async function start(this: FleetWorld, nodes: number) {
  this.open = [];
  this.fleet = await startFleet({
    nodes,
    models: { 'model-a': 10, 'model-b': 10, 'model-too-large': 500 },
  });
});

Given('the engines hang on every request', function hang(this: FleetWorld) {
  this.fleet.engines.forEach((engine) => engine.setFault(() => 'silent'));
});

Given('{string} is loaded', async function load(this: FleetWorld, model: string) {
  const answer = await requestChat(this.fleet.nodes[0]!.url, { model });
  assert.ok(answer.isComplete, answer.text);
});

Given(
  /^the next request reaches an engine that (.*)$/,
  function fail(this: FleetWorld, fault: EngineFault) {
    let left = 1;
    const next = (): EngineFault | undefined => {
      left -= 1;
      return left >= 0 ? fault : undefined;
    };
    this.fleet.engines.forEach((engine) => engine.setFault(next));
  },
);

Given(
  'the caller streams {int} tokens from node {int}',
  async function stream(this: FleetWorld, tokens: number, node: number) {
    await new Promise<void>((resolve) => {
      const { url } = this.fleet.nodes[node - 1]!;
      this.open.push(requestChat(url, { tokens, onChunk: () => resolve() }));
    });
  },
);

When(
  /^the caller asks "([^"]*)" for (\d+) tokens (streamed|at once)$/,
  async function ask(this: FleetWorld, model: string, tokens: string, manner: string) {
    const stream = manner === 'streamed';
    this.answer = await requestChat(this.fleet.nodes[0]!.url, {
      model,
      tokens: Number(tokens),
      stream,
    });
  },
);

When(
  'the caller with key {string} asks {string}',
  async function ask(this: FleetWorld, key: string, model: string) {
    this.answer = await requestChat(this.fleet.nodes[0]!.url, { key, model });
  },
);

When('the caller asks {string}', async function ask(this: FleetWorld, model: string) {
  this.answer = await requestChat(this.fleet.nodes[0]!.url, { model });
});

When(
  'the caller asks {string} with a deadline of {int} seconds',
  async function ask(this: FleetWorld, model: string, deadlineSeconds: number) {
    this.answer = await requestChat(this.fleet.nodes[0]!.url, { model, deadlineSeconds });
  },
);

When(
  '{int} callers at each node ask {string} at once',
  async function burst(this: FleetWorld, callers: number, model: string) {
    const calls = this.fleet.nodes.flatMap(({ url }) =>
      Array.from({ length: callers }, () => requestChat(url, { model })),
    );
    this.answers = await Promise.all(calls);
  },
);

When(
  'a request carries its key in every place in which a key could travel',
  async function send(this: FleetWorld) {
    const encoded = Buffer.from(`user:${KEY}`).toString('base64');
    const path = `accounts/balances?member=7&api_key=${KEY}&note=x${KEY}y`;
    this.answer = await callService(this.fleet.nodes[0]!.url, path, {
      key: KEY,
      headers: {
        'x-api-key': KEY,
        'x-forwarded-authorization': `Bearer ${KEY}`,
        'proxy-authorization': `Basic ${encoded}`,
        cookie: `session=1; key=${KEY}`,
        referer: `http://example.org/?key=${KEY}`,
        'x-member': '7',
      },
    });
  },
);

When(
  /^the caller puts its key into the (path|body) of a call$/,
  async function send(this: FleetWorld, place: string) {
    const { url } = this.fleet.nodes[0]!;
    const inPath = place === 'path';
    this.answer = inPath
      ? await callService(url, `accounts/balances/${KEY}`, { key: KEY })
      : await callService(url, 'accounts/payments', {
          method: 'POST',
          key: KEY,
          idempotencyKey: 'p1',
          body: JSON.stringify({ note: KEY }),
        });
  },
);

When(
  '{string} {string} is called without a key',
  async function call(this: FleetWorld, method: string, path: string) {
    this.answer = await callService(this.fleet.nodes[0]!.url, path, { method });
  },
);

When(
  'the caller disconnects after the first of {int} tokens',
  async function leave(this: FleetWorld, tokens: number) {
    const controller = new AbortController();
    const { url } = this.fleet.nodes[0]!;
    await requestChat(url, {
      tokens,
      signal: controller.signal,
      onChunk: () => controller.abort(),
    }).catch(() => {});
  },
);

When(
  'the caller asks {string} {int} times for up to {int} tokens and gets {int}',
  async function repeat(
    this: FleetWorld,
    model: string,
    times: number,
    tokens: number,
    got: number,
  ) {
    this.answers = [];
    for (let time = 0; time < times; time += 1) {
      const { url } = this.fleet.nodes[time % this.fleet.nodes.length]!;
      // eslint-disable-next-line no-await-in-loop -- one request after another
      this.answers.push(await requestChat(url, { model, tokens, prompt: `say ${got} words` }));
    }
  },
);

When('node {int} receives SIGTERM', function stop(this: FleetWorld, node: number) {
  this.fleet.nodes[node - 1]!.signal('SIGTERM');
});

// Two signals that are pending at the same time are delivered as one.
When('node {int} answers that it is not ready', function stopping(this: FleetWorld, node: number) {
  const { url } = this.fleet.nodes[node - 1]!;
  return waitUntil(`node ${node} is not ready`, async () => {
    const answer = await fetch(`${url}/readyz`).catch(() => undefined);
    await answer?.arrayBuffer();
    return answer?.status === SERVICE_UNAVAILABLE;
  });
});

Then('the answer is complete with {int} words', function whole(this: FleetWorld, words: number) {
  assert.ok(this.answer.isComplete, this.answer.text);
  assert.equal(countWords(this.answer.text), words);
});

Then('every answer is complete', function whole(this: FleetWorld) {
  const failed = this.answers.filter((answer) => !answer.isComplete);
  assert.deepEqual(
    failed.map(({ text }) => text),
    [],
  );
});

Then('the open answers are complete', async function whole(this: FleetWorld) {
  const answers = await Promise.all(this.open);
  answers.forEach((answer) => assert.ok(answer.isComplete, answer.text));
});

Then('the open answers end with the error {string}', async function ends(this: FleetWorld, code) {
  const answers = await Promise.all(this.open);
  assert.deepEqual(
    answers.map((answer) => [answer.isComplete, answer.code]),
    answers.map(() => [false, code]),
  );
});

Then(
  'the request is refused as {string} and did not run',
  function refused(this: FleetWorld, code: string) {
    assert.equal(this.answer.code, code, this.answer.text);
    assert.equal(this.answer.ran, false);
  },
);

Then(
  'the request is refused as {string} within {int} ms',
  function refused(this: FleetWorld, code: string, milliseconds: number) {
    assert.equal(this.answer.code, code, this.answer.text);
    assert.ok(
      this.answer.totalMilliseconds < milliseconds,
      `took ${this.answer.totalMilliseconds} ms`,
    );
  },
);

Then('the refusal does not claim that the request did not run', function check(this: FleetWorld) {
  assert.notEqual(this.answer.ran, false);
});

Then('the refusal has a retry-after header', function check(this: FleetWorld) {
  assert.ok(Number(this.answer.headers.get('retry-after')) > 0);
});

Then('the answer ends with the error {string}', function ends(this: FleetWorld, code: string) {
  assert.equal(this.answer.isComplete, false);
  assert.equal(this.answer.code, code, this.answer.text);
});

Then('the answer is cut, without an error in it', function check(this: FleetWorld) {
  const { text, isComplete, code } = this.answer;
  assert.equal(isComplete, false);
  assert.ok(!text.includes('"error"'), text);
  assert.equal(code, undefined);
});

Then('the call is answered with {int}', function answered(this: FleetWorld, status: number) {
  assert.equal(this.answer.status, status, this.answer.text);
});

Then('the service has run {int} call(s)', function ran(this: FleetWorld, calls: number) {
  assert.equal(this.fleet.services.flatMap((service) => service.executedCalls).length, calls);
});

Then('no engine has received a request', function check(this: FleetWorld) {
  assert.equal(this.fleet.engines.flatMap(({ receivedRequests }) => receivedRequests).length, 0);
});

Then('{string} was loaded once', function loaded(this: FleetWorld, model: string) {
  const loads = this.fleet.engines.map(({ startedLoads }) => startedLoads[model] ?? 0);
  assert.equal(
    loads.reduce((sum, count) => sum + count, 0),
    1,
  );
});

Then('the service has received the request without the key', function check(this: FleetWorld) {
  assert.equal(this.answer.status, 200, this.answer.text);
  const [call] = this.fleet.services[0]!.executedCalls;
  const text = JSON.stringify(call);
  const forms = [KEY, Buffer.from(KEY).toString('base64'), encodeURIComponent(KEY)];
  forms.forEach((form) => assert.ok(!text.includes(form), text));
  assert.equal(call!.headers['x-member'], '7');
  assert.equal(call!.path, '/balances?member=7');
});

Then('an engine has cancelled a generation', async function cancelled(this: FleetWorld) {
  await waitUntil(
    'cancelled',
    () => this.fleet.engines.some((engine) => engine.getCancelledCount() > 0),
    5000,
  );
});

Then(
  'node {int} ends with exit code {int}',
  async function ends(this: FleetWorld, node: number, code: number) {
    assert.equal(await this.fleet.nodes[node - 1]!.waitForExit(), code);
  },
);

Then(
  'node {int} ends with exit code {int} within {int} seconds',
  async function ends(this: FleetWorld, node: number, code: number, seconds: number) {
    const timeout = pause(seconds * MILLISECONDS_PER_SECOND).then(() => 'still running');
    assert.equal(await Promise.race([this.fleet.nodes[node - 1]!.waitForExit(), timeout]), code);
  },
);

Then(
  'the explanation names the key, the admission and the server',
  async function explain(this: FleetWorld) {
    const id = this.answer.headers.get('x-request-id')!;
    const path = `/operator/requests/${encodeURIComponent(id)}`;
    const { body } = await this.fleet.callOperatorInterface(0, 'GET', path);
    const steps = (body.steps as { step: string }[]).map(({ step }) => step);
    ['key recognized', 'admitted', 'sent', 'answered'].forEach((step) =>
      assert.ok(steps.includes(step), steps.join()),
    );
  },
);

Given(
  'a fleet of {int} node(s) with {int} services',
  async function start(this: FleetWorld, nodes: number, services: number) {
    this.open = [];
    // The background of the feature has already started another fleet.
    await this.fleet.stop();
    this.fleet = await startFleet({ nodes, services });
  },
);

Given(
  'the first service cuts its answers and the second cannot be reached',
  async function fail(this: FleetWorld) {
    const [first, second] = this.fleet.services;
    first!.setFault(() => 'cut-after');
    await second!.close();
  },
);

When('balances are asked for {int} times', async function ask(this: FleetWorld, times: number) {
  const { url } = this.fleet.nodes[0]!;
  const calls = Array.from({ length: times }, () =>
    callService(url, 'accounts/balances', { key: KEY }),
  );
  this.answers = await Promise.all(calls);
});

Then('no refusal claims that its request did not run', function check(this: FleetWorld) {
  assert.ok(this.answers.length > 0);
  this.answers.forEach(({ status, ran }) => {
    assert.notEqual(status, 200);
    assert.notEqual(ran, false);
  });
});

Given(
  'a fleet of {int} nodes whose weight store transfers one of {string} in a second',
  async function start(this: FleetWorld, nodes: number, list: string) {
    const models = list.split(', ');
    const routeOf = (model: string) => ({ model, priority: model.split('-')[0] });
    this.open = [];
    this.answers = [];
    this.fleet = await startFleet({
      nodes,
      models: Object.fromEntries(models.map((model) => [model, 10])),
      weights: { startsPerSecond: 15, fullSpeedTransfers: 1, gigabytesPerSecond: 10 },
      overrides: { routes: Object.fromEntries(models.map((model) => [model, routeOf(model)])) },
    });
  },
);

const HALF_LOAD_MILLISECONDS = 500;

When(
  'requests for the batches reach node 1 and later one for {string} reaches node 2',
  async function ask(this: FleetWorld, person: string) {
    const [first, second] = this.fleet.nodes;
    const askFor = async (url: string, model: string): Promise<void> => {
      const answer = await requestChat(url, { model });
      this.answers.push(answer);
      if (model === person) this.answer = answer;
    };
    const batches = ['batch-1', 'batch-2', 'batch-3'].map((model) => askFor(first!.url, model));
    await pause(HALF_LOAD_MILLISECONDS);
    await Promise.all([...batches, askFor(second!.url, person)]);
  },
);

Then('all are answered and at most one batch before the person', function check(this: FleetWorld) {
  this.answers.forEach((answer) => assert.ok(answer.isComplete, answer.text));
  assert.ok(this.answers.indexOf(this.answer) <= 1);
});
