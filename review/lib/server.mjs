/** Stand-ins of the servers of a service: they register in the store and answer requests. */
import { createServer } from 'node:http';

const LOOPBACK = '127.0.0.1';
const HEARTBEAT_MILLISECONDS = 1200;

const readText = async (request) => {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  return Buffer.concat(chunks).toString('utf8');
};

/** Time for which an adapter is on its way, and by which a report lags. */
const ADAPTER_MILLISECONDS = 7;
const REPORT_LAG_MILLISECONDS = 200;
const ADAPTER_SLOTS = 8;

/** What an engine holds, and the orders that it has accepted. */
function createEngine({ id, models, onOrder, loadMilliseconds }) {
  const adapters = new Map(models.map(({ name }) => [name, new Map()]));
  let sequence = 0;
  const list = (isLoaded) =>
    [...adapters].map(([name, held]) => ({
      name,
      version: 1,
      adapters: [...held].filter(([, loaded]) => loaded === isLoaded).map(([adapter]) => adapter),
    }));
  const snapshots = [
    { at: -Infinity, state: { sequence, models: list(true), pending: [], busy: false } },
  ];
  const record = () => {
    const pending = list(false).flatMap(({ name, adapters: names }) =>
      names.map((adapter) => `${name}/${adapter}@1`),
    );
    const state = { sequence, models: list(true), pending, busy: isBusy };
    snapshots.push({ at: performance.now(), state });
    if (snapshots.length > 500) snapshots.shift();
  };
  const countAdapters = () => [...adapters.values()].reduce((sum, held) => sum + held.size, 0);
  /** Whether weights are being loaded; an engine carries out one such order at a time. */
  let isBusy = false;
  const loadModel = (model) => {
    if (adapters.has(model)) return 200;
    isBusy = true;
    sequence += 1;
    record();
    setTimeout(() => {
      isBusy = false;
      adapters.set(model, new Map());
      record();
    }, loadMilliseconds);
    return 202;
  };
  const unloadModel = (model) => {
    if (!adapters.delete(model)) return 200;
    sequence += 1;
    record();
    return 202;
  };
  const perform = ({ operation, model, adapter, expect }) => {
    const held = adapters.get(model);
    if (isBusy || (expect !== undefined && expect !== sequence)) return 409;
    if (adapter === undefined) return operation === 'load' ? loadModel(model) : unloadModel(model);
    if (!held) return 400;
    if (operation === 'unload') {
      held.delete(adapter);
      sequence += 1;
      record();
      return 200;
    }
    if (held.has(adapter)) return 200;
    if (countAdapters() >= ADAPTER_SLOTS) onOrder({ id, overfull: true });
    held.set(adapter, false);
    sequence += 1;
    record();
    setTimeout(() => {
      if (held.has(adapter)) held.set(adapter, true);
      record();
    }, ADAPTER_MILLISECONDS);
    return 202;
  };
  return {
    order: (order) => {
      if (order.holder === undefined || order.fencing_token === undefined) return 400;
      const status = perform(order);
      onOrder({ id, order, status });
      return status;
    },
    report: () =>
      snapshots.findLast(({ at }) => at <= performance.now() - REPORT_LAG_MILLISECONDS).state,
    models: () => list(true),
    holds: (name) => {
      const [model, adapter] = name.split('/');
      return adapter === undefined
        ? adapters.has(model)
        : adapters.get(model)?.get(adapter) === true;
    },
  };
}

/**
 * Starts a server. `answer` writes the answer to a request that runs; `models` lists what an engine
 * holds at its start, and `onOrder` receives each order.
 */
export async function startServer({
  store,
  id,
  service,
  zone,
  slots = 64,
  models = [],
  answer,
  onOrder = () => {},
  loadMilliseconds = 6000,
}) {
  let beats = 0;
  let isLeaving = false;
  let written = '';
  const born = Date.now();
  const engine = createEngine({ id, models, onOrder, loadMilliseconds });
  const handle = async (request, response) => {
    const expected = request.headers['bulrushspar-expect-instance'];
    const body = await readText(request);
    if (isLeaving) response.setHeader('server-leaving', '1');
    const model = request.headers['bulrushspar-model'];
    if (expected !== undefined && expected !== id) {
      response.writeHead(421, { 'bulrushspar-not-executed': '1' });
      response.end();
    } else if (request.url === '/v1/report') {
      response.writeHead(200, { 'content-type': 'application/json' });
      const figures = { queued: 0, active: 0, kv_used: 0, kv_total: 232_000, handles: 0 };
      response.end(JSON.stringify({ born, stage: 'both', ...figures, ...engine.report() }));
    } else if (request.url === '/v1/order') {
      response.writeHead(engine.order(JSON.parse(body)));
      response.end();
    } else if (model !== undefined && !engine.holds(model)) {
      response.writeHead(421, { 'bulrushspar-not-executed': '1' });
      response.end();
    } else await answer({ request, response, body, id });
  };
  const server = createServer((request, response) => {
    handle(request, response).catch(() => response.destroy());
  });
  server.keepAliveTimeout = 8000;
  await new Promise((resolve) => {
    server.listen(0, LOOPBACK, resolve);
  });
  const address = `${LOOPBACK}:${server.address().port}`;
  /** Writes the entry if more than its sequence has changed. */
  const beat = () => {
    beats += 1;
    const entry = {
      service,
      address,
      zone,
      version: 'v1',
      slots,
      state: isLeaving ? 'draining' : 'ready',
      cold_left_ms: 0,
      born,
      stage: 'both',
      models: engine.models(),
      available: { in_memory: models.map(({ name }) => name), on_disk: [] },
    };
    if (JSON.stringify(entry) === written) return;
    written = JSON.stringify(entry);
    store.put('servers', id, { ...entry, sequence: beats });
  };
  beat();
  const timer = setInterval(beat, HEARTBEAT_MILLISECONDS);
  return {
    id,
    address,
    /** Reports that it is leaving, which the store accepts at once, and exits after the given time. */
    leave: (exitAfterMilliseconds) => {
      isLeaving = true;
      beat();
      setTimeout(() => {
        clearInterval(timer);
        store.remove('servers', id);
        server.close();
        server.closeAllConnections();
      }, exitAfterMilliseconds).unref();
    },
    close: () => {
      clearInterval(timer);
      server.close();
      server.closeAllConnections();
    },
  };
}
