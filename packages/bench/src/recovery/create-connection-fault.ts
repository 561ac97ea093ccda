import type { Fault } from './fault.js';

const OBSERVATION_MS = 4_000;

/**
 * Creates a fault in which every open connection to the platform loses all further requests or responses
 * without being closed. Connections opened later work.
 */
export function createConnectionFault(loses: 'request' | 'response'): Fault {
  return async ({ cell }) => {
    await cell.setFault('all', 'silent-connections', loses);
    await cell.pause(OBSERVATION_MS);
    await cell.waitUntil(
      'an owner of each partition after the fault',
      async () => (await cell.owners()).size === 2,
    );
    return {};
  };
}
