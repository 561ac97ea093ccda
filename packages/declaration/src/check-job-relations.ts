import type { FaultList } from './fault-list.js';
import { formatPath } from './format-path.js';
import type { Tree } from './tree.js';
import { treeField } from './tree-field.js';

/** Largest number of tasks of one job. A gang of this size fills about the whole planned cell. */
const MAX_JOB_TASKS = 10_000;

/** Checks the rules that relate several fields of a job: key, run time, start and due time, tasks. */
export function checkJobRelations(root: Tree, faults: FaultList): void {
  if (root.type !== 'record') return;
  const report = (field: string, problem: string, correction: string) => {
    const tree = treeField.tree(root, field) ?? root;
    faults.add(tree.offset, formatPath(root, field), problem, correction);
  };
  const readLiteral = (field: string) => {
    const tree = treeField.tree(root, field);
    return tree?.type === 'literal' ? tree.value : undefined;
  };

  if (readLiteral('repeatable') === false && treeField.tree(root, 'key') === undefined)
    report('key', 'a job that is not repeatable has no key', 'add "key", an idempotency key');

  const isService = treeField.text(root, 'kind') === 'service';
  const hasRunTime = treeField.tree(root, 'runMs') !== undefined;
  if (isService && hasRunTime)
    report('runMs', 'kind "service" has no run time', 'remove "runMs" or use another kind');
  if (!isService && treeField.tree(root, 'kind') !== undefined && !hasRunTime)
    report('runMs', 'the run time is missing', 'add "runMs", the run time of one task in ms');
  if (isService && readLiteral('urgent') === true)
    report('urgent', 'kind "service" cannot be urgent', 'remove "urgent" or use another kind');

  const startAtMs = treeField.integer(root, 'startAtMs') ?? 0;
  const dueAtMs = treeField.integer(root, 'dueAtMs') ?? Number.MAX_SAFE_INTEGER;
  if (dueAtMs < startAtMs)
    report('dueAtMs', 'the job is due before it may start', `use at least ${startAtMs}`);

  const taskCount = treeField
    .items(root, 'groups')
    .reduce((sum, group) => sum + Math.max(0, treeField.integer(group, 'count') ?? 0), 0);
  if (taskCount > MAX_JOB_TASKS)
    report(
      'groups',
      `the job has ${taskCount} tasks`,
      `use at most ${MAX_JOB_TASKS}, or several jobs`,
    );
}
