import type { Plan } from '@acaciahoist/cell-planner/plan';
import type { ReadyStep } from '@acaciahoist/cell-planner/ready-step';

/** Returns the steps with tasks that the plan does not start, without those that the quotas of their teams hold back. */
export function findWaitingSteps(
  steps: readonly ReadyStep[],
  { starts, heldByQuota }: Pick<Plan, 'starts' | 'heldByQuota'>,
): ReadyStep[] {
  const startCounts = new Map<string, number>();
  for (const { key } of starts) startCounts.set(key, (startCounts.get(key) ?? 0) + 1);
  const heldKeys = new Set(heldByQuota);
  return steps.filter(
    ({ key, waitingTasks }) =>
      waitingTasks.length > (startCounts.get(key) ?? 0) && !heldKeys.has(key),
  );
}
