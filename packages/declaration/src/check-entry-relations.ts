import { entryLimitFields } from './entry-limit-fields.js';
import type { FaultList } from './fault-list.js';
import { formatPath } from './format-path.js';
import type { Schema } from './schema.js';
import type { Tree } from './tree.js';
import { treeField } from './tree-field.js';

/** Checks the rules that relate several settings of an entry process: addresses, lease and tokens. */
export function checkEntryRelations(root: Tree, faults: FaultList): void {
  checkAddresses(root, faults);
  checkAtMostHalf(
    root,
    'renewMs',
    'leaseMs',
    'so that one lost renewal does not end the lease',
    faults,
  );
  for (const grant of treeField.items(root, 'tokens')) checkGrant(grant, faults);
}

function checkAddresses(root: Tree, faults: FaultList): void {
  const peerListen = treeField.tree(root, 'peerListen');
  const address = treeField.text(root, 'peerListen');
  if (peerListen === undefined || address === undefined) return;
  if (address === treeField.text(root, 'listen')) {
    const correction = 'use another port than for "listen"';
    faults.add(
      peerListen.offset,
      formatPath(peerListen),
      `${address} is also "listen"`,
      correction,
    );
  }
  if (address.startsWith('0.0.0.0:')) {
    const problem = '0.0.0.0 is not the address of a process';
    const correction = 'use the address at which other processes reach this one';
    faults.add(peerListen.offset, formatPath(peerListen), problem, correction);
  }
}

/** Reports a setting that exceeds half of another one. An absent setting has its default value. */
function checkAtMostHalf(
  root: Tree,
  smaller: keyof typeof entryLimitFields,
  larger: keyof typeof entryLimitFields,
  reason: string,
  faults: FaultList,
): void {
  const limit = Math.floor(readLimit(root, larger) / 2);
  const value = readLimit(root, smaller);
  if (value <= limit) return;
  const faultyTree = treeField.tree(root, smaller) ?? treeField.tree(root, larger) ?? root;
  const problem = `${smaller} ${value} exceeds half of ${larger}`;
  faults.add(
    faultyTree.offset,
    formatPath(root, smaller),
    problem,
    `use at most ${limit}, ${reason}`,
  );
}

function readLimit(root: Tree, name: keyof typeof entryLimitFields): number {
  const schema: Schema = entryLimitFields[name];
  return treeField.integer(root, name) ?? Number(schema.default);
}

/** Checks that a token names either an operator or a caller, and that only an operator may apply. */
function checkGrant(grant: Tree, faults: FaultList): void {
  if (grant.type !== 'record') return;
  const operator = treeField.tree(grant, 'operator');
  const caller = treeField.tree(grant, 'caller');
  if ((operator === undefined) === (caller === undefined)) {
    const problem = operator === undefined ? 'the token has no name' : 'the token has two names';
    const correction = 'give exactly one of "operator" and "caller"';
    faults.add(grant.offset, formatPath(grant), problem, correction);
  }
  const mayApply = treeField.tree(grant, 'mayApply');
  if (mayApply?.type !== 'literal' || mayApply.value !== true || operator !== undefined) return;
  const correction = 'give "operator" instead of "caller", or remove "mayApply"';
  faults.add(mayApply.offset, formatPath(mayApply), 'only operators may apply', correction);
}
