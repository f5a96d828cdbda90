/** Parts of the operator command that tests use. */
export { formatTable, type Row } from './table.js';
