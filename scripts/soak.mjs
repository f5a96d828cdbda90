/** Installs dependencies, builds and runs soak tests: `npm run soak -- --seeds 50`. */
import { join } from 'node:path';
import { build, getBinary, install, ROOT, run, runOrExit } from './tools.mjs';

install();
build();
runOrExit(getBinary('tsc'), ['-p', 'tsconfig.test.json']);
const program = join(ROOT, 'build', 'platform', 'test', 'soak', 'main.js');
process.exit(run(process.execPath, [program, ...process.argv.slice(2)]));
