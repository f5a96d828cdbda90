/** Stand-in of the platform's metadata store: objects, conditional writes, lists and watches. */
import { createServer } from 'node:http';

const LOOPBACK = '127.0.0.1';
const HISTORY_LENGTH = 20_000;
/** The store is never restored here. */
const ERA = '1';

const readText = async (request) => {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  return Buffer.concat(chunks).toString('utf8');
};

/** Creates a store; {@link openDoor} of the result opens an address for it. */
export function createStore() {
  const kinds = new Map();
  const history = [];
  const watchers = new Set();
  let revision = 1;

  const kindOf = (kind) => {
    if (!kinds.has(kind)) kinds.set(kind, new Map());
    return kinds.get(kind);
  };

  const record = (kind, object, deleted) => {
    history.push({ kind, object, deleted, revision });
    if (history.length > HISTORY_LENGTH) history.shift();
    [...watchers].forEach((watcher) => {
      if (watcher.kind === kind) watcher.wake();
    });
  };

  const put = (kind, name, spec) => {
    const objects = kindOf(kind);
    const known = objects.get(name);
    if (known && JSON.stringify(known.spec) === JSON.stringify(spec)) return known;
    revision += 1;
    const object = {
      metadata: { name, revision, created: 1, finalizers: [], deleting: false },
      spec,
      status: null,
    };
    objects.set(name, object);
    record(kind, object, false);
    return object;
  };

  const remove = (kind, name) => {
    const known = kindOf(kind).get(name);
    if (!known) return;
    kindOf(kind).delete(name);
    revision += 1;
    const gone = { ...known, metadata: { ...known.metadata, revision } };
    record(kind, gone, true);
  };

  const watch = async (kind, after, milliseconds) => {
    const find = () => history.filter((entry) => entry.kind === kind && entry.revision > after);
    if (find().length === 0) {
      await new Promise((resolve) => {
        const watcher = { kind };
        const timer = setTimeout(() => watcher.wake(), milliseconds);
        watcher.wake = () => {
          clearTimeout(timer);
          watchers.delete(watcher);
          resolve();
        };
        watchers.add(watcher);
      });
    }
    const events = find().map(({ object, deleted }) => ({ object, deleted }));
    return { status: 200, body: { events, at: revision } };
  };

  const write = (method, kind, name, text) => {
    const { metadata, spec } = JSON.parse(text);
    const target = name ?? metadata.name;
    const known = kindOf(kind).get(target);
    if (method === 'POST' && known) return { status: 409, body: known };
    if (method === 'PUT' && !known) return { status: 404 };
    if (metadata.revision !== undefined && metadata.revision !== known?.metadata.revision)
      return { status: 409, body: known };
    return { status: 200, body: put(kind, target, spec) };
  };

  const perform = async (method, url, text) => {
    const [, , , kind, name] = url.pathname.split('/').map(decodeURIComponent);
    const query = url.searchParams;
    if (method === 'GET' && name === undefined && query.has('watch'))
      return watch(kind, Number(query.get('watch')), Number(query.get('wait_ms')));
    if (method === 'GET' && name === undefined)
      return {
        status: 200,
        body: { items: [...kindOf(kind).values()], has_more: false, at: revision },
      };
    const known = name === undefined ? undefined : kindOf(kind).get(name);
    if (method === 'GET') return known ? { status: 200, body: known } : { status: 404 };
    if (method !== 'DELETE') return write(method, kind, name, text);
    if (!known) return { status: 404 };
    if (query.has('revision') && Number(query.get('revision')) !== known.metadata.revision)
      return { status: 409, body: known };
    remove(kind, name);
    return { status: 200, body: known };
  };

  return {
    put,
    remove,
    get: (kind, name) => kindOf(kind).get(name),
    /** Opens an address; `rules` may delay, lose or refuse calls of the host that uses it. */
    openDoor: async (rules = {}) => {
      const handle = async (request, response) => {
        const url = new URL(request.url, 'http://store');
        const text = await readText(request);
        if (rules.isCut?.()) return;
        if (url.searchParams.has('watch')) watches.add(request);
        const answer = await perform(request.method, url, text);
        watches.delete(request);
        rules.onPerformed?.({ method: request.method, path: url.pathname, text, answer });
        if (rules.isDown?.()) {
          request.socket.resetAndDestroy();
          return;
        }
        if (rules.isCut?.()) return;
        response.writeHead(answer.status, { 'content-type': 'application/json', 'store-era': ERA });
        response.end(answer.body ? JSON.stringify(answer.body) : '');
      };
      const server = createServer((request, response) => {
        handle(request, response).catch(() => response.destroy());
      });
      const sockets = new Set();
      /** Watches that wait for changes. */
      const watches = new Set();
      server.on('connection', (socket) => {
        if (rules.isDown?.()) {
          socket.resetAndDestroy();
          return;
        }
        sockets.add(socket);
        socket.once('close', () => sockets.delete(socket));
      });
      await new Promise((resolve) => {
        server.listen(0, LOOPBACK, resolve);
      });
      return {
        isWatching: (kind) =>
          [...watches].some(({ url }) => url.startsWith(`/v1/objects/${kind}?`)),
        reset: () => sockets.forEach((socket) => socket.resetAndDestroy()),
        address: `${LOOPBACK}:${server.address().port}`,
        close: () => {
          server.close();
          server.closeAllConnections();
        },
      };
    },
  };
}
