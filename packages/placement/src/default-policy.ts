import { placeBatch } from './place-batch.js';
import { placeGangs } from './place-gangs.js';
import { placeReserved } from './place-reserved.js';
import { placeScheduled } from './place-scheduled.js';
import { placeServices } from './place-services.js';
import { placeUrgent } from './place-urgent.js';
import type { Policy } from './policy.js';

/** The policy described in docs/policies.md. */
export const defaultPolicy: Policy = {
  scheduled: placeScheduled,
  urgent: (round) => {
    placeReserved(round);
    placeUrgent(round);
  },
  service: placeServices,
  gang: placeGangs,
  batch: placeBatch,
};
