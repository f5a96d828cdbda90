/** Steps for the route table and the server directory. */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import {
  createServerDirectory,
  createRouteTable,
  type ServerDirectory,
  type Route,
  type RouteTable,
  type ServerEntry,
} from '@bulrushspar/catalogue';
import { createManualClock, type ManualClock } from '@bulrushspar/clock';

interface CatalogueWorld {
  routes: RouteTable;
  clock: ManualClock;
  directory: ServerDirectory;
}

const SECOND_MILLISECONDS = 1000;

const createRoute = (text: string): Route => {
  const at = text.indexOf('/');
  return {
    name: text,
    host: text.slice(0, at),
    pathPrefix: text.slice(at),
    kind: 'once',
    timeoutMilliseconds: 1,
    objectiveMilliseconds: 1,
    callerTimeoutMilliseconds: 1,
    priority: 0,
    shares: [],
    attempts: 1,
    open: true,
    resumable: false,
  };
};

Given('routes {string}', function createRoutes(this: CatalogueWorld, list: string) {
  this.routes = createRouteTable(list.split(' ').map(createRoute));
});

Then(
  'a request to {string} for {string} takes the route {string}',
  function check(this: CatalogueWorld, host: string, path: string, route: string) {
    assert.equal(this.routes.find(host, path)?.name ?? '', route);
  },
);

const parseEntries = (list: string): Map<string, ServerEntry> =>
  new Map(
    list.split(' ').map((text) => {
      const [id = '', born, failureDomain = 'd1'] = text.split(/[@/]/);
      const entry: ServerEntry = {
        id,
        service: 'llm',
        address: '127.0.0.1:1',
        failureDomain,
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

Given(
  'a directory of servers {string}',
  function createServers(this: CatalogueWorld, list: string) {
    this.clock = createManualClock();
    this.directory = createServerDirectory({ clock: this.clock });
    this.directory.update(parseEntries(list));
  },
);

When(
  /^the list (is back after an outage and |comes back from an older copy and )?shows "([^"]*)"(?: for (\d+) s)?$/,
  async function updateList(
    this: CatalogueWorld,
    outage: string | null,
    list: string,
    seconds: string | null,
  ) {
    if (outage?.startsWith('is back')) this.directory.recordOutage();
    if (outage?.startsWith('comes back')) this.directory.recordRollback();
    this.directory.update(parseEntries(list));
    await this.clock.advance(Number(seconds ?? 0) * SECOND_MILLISECONDS);
  },
);

Then('the directory holds {string}', function check(this: CatalogueWorld, list: string) {
  const held = [...this.directory.current().values()].map(({ id, born }) => `${id}@${born}`);
  assert.equal(held.sort().join(' '), list);
});

When('server {string} is known to be leaving', function record(this: CatalogueWorld, text: string) {
  const [{ id, born }] = [...parseEntries(text).values()] as [ServerEntry];
  assert(this.directory.recordLeaving({ id, born }));
  assert(!this.directory.recordLeaving({ id, born }), 'a second notice is not new');
});

Then('the leaving servers are {string}', function check(this: CatalogueWorld, list: string) {
  const leaving = [...this.directory.current().values()].filter((entry) => entry.leaving);
  assert.equal(leaving.map(({ id, born }) => `${id}@${born}`).join(' '), list);
});

When(
  'the failure domains {string} are evacuated',
  function evacuate(this: CatalogueWorld, list: string) {
    this.directory.setEvacuatedDomains(new Set(list.split(' ').filter((domain) => domain !== '')));
  },
);

Then('the evacuated servers are {string}', function check(this: CatalogueWorld, list: string) {
  const evacuated = [...this.directory.current().values()].filter((entry) => entry.evacuated);
  assert.equal(
    evacuated
      .map(({ id, born }) => `${id}@${born}`)
      .sort()
      .join(' '),
    list,
  );
});
