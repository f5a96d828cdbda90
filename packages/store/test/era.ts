/** Versions of the platform's store across its eras. */
import assert from 'node:assert/strict';
import { After, Before, Given, Then, When } from '@cucumber/cucumber';
import { createSystemClock } from '@bulrushspar/clock';
import { createPlatformStore, type PlatformStore } from '@bulrushspar/platform';
import {
  ABSENT,
  composeVersion,
  EFFECT,
  isStoreError,
  WRITE_OUTCOME,
  type Version,
} from '@bulrushspar/store';
import { startMetadataStore, type StoreStandin } from '../../../platform/test/standin.js';

interface EraWorld {
  standin: StoreStandin;
  store: PlatformStore;
  versions: Version[];
  /** Number of versions from before the restoration. */
  versionsBefore: number;
  reports: number;
}

const KEY = { kind: 'thing', name: 'one' };
/** Time in which the stand-in has copied itself at least once. */
const COPY_MILLISECONDS = 400;
const OTHER_KEY = { kind: 'thing', name: 'other' };

Before({ tags: '@era' }, function begin(this: EraWorld) {
  this.versions = [];
  this.versionsBefore = 0;
  this.reports = 0;
});

After({ tags: '@era' }, async function end(this: EraWorld) {
  await this.store?.close();
  await this.standin?.close();
});

Given(
  /^a store that counts its eras from (\d+)$/,
  async function start(this: EraWorld, first: string) {
    this.standin = await startMetadataStore({ firstEra: BigInt(first) });
    this.store = createPlatformStore(this.standin.address, {
      onUnusableEra: () => {
        this.reports += 1;
      },
    });
  },
);

async function write(world: EraWorld, value: unknown, expected: Version): Promise<void> {
  const answer = await world.store.write(KEY, value, expected);
  if (answer.outcome !== WRITE_OUTCOME.WRITTEN) assert.fail(`write at version ${expected} failed`);
  world.versions.push(answer.version);
}

When('an object is written, and again at its version', async function create(this: EraWorld) {
  await write(this, 1, ABSENT);
  await write(this, 2, this.versions[0]!);
  this.versions.push((await this.store.list(KEY.kind)).version);
});

When('the store comes back from its copy', async function restore(this: EraWorld) {
  const { store, standin } = this;
  this.versionsBefore = this.versions.length;
  // The stand-in copies itself at intervals.
  await createSystemClock().delay(COPY_MILLISECONDS);
  standin.restore(0);
  // The first answer names the new era.
  await store.list(KEY.kind).catch(() => {});
  this.reports = 0;
});

When('the object is written anew', async function rewrite(this: EraWorld) {
  const found = await this.store.read(KEY);
  await write(this, 3, found?.version ?? ABSENT);
  this.versions.push((await this.store.list(KEY.kind)).version);
});

Then('its versions are safe integers in the order of the writes', function check(this: EraWorld) {
  const { versions } = this;
  assert.ok(versions.every(Number.isSafeInteger), versions.join(' '));
  versions.slice(1).forEach((version, index) => {
    assert.ok(version >= versions[index]!, `${versions[index]} then ${version}`);
  });
  const [last, previous] = [versions.at(-1)!, versions[this.versionsBefore - 1]];
  if (previous !== undefined) assert.ok(last > previous, `${previous} then ${last}`);
});

Then(
  'a write at a version from before the restoration is a conflict',
  async function check(this: EraWorld) {
    const answer = await this.store.write(KEY, 4, this.versions[this.versionsBefore - 1]!);
    assert.equal(answer.outcome, WRITE_OUTCOME.CONFLICT);
  },
);

Then('a watch from before the restoration has expired', async function check(this: EraWorld) {
  const answer = await this.store.watch(KEY.kind, this.versions[this.versionsBefore - 1]!, 1);
  assert.equal(answer.expired, true);
});

When('the store names the era {string}', function name(this: EraWorld, text: string) {
  this.standin.setEraHeader(text);
});

When('the store names its era again', function reset(this: EraWorld) {
  this.standin.setEraHeader(undefined);
});

Then(
  'reading, listing, watching and writing fail without a known effect',
  async function check(this: EraWorld) {
    const isUnknownFailure = (error: unknown): boolean =>
      isStoreError(error) && error.effect === EFFECT.UNKNOWN;
    await assert.rejects(this.store.read(KEY), isUnknownFailure);
    await assert.rejects(this.store.list(KEY.kind), isUnknownFailure);
    await assert.rejects(this.store.watch(KEY.kind, this.versions[0]!, 1), isUnknownFailure);
    await assert.rejects(this.store.write(OTHER_KEY, 1, ABSENT), isUnknownFailure);
  },
);

Then(
  '{int} answers without a usable era are reported',
  function check(this: EraWorld, count: number) {
    assert.equal(this.reports, count);
  },
);

Then('the object can be read', async function check(this: EraWorld) {
  assert.equal((await this.store.read(KEY))?.value, 2);
});

Then(
  /^the version of era (\S+) and revision (\S+) is an error$/,
  (era: string, revision: string) => {
    assert.throws(() => composeVersion(Number(era), Number(revision)), isStoreError);
  },
);
