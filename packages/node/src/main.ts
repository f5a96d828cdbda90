#!/usr/bin/env node
/** Entry point of the node process: reads the settings and serves until a stop signal arrives. */
import { readFileSync } from 'node:fs';
import { parseArgs } from 'node:util';
import { createSystemClock } from '@bulrushspar/clock';
import { formatFinding, errorMessage } from '@bulrushspar/errors';
import { createLogger } from '@bulrushspar/logging';
import { checkSettings, type Settings } from '@bulrushspar/settings';
import { startNode } from './node.js';

/** Exit codes, documented in docs/OPERATIONS.md. */
const EXIT_CODE = { DONE: 0, FAILED: 1, USAGE: 2, BAD_SETTINGS: 3, STOPPED_AT_ONCE: 4 } as const;

const VERSION = '0.1.0';

const HELP_TEXT = `Usage: bulrushspar --settings FILE [--check]

Serves callers and operators on one entry host.

  --settings FILE  TOML file with this host's settings
  --check          check the settings and exit
  --help           print this text
  --version        print the version
`;

interface Arguments {
  readonly settings?: string;
  readonly check?: boolean;
  readonly help?: boolean;
  readonly version?: boolean;
}

function parseArguments(): Arguments | undefined {
  try {
    return parseArgs({
      options: {
        settings: { type: 'string' },
        check: { type: 'boolean' },
        help: { type: 'boolean' },
        version: { type: 'boolean' },
      },
    }).values;
  } catch (error) {
    process.stderr.write(`bulrushspar: ${errorMessage(error)}\n\n${HELP_TEXT}`);
    return undefined;
  }
}

function readSettings(file: string): Settings | undefined {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (error) {
    process.stderr.write(`bulrushspar: ${errorMessage(error)}\n`);
    return undefined;
  }
  const result = checkSettings(file, text);
  if (result.ok) return result.value;
  result.findings.forEach((finding) => process.stderr.write(`${formatFinding(finding)}\n`));
  return undefined;
}

/** Stops the node gracefully on the first signal; exits immediately on the second. */
function stopOnSignals(stop: () => Promise<void>): void {
  let signalCount = 0;
  const onSignal = (): void => {
    signalCount += 1;
    if (signalCount > 1) process.exit(EXIT_CODE.STOPPED_AT_ONCE);
    stop().then(
      () => process.exit(EXIT_CODE.DONE),
      () => process.exit(EXIT_CODE.FAILED),
    );
  };
  process.on('SIGTERM', onSignal);
  process.on('SIGINT', onSignal);
}

async function runNode(settings: Settings): Promise<void> {
  const { level, format } = settings.log;
  const logger = createLogger({ level, format, fields: { host: settings.node.host } });
  const node = await startNode({ settings, clock: createSystemClock(), logger });
  stopOnSignals(node.stop);
}

async function main(): Promise<void> {
  const parsedArguments = parseArguments();
  if (!parsedArguments) {
    process.exitCode = EXIT_CODE.USAGE;
    return;
  }
  if (parsedArguments.help || parsedArguments.version) {
    process.stdout.write(parsedArguments.help ? HELP_TEXT : `${VERSION}\n`);
    return;
  }
  if (parsedArguments.settings === undefined) {
    process.stderr.write(`bulrushspar: --settings is missing\n\n${HELP_TEXT}`);
    process.exitCode = EXIT_CODE.USAGE;
    return;
  }
  const settings = readSettings(parsedArguments.settings);
  if (!settings) {
    process.exitCode = EXIT_CODE.BAD_SETTINGS;
    return;
  }
  if (parsedArguments.check) process.stdout.write(`${parsedArguments.settings}: no findings\n`);
  else await runNode(settings);
}

main().catch((error: unknown) => {
  process.stderr.write(`bulrushspar: ${errorMessage(error)}\n`);
  process.exit(EXIT_CODE.FAILED);
});
