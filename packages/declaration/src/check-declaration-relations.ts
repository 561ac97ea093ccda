import { checkDependencies } from './check-dependencies.js';
import type { FaultList } from './fault-list.js';
import { findNearestName } from './find-nearest-name.js';
import { formatPath } from './format-path.js';
import { quote } from './quote.js';
import type { Tree } from './tree.js';
import { treeField } from './tree-field.js';

/**
 * Checks the rules that relate several fields of a declaration: quotas, user and team of a service,
 * instances and dependencies. A field that already has a fault of its own is treated as absent.
 */
export function checkDeclarationRelations(root: Tree, faults: FaultList): void {
  const users = treeField.items(root, 'users');
  const services = treeField.items(root, 'services');
  checkQuotas(users, faults);
  const teams = listTeams(users);
  for (const service of services) {
    checkUserAndTeam(service, teams, faults);
    checkInstances(service, faults);
  }
  checkDependencies(services, faults);
}

function checkQuotas(users: readonly Tree[], faults: FaultList): void {
  const teams = users.flatMap((user) => treeField.items(user, 'teams'));
  let total = 0;
  let exceededAt: Tree | undefined;
  for (const team of teams) {
    total += Math.max(0, treeField.integer(team, 'quotaPerMille') ?? 0);
    if (total > 1000) exceededAt ??= treeField.tree(team, 'quotaPerMille');
  }
  if (exceededAt === undefined) return;
  const problem = `the quotas of all teams add up to ${total} per mille`;
  const correction = `lower quotas by ${total - 1000} in all; together they may have at most 1000`;
  faults.add(exceededAt.offset, formatPath(exceededAt), problem, correction);
}

/** The names of the teams by the name of their user. */
function listTeams(users: readonly Tree[]): ReadonlyMap<string, ReadonlySet<string>> {
  const teams = new Map<string, Set<string>>();
  for (const user of users) {
    const name = treeField.text(user, 'name');
    if (name === undefined) continue;
    const names = teams.get(name) ?? new Set<string>();
    teams.set(name, names);
    for (const team of treeField.items(user, 'teams')) {
      const teamName = treeField.text(team, 'name');
      if (teamName !== undefined) names.add(teamName);
    }
  }
  return teams;
}

/** Reports a service whose user, or whose team of this user, is not declared. */
function checkUserAndTeam(
  service: Tree,
  teams: ReadonlyMap<string, ReadonlySet<string>>,
  faults: FaultList,
): void {
  const user = treeField.text(service, 'user');
  if (user === undefined) return;
  const known = teams.get(user);
  if (known === undefined) {
    reportUnlisted(service, 'user', user, teams.keys(), faults);
    return;
  }
  const team = treeField.text(service, 'team');
  if (team !== undefined && !known.has(team)) reportUnlisted(service, 'team', team, known, faults);
}

function reportUnlisted(
  service: Tree,
  field: 'user' | 'team',
  name: string,
  known: Iterable<string>,
  faults: FaultList,
): void {
  const tree = treeField.tree(service, field);
  if (tree === undefined || faults.isFull()) return;
  const nearest = findNearestName(name, known);
  const list =
    field === 'user'
      ? 'users'
      : `the teams of user ${quote(treeField.text(service, 'user') ?? '')}`;
  const correction =
    nearest === undefined ? `add it to ${list}` : `did you mean ${quote(nearest)}?`;
  faults.add(tree.offset, formatPath(tree), `${quote(name)} is not among ${list}`, correction);
}

function checkInstances(service: Tree, faults: FaultList): void {
  const report = (field: string, problem: string, correction: string) => {
    const tree = treeField.tree(service, field) ?? service;
    faults.add(tree.offset, formatPath(service, field), problem, correction);
  };
  const instances = treeField.integer(service, 'instances') ?? 0;
  const kind = treeField.text(service, 'kind') ?? 'service';
  if (instances > 0 && kind !== 'service')
    report('instances', `kind ${quote(kind)} has no instances`, 'use 0 or kind "service"');
  const minRacks = treeField.integer(service, 'minRacks') ?? 0;
  if (minRacks > instances) {
    const problem = `${instances} instances cannot be spread over ${minRacks} racks`;
    report('minRacks', problem, `use at most ${instances} or raise "instances"`);
  }
  const resources = treeField.tree(service, 'resources');
  const hasNoResources =
    resources === undefined || (treeField.integer(resources, 'millicores') ?? 1) === 0;
  if (instances > 0 && hasNoResources)
    report(
      'resources',
      'the instances have no resources',
      'add "resources" with at least 1 millicore',
    );
  const backOffMs = treeField.integer(service, 'backOffMs');
  const maxBackOffMs = treeField.integer(service, 'maxBackOffMs');
  if ((backOffMs ?? 1000) > (maxBackOffMs ?? 60_000)) {
    const problem = `backOffMs ${backOffMs ?? 1000} exceeds maxBackOffMs ${maxBackOffMs ?? 60_000}`;
    report(
      maxBackOffMs === undefined ? 'backOffMs' : 'maxBackOffMs',
      problem,
      'raise maxBackOffMs',
    );
  }
}
