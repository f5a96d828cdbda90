/** Installs dependencies, builds and runs a measurement program: `npm run bench -- NAME`. */
import { build, getBuiltFile, install, run } from './tools.mjs';

install();
build();
process.exit(run(process.execPath, [getBuiltFile('bench'), ...process.argv.slice(2)]));
