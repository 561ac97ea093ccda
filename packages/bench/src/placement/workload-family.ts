import type { Resources } from '@acaciahoist/types/resources';

/** Jobs of the same kind, with their real sizes and run times, which the scheduler does not know. */
export interface WorkloadFamily {
  name: string;
  team: string;
  kind: 'service' | 'batch' | 'gang';
  urgent: boolean;
  scheduled: boolean;
  tasks: number;
  declared: Resources;
  declaredRunMs: number;
  /** Real use and real run time, divided by the declared values. */
  sizeFactor: number;
  runFactor: number;
  /** True when the tasks fail on every worker. */
  broken: boolean;
}
