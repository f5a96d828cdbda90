/** Cells of one row by column name. */
export type Row = Readonly<Record<string, string | number | boolean | undefined>>;

const COLUMN_GAP = '  ';

/** Formats rows as a plain text table with upper-case headings. */
export function formatTable(columns: readonly string[], rows: readonly Row[]): string {
  const cellRows = rows.map((row) => columns.map((column) => String(row[column] ?? '')));
  const widths = columns.map((column, index) =>
    Math.max(column.length, ...cellRows.map((cells) => cells[index]!.length)),
  );
  const formatLine = (cells: readonly string[]): string =>
    cells
      .map((cell, index) => cell.padEnd(widths[index]!))
      .join(COLUMN_GAP)
      .trimEnd();
  const heading = formatLine(columns.map((column) => column.toUpperCase()));
  return [heading, ...cellRows.map(formatLine)].join('\n');
}
