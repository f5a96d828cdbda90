/** Splits the bytes of an event stream into whole events. */
export interface EventSplitter {
  /** @returns the bytes up to the end of the last whole event */
  push(chunk: Buffer): Buffer | undefined;
  /** Id of the last whole event. */
  lastId(): string | undefined;
  /** Bytes of an event that is not whole yet. */
  rest(): number;
}

const EVENT_END = Buffer.from('\n\n');
const ID_LINE = /(?:^|\n)id:[ ]?([^\n]*)\n/g;

/** Creates a splitter for one stream. */
export function createEventSplitter(): EventSplitter {
  let pending: Buffer = Buffer.alloc(0);
  let id: string | undefined;
  return {
    push: (chunk) => {
      pending = pending.length === 0 ? chunk : Buffer.concat([pending, chunk]);
      const end = pending.lastIndexOf(EVENT_END);
      if (end < 0) return undefined;
      const whole = pending.subarray(0, end + EVENT_END.length);
      pending = pending.subarray(end + EVENT_END.length);
      for (const match of whole.toString('latin1').matchAll(ID_LINE)) [, id] = match;
      return whole;
    },
    lastId: () => id,
    rest: () => pending.length,
  };
}
