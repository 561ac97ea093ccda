import type { SoakFigures } from './soak-figures.js';
import type { SoakStep } from './soak-step.js';

/** Result of a soak. */
export interface SoakReport extends SoakFigures {
  seed: number;
  processes: number;
  plannedRounds: number;
  /** True if the soak was ended by a signal. */
  isInterrupted: boolean;
  /** Number of steps of the rounds that ended, by type. */
  steps: Readonly<Record<string, number>>;
  /** Schedule until the finding, one list for each round; empty without a finding. */
  failedSchedule: readonly (readonly SoakStep[])[];
}
