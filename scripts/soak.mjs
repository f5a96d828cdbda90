/** Installs, builds and runs soaks: `npm run soak -- --seeds 50`. */
import { join } from 'node:path';
import { binary, build, install, mustRun, ROOT, run } from './tools.mjs';

install();
build();
mustRun(binary('tsc'), ['-p', 'tsconfig.test.json']);
const program = join(ROOT, 'build', 'platform', 'test', 'soak', 'main.js');
process.exit(run(process.execPath, [program, ...process.argv.slice(2)]));
