/** Starts a small deployment on loopback, and records what happens in `record.txt`. */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { request as sendRequest } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { startHost } from './host.mjs';
import { startServer } from './server.mjs';
import { createStore } from './store.mjs';

const LOOPBACK = '127.0.0.1';
const ZONES = ['norte-a', 'norte-b', 'norte-c'];
export const HOST_NAME = 'review.example';
export const KEY = 'key-of-the-large-tenant';
export const MODEL = 'm0';
export const OTHER_MODELS = ['m1', 'm2', 'm3', 'm4', 'm5', 'm6'];

/** A route of the configuration, with the figures of the small site's counter question. */
export const createRoute = (name, more) => ({
  name,
  host: HOST_NAME,
  path_prefix: `/${name}/`,
  type: 'stream',
  timeout_ms: 6000,
  goal_ms: 400,
  priority: 0,
  service: 'assistente',
  attempts: 1,
  public: false,
  sticky: true,
  resumable: false,
  gap_target_ms: 400,
  ...more,
});

export const createConfiguration = ({ version, routes, keys = [KEY], quota = {} }) => ({
  version,
  routes,
  services: [
    {
      name: 'assistente',
      health_path: '/healthz',
      max_conns: 370,
      protocol: 'h1',
      tls: false,
      engine: {
        slots: 64,
        kv_capacity: 232_000,
        weights_mb: 200_000,
        adapter_slots: 8,
        loads_per_s: 3.4,
        models: [MODEL, ...OTHER_MODELS].map((name) => ({
          name,
          weights_mb: 34_300,
          load_s: 6,
          adapters: 40,
          adapter_mb: 40,
          warm_s: 0.28,
          disk_s: 0.4,
        })),
      },
    },
    { name: 'contas', health_path: '/healthz', max_conns: 110, protocol: 'h1', tls: false },
  ],
  limits: {
    max_header_bytes: 16_384,
    max_body_bytes: 4_194_304,
    header_timeout_ms: 3000,
    idle_timeout_ms: 15_000,
  },
  tenants: [
    {
      name: 'large',
      keys,
      priority: 1,
      unit: 'tokens',
      plain_tokens: 200,
      rate_per_s: 0,
      burst: 0,
      ...quota,
    },
  ],
});

/** Opens the deployment: a store with a door for each host, servers and hosts that are ready. */
export async function openFleet({ hosts, servers, routes, rules = () => ({}), quota, bounds }) {
  const folder = mkdtempSync(join(tmpdir(), 'review-'));
  const lines = [];
  const startedAt = performance.now();
  const note = (text) =>
    lines.push(`${((performance.now() - startedAt) / 1000).toFixed(3)} s  ${text}`);
  const store = createStore();
  store.put('config', 'main', createConfiguration({ version: 1, routes, quota }));
  const running = [];
  for (const [index, server] of servers.entries()) {
    running.push(
      // eslint-disable-next-line no-await-in-loop -- starts one after another
      await startServer({ store, zone: ZONES[index % 3], ...server }),
    );
  }
  const doors = await Promise.all(
    Array.from({ length: hosts }, (_none, index) => store.openDoor(rules(index))),
  );
  const started = [];
  for (const [index, door] of doors.entries()) {
    const zone = ZONES[index % 3];
    const name = `edge-${zone}-${1 + Math.floor(index / 3)}`;
    started.push(
      // eslint-disable-next-line no-await-in-loop -- searches for free ports one after another
      await startHost({ name, zone, storeAddress: door.address, folder, bounds }),
    );
  }
  const ready = await Promise.all(started.map((host) => host.waitUntilReady()));
  return {
    store,
    doors,
    servers: running,
    hosts: started,
    note,
    isReady: ready.every(Boolean),
    close: async (recordFile) => {
      await Promise.all(started.map((host) => host.end()));
      running.forEach((server) => server.close());
      doors.forEach((door) => door.close());
      writeFileSync(recordFile, `${lines.join('\n')}\n`);
      if (process.env.KEEP_LOGS) process.stdout.write(`logs in ${folder}\n`);
      else rmSync(folder, { recursive: true, force: true });
    },
  };
}

let nextCall = 1;

/**
 * Sends one request to a host.
 * @returns its id, status, body, and whether the answer looks complete to an HTTP client
 */
export function call({ port, path, method = 'POST', headers = {}, body = 'question', agent }) {
  const id = `call-${process.pid}-${nextCall}`;
  nextCall += 1;
  const promise = new Promise((resolve) => {
    const chunks = [];
    const result = { id, status: 0, headers: {}, isComplete: false, error: undefined };
    const finish = () => resolve({ ...result, body: Buffer.concat(chunks).toString('utf8') });
    const request = sendRequest({
      host: LOOPBACK,
      port,
      path,
      method,
      agent: agent ?? false,
      headers: {
        host: HOST_NAME,
        'bulrushspar-attempt-id': id,
        'bulrushspar-deadline-ms': '6000',
        authorization: `Token ${KEY}`,
        ...headers,
      },
    });
    request.on('response', (response) => {
      result.status = response.statusCode;
      result.headers = response.headers;
      response.on('data', (chunk) => chunks.push(chunk));
      response.on('error', (error) => {
        result.error = error.code ?? error.message;
      });
      response.on('close', () => {
        result.isComplete = response.complete;
        finish();
      });
    });
    request.on('error', (error) => {
      result.error ??= error.code ?? error.message;
      if (result.status === 0) finish();
    });
    request.end(body);
  });
  return { id, promise };
}
