import { checkDependencies } from './check-dependencies.js';
import type { FaultList } from './fault-list.js';
import { findNearestName } from './find-nearest-name.js';
import { formatPath } from './format-path.js';
import { quote } from './quote.js';
import type { Tree } from './tree.js';
import { treeField } from './tree-field.js';

/** Defaults of `backOffMs` and `maxBackOffMs` in the schema. */
const DEFAULT_BACK_OFF_MS = 1000;
const DEFAULT_MAX_BACK_OFF_MS = 60_000;

/**
 * Checks the rules that relate several fields of a declaration: quotas, user and team of a service,
 * instances and dependencies. A field that already has a fault of its own is treated as absent.
 */
export function checkDeclarationRelations(root: Tree, faults: FaultList): void {
  const users = treeField.items(root, 'users');
  const services = treeField.items(root, 'services');
  checkQuotas(users, faults);
  const teamNamesByUser = collectTeamNames(users);
  for (const service of services) {
    checkUserAndTeam(service, teamNamesByUser, faults);
    checkInstances(service, faults);
  }
  checkDependencies(services, faults);
}

/** Reports a sum of quotas above 1000 per mille, at the first quota that exceeds it. */
function checkQuotas(users: readonly Tree[], faults: FaultList): void {
  const teams = users.flatMap((user) => treeField.items(user, 'teams'));
  let total = 0;
  let exceedingQuota: Tree | undefined;
  for (const team of teams) {
    total += Math.max(0, treeField.integer(team, 'quotaPerMille') ?? 0);
    if (total > 1000) exceedingQuota ??= treeField.tree(team, 'quotaPerMille');
  }
  if (exceedingQuota === undefined) return;
  const problem = `the quotas of all teams add up to ${total} per mille`;
  const correction = `lower quotas by ${total - 1000} in all; together they may have at most 1000`;
  faults.add(exceedingQuota.offset, formatPath(exceedingQuota), problem, correction);
}

/** Collects the names of the teams by the name of their user. */
function collectTeamNames(users: readonly Tree[]): ReadonlyMap<string, ReadonlySet<string>> {
  const teamNamesByUser = new Map<string, Set<string>>();
  for (const user of users) {
    const name = treeField.text(user, 'name');
    if (name === undefined) continue;
    const teamNames = teamNamesByUser.get(name) ?? new Set<string>();
    teamNamesByUser.set(name, teamNames);
    for (const team of treeField.items(user, 'teams')) {
      const teamName = treeField.text(team, 'name');
      if (teamName !== undefined) teamNames.add(teamName);
    }
  }
  return teamNamesByUser;
}

/** Reports a service whose user, or whose team of this user, is not declared. */
function checkUserAndTeam(
  service: Tree,
  teamNamesByUser: ReadonlyMap<string, ReadonlySet<string>>,
  faults: FaultList,
): void {
  const user = treeField.text(service, 'user');
  if (user === undefined) return;
  const teamNames = teamNamesByUser.get(user);
  if (teamNames === undefined) {
    reportUndeclared(service, 'user', user, teamNamesByUser.keys(), faults);
    return;
  }
  const team = treeField.text(service, 'team');
  if (team !== undefined && !teamNames.has(team))
    reportUndeclared(service, 'team', team, teamNames, faults);
}

function reportUndeclared(
  service: Tree,
  field: 'user' | 'team',
  name: string,
  declaredNames: Iterable<string>,
  faults: FaultList,
): void {
  const tree = treeField.tree(service, field);
  if (tree === undefined || faults.isFull()) return;
  const nearest = findNearestName(name, declaredNames);
  const listName =
    field === 'user'
      ? 'users'
      : `the teams of user ${quote(treeField.text(service, 'user') ?? '')}`;
  const correction =
    nearest === undefined ? `add it to ${listName}` : `did you mean ${quote(nearest)}?`;
  faults.add(tree.offset, formatPath(tree), `${quote(name)} is not among ${listName}`, correction);
}

/** Reports instances, racks, resources and restart delays of a service that contradict each other. */
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
  const backOffMs = treeField.integer(service, 'backOffMs') ?? DEFAULT_BACK_OFF_MS;
  const maxBackOffMs = treeField.integer(service, 'maxBackOffMs');
  const maxMs = maxBackOffMs ?? DEFAULT_MAX_BACK_OFF_MS;
  if (backOffMs > maxMs) {
    const problem = `backOffMs ${backOffMs} exceeds maxBackOffMs ${maxMs}`;
    report(
      maxBackOffMs === undefined ? 'backOffMs' : 'maxBackOffMs',
      problem,
      'raise maxBackOffMs',
    );
  }
}
