/** Position in a document; lines and columns are numbered from 1. */
export interface Place {
  readonly file: string;
  readonly section: string;
  readonly line: number;
  readonly column: number;
}

/** One error found in a document, with its position. */
export interface Finding extends Place {
  readonly expected: string;
  readonly found: string;
}

/** Formats a finding as one readable line. */
export function formatFinding(finding: Finding): string {
  const { file, line, column, section, expected, found } = finding;
  return `${file}:${line}:${column}: [${section}] expected ${expected}, found ${found}`;
}
