import type { Fault } from './fault.js';

/** Returns a fault that injects all given faults at the same time. */
export function combineFaults(...faults: readonly Fault[]): Fault {
  return async (run) => {
    const measured = await Promise.all(faults.map((fault) => fault(run)));
    return Object.assign({}, ...measured) as Record<string, number>;
  };
}
