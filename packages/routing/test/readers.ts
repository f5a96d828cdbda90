/** Steps with callers that read slowly. */
import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import fc from 'fast-check';
import {
  createAnswerBuffer,
  createByteMemory,
  createBufferingWriter,
  type ByteMemory,
  type BufferingWriter,
} from '@bulrushspar/routing';

interface SlowCaller {
  readonly writer: BufferingWriter;
  sent: string;
  received: string;
  resumes: number;
  wasEnded: boolean;
  hasEnd: boolean;
  /** Sends bytes to the caller; @returns false if the server is paused. */
  send(bytes: number): boolean;
  read(): void;
  leave(): void;
}

interface ReadersWorld {
  memory: ByteMemory;
  streams: SlowCaller[];
  isHeld: boolean;
}

const WRITE_BUFFER_BYTES = 16_384;

/** Creates a caller whose connection takes over bytes only when it reads, or at once. */
function createCaller(memory: ByteMemory, readsAtOnce = false): SlowCaller {
  let unread = '';
  let onDrain = (): void => {};
  let onClose = (): void => {};
  let isFull = false;
  let isClosed = false;
  const leave = (): void => {
    if (isClosed) return;
    isClosed = true;
    onClose();
  };
  const takeOver = (): void => {
    caller.received += unread;
    unread = '';
  };
  const writer = createBufferingWriter({
    memory,
    onShortage: () => {
      caller.wasEnded = true;
      leave();
    },
    writer: {
      hasBegun: () => true,
      writeHead: () => {},
      write: (chunk) => {
        unread += chunk.toString();
        if (readsAtOnce) takeOver();
        isFull = unread.length >= WRITE_BUFFER_BYTES;
        return !isFull;
      },
      onDrain: (action) => {
        onDrain = action;
      },
      unreadBytes: () => unread.length,
      onClose: (action) => {
        onClose = action;
      },
      end: () => {
        caller.hasEnd = true;
      },
    },
  });
  const caller: SlowCaller = {
    writer,
    sent: '',
    received: '',
    resumes: 0,
    wasEnded: false,
    hasEnd: false,
    send: (bytes) => {
      const start = caller.sent.length;
      const text = Array.from({ length: bytes }, (_, index) => (start + index) % 10).join('');
      caller.sent += text;
      return writer.write(Buffer.from(text));
    },
    read: () => {
      if (isClosed) return;
      do {
        takeOver();
        if (isFull) {
          isFull = false;
          onDrain();
        }
      } while (unread.length > 0);
      if (caller.hasEnd) leave();
    },
    leave,
  };
  writer.onDrain(() => {
    caller.resumes += 1;
  });
  return caller;
}

Given(
  'a host with {int} bytes for answers and {int} for each stream',
  function create(this: ReadersWorld, totalBytes: number, streamBytes: number) {
    this.memory = createByteMemory({ totalBytes, streamBytes });
    this.streams = [];
  },
);

Given('a stream whose caller reads nothing', function create(this: ReadersWorld) {
  this.streams.push(createCaller(this.memory));
});

Given(
  'streams whose callers have not read {int}, {int} and {int} bytes',
  function create(this: ReadersWorld, first: number, second: number, third: number) {
    [first, second, third].forEach((bytes) => {
      const caller = createCaller(this.memory);
      caller.send(bytes);
      this.streams.push(caller);
    });
  },
);

When(
  'its server sends {int} bytes at a time until it is paused',
  function send(this: ReadersWorld, bytes: number) {
    const [caller] = this.streams;
    while (caller!.send(bytes)) assert.ok(caller!.sent.length < 10_000_000);
  },
);

When('its server sends {int} bytes and ends', function send(this: ReadersWorld, bytes: number) {
  const [caller] = this.streams;
  for (let sent = 0; sent < bytes; sent += 1000) caller!.send(1000);
  caller!.writer.end();
});

When('its caller reads all', function read(this: ReadersWorld) {
  this.streams[0]!.read();
});

When('its caller leaves', function leave(this: ReadersWorld) {
  this.streams[0]!.leave();
});

When('another stream receives {int} bytes', function send(this: ReadersWorld, bytes: number) {
  const caller = createCaller(this.memory);
  this.streams.push(caller);
  caller.send(bytes);
});

When(
  'another stream whose caller reads receives {int} bytes {int} times',
  function send(this: ReadersWorld, bytes: number, times: number) {
    const caller = createCaller(this.memory, true);
    this.streams.push(caller);
    for (let count = 0; count < times; count += 1) assert.ok(caller.send(bytes));
  },
);

When('a whole answer of {int} bytes arrives', function arrive(this: ReadersWorld, bytes: number) {
  this.isHeld = createAnswerBuffer(this.memory).append(Buffer.alloc(bytes));
});

Then(
  'no order of sends, reads, ends and lost callers exceeds the bound, leaks bytes or mixes them',
  () => {
    const event = fc.record({
      stream: fc.nat(7),
      kind: fc.constantFrom('send', 'send', 'send', 'pending', 'read', 'end', 'leave', 'whole'),
      bytes: fc.integer({ min: 1, max: 40_000 }),
    });
    fc.assert(
      fc.property(fc.array(event, { maxLength: 60 }), (events) => {
        const memory = createByteMemory({ totalBytes: 100_000, streamBytes: 50_000 });
        const callers = Array.from({ length: 8 }, () => createCaller(memory));
        events.forEach(({ stream, kind, bytes }) => {
          const caller = callers[stream]!;
          if (kind === 'send' && !caller.hasEnd) caller.send(bytes);
          if (kind === 'pending') caller.writer.setPendingBytes(bytes);
          if (kind === 'read') caller.read();
          if (kind === 'end') caller.writer.end();
          if (kind === 'leave') caller.leave();
          if (kind === 'whole') {
            const buffer = createAnswerBuffer(memory);
            buffer.append(Buffer.alloc(bytes));
            buffer.clear();
          }
          assert.ok(memory.heldBytes() >= 0 && memory.heldBytes() <= 100_000);
        });
        callers.forEach((caller) => {
          caller.read();
          assert.ok(caller.sent.startsWith(caller.received));
          caller.leave();
        });
        assert.equal(memory.heldBytes(), 0);
      }),
      { seed: 8, numRuns: 300 },
    );
  },
);

Then(
  'it has sent {int} to {int} bytes',
  function check(this: ReadersWorld, least: number, most: number) {
    const { length } = this.streams[0]!.sent;
    assert.ok(length >= least && length <= most, String(length));
  },
);

Then('the server is resumed', function check(this: ReadersWorld) {
  assert.equal(this.streams[0]!.resumes, 1);
});

Then('the caller has received all that was sent, in order', function check(this: ReadersWorld) {
  const [caller] = this.streams;
  assert.ok(caller!.received === caller!.sent);
});

Then('{int} bytes are held', function check(this: ReadersWorld, bytes: number) {
  assert.equal(this.memory.heldBytes(), bytes);
});

Then(
  /^the answer (has|has not) ended for the caller$/,
  function check(this: ReadersWorld, whether: string) {
    assert.equal(this.streams[0]!.hasEnd, whether === 'has');
  },
);

Then('only stream {int} has ended', function check(this: ReadersWorld, number: number) {
  const ended = this.streams.flatMap(({ wasEnded }, index) => (wasEnded ? [index + 1] : []));
  assert.deepEqual(ended, [number]);
});

Then('it is held', function check(this: ReadersWorld) {
  assert.ok(this.isHeld);
});

Then('it has not ended', function check(this: ReadersWorld) {
  assert.equal(this.streams.at(-1)!.wasEnded, false);
});
