/** Arrays of the figures of servers, which each choice uses again. */

/** Figures of the servers of one choice, in the order of their addition. */
export interface Figures {
  readonly limit: number;
  readonly requests: Float64Array;
  readonly slots: Float64Array;
  readonly slowness: Float64Array;
  /** Requests that a server holds at a utilization of 1: its slots over its slowness. */
  readonly capacity: Float64Array;
  /** The same while the faster servers have room: its slots over the cube of its slowness. */
  readonly spareCapacity: Float64Array;
  readonly work: Float64Array;
  readonly extra: Float64Array;
  /** Room of a server and of those before it. */
  readonly roomUpTo: Float64Array;
}

/** Creates figures of no server, with place for some. */
export const createFigures = (limit: number): Figures => ({
  limit,
  requests: new Float64Array(limit),
  slots: new Float64Array(limit),
  slowness: new Float64Array(limit),
  capacity: new Float64Array(limit),
  spareCapacity: new Float64Array(limit),
  work: new Float64Array(limit),
  extra: new Float64Array(limit),
  roomUpTo: new Float64Array(limit),
});

/** Copies figures to arrays of twice the length. */
export const growFigures = (figures: Figures): Figures => {
  const grown = createFigures(figures.limit * 2);
  grown.requests.set(figures.requests);
  grown.slots.set(figures.slots);
  grown.slowness.set(figures.slowness);
  grown.capacity.set(figures.capacity);
  grown.spareCapacity.set(figures.spareCapacity);
  grown.work.set(figures.work);
  grown.extra.set(figures.extra);
  return grown;
};
