#!/usr/bin/env node
/**
 * Runs one stand-in as a process: `standins objects|hosts|weights|engine|service PORT [JSON]`.
 * Prints `ready KIND PORT` once it listens.
 */
import { startEngine, type EngineOptions } from './engine.js';
import { startHostList, type HostRow } from './hosts.js';
import { startObjectApi } from './objects.js';
import { startService } from './service.js';
import { startWeightStore, type WeightLimits } from './weights.js';

const [kind = '', portText = '0', json = '{}'] = process.argv.slice(2);
const port = Number(portText);
const options: unknown = JSON.parse(json);

const START_FUNCTIONS: Readonly<Record<string, () => Promise<unknown>>> = {
  objects: () => startObjectApi({ port }),
  hosts: () => startHostList(options as HostRow[], port),
  weights: () => startWeightStore(options as WeightLimits, port),
  engine: () => startEngine({ ...(options as EngineOptions), port }),
  service: () => startService(port),
};

const startStandin = START_FUNCTIONS[kind];
if (startStandin) {
  await startStandin();
  process.stdout.write(`ready ${kind} ${port}\n`);
} else {
  process.stderr.write('usage: standins objects|hosts|weights|engine|service PORT [JSON]\n');
  process.exitCode = 2;
}
