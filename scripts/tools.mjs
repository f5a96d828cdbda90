/** Shared helpers of the scripts: installing, building, and running child processes. */
import { spawn, spawnSync } from 'node:child_process';
import { existsSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';

/** Root directory of the repository. */
export const ROOT = dirname(dirname(fileURLToPath(import.meta.url)));

/** Runs a command, waits for it and returns its exit code; 1 if a signal ended it. */
export function run(command, commandArguments, options = {}) {
  const { status } = spawnSync(command, commandArguments, {
    cwd: ROOT,
    stdio: 'inherit',
    ...options,
  });
  return status ?? 1;
}

/** Runs a command; if it fails, exits this process with the same code. */
export function runOrExit(command, commandArguments) {
  const code = run(command, commandArguments);
  if (code !== 0) process.exit(code);
}

/** Returns the path of an executable that a dependency provides. */
export const getBinary = (name) => join(ROOT, 'node_modules', '.bin', name);

/** Returns the path of a compiled file of a package. */
export const getBuiltFile = (name, file = 'main.js') => join(ROOT, 'packages', name, 'dist', file);

/** Installs the dependencies from the lock file unless the tools are already installed. */
export function install() {
  const isInstalled = ['tsc', 'cucumber-js', 'eslint', 'prettier'].every((name) =>
    existsSync(getBinary(name)),
  );
  if (!isInstalled) runOrExit('npm', ['ci', '--ignore-scripts', '--no-audit', '--no-fund']);
}

/** Compiles all packages. */
export function build() {
  runOrExit(getBinary('tsc'), ['-b']);
}

/** Starts a Node program as a child process and returns it without waiting for it. */
export function startProgram(file, programArguments, options = {}) {
  return spawn(process.execPath, [file, ...programArguments], {
    cwd: ROOT,
    stdio: ['ignore', 'inherit', 'inherit'],
    ...options,
  });
}

/** Resolves after the given time. */
export const pause = (milliseconds) =>
  new Promise((resolve) => {
    setTimeout(resolve, milliseconds);
  });

/** Polls a URL until it responds with success; throws an error after the timeout. */
export async function waitForUrl(url, seconds = 30) {
  const endAt = Date.now() + seconds * 1000;
  while (Date.now() < endAt) {
    const response = await fetch(url).catch(() => undefined);
    if (response?.ok) return;
    await pause(50);
  }
  throw new Error(`${url} did not respond successfully within ${seconds} s`);
}
