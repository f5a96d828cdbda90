/** Parses and validates TOML documents; findings carry file, section, line and column. */
export { checkDocument, type CheckedDocument } from './check.js';
export { parseSource, type Path, type Source } from './source.js';
