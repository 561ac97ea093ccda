import type { SoakAction } from './soak-action.js';

/** One action of a round; the times count from the start of the round, in ms. */
export interface SoakStep {
  startMs: number;
  endMs: number;
  action: SoakAction;
}
