import type { Random } from '@acaciahoist/random';
import type { SchedulePlan } from './schedule-plan.js';

/** One property of varied schedules. It draws its numbers from a generator that no other dimension uses. */
export interface ScheduleDimension {
  /** Seeds the generator of the dimension, together with the seed of the schedule. */
  name: string;
  /** Share of the schedules that have the dimension. */
  share: number;
  /** True if the checks of the dimension hold only without random faults. */
  excludesFaults?: true;
  plan: (plan: SchedulePlan, random: Random) => void;
}
