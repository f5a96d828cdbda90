/** Routes and servers. */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import {
  createDirectory,
  createRouteTable,
  type Directory,
  type Route,
  type RouteTable,
  type ServerEntry,
} from '@bulrushspar/catalogue';
import { createManualClock, type ManualClock } from '@bulrushspar/clock';

interface CatalogueWorld {
  routes: RouteTable;
  clock: ManualClock;
  directory: Directory;
}

const SECOND = 1000;

const routeOf = (text: string): Route => {
  const at = text.indexOf('/');
  return {
    name: text,
    host: text.slice(0, at),
    pathPrefix: text.slice(at),
    kind: 'once',
    timeoutMilliseconds: 1,
    objectiveMilliseconds: 1,
    patienceMilliseconds: 1,
    priority: 0,
    shares: [],
    attempts: 1,
    open: true,
    resumable: false,
  };
};

Given('routes {string}', function routes(this: CatalogueWorld, list: string) {
  this.routes = createRouteTable(list.split(' ').map(routeOf));
});

Then(
  'a request to {string} for {string} takes the route {string}',
  function check(this: CatalogueWorld, host: string, path: string, route: string) {
    assert.equal(this.routes.find(host, path)?.name ?? '', route);
  },
);

const entriesOf = (list: string): Map<string, ServerEntry> =>
  new Map(
    list.split(' ').map((text) => {
      const [id = '', born] = text.split('@');
      const entry: ServerEntry = {
        id,
        service: 'llm',
        address: '127.0.0.1:1',
        failureDomain: 'd1',
        slots: 1,
        leaving: false,
        born: Number(born),
        models: [],
        inMemory: [],
        onDisk: [],
      };
      return [id, entry];
    }),
  );

Given('a directory of servers {string}', function open(this: CatalogueWorld, list: string) {
  this.clock = createManualClock();
  this.directory = createDirectory({ clock: this.clock });
  this.directory.update(entriesOf(list));
});

When(
  /^the list (is back after an outage and )?shows "([^"]*)"(?: for (\d+) s)?$/,
  async function show(
    this: CatalogueWorld,
    outage: string | null,
    list: string,
    seconds: string | null,
  ) {
    if (outage) this.directory.noteOutage();
    this.directory.update(entriesOf(list));
    await this.clock.advance(Number(seconds ?? 0) * SECOND);
  },
);

Then('the directory holds {string}', function check(this: CatalogueWorld, list: string) {
  const held = [...this.directory.current().values()].map(({ id, born }) => `${id}@${born}`);
  assert.equal(held.sort().join(' '), list);
});
