import type { Resources } from './resources.js';

/** Tasks of one job with the same demand. A gang may have several groups. */
export interface TaskGroup {
  name: string;
  count: number;
  /** Declared demand of one task. */
  resources: Resources;
}
