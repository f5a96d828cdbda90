import { checkDocument } from '@bulrushspar/document';
import type { Finding } from '@bulrushspar/errors';
import { checkReferences } from './references.js';
import { documentSchema, type Configuration } from './schema.js';

/** Result of {@link checkConfiguration}: the valid configuration or all findings. */
export type CheckedConfiguration =
  | { readonly ok: true; readonly configuration: Configuration }
  | { readonly ok: false; readonly findings: readonly Finding[] };

/**
 * Parses a configuration document, validates it against the schema and checks its references.
 * @param file file name to report in findings
 * @param text content of the document, in TOML
 * @returns the configuration with defaults filled in, or all findings of the first step that fails
 */
export function checkConfiguration(file: string, text: string): CheckedConfiguration {
  const checked = checkDocument(file, text, documentSchema);
  if (!checked.ok) return { ok: false, findings: checked.findings };
  const findings = checkReferences(checked.source, checked.value);
  if (findings.length > 0) return { ok: false, findings };
  return { ok: true, configuration: checked.value };
}
