import type { FaultList } from './fault-list.js';
import { findNearestName } from './find-nearest-name.js';
import { formatPath } from './format-path.js';
import { quote } from './quote.js';
import type { Tree } from './tree.js';
import { treeField } from './tree-field.js';

const LAST_PORT = 65_535;

/** Checks the rules that relate several settings of the stand-in: ports and names of data centres. */
export function checkStandInRelations(root: Tree, faults: FaultList): void {
  checkPorts(root, faults);
  const names = treeField
    .items(root, 'dataCentres')
    .map((dataCentre) => treeField.text(dataCentre, 'name'))
    .filter((name) => name !== undefined);
  for (const entry of treeField.items(root, 'entries')) {
    const name = treeField.text(entry, 'dataCentre');
    const tree = treeField.tree(entry, 'dataCentre');
    if (name === undefined || tree === undefined || names.includes(name)) continue;
    if (faults.isFull()) return;
    const nearest = findNearestName(name, names);
    const correction =
      nearest === undefined ? 'add it to "dataCentres"' : `did you mean ${quote(nearest)}?`;
    const problem = `${quote(name)} is not among "dataCentres"`;
    faults.add(tree.offset, formatPath(tree), problem, correction);
  }
}

/**
 * Reports a listening port that is too high. The stand-in uses consecutive ports: the listening port,
 * one more for the VM list, and one for each simulated VM.
 */
function checkPorts(root: Tree, faults: FaultList): void {
  const tree = treeField.tree(root, 'listen');
  const listenPort = Number(treeField.text(root, 'listen')?.split(':')[1] ?? 0);
  const dataCentres = treeField.items(root, 'dataCentres').length;
  const perDataCentre =
    readCount(root, 'runnersPerDataCentre') + readCount(root, 'workersPerDataCentre');
  const ports = 2 + dataCentres * perDataCentre;
  if (tree === undefined || listenPort + ports - 1 <= LAST_PORT) return;
  const problem = `${ports} ports from ${listenPort} on go beyond ${LAST_PORT}`;
  faults.add(tree.offset, formatPath(tree), problem, `use at most ${LAST_PORT + 1 - ports}`);
}

function readCount(root: Tree, name: string): number {
  return Math.max(0, treeField.integer(root, name) ?? 0);
}
