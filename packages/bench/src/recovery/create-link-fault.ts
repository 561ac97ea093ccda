import type { Fault } from './fault.js';

/**
 * Creates a fault on the links from the owner to the log and to the VM list. `loses` selects whether the
 * owner's requests or the responses to them are lost.
 */
export function createLinkFault(loses: 'request' | 'response', durationMs: number): Fault {
  return async ({ cell }) => {
    const ownerIndex = await cell.ownerOf('dc-a.0');
    const { address: process } = cell.process(ownerIndex);
    const { log, vmList } = cell.standIn.addresses();
    cell.losePlatform(ownerIndex);
    for (const target of [log, vmList]) {
      await cell.setFault(target, 'blocked-link', { process, loses });
    }
    await cell.pause(durationMs);
    for (const target of [log, vmList]) {
      await cell.setFault(target, 'blocked-link', { process, loses: 'none' });
    }
    cell.restorePlatform(ownerIndex);
    await cell.waitUntil(
      'an owner of each partition after the fault',
      async () => (await cell.owners()).size === 2,
    );
    return {};
  };
}
