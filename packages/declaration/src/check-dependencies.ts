import { findCycles } from './find-cycles.js';
import type { FaultList } from './fault-list.js';
import { findNearestName } from './find-nearest-name.js';
import { formatPath } from './format-path.js';
import { quote } from './quote.js';
import type { Tree } from './tree.js';
import { treeField } from './tree-field.js';

/** Further cycles are reported once these are corrected. */
const MAX_REPORTED_CYCLES = 20;
/** Names that are shown at each end of a long cycle; those between them are counted. */
const NAMES_AT_EACH_END = 8;

/** Reports services in `dependsOn` that are not declared, and dependency cycles. */
export function checkDependencies(services: readonly Tree[], faults: FaultList): void {
  const servicesByName = new Map<string, Tree>();
  for (const service of services) {
    const name = treeField.text(service, 'name');
    if (name !== undefined && !servicesByName.has(name)) servicesByName.set(name, service);
  }
  for (const service of services) {
    for (const item of treeField.items(service, 'dependsOn'))
      checkDependency(item, servicesByName, faults);
  }
  const graph = new Map<string, readonly string[]>();
  for (const [name, service] of servicesByName) graph.set(name, listDependencyNames(service));
  for (const cycle of findCycles(graph, MAX_REPORTED_CYCLES))
    reportCycle(cycle, servicesByName, faults);
}

/** Lists the names in `dependsOn`. */
function listDependencyNames(service: Tree): readonly string[] {
  return treeField
    .items(service, 'dependsOn')
    .flatMap((item) =>
      item.type === 'literal' && typeof item.value === 'string' ? [item.value] : [],
    );
}

/** Reports a name in `dependsOn` that no declared service has. */
function checkDependency(
  item: Tree,
  servicesByName: ReadonlyMap<string, Tree>,
  faults: FaultList,
): void {
  if (item.type !== 'literal' || typeof item.value !== 'string') return;
  if (servicesByName.has(item.value) || faults.isFull()) return;
  const nearest = findNearestName(item.value, servicesByName.keys());
  const correction =
    nearest === undefined
      ? 'declare the service or remove the name'
      : `did you mean ${quote(nearest)}?`;
  faults.add(
    item.offset,
    formatPath(item),
    `the service ${quote(item.value)} is not declared`,
    correction,
  );
}

/** Reports a cycle at the dependency that closes it. */
function reportCycle(
  cycle: readonly string[],
  servicesByName: ReadonlyMap<string, Tree>,
  faults: FaultList,
): void {
  const service = servicesByName.get(cycle.at(-2) ?? '');
  if (service === undefined) return;
  const closing = treeField
    .items(service, 'dependsOn')
    .find((item) => item.type === 'literal' && item.value === cycle.at(-1));
  const faultyTree = closing ?? service;
  const problem = `dependency cycle ${formatCycle(cycle)}`;
  faults.add(
    faultyTree.offset,
    formatPath(faultyTree),
    problem,
    'remove one of these dependencies',
  );
}

/** Joins the names of a cycle, without those in the middle of a long one. */
function formatCycle(cycle: readonly string[]): string {
  const hiddenCount = cycle.length - 2 * NAMES_AT_EACH_END;
  if (hiddenCount <= 1) return cycle.join(' → ');
  const start = cycle.slice(0, NAMES_AT_EACH_END).join(' → ');
  const end = cycle.slice(-NAMES_AT_EACH_END).join(' → ');
  return `${start} → (${hiddenCount} more) → ${end}`;
}
