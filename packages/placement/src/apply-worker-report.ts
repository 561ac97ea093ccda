import type { WorkerReport } from '@acaciahoist/types/worker-report';
import type { PartitionState } from './partition-state.js';
import type { JobEnd } from './job-end.js';
import { taskEvents } from './task-events.js';
import type { WorkerRecord } from './worker-record.js';

/** Number of incarnations kept for each worker, so that late reports of earlier ones are ignored. */
const KEPT_INCARNATIONS = 4;

/**
 * Records the report as the latest of its worker. Returns false for a repeated report and for one that
 * is older than the latest.
 */
function recordIfNewer(worker: WorkerRecord, report: WorkerReport): boolean {
  const { incarnations } = worker;
  const position = incarnations.indexOf(report.incarnation);
  if (position >= 0 && position < incarnations.length - 1) return false;
  if (position < 0) {
    incarnations.push(report.incarnation);
    if (incarnations.length > KEPT_INCARNATIONS) incarnations.shift();
    worker.reportSequence = -1;
  }
  if (report.sequence <= worker.reportSequence) return false;
  worker.reportSequence = report.sequence;
  return true;
}

/**
 * Applies a report of a worker. Repeated reports, and those that arrive after a newer one, have no
 * effect. A task that is missing from a report is not regarded as ended, because the worker may
 * have sent the report before it received the start.
 */
export function applyWorkerReport(
  partition: PartitionState,
  worker: WorkerRecord,
  report: WorkerReport,
  nowMs: number,
  wallMs: number,
): JobEnd[] {
  const endedJobs: JobEnd[] = [];
  if (!recordIfNewer(worker, report)) return endedJobs;
  for (const taskReport of report.tasks) {
    const task = partition.tasks.get(taskReport.taskId);
    if (task?.worker !== worker) continue;
    task.progressMs = Math.max(task.progressMs, taskReport.progressMs);
    if (taskReport.state === 'ended') {
      const endedJob = taskEvents.recordEnd(
        partition,
        task,
        taskReport.outcome ?? 'failed',
        nowMs,
        wallMs,
      );
      if (endedJob !== null) endedJobs.push(endedJob);
      continue;
    }
    taskEvents.confirmStart(partition, task);
    const usage = partition.resourceKinds.toVector(taskReport.usage);
    // The usage of a throttled task does not show its demand.
    if (!taskReport.throttled) partition.families.learnUsage(task, usage);
    partition.recordUsage(task, usage);
  }
  if (worker.isOverloaded) partition.overloadedWorkers.add(worker);
  return endedJobs;
}
