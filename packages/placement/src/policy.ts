import type { PlacementStep } from './placement-step.js';

/** One function per kind of work, called in this order in every round. */
export interface Policy {
  /** Arms scheduled work and starts it when it is due. */
  scheduled: PlacementStep;
  urgent: PlacementStep;
  service: PlacementStep;
  gang: PlacementStep;
  batch: PlacementStep;
}
