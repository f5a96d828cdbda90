/** Cuts the two hosts that read the configuration from the store, while keys are taken away. */
import { fileURLToPath } from 'node:url';
import { call, createConfiguration, createRoute, KEY, openFleet } from '../lib/fleet.mjs';
import { wait } from '../lib/host.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const HOSTS = 5;
/** Hosts that are cut from the store: the ones that read it for all. */
const CUT_HOSTS = [0, 1];
const CONFIG_APPLY_MILLISECONDS = 2000;
const ROUNDS = 6;
/** Between two keys that are taken away, as in the small site; the cut comes halfway. */
const REVOKE_GAP_MILLISECONDS = 100;
const CUT_MILLISECONDS = 5500;
const ASK_MILLISECONDS = 3000;
const ASK_INTERVAL_MILLISECONDS = 20;
const SETTLE_MILLISECONDS = 6000;
const RECORD_FILE = fileURLToPath(new URL('record.txt', import.meta.url));
const FIRST_KEY = 'key-that-is-taken-away-first';
const SECOND_KEY = 'key-that-is-taken-away-second';

const cutUntil = Array.from({ length: HOSTS }, () => 0);
const routes = [
  createRoute('saldo', { type: 'idempotent', service: 'contas', timeout_ms: 1000, attempts: 2 }),
];
const runs = new Set();
const answer = async ({ request, response, id: server }) => {
  const id = request.headers['bulrushspar-attempt-id'];
  runs.add(id);
  const body = `balance for ${id}`;
  response.writeHead(200, {
    'content-length': body.length,
    'bulrushspar-attempt-id': id,
    'bulrushspar-server-stamp': `${server}.${id}`,
  });
  response.end(body);
};
const fleet = await openFleet({
  hosts: HOSTS,
  servers: ['i-1', 'i-2', 'i-3'].map((id) => ({ id, service: 'contas', answer })),
  routes,
  rules: (index) => ({ isCut: () => performance.now() < cutUntil[index] }),
});
const { note, hosts, store } = fleet;
let version = 1;
const writeKeys = (keys) => {
  version += 3;
  store.put('config', 'main', createConfiguration({ version, routes, keys }));
  note(`version ${version} acknowledged, with ${keys.length} keys`);
  return performance.now();
};

let exitCode = 2;
if (fleet.isReady) {
  let breaches = 0;
  for (let round = 0; round < ROUNDS; round += 1) {
    /* eslint-disable no-await-in-loop -- rounds follow one another */
    writeKeys([KEY, FIRST_KEY, SECOND_KEY]);
    await wait(SETTLE_MILLISECONDS);
    writeKeys([KEY, SECOND_KEY]);
    await wait(REVOKE_GAP_MILLISECONDS / 2);
    if (HAS_TROUBLE) {
      CUT_HOSTS.forEach((index) => {
        cutUntil[index] = performance.now() + CUT_MILLISECONDS;
      });
      note(`${CUT_HOSTS.map((index) => hosts[index].name).join(' and ')} cut from the store`);
    }
    await wait(REVOKE_GAP_MILLISECONDS / 2);
    const acknowledgedAt = writeKeys([KEY]);
    const asked = [];
    while (performance.now() < acknowledgedAt + ASK_MILLISECONDS) {
      hosts.forEach((host, index) => {
        // The hosts that are cut are out of touch.
        if (CUT_HOSTS.includes(index)) return;
        const sentAfter = performance.now() - acknowledgedAt;
        const headers = { authorization: `Token ${SECOND_KEY}` };
        const { id, promise } = call({
          port: host.port,
          path: '/saldo/1',
          method: 'GET',
          body: '',
          headers,
        });
        asked.push(promise.then(({ status }) => ({ id, status, sentAfter, host: host.name })));
      });
      await wait(ASK_INTERVAL_MILLISECONDS);
    }
    const results = await Promise.all(asked);
    const late = results.filter(
      ({ id, sentAfter }) => runs.has(id) && sentAfter > CONFIG_APPLY_MILLISECONDS,
    );
    late.forEach(({ id, sentAfter, host, status }) =>
      note(
        `${id} to ${host}, sent ${sentAfter.toFixed(0)} ms after the acknowledgement, ran: status ${status}  <- CONFIG`,
      ),
    );
    const last = Math.max(
      0,
      ...results.filter(({ id }) => runs.has(id)).map(({ sentAfter }) => sentAfter),
    );
    note(
      `round ${round + 1}: the last request that ran was sent ${last.toFixed(0)} ms after the acknowledgement`,
    );
    breaches += late.length;
    await wait(Math.max(0, CUT_MILLISECONDS - ASK_MILLISECONDS));
    /* eslint-enable no-await-in-loop */
  }
  note(`${breaches} requests ran with a key that had been taken away for too long`);
  exitCode = breaches > 0 ? 1 : 0;
} else note('the hosts did not become ready');
await fleet.close(RECORD_FILE);
process.exitCode = exitCode;
