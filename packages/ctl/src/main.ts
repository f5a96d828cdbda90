#!/usr/bin/env node
/** Entry point of the operator command bulrushsparctl. */
import { parseArgs } from 'node:util';
import { errorMessage } from '@bulrushspar/errors';
import { createNodeClient } from './client.js';
import { COMMANDS, EXIT, type Command } from './commands.js';
import { createUsageError, isUsageError } from './usage.js';

const VERSION = '0.1.0';
const DEFAULT_NODE = 'http://127.0.0.1:7401';
const DEFAULT_LIMIT = 50;

const HELP = `Usage: bulrushsparctl [--node URL] [--token TOKEN] [--json] COMMAND

  config check FILE                   check a configuration document
  config apply FILE [--base N]        make it the accepted configuration
  config show                         print the accepted configuration
  config history [--limit N]          list accepted changes, the newest first
  key grant --workspace W --name N    make a key and print it once
  key withdraw NAME                   stop a key from working
  workspace|model|adapter list        list a section
  status                              the fleet as one host sees it
  explain REQUEST-ID                  what happened to a request
  audit [--limit N]                   changes made by the system

  --node URL       operators' interface of any node (BULRUSHSPAR_NODE; ${DEFAULT_NODE})
  --token TOKEN    operators' token (BULRUSHSPAR_TOKEN)
  --as TEAM        team in whose name a change is made (BULRUSHSPAR_TEAM)
  --base N         generation that the document was edited from
  --json           print JSON for programs
  --help           print this text
  --version        print the version

Exit codes: 0 done, 1 failed, 2 wrong command line, 3 refused, 4 unknown outcome, 5 not found.
`;

interface CommandLine {
  readonly values: {
    readonly node: string;
    readonly token: string;
    readonly as: string;
    readonly json?: boolean;
    readonly help?: boolean;
    readonly version?: boolean;
    readonly base?: string;
    readonly workspace?: string;
    readonly name?: string;
    readonly limit?: string;
  };
  readonly positionals: readonly string[];
}

function parseCommandLine(): CommandLine {
  const { env } = process;
  return parseArgs({
    allowPositionals: true,
    options: {
      node: { type: 'string', default: env.BULRUSHSPAR_NODE ?? DEFAULT_NODE },
      token: { type: 'string', default: env.BULRUSHSPAR_TOKEN ?? '' },
      as: { type: 'string', default: env.BULRUSHSPAR_TEAM ?? '' },
      json: { type: 'boolean' },
      help: { type: 'boolean' },
      version: { type: 'boolean' },
      base: { type: 'string' },
      workspace: { type: 'string' },
      name: { type: 'string' },
      limit: { type: 'string' },
    },
  });
}

function parseWholeNumber(text: string | undefined, option: string): number | undefined {
  if (text === undefined) return undefined;
  const value = Number(text);
  if (Number.isInteger(value) && value >= 0) return value;
  throw createUsageError(`${option} is not a whole number`);
}

function findCommand(positionals: readonly string[]): [Command, readonly string[]] {
  const [firstWord = '', secondWord = ''] = positionals;
  const twoWordCommand = COMMANDS[`${firstWord} ${secondWord}`];
  if (twoWordCommand) return [twoWordCommand, positionals.slice(2)];
  const oneWordCommand = COMMANDS[firstWord];
  if (oneWordCommand) return [oneWordCommand, positionals.slice(1)];
  throw createUsageError(
    firstWord === '' ? 'no command is given' : `there is no command "${positionals.join(' ')}"`,
  );
}

const COMMANDS_WITH_AUTHOR = new Set(['config apply', 'key grant', 'key withdraw']);

async function runCommand({ values, positionals }: CommandLine): Promise<number> {
  const [command, commandArguments] = findCommand(positionals);
  if (COMMANDS_WITH_AUTHOR.has(positionals.slice(0, 2).join(' ')) && values.as === '') {
    throw createUsageError('--as is missing: changes are made in the name of a team');
  }
  const result = await command(createNodeClient(values.node, values.token), {
    positionals: commandArguments,
    author: values.as,
    base: parseWholeNumber(values.base, '--base'),
    workspace: values.workspace,
    name: values.name,
    limit: parseWholeNumber(values.limit, '--limit') ?? DEFAULT_LIMIT,
  });
  const output = values.json ? JSON.stringify(result.data, null, 2) : result.text;
  process.stdout.write(`${output}\n`);
  return result.exit;
}

async function main(): Promise<number> {
  try {
    const commandLine = parseCommandLine();
    if (commandLine.values.help || commandLine.values.version) {
      process.stdout.write(commandLine.values.help ? HELP : `${VERSION}\n`);
      return EXIT.DONE;
    }
    return await runCommand(commandLine);
  } catch (error) {
    process.stderr.write(`bulrushsparctl: ${errorMessage(error)}\n`);
    return isUsageError(error) ? EXIT.USAGE : EXIT.FAILED;
  }
}

process.exitCode = await main();
