import { stringify } from 'smol-toml';
import type { AcceptedConfiguration } from './root.js';

/** Formats a configuration as a TOML document, with its generation in a comment. */
export function printConfiguration({ generation, configuration }: AcceptedConfiguration): string {
  return `# generation ${generation}\n${stringify(configuration)}\n`;
}
