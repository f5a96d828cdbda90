/**
 * Installs dependencies, builds, runs every check and prints the counts on the last line. Checks
 * listed in KNOWN-RED.txt are run, and printed if they fail, but do not affect the exit code.
 */
import { spawnSync } from 'node:child_process';
import { existsSync, mkdtempSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { build, getBinary, install, ROOT, run } from './tools.mjs';

const KNOWN_RED = join(ROOT, 'KNOWN-RED.txt');

/** Reads the names of the scenarios in KNOWN-RED.txt, from the lines that start with "test: ". */
function readKnownFailures() {
  if (!existsSync(KNOWN_RED)) return [];
  const lines = readFileSync(KNOWN_RED, 'utf8').split('\n');
  return lines.flatMap((line) => (line.startsWith('test: ') ? [line.slice(6).trim()] : []));
}

function readMessages(file) {
  const text = existsSync(file) ? readFileSync(file, 'utf8') : '';
  return text.split('\n').flatMap((line) => (line === '' ? [] : [JSON.parse(line)]));
}

/** Reads the results of the scenarios, with their names, from a file of cucumber messages. */
function readResults(file) {
  const messages = readMessages(file);
  const scenarioNames = new Map();
  const scenarioIds = new Map();
  const attempts = new Map();
  const failedAttempts = new Set();
  messages.forEach(({ pickle, testCase, testCaseStarted, testStepFinished }) => {
    if (pickle) scenarioNames.set(pickle.id, `${pickle.uri}: ${pickle.name}`);
    if (testCase) scenarioIds.set(testCase.id, testCase.pickleId);
    if (testCaseStarted) attempts.set(testCaseStarted.id, testCaseStarted.testCaseId);
    const status = testStepFinished?.testStepResult.status;
    if (status && status !== 'PASSED') failedAttempts.add(testStepFinished.testCaseStartedId);
  });
  return [...attempts].map(([id, testCase]) => ({
    name: scenarioNames.get(scenarioIds.get(testCase)),
    passed: !failedAttempts.has(id),
  }));
}

function runScenarios() {
  const folder = mkdtempSync(join(tmpdir(), 'bulrushspar-test-'));
  const file = join(folder, 'messages.ndjson');
  const { status } = spawnSync(
    getBinary('cucumber-js'),
    ['--format', `message:${file}`, ...process.argv.slice(2)],
    { cwd: ROOT, stdio: 'inherit' },
  );
  const results = readResults(file);
  rmSync(folder, { recursive: true, force: true });
  return { crashed: status !== 0 && results.every(({ passed }) => passed), results };
}

function main() {
  install();
  build();
  const checks = [
    {
      name: 'formatter',
      passed: run(getBinary('prettier'), ['--check', '--log-level', 'warn', '.']) === 0,
    },
    { name: 'linter', passed: run(getBinary('eslint'), ['.']) === 0 },
  ];
  const { crashed, results } = runScenarios();
  const allChecks = [...checks, ...results];
  if (crashed || results.length === 0) allChecks.push({ name: 'cucumber', passed: false });
  const knownFailures = readKnownFailures();
  const isKnownFailure = ({ name }) => knownFailures.includes(name);
  allChecks
    .filter((check) => !check.passed)
    .forEach((check) => {
      process.stdout.write(`${isKnownFailure(check) ? 'known red' : 'FAILED'}: ${check.name}\n`);
    });
  const failed = allChecks.filter((check) => !check.passed && !isKnownFailure(check)).length;
  const passed = allChecks.filter((check) => check.passed).length;
  process.stdout.write(`${passed} passed, ${failed} failed\n`);
  process.exit(failed === 0 ? 0 : 1);
}

main();
