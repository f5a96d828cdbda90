/** A server leaves while it loads a model; requests that wait for an adapter are sent to it afterwards. */
import { fileURLToPath } from 'node:url';
import { call, createRoute, MODEL, openFleet, OTHER_MODELS } from '../lib/fleet.mjs';
import { wait } from '../lib/host.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const DRAIN_MILLISECONDS = 2000;
/** A server serves for the drain time and a little longer, and then exits. */
const EXIT_AFTER_MILLISECONDS = DRAIN_MILLISECONDS + 600;
const EVENTS = 14;
const EVENT_INTERVAL_MILLISECONDS = 60;
/** From the order to load the model, which takes six seconds, to the report of the server. */
const LEAVE_AFTER_MILLISECONDS = 4000;
/** From that report to the requests. */
const ASK_AFTER_MILLISECONDS = [700, 800, 900];
const RECORD_FILE = fileURLToPath(new URL('record.txt', import.meta.url));
const [WANTED_MODEL, ...HELD_MODELS] = OTHER_MODELS;

let leftAt = Infinity;
let loadStartedAt;
const arrivals = [];
let fleet;

const answer = async ({ request, response, id: server }) => {
  const id = request.headers['bulrushspar-attempt-id'];
  arrivals.push({ id, server, at: performance.now(), model: request.headers['bulrushspar-model'] });
  response.writeHead(200, {
    'content-type': 'text/event-stream',
    'bulrushspar-attempt-id': id,
    'bulrushspar-server-stamp': `${server}.${id}`,
  });
  for (let number = 1; number <= EVENTS && !response.destroyed; number += 1) {
    response.write(`id: ${number}\ndata: piece ${number}\n\n`);
    // eslint-disable-next-line no-await-in-loop -- events follow one another
    await wait(EVENT_INTERVAL_MILLISECONDS);
  }
  response.end();
};
const onOrder = ({ id, order, status }) => {
  fleet.note(
    `${id} answers ${status} to ${order.operation} ${order.model}${order.adapter ? `/${order.adapter}` : ''}`,
  );
  if (order.model === WANTED_MODEL && status === 202) loadStartedAt = performance.now();
};
const hold = (names) => names.map((name) => ({ name, version: 1, adapters: [] }));

fleet = await openFleet({
  hosts: 3,
  servers: [
    { id: 'i-1', models: hold([MODEL]) },
    // Its memory holds no further model.
    { id: 'i-2', models: hold(HELD_MODELS) },
  ].map((server) => ({ ...server, service: 'assistente', answer, onOrder })),
  routes: [createRoute('leitura'), createRoute('revisao', { timeout_ms: 17_000, goal_ms: 2500 })],
});
const { note, hosts, servers } = fleet;
const ask = (host, path, model, deadline) =>
  call({
    port: host.port,
    path,
    headers: {
      'bulrushspar-model': model,
      'bulrushspar-deadline-ms': String(deadline),
      'bulrushspar-token-usage': '646,100',
      'bulrushspar-prompt-prefix': 'a1:155,b2:491',
    },
  });

let exitCode = 2;
if (fleet.isReady) {
  // The models are in use, so that none gives way to the one that is on no server.
  const use = setInterval(() => {
    [MODEL, ...HELD_MODELS].forEach((model, index) =>
      ask(hosts[index % hosts.length], '/leitura/1', model, 6000),
    );
  }, 250);
  await wait(1000);
  ask(hosts[0], '/revisao/1', WANTED_MODEL, 17_000);
  for (let attempt = 0; attempt < 400 && loadStartedAt === undefined; attempt += 1) {
    // eslint-disable-next-line no-await-in-loop -- polls
    await wait(25);
  }
  if (loadStartedAt === undefined) {
    clearInterval(use);
    note('no load was ordered');
  } else {
    await wait(LEAVE_AFTER_MILLISECONDS - (performance.now() - loadStartedAt));
    if (HAS_TROUBLE) servers[0].leave(EXIT_AFTER_MILLISECONDS);
    leftAt = performance.now();
    note(HAS_TROUBLE ? 'i-1 is leaving: acknowledged by the store' : 'i-1 does not leave');
    const asked = [];
    for (const after of ASK_AFTER_MILLISECONDS) {
      // eslint-disable-next-line no-await-in-loop -- requests follow one another
      await wait(Math.max(0, leftAt + after - performance.now()));
      hosts.forEach((host, index) => {
        const { id, promise } = ask(host, '/leitura/1', `${MODEL}/a${index + 1}`, 6000);
        note(`${id} sent to ${host.name}`);
        asked.push(promise);
      });
    }
    const results = await Promise.all(asked);
    clearInterval(use);
    let breaches = 0;
    results.forEach(({ id, status, isComplete }) => {
      const arrival = arrivals.find((entry) => entry.id === id);
      const after = arrival && arrival.at - leftAt;
      const isBreach = HAS_TROUBLE && after > DRAIN_MILLISECONDS;
      if (isBreach) breaches += 1;
      note(
        `${id}: status ${status}${status === 200 && !isComplete ? ', cut off midway' : ''}${arrival ? `, reached ${arrival.server} ${after.toFixed(0)} ms after its report` : ''}` +
          `${isBreach ? '  <- DRAIN' : ''}`,
      );
    });
    note(`${results.length} requests, ${breaches} breaches of DRAIN`);
    exitCode = breaches > 0 ? 1 : 0;
  }
} else note('the hosts did not become ready');
await fleet.close(RECORD_FILE);
process.exitCode = exitCode;
