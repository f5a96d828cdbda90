/** Steps that buffer answers. */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import {
  createAnswerBuffer,
  createByteMemory,
  type AnswerBuffer,
  type ByteMemory,
} from '@bulrushspar/routing';

interface BufferWorld {
  memory: ByteMemory;
  buffers: { readonly buffer: AnswerBuffer; readonly wanted: number }[];
}

const MEGABYTE = 1_000_000;

Given(
  'a memory for {int} MB in all and {int} MB of each answer',
  function create(this: BufferWorld, total: number, each: number) {
    this.memory = createByteMemory({
      totalBytes: total * MEGABYTE,
      holdingBytes: each * MEGABYTE,
    });
  },
);

When(
  /^(\d+) answers of (\d+) MB arrive at once, in chunks of (\d+) bytes$/,
  function arrive(this: BufferWorld, count: string, megabytes: string, chunkBytes: string) {
    const wanted = Number(megabytes) * MEGABYTE;
    const chunk = Buffer.alloc(Number(chunkBytes), 'a');
    this.buffers = Array.from({ length: Number(count) }, () => ({
      buffer: createAnswerBuffer(this.memory),
      wanted,
    }));
    let open = this.buffers;
    for (let sent = 0; sent < wanted && open.length > 0; sent += chunk.length) {
      open = open.filter(({ buffer }) => buffer.append(chunk));
    }
  },
);

When('they have ended', function end(this: BufferWorld) {
  this.buffers.forEach(({ buffer }) => buffer.clear());
});

Then('they hold at most {int} MB together', function check(this: BufferWorld, megabytes: number) {
  const held = this.buffers.flatMap(({ buffer }) => buffer.blocks()).map(({ length }) => length);
  assert.ok(held.reduce((sum, length) => sum + length, 0) <= megabytes * MEGABYTE);
});

Then(/^(\d+) of them are held whole$/, function check(this: BufferWorld, count: string) {
  const whole = this.buffers.filter(
    ({ buffer, wanted }) => Buffer.concat(buffer.blocks()).toString() === 'a'.repeat(wanted),
  );
  assert.equal(whole.length, Number(count));
});

Then(
  'an answer of {int} MB is still held whole',
  function check(this: BufferWorld, megabytes: number) {
    const buffer = createAnswerBuffer(this.memory);
    assert.ok(buffer.append(Buffer.alloc(megabytes * MEGABYTE)));
  },
);
