import type { Clock } from '@bulrushspar/clock';

/** One step in the processing of a request on this host. */
export interface TraceStep {
  /** ISO 8601 time. */
  readonly at: string;
  readonly step: string;
  readonly detail?: string;
}

/** Recorded steps of one request. */
export interface Trace {
  readonly id: string;
  readonly host: string;
  readonly steps: readonly TraceStep[];
}

/** Records the steps of one request. */
export interface Tracer {
  readonly id: string;
  addStep(step: string, detail?: string): void;
}

/** Bounded buffer with the traces of the latest requests of this host, for diagnosis. */
export interface TraceBuffer {
  startTrace(id: string): Tracer;
  findTrace(id: string): Trace | undefined;
}

/** Options of {@link createTraceBuffer}. */
export interface TraceBufferOptions {
  readonly clock: Clock;
  readonly host: string;
  /** Maximum number of traces; 20,000 by default. */
  readonly capacity?: number;
}

interface RawStep {
  readonly at: number;
  readonly step: string;
  readonly detail?: string;
}

/** Creates an empty buffer; the oldest traces are evicted first. */
export function createTraceBuffer(options: TraceBufferOptions): TraceBuffer {
  const { clock, host, capacity = 20_000 } = options;
  const traces = new Map<string, RawStep[]>();
  return {
    startTrace: (id) => {
      const steps: RawStep[] = [];
      traces.set(id, steps);
      if (traces.size > capacity) traces.delete(traces.keys().next().value!);
      return {
        id,
        addStep: (step, detail) => {
          steps.push({ at: clock.now().getTime(), step, detail });
        },
      };
    },
    findTrace: (id) => {
      const steps = traces.get(id);
      if (!steps) return undefined;
      return {
        id,
        host,
        steps: steps.map(({ at, ...rest }) => ({ at: new Date(at).toISOString(), ...rest })),
      };
    },
  };
}
