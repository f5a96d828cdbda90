import type { JsonClient, JsonAnswer } from './http.js';
import {
  WRITE_OUTCOME,
  type ObjectKey,
  type ObjectList,
  type ObjectStore,
  type StoredObject,
  type WatchAnswer,
  type WriteAnswer,
} from './store.js';
import { createStoreError, EFFECT } from './failure.js';
import { toReadableValue } from './values.js';

const OK = 200;
const NOT_FOUND = 404;
const CONFLICT = 409;
const GONE = 410;
const WATCH_TIMEOUT_MARGIN_MILLISECONDS = 2000;
const MILLISECONDS_PER_SECOND = 1000;

const objectPath = ({ kind, name }: ObjectKey): string =>
  `/v1/objects/${encodeURIComponent(kind)}/${encodeURIComponent(name)}`;

function expectOk(answer: JsonAnswer, path: string): unknown {
  if (answer.status === OK) return answer.body;
  throw createStoreError(EFFECT.NONE, `${path} of the object API answered ${answer.status}`);
}

const toReadable = <Item extends { readonly value?: unknown }>(item: Item): Item => ({
  ...item,
  value: toReadableValue(item.value),
});

function toWriteAnswer(answer: JsonAnswer, path: string): WriteAnswer {
  if (answer.status === CONFLICT) return { outcome: WRITE_OUTCOME.CONFLICT };
  const { version } = expectOk(answer, path) as { version: number };
  return { outcome: WRITE_OUTCOME.WRITTEN, version };
}

/**
 * Creates an {@link ObjectStore} that calls the object API over HTTP.
 * @param client with the base URL of the object API
 */
export function createHttpObjectStore(client: JsonClient): ObjectStore {
  return {
    read: async <Value>(key: ObjectKey) => {
      const path = objectPath(key);
      const answer = await client.call({ method: 'GET', path });
      if (answer.status === NOT_FOUND) return undefined;
      return toReadable(expectOk(answer, path) as StoredObject<Value>);
    },
    list: async <Value>(kind: string) => {
      const path = `/v1/objects/${encodeURIComponent(kind)}`;
      const answer = await client.call({ method: 'GET', path });
      const list = expectOk(answer, path) as ObjectList<Value>;
      return { ...list, objects: list.objects.map(toReadable) };
    },
    write: async (key, value, expected) => {
      const path = `${objectPath(key)}?version=${expected}`;
      return toWriteAnswer(await client.call({ method: 'PUT', path, body: value }), path);
    },
    remove: async (key, expected) => {
      const path = `${objectPath(key)}?version=${expected}`;
      return toWriteAnswer(await client.call({ method: 'DELETE', path }), path);
    },
    watch: async <Value>(kind: string, after: number, seconds: number, signal?: AbortSignal) => {
      const path = `/v1/watch/${encodeURIComponent(kind)}?after=${after}&seconds=${seconds}`;
      const timeoutMilliseconds =
        seconds * MILLISECONDS_PER_SECOND + WATCH_TIMEOUT_MARGIN_MILLISECONDS;
      const answer = await client.call({ method: 'GET', path, signal, timeoutMilliseconds });
      if (answer.status === GONE) return { version: after, changes: [], expired: true };
      const body = expectOk(answer, path) as Omit<WatchAnswer<Value>, 'expired'>;
      return { ...body, changes: body.changes.map(toReadable), expired: false };
    },
  };
}
