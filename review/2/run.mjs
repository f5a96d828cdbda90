/** Kills an entry host while it passes on answers without a length. */
import { fileURLToPath } from 'node:url';
import { call, createRoute, MODEL, openFleet } from '../lib/fleet.mjs';
import { wait } from '../lib/host.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const EVENTS = 20;
const EVENT_INTERVAL_MILLISECONDS = 50;
const CALL_INTERVAL_MILLISECONDS = 25;
const CALLS = 240;
/** One answer in twenty has no length, as with the site's largest dose of `garble (unframed)`. */
const UNFRAMED_INTERVAL = 20;
const RECORD_FILE = fileURLToPath(new URL('record.txt', import.meta.url));

const createEvent = (id, number) => `id: ${number}\ndata: answer to ${id}, piece ${number}\n\n`;
const createBody = (id) =>
  Array.from({ length: EVENTS }, (_none, index) => createEvent(id, index + 1)).join('');

let answers = 0;
/** What the servers have done, by the id of the call. */
const runs = new Map();

async function answerStream({ request, response, id: server }) {
  const id = request.headers['bulrushspar-attempt-id'];
  answers += 1;
  const isUnframed = answers % UNFRAMED_INTERVAL === 0;
  const run = { server, isUnframed, sent: 0 };
  runs.set(id, run);
  response.useChunkedEncodingByDefault = !isUnframed;
  if (isUnframed) response.shouldKeepAlive = false;
  response.writeHead(200, {
    'content-type': 'text/event-stream',
    'bulrushspar-attempt-id': id,
    'bulrushspar-server-stamp': `${server}.${id}`,
    ...(isUnframed ? { connection: 'close' } : {}),
  });
  for (let number = 1; number <= EVENTS && !response.destroyed; number += 1) {
    response.write(createEvent(id, number));
    run.sent = number;
    // eslint-disable-next-line no-await-in-loop -- events follow one another
    await wait(EVENT_INTERVAL_MILLISECONDS);
  }
  response.end();
}

const fleet = await openFleet({
  hosts: 3,
  servers: ['i-1', 'i-2'].map((id) => ({
    id,
    service: 'assistente',
    models: [{ name: MODEL, version: 1, adapters: [] }],
    answer: answerStream,
  })),
  routes: [createRoute('leitura')],
});
const { note, hosts } = fleet;
let exitCode = 2;
if (fleet.isReady) {
  const [killed] = hosts;
  const pending = [];
  const byId = new Map();
  let hasKilled = false;
  for (let count = 0; count < CALLS; count += 1) {
    const host = hosts[count % hosts.length];
    if (!(host === killed && hasKilled)) {
      const { id, promise } = call({
        port: host.port,
        path: '/leitura/1',
        headers: {
          'bulrushspar-model': MODEL,
          'bulrushspar-token-usage': '646,100',
          'bulrushspar-prompt-prefix': 'a1:155,b2:491',
        },
      });
      byId.set(id, host);
      pending.push(promise);
    }
    // eslint-disable-next-line no-await-in-loop -- calls follow one another
    await wait(CALL_INTERVAL_MILLISECONDS);
    const isUnderWay = [...runs].some(
      ([id, { isUnframed, sent }]) =>
        byId.get(id) === killed && isUnframed && sent > 2 && sent < EVENTS - 4,
    );
    if (HAS_TROUBLE && !hasKilled && isUnderWay) {
      hasKilled = true;
      note(`SIGKILL of ${killed.name}`);
      killed.signal('SIGKILL');
    }
  }
  const results = await Promise.all(pending);
  let whole = 0;
  let cut = 0;
  let broken = 0;
  results.forEach(({ id, status, body, isComplete, error }) => {
    const run = runs.get(id);
    const isWhole = body === createBody(id);
    const isBroken = status === 200 && isComplete && !isWhole;
    if (isWhole) whole += 1;
    else if (!isBroken) cut += 1;
    else broken += 1;
    if (isWhole && status === 200) return;
    note(
      `${id} by ${byId.get(id).name}: status ${status}, ${body.length} of ${createBody(id).length} bytes, ` +
        `${isComplete ? 'looks complete' : `visibly cut (${error})`}, ` +
        `${run?.isUnframed ? 'without a length' : 'in chunks'}${isBroken ? '  <- MIXED' : ''}`,
    );
  });
  note(
    `${results.length} calls: ${whole} whole, ${cut} visibly cut or failed, ${broken} cut and looking complete`,
  );
  if (HAS_TROUBLE && !hasKilled) note('no answer without a length was under way');
  else exitCode = broken > 0 ? 1 : 0;
} else note('the hosts did not become ready');
await fleet.close(RECORD_FILE);
process.exitCode = exitCode;
