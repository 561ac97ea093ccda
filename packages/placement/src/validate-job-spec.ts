import type { JobSpec } from '@acaciahoist/types/job-spec';

/** Returns a message about the first fault of a job spec, or null when it is valid. */
export function validateJobSpec(spec: JobSpec): string | null {
  if (spec.groups.length === 0) return 'a job needs at least one group of tasks';
  for (const { name, count, resources } of spec.groups) {
    if (!Number.isSafeInteger(count) || count < 1)
      return `group ${name}: count must be 1 or more, not ${count}`;
    const amounts = [
      resources.millicores,
      resources.memoryMib,
      ...Object.values(resources.accelerators),
    ];
    if (amounts.some((amount) => !Number.isSafeInteger(amount) || amount < 0)) {
      return `group ${name}: resources must be integers of 0 or more`;
    }
    if (amounts.every((amount) => amount === 0))
      return `group ${name}: at least one resource must be above 0`;
  }
  if (spec.runMs !== undefined && !(spec.runMs >= 0))
    return `runMs must be 0 or more, not ${spec.runMs}`;
  return null;
}
