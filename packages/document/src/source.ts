import { getStaticTOMLValue, parseTOML, ParseError, type AST } from 'toml-eslint-parser';
import type { Finding } from '@bulrushspar/errors';

/** Keys and array indexes from the top of a document to a value. */
export type Path = readonly (string | number)[];

interface Position {
  readonly line: number;
  readonly column: number;
}

/** A parsed TOML document with the position of each value. */
export interface Source {
  readonly file: string;
  /** Value of the document; undefined if it has syntax errors. */
  readonly value: unknown;
  /** Syntax errors. */
  readonly findings: readonly Finding[];
  /**
   * Creates a finding for the value at a path. A missing value gets the position of its nearest
   * existing parent.
   */
  createFinding(path: Path, expected: string, found: string): Finding;
}

const DOCUMENT_START: Position = { line: 1, column: 1 };

const formatPathKey = (path: Path): string => JSON.stringify(path.map(String));

function formatSection(path: Path): string {
  return path.slice(0, 2).join('.') || 'document';
}

function getPosition(node: AST.TOMLNode): Position {
  return { line: node.loc.start.line, column: node.loc.start.column + 1 };
}

function recordContent(
  positions: Map<string, Position>,
  node: AST.TOMLContentNode,
  path: Path,
): void {
  positions.set(formatPathKey(path), getPosition(node));
  if (node.type === 'TOMLInlineTable') {
    node.body.forEach((pair) => recordPair(positions, pair, path));
  }
  if (node.type === 'TOMLArray') {
    node.elements.forEach((element, index) => recordContent(positions, element, [...path, index]));
  }
}

function recordPair(positions: Map<string, Position>, pair: AST.TOMLKeyValue, base: Path): void {
  const keys = pair.key.keys.map((key) => (key.type === 'TOMLBare' ? key.name : key.value));
  keys.forEach((_, index) => {
    const prefix = formatPathKey([...base, ...keys.slice(0, index + 1)]);
    if (!positions.has(prefix)) positions.set(prefix, getPosition(pair));
  });
  recordContent(positions, pair.value, [...base, ...keys]);
}

function recordTable(positions: Map<string, Position>, table: AST.TOMLTable): void {
  const path = table.resolvedKey;
  path.forEach((_, index) => {
    const prefix = formatPathKey(path.slice(0, index + 1));
    if (!positions.has(prefix)) positions.set(prefix, getPosition(table));
  });
  table.body.forEach((pair) => recordPair(positions, pair, path));
}

function recordPositions(program: AST.TOMLProgram): Map<string, Position> {
  const positions = new Map<string, Position>();
  program.body[0].body.forEach((node) => {
    if (node.type === 'TOMLTable') recordTable(positions, node);
    else recordPair(positions, node, []);
  });
  return positions;
}

function findNearestPosition(positions: ReadonlyMap<string, Position>, path: Path): Position {
  for (let length = path.length; length > 0; length -= 1) {
    const position = positions.get(formatPathKey(path.slice(0, length)));
    if (position) return position;
  }
  return DOCUMENT_START;
}

function createSource(
  file: string,
  value: unknown,
  positions: ReadonlyMap<string, Position>,
): Source {
  return {
    file,
    value,
    findings: [],
    createFinding: (path, expected, found) => ({
      file,
      section: formatSection(path),
      ...findNearestPosition(positions, path),
      expected,
      found,
    }),
  };
}

/**
 * Parses a TOML document. Syntax errors are returned as findings of the source.
 * @param file file name to report in findings
 * @param text content of the document
 */
export function parseSource(file: string, text: string): Source {
  try {
    const program = parseTOML(text);
    return createSource(file, getStaticTOMLValue(program), recordPositions(program));
  } catch (error) {
    if (!(error instanceof ParseError)) throw error;
    const position = { line: error.lineNumber, column: error.column + 1 };
    const finding: Finding = {
      file,
      section: 'document',
      ...position,
      expected: 'valid TOML',
      found: error.message,
    };
    return { ...createSource(file, undefined, new Map()), findings: [finding] };
  }
}
