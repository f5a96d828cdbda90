import type { Path, Source } from '@bulrushspar/document';
import type { Finding } from '@bulrushspar/errors';
import { SECTIONS, TARGET_KIND, type Configuration, type SectionName } from './schema.js';

/** Adds a finding at a path. */
type ReportFinding = (path: Path, expected: string, found: string) => void;

function requireEntry(
  report: ReportFinding,
  configuration: Configuration,
  section: Exclude<SectionName, 'hosts'>,
  path: Path,
  entryName: string,
): boolean {
  if (Object.hasOwn(configuration[section], entryName)) return true;
  report(path, `a name listed in [${section}]`, JSON.stringify(entryName));
  return false;
}

function checkOwners(report: ReportFinding, configuration: Configuration): void {
  const knownSections = new Set<string>(SECTIONS);
  Object.keys(configuration.owners).forEach((section) => {
    if (!knownSections.has(section)) report(['owners', section], 'the name of a section', section);
  });
}

function checkKeys(report: ReportFinding, configuration: Configuration): void {
  const keyByHash = new Map<string, string>();
  Object.entries(configuration.keys).forEach(([name, key]) => {
    requireEntry(report, configuration, 'workspaces', ['keys', name, 'workspace'], key.workspace);
    const duplicate = keyByHash.get(key.sha256);
    if (duplicate !== undefined)
      report(['keys', name, 'sha256'], 'a hash that no other key has', `that of key ${duplicate}`);
    keyByHash.set(key.sha256, name);
  });
}

function checkModels(report: ReportFinding, configuration: Configuration): void {
  Object.entries(configuration.models).forEach(([name, model]) => {
    model.targets.forEach((target, index) => {
      const path = ['models', name, 'targets', index];
      requireEntry(report, configuration, 'targets', path, target);
    });
  });
  Object.entries(configuration.adapters).forEach(([name, adapter]) => {
    requireEntry(report, configuration, 'models', ['adapters', name, 'model'], adapter.model);
  });
}

function checkRoute(report: ReportFinding, configuration: Configuration, name: string): void {
  const route = configuration.routes[name]!;
  const path = ['routes', name];
  if ((route.model === undefined) === (route.service === undefined)) {
    report(path, 'either a model or a service', route.model ? 'both' : 'neither');
  }
  if (route.model !== undefined) {
    requireEntry(report, configuration, 'models', [...path, 'model'], route.model);
    if (route.open) report([...path, 'open'], 'false on the route of a model', 'true');
  }
  if (route.service !== undefined) {
    requireEntry(report, configuration, 'services', [...path, 'service'], route.service);
  }
  if (route.adapter !== undefined) checkRouteAdapter(report, configuration, name);
  if (route.open && !route.repeatable) {
    report([...path, 'open'], 'false where calls may not be repeated', 'true');
  }
  route.workspaces.forEach((workspace, index) => {
    requireEntry(report, configuration, 'workspaces', [...path, 'workspaces', index], workspace);
  });
}

function checkRouteAdapter(
  report: ReportFinding,
  configuration: Configuration,
  name: string,
): void {
  const route = configuration.routes[name]!;
  const path = ['routes', name, 'adapter'];
  const adapterName = route.adapter!;
  if (!requireEntry(report, configuration, 'adapters', path, adapterName)) return;
  const { model } = configuration.adapters[adapterName]!;
  if (model !== route.model) report(path, `an adapter of ${route.model}`, `an adapter of ${model}`);
}

function checkServices(report: ReportFinding, configuration: Configuration): void {
  Object.entries(configuration.services).forEach(([name, service]) => {
    service.targets.forEach((target, index) => {
      const path = ['services', name, 'targets', index];
      if (!requireEntry(report, configuration, 'targets', path, target)) return;
      const { kind } = configuration.targets[target]!;
      if (kind !== TARGET_KIND.SERVICE) report(path, 'a target of kind service', kind);
    });
  });
}

function checkTargets(report: ReportFinding, configuration: Configuration): void {
  const targetByEndpoint = new Map<string, string>();
  Object.entries(configuration.targets).forEach(([name, target]) => {
    const path = ['targets', name];
    if (target.kind === TARGET_KIND.ENGINE && target.memory_gigabytes === undefined) {
      report([...path, 'memory_gigabytes'], 'the memory of an engine', 'nothing');
    }
    const endpoint = `${target.address}:${target.port}`;
    const duplicate = targetByEndpoint.get(endpoint);
    if (duplicate !== undefined)
      report(
        [...path, 'port'],
        'an address and port that no other target has',
        `those of target ${duplicate}`,
      );
    targetByEndpoint.set(endpoint, name);
  });
}

/** Finds references to entries that do not exist, and entries that contradict one another. */
export function checkReferences(source: Source, configuration: Configuration): readonly Finding[] {
  const findings: Finding[] = [];
  const report: ReportFinding = (path, expected, found) => {
    findings.push(source.createFinding(path, expected, found));
  };
  checkOwners(report, configuration);
  checkKeys(report, configuration);
  checkModels(report, configuration);
  Object.keys(configuration.routes).forEach((name) => checkRoute(report, configuration, name));
  checkServices(report, configuration);
  checkTargets(report, configuration);
  return findings;
}
