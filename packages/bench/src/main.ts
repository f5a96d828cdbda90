#!/usr/bin/env node
/** Measurement programs: `bench balance|choice|overhead|streams|fleet|credit|cold [--json FILE]`. */
import { writeFileSync } from 'node:fs';
import { parseArgs } from 'node:util';
import { measureBalance } from './balance.js';
import { measureChoice } from './choice.js';
import { measureColdStarts } from './cold.js';
import { measureCreditRows, measureFleet } from './control.js';
import { measureOverhead, measureStreams } from './overhead.js';

const PROGRAMS: Readonly<Record<string, () => Promise<unknown>>> = {
  balance: measureBalance,
  choice: measureChoice,
  cold: measureColdStarts,
  credit: measureCreditRows,
  fleet: measureFleet,
  overhead: measureOverhead,
  streams: measureStreams,
};

const { values, positionals } = parseArgs({
  allowPositionals: true,
  options: { json: { type: 'string' } },
});
const program = PROGRAMS[positionals[0] ?? ''];
if (program) {
  const result = await program();
  if (values.json) writeFileSync(values.json, `${JSON.stringify(result, null, 2)}\n`);
} else {
  process.stderr.write(`usage: bench ${Object.keys(PROGRAMS).join('|')} [--json FILE]\n`);
  process.exitCode = 2;
}
