/**
 * Starts the stand-ins and three nodes on loopback, sends one streamed request to a node and keeps
 * running until Ctrl-C. With --exit it stops after the response to that request.
 */
import {
  build,
  getBuiltFile,
  install,
  pause,
  ROOT,
  run,
  startProgram,
  waitForUrl,
} from './tools.mjs';

const HOSTS = ['host-a', 'host-b', 'host-c'];
const FAILURE_DOMAINS = ['north', 'middle', 'south'];
const CALLERS_URL = 'http://127.0.0.1:7301';
const KEY = 'example-key-counter';
const REQUEST = {
  model: 'assistant',
  stream: true,
  max_tokens: 24,
  messages: [{ role: 'user', content: 'Why is my bill lower? Answer in 24 words.' }],
};

const children = [];

function startChild(file, programArguments, environment = {}) {
  const child = startProgram(file, programArguments, { env: { ...process.env, ...environment } });
  children.push(child);
  return child;
}

function startStandins() {
  const startStandin = (kind, port, options = {}) =>
    startChild(getBuiltFile('standins'), [kind, String(port), JSON.stringify(options)]);
  const models = { 'billing-assistant': 14, 'tariff-reviewer': 26 };
  const hosts = HOSTS.map((name, index) => ({
    name,
    failureDomain: FAILURE_DOMAINS[index],
    address: '127.0.0.1',
    port: 7501 + index,
    state: 'live',
  }));
  const engine = { memoryGigabytes: 48, models, weightsUrl: 'http://127.0.0.1:7103' };
  startStandin('objects', 7101);
  startStandin('hosts', 7102, hosts);
  startStandin('weights', 7103, {
    startsPerSecond: 3,
    fullSpeedTransfers: 4,
    gigabytesPerSecond: 20,
  });
  startStandin('engine', 7111, { ...engine, checksOrders: true, betweenTokensMilliseconds: 30 });
  startStandin('engine', 7112, { ...engine, checksOrders: false, betweenTokensMilliseconds: 30 });
  startStandin('service', 7121);
}

/** Sends one streamed request, prints the response and returns whether it arrived completely. */
async function requestCompletion() {
  const startedAt = performance.now();
  const response = await fetch(`${CALLERS_URL}/v1/chat/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${KEY}`, 'content-type': 'application/json' },
    body: JSON.stringify(REQUEST),
  });
  let firstTokenMilliseconds;
  let events = '';
  const decoder = new TextDecoder();
  for await (const chunk of response.body) {
    firstTokenMilliseconds ??= performance.now() - startedAt;
    const text = decoder.decode(chunk, { stream: true });
    events += text;
    for (const [, word] of text.matchAll(/"content":"([^"]*)"/g)) process.stdout.write(word);
  }
  const totalMilliseconds = performance.now() - startedAt;
  process.stdout.write(
    `\n\nstatus ${response.status}, first token after ${firstTokenMilliseconds?.toFixed(0)} ms ` +
      `(with the load of the model), whole after ${totalMilliseconds.toFixed(0)} ms\n`,
  );
  if (response.status !== 200) process.stdout.write(`${events}\n`);
  return response.status === 200 && events.includes('data: [DONE]');
}

function printHints() {
  process.stdout.write(`
Three nodes serve callers on 127.0.0.1:7301, 7302 and 7303. Try:

curl -N ${CALLERS_URL}/v1/chat/completions -H 'Authorization: Bearer ${KEY}' -H 'Content-Type: application/json' -d '${JSON.stringify(REQUEST)}'
curl ${CALLERS_URL}/v1/models -H 'Authorization: Bearer ${KEY}'
curl ${CALLERS_URL}/services/accounts/payments -X POST -H 'Authorization: Bearer ${KEY}' -H 'Idempotency-Key: payment-1' -d '{"amount":12}'
curl ${CALLERS_URL}/metrics
node packages/ctl/dist/main.js --token example-operators-token status

Ctrl-C stops everything.
`);
}

const waitForExit = (child) =>
  new Promise((resolve) => {
    if (child.exitCode !== null || child.signalCode !== null) resolve();
    else child.once('exit', resolve);
  });

/** Stops the nodes before the stand-ins, so that they can release their leases and credit. */
async function stopAll(nodes) {
  nodes.forEach((child) => child.kill('SIGTERM'));
  await Promise.race([Promise.all(nodes.map(waitForExit)), pause(10_000)]);
  children.forEach((child) => child.kill('SIGKILL'));
}

async function main() {
  install();
  build();
  startStandins();
  await Promise.all(
    ['7101/v1/objects/x', '7102/v1/hosts', '7103/v1/status'].map((path) =>
      waitForUrl(`http://127.0.0.1:${path}`),
    ),
  );
  const nodes = HOSTS.map((host) =>
    startChild(getBuiltFile('node'), ['--settings', `examples/${host}.toml`]),
  );
  await Promise.all(
    [7301, 7302, 7303].map((port) => waitForUrl(`http://127.0.0.1:${port}/healthz`)),
  );
  const exitCode = run(
    process.execPath,
    [
      getBuiltFile('ctl'),
      ...['--token', 'example-operators-token', '--as', 'founders'],
      ...['config', 'apply', `${ROOT}/examples/configuration.toml`],
    ],
    { stdio: ['ignore', 'ignore', 'inherit'] },
  );
  if (exitCode !== 0) throw new Error('examples/configuration.toml was not accepted');
  await Promise.all(
    [7301, 7302, 7303].map((port) => waitForUrl(`http://127.0.0.1:${port}/readyz`)),
  );
  const isComplete = await requestCompletion();
  if (process.argv.includes('--exit')) {
    await stopAll(nodes);
    process.exit(isComplete ? 0 : 1);
  }
  printHints();
  process.once('SIGINT', () => stopAll(nodes).then(() => process.exit(0)));
  process.once('SIGTERM', () => stopAll(nodes).then(() => process.exit(0)));
}

main().catch((error) => {
  process.stderr.write(`${error.message}\n`);
  children.forEach((child) => child.kill('SIGKILL'));
  process.exit(1);
});
