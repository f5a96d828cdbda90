/** Asks simulated hosts for connections to a server. */
import assert from 'node:assert/strict';
import { Socket } from 'node:net';
import { Given, Then, When } from '@cucumber/cucumber';
import { createManualClock } from '@bulrushspar/clock';
import { createServerRelays, type RelayHost } from '@bulrushspar/entry';

interface RelaysWorld {
  hosts: readonly RelayHost[];
  cutDomains: ReadonlySet<string>;
  asked: RelayHost[];
  isOpened: boolean;
}

const OWN_DOMAIN = 'd0';
const OTHER_DOMAINS = ['d1', 'd2', 'd3'];

const createHosts = (failureDomain: string, count: number): readonly RelayHost[] =>
  Array.from({ length: count }, (_none, index) => ({
    host: `${failureDomain}-${index}`,
    address: '127.0.0.1',
    port: 1,
    failureDomain,
  }));

Given(
  'a host beside {int} hosts in its failure domain and {int} hosts in each of 3 others',
  function create(this: RelaysWorld, own: number, others: number) {
    this.hosts = [
      ...createHosts(OWN_DOMAIN, own),
      ...OTHER_DOMAINS.flatMap((domain) => createHosts(domain, others)),
    ];
    this.cutDomains = new Set();
  },
);

Given(
  'the hosts of {int} failure domains reach no server',
  function cut(this: RelaysWorld, count: number) {
    this.cutDomains = new Set([OWN_DOMAIN, ...OTHER_DOMAINS].slice(0, count));
  },
);

When('it opens a connection to a server', async function open(this: RelaysWorld) {
  this.asked = [];
  const relays = createServerRelays({
    clock: createManualClock(),
    random: () => 0.5,
    failureDomain: OWN_DOMAIN,
    listHosts: () => this.hosts,
    openTunnel: async (peer) => {
      const host = this.hosts.find((candidate) => candidate.host === peer.host)!;
      this.asked.push(host);
      if (this.cutDomains.has(host.failureDomain)) throw new Error('reaches no server');
      return new Socket();
    },
    servers: () => new Map(),
    openDirect: () => Promise.reject(new Error('cut off')),
    canOpenForHosts: () => false,
  });
  const signal = new AbortController().signal;
  this.isOpened = await relays.openThroughHost('127.0.0.1:1', signal).then(
    () => true,
    () => false,
  );
});

Then(
  'it is opened through a host that reaches the server, after at most {int} were asked',
  function check(this: RelaysWorld, most: number) {
    assert.equal(this.isOpened, true, this.asked.map(({ host }) => host).join());
    assert.ok(this.asked.length <= most, `${this.asked.length} were asked`);
  },
);

Then('it is opened through a host of its failure domain', function check(this: RelaysWorld) {
  assert.equal(this.isOpened, true);
  assert.equal(this.asked.at(-1)!.failureDomain, OWN_DOMAIN);
});
