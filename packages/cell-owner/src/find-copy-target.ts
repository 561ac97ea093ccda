import { fits } from '@acaciahoist/cell-planner/fits';
import { computeDemand } from '@acaciahoist/cell-planner/compute-demand';
import type { ReadyStep } from '@acaciahoist/cell-planner/ready-step';
import { taskName } from '@acaciahoist/cell-state/task-name';
import type { OwnerContext } from './owner-context.js';
import type { TrackedRun } from './tracked-run.js';
import type { WorkerSession } from './worker-session.js';

interface Options {
  context: OwnerContext;
  trackedRun: TrackedRun;
  /** Workers with slow runs, which get no copies. */
  slowWorkers: ReadonlySet<string>;
  /** Steps that wait for capacity. */
  waitingSteps: readonly ReadyStep[];
  /** Returns the time in ms that a copy on a worker of this speed gains; undefined for too little. */
  gainOn: (speed: number | undefined) => number | undefined;
}

interface Target {
  id: string;
  gainMs: number;
  freeMillicores: number;
}

/** Returns the worker on which a copy gains most, with the most free processors among equal ones. */
export function findCopyTarget(options: Options): Target | undefined {
  const { context, trackedRun, slowWorkers, waitingSteps, gainOn } = options;
  const { sessions, runs, proposals, workerHealth } = context;
  let best: Target | undefined;
  for (const session of sessions.values()) {
    const { id, entry } = session;
    if (id === trackedRun.worker || slowWorkers.has(id)) continue;
    const gainMs = gainOn(workerHealth.speeds.speedOf(id, entry.born));
    if (gainMs === undefined || !canRunOn(context, trackedRun.task, session)) continue;
    const free = {
      millicores: entry.millicores,
      memoryMib: entry.memoryMib,
      accelerators: entry.accelerators,
    };
    runs.usedCapacity.subtractFrom(free, id);
    proposals.usedCapacity.subtractFrom(free, id);
    if (!fits(free, trackedRun.demand)) continue;
    if (waitingSteps.some((step) => waitsFor(step, session))) continue;
    const isBetter =
      best === undefined ||
      gainMs > best.gainMs ||
      (gainMs === best.gainMs && free.millicores > best.freeMillicores);
    if (isBetter) best = { id, gainMs, freeMillicores: free.millicores };
  }
  return best;
}

/** Returns whether the capacity of the worker is of use for a waiting step. */
function waitsFor({ queue, step }: ReadyStep, { entry }: WorkerSession): boolean {
  return (
    queue.service === entry.service &&
    (step.label === '' || entry.labels.includes(step.label)) &&
    fits(entry, computeDemand(step))
  );
}

/** True when the worker may run the task as far as its service, label, rack, tickets and limits are concerned. */
function canRunOn(context: OwnerContext, task: string, session: WorkerSession): boolean {
  const { state, workerHealth, adviceCache } = context;
  const entry = state.findTask(task);
  const step = state.findStep(task);
  if (entry === undefined || step === undefined) return false;
  const { queue } = entry.progress.job;
  if (!session.isStartable() || workerHealth.fitnessOf(session.id) !== 'full') return false;
  if (session.entry.service !== queue.service) return false;
  if (step.label !== '' && !session.entry.labels.includes(step.label)) return false;
  if (step.dataRack !== '' && session.entry.rack !== step.dataRack) return false;
  if (entry.task.failedWorkers?.includes(session.id) === true) return false;
  const stepKey = task.slice(0, task.lastIndexOf('.'));
  if (queue.advice !== undefined && adviceCache.findTicket(stepKey, session.id) === undefined)
    return false;
  return step.maxPerWorker === 0 || countTasksOn(context, stepKey, session) < step.maxPerWorker;
}

/** Counts the runs of a step on a worker, and the decided starts. */
function countTasksOn(
  { runs, state, proposals }: OwnerContext,
  stepKey: string,
  session: WorkerSession,
): number {
  let taskCount = 0;
  for (const { task } of runs.listOn(session.id))
    if (task.startsWith(`${stepKey}.`)) taskCount += 1;
  const ref = taskName.parse(`${stepKey}.0`);
  const steps = ref && state.jobs.get(ref.job)?.occurrences[ref.occurrence];
  for (const index of steps?.[ref?.step ?? 0]?.tasks.keys() ?? [])
    if (proposals.workerOf(`${stepKey}.${index}`) === session.id) taskCount += 1;
  return taskCount;
}
