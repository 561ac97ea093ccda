import { TaskKind } from '@acaciahoist/cell-planner/task-kind';
import { findImagesBeside } from './find-images-beside.js';
import type { OwnerContext } from './owner-context.js';
import type { TrackedRun } from './tracked-run.js';

/**
 * Records the duration of a completed run for the speed of its worker and the interference of its image, if the run can be compared with others: it
 * has an estimate, began and ended under this owner without a gap, a pace call or a checkpoint, and depends neither
 * on other members of a gang nor on another rack.
 */
export function recordDuration(
  context: Pick<OwnerContext, 'state' | 'workerHealth' | 'runs' | 'log' | 'count'>,
  trackedRun: TrackedRun,
  nowMs: number,
): void {
  const { state, workerHealth } = context;
  const { task, worker, born, estimateMs, phase, kind, isTimed, startSettledAtMs } = trackedRun;
  const taskEntry = state.findTask(task);
  const step = state.findStep(task);
  if (!isTimed || phase !== 'running' || kind !== TaskKind.other || estimateMs <= 0) return;
  if (taskEntry === undefined || step === undefined) return;
  if (step.gang || step.longRunning || step.dataRack !== '') return;
  // The work of tasks differs, also of those with one image: the estimate stands for it.
  const group = step.image === '' ? `queue ${taskEntry.progress.job.queue.name}` : step.image;
  const durationMs = Math.max(1, nowMs - startSettledAtMs);
  const stepKey = task.slice(0, task.lastIndexOf('.'));
  const speed = workerHealth.speeds.speedOf(worker, born) ?? 1;
  const logRatio = workerHealth.speeds.record(
    { worker, born, group, step: stepKey },
    durationMs / estimateMs,
  );
  if (logRatio === undefined || step.image === '') return;
  const { together, some } = findImagesBeside(trackedRun, context.runs.listOn(worker), nowMs);
  const changes = workerHealth.imageInterference.record({
    image: step.image,
    step: stepKey,
    logRatio: logRatio + Math.log(speed),
    together,
    some,
  });
  for (const { image, beside, ratio, ends } of changes.added) {
    context.count('image_pairs_kept_apart_total');
    context.log('info', 'images-kept-apart', { image, beside, ratio: ratio.toFixed(2), ends });
  }
  for (const { image, beside } of changes.removed)
    context.log('info', 'images-no-longer-kept-apart', { image, beside });
}
