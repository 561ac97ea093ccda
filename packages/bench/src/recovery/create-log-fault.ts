import type { Fault } from './fault.js';

/** Creates a fault of the log that lasts `durationMs`: setting it to `on` starts it, and to `off` ends it. */
export function createLogFault(options: {
  fault: string;
  on: unknown;
  off: unknown;
  durationMs: number;
}): Fault {
  return async ({ cell }) => {
    const { log } = cell.standIn.addresses();
    await cell.setFault(log, options.fault, options.on);
    await cell.pause(options.durationMs);
    await cell.setFault(log, options.fault, options.off);
    await cell.waitUntil(
      'an owner of each partition after the fault',
      async () => (await cell.owners()).size === 2,
    );
    return {};
  };
}
