import type { FakeRunner } from './fake-runner.js';
import type { SlotSystem } from './slot-system.js';

/** Creates the ideal system: one queue in order of arrival for all slots, without message delays. */
export function createIdealSystem(allSlots: FakeRunner): SlotSystem {
  return async (_, { serviceMs }) => {
    await allSlots.run(serviceMs);
    return true;
  };
}
