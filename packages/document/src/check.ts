import type * as z from 'zod';
import type { Finding } from '@bulrushspar/errors';
import { parseSource, type Path, type Source } from './source.js';

/** A document that passed its schema, or everything wrong with it. */
export type Checked<Value> =
  | { readonly ok: true; readonly value: Value; readonly source: Source }
  | { readonly ok: false; readonly findings: readonly Finding[]; readonly source: Source };

function valueAt(root: unknown, path: Path): unknown {
  return path.reduce<unknown>(
    (value, step) =>
      value !== null && typeof value === 'object'
        ? (value as Record<string | number, unknown>)[step]
        : undefined,
    root,
  );
}

function describe(value: unknown): string {
  if (value === undefined) return 'nothing';
  const text = JSON.stringify(value);
  const LONGEST = 60;
  return text.length > LONGEST ? `${text.slice(0, LONGEST)}…` : text;
}

function expectation(issue: z.core.$ZodIssue): string {
  return issue.message.replace(/^Invalid input: expected /, '').replace(/, received .*$/, '');
}

function findingsOf(source: Source, issue: z.core.$ZodIssue): Finding[] {
  const path = issue.path as (string | number)[];
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map((key) =>
      source.finding([...path, key], 'a known setting', `unknown setting "${key}"`),
    );
  }
  return [source.finding(path, expectation(issue), describe(valueAt(source.value, path)))];
}

/**
 * Reads a TOML text and checks it against a schema.
 * @param file name that findings carry
 * @param text the document
 * @param schema what the document must look like
 * @returns the value, or all findings together
 */
export function checkDocument<Schema extends z.ZodType>(
  file: string,
  text: string,
  schema: Schema,
): Checked<z.output<Schema>> {
  const source = parseSource(file, text);
  if (source.findings.length > 0) return { ok: false, findings: source.findings, source };
  const result = schema.safeParse(source.value);
  if (result.success) return { ok: true, value: result.data, source };
  const findings = result.error.issues.flatMap((issue) => findingsOf(source, issue));
  return { ok: false, findings, source };
}
