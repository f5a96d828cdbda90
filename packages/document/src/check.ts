import type * as z from 'zod';
import type { Finding } from '@bulrushspar/errors';
import { parseSource, type Path, type Source } from './source.js';

/** Result of {@link checkDocument}: the valid value or all findings. */
export type CheckedDocument<Value> =
  | { readonly ok: true; readonly value: Value; readonly source: Source }
  | { readonly ok: false; readonly findings: readonly Finding[]; readonly source: Source };

function getValueAt(root: unknown, path: Path): unknown {
  return path.reduce<unknown>(
    (value, key) =>
      value !== null && typeof value === 'object'
        ? (value as Record<string | number, unknown>)[key]
        : undefined,
    root,
  );
}

function formatValue(value: unknown): string {
  if (value === undefined) return 'nothing';
  const text = JSON.stringify(value);
  const MAX_LENGTH = 60;
  return text.length > MAX_LENGTH ? `${text.slice(0, MAX_LENGTH)}…` : text;
}

function formatExpectation(issue: z.core.$ZodIssue): string {
  return issue.message.replace(/^Invalid input: expected /, '').replace(/, received .*$/, '');
}

function createFindings(source: Source, issue: z.core.$ZodIssue): Finding[] {
  const path = issue.path as (string | number)[];
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map((key) =>
      source.createFinding([...path, key], 'a known setting', `unknown setting "${key}"`),
    );
  }
  return [
    source.createFinding(
      path,
      formatExpectation(issue),
      formatValue(getValueAt(source.value, path)),
    ),
  ];
}

/**
 * Parses a TOML document and validates it against a schema.
 * @param file file name to report in findings
 * @param text content of the document
 * @param schema schema of the whole document
 * @returns the value with defaults filled in, or all findings
 */
export function checkDocument<Schema extends z.ZodType>(
  file: string,
  text: string,
  schema: Schema,
): CheckedDocument<z.output<Schema>> {
  const source = parseSource(file, text);
  if (source.findings.length > 0) return { ok: false, findings: source.findings, source };
  const result = schema.safeParse(source.value);
  if (result.success) return { ok: true, value: result.data, source };
  const findings = result.error.issues.flatMap((issue) => createFindings(source, issue));
  return { ok: false, findings, source };
}
