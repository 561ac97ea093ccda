import type { PlacementStep } from './placement-step.js';

/** One function per kind of work, called in this order in every planning round. */
export interface Policy {
  /** Arms scheduled jobs, which gives them workers ahead, and starts them at their start time. */
  scheduled: PlacementStep;
  urgent: PlacementStep;
  service: PlacementStep;
  gang: PlacementStep;
  batch: PlacementStep;
}
