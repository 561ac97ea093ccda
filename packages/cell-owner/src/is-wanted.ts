import type { CellState } from '@acaciahoist/cell-state';
import type { TrackedRun } from './tracked-run.js';

/** True while the run may continue: its task is not done, and the run is the recorded current or second one. */
export function isWanted(
  state: CellState,
  { task, run, isCopy }: Pick<TrackedRun, 'task' | 'run' | 'isCopy'>,
): boolean {
  const progress = state.findTask(task)?.task;
  if (progress === undefined || progress.phase === 'done') return false;
  if (isCopy) return state.copies.running.get(task)?.run === run;
  return progress.phase === 'placed' && progress.run === run;
}
