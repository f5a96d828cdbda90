/** Identifies one run of a node process. */
export interface Incarnation {
  /** Name of the host in the host list. */
  readonly host: string;
  /** Unique identifier of the process start. */
  readonly incarnation: string;
}

/** Returns whether both are defined and identify the same process. */
export function isSameIncarnation(a: Incarnation | undefined, b: Incarnation | undefined): boolean {
  return a !== undefined && a.host === b?.host && a.incarnation === b.incarnation;
}
