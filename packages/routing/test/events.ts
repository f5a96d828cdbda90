/** Steps that split event streams. */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { createEventSplitter } from '@bulrushspar/routing';

interface EventWorld {
  stream: Buffer;
  results: { readonly complete: string; readonly id: string; readonly pending: number }[];
}

const unescape = (text: string): string => text.replaceAll('\\n', '\n').replaceAll('\\r', '\r');

Given('an event stream {string}', function stream(this: EventWorld, text: string) {
  this.stream = Buffer.from(unescape(text));
});

When('it arrives in chunks of each size', function split(this: EventWorld) {
  this.results = this.stream
    .map((_byte, index) => index + 1)
    .reduce<EventWorld['results']>((results, size) => {
      const splitter = createEventSplitter();
      let complete = '';
      for (let index = 0; index < this.stream.length; index += size) {
        complete += splitter.push(this.stream.subarray(index, index + size))?.toString() ?? '';
      }
      const id = splitter.lastEventId() ?? 'none';
      return [...results, { complete, id, pending: splitter.pendingBytes() }];
    }, []);
});

Then(
  'the complete events are {string} and the last id is {string}',
  function check(this: EventWorld, complete: string, id: string) {
    const wanted = unescape(complete);
    const pending = this.stream.length - wanted.length;
    assert.ok(this.results.length > 0);
    this.results.forEach((result) => assert.deepEqual(result, { complete: wanted, id, pending }));
  },
);
