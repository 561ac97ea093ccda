import type { WorkerReport } from '@acaciahoist/types/worker-report';
import { scaleResources } from './scale-resources.js';
import type { Task } from './task.js';

type ReportedTask = WorkerReport['tasks'][number];

const NO_USAGE = { millicores: 0, memoryMib: 0, accelerators: {} };

/** Computes the state of a task at an earlier time; undefined when it had not started. */
export function computeTaskStateAt(task: Task, atMs: number): ReportedTask | undefined {
  if (task.startedMs > atMs) return undefined;
  const { taskId } = task;
  const throttled = task.throttledMs !== undefined && task.throttledMs <= atMs;
  // Approximation: assumes the present rate for the whole time since `atMs`.
  const progressMs = Math.max(0, task.progressMs + task.progressRate * (atMs - task.progressAtMs));
  if (task.endedMs !== undefined && task.endedMs <= atMs && task.outcome !== undefined) {
    const { outcome } = task;
    return {
      taskId,
      state: 'ended',
      usage: NO_USAGE,
      throttled,
      outcome,
      progressMs: task.progressMs,
    };
  }
  // Throttling halves the processor use; the memory use stays the same.
  const { millicores } = throttled ? scaleResources(task.actualUsage, 0.5) : task.actualUsage;
  return {
    taskId,
    state: 'running',
    usage: { ...task.actualUsage, millicores },
    throttled,
    progressMs,
  };
}
