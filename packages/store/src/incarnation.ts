/** One start of a node process. */
export interface Incarnation {
  /** Name of the host, as the host list has it. */
  readonly host: string;
  /** Unique for each process start. */
  readonly incarnation: string;
}

/** Tells whether two incarnations are the same process. */
export function isSameIncarnation(a: Incarnation | undefined, b: Incarnation | undefined): boolean {
  return a !== undefined && a.host === b?.host && a.incarnation === b.incarnation;
}
