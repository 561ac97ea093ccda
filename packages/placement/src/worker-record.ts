import { lifecycles } from '@acaciahoist/lifecycles';
import type { WorkerState } from '@acaciahoist/lifecycles/worker-state';
import type { TaskRecord } from './task-record.js';
import type { WorkerSpec } from './worker-spec.js';

/** What the core knows about one worker. Changed only by `WorkerTable` and `Cell`. */
export class WorkerRecord {
  static create(spec: WorkerSpec, capacity: number[]): WorkerRecord {
    return new WorkerRecord(spec, capacity);
  }

  state: WorkerState = lifecycles.worker.initial;
  /** Sum of the charges of the tasks that run or may run here. */
  readonly used: number[] = [];
  /** Capacity promised to jobs that have not started. */
  readonly reserved: number[] = [];
  /** Capacity kept for urgent work. */
  urgentReserve: number[] = [];
  /** Capacity − used − held − reserve; may be negative while held capacity is still occupied. */
  readonly free: number[] = [];
  readonly tasks = new Set<TaskRecord>();
  /** Jobs whose last start failed here with no success in between. */
  readonly failedJobIds = new Set<string>();
  /** Time of the next trial of an ejected worker, ms. */
  probationAtMs = 0;
  exclusionCount = 0;
  /** Incarnations by first report, the last one being current; earlier ones are ignored. */
  readonly incarnations: string[] = [];
  reportSequence = -1;
  /** Overuse: task under throttling and since when. */
  overuse: {
    task: TaskRecord;
    stage: 'throttle' | 'checkpoint' | 'stop';
    sinceMs: number;
  } | null = null;
  /** Position in the candidate index; -1 when absent. */
  bucket = -1;
  bucketPosition = -1;

  /** Names of region, data centre and rack, each unique in the cell. */
  readonly domains: readonly [string, string, string];

  private constructor(
    readonly spec: WorkerSpec,
    readonly capacity: number[],
  ) {
    const { region, dataCentre, rack } = spec;
    this.domains = [region, `${region}/${dataCentre}`, `${region}/${dataCentre}/${rack}`];
  }

  get address(): string {
    return this.spec.address;
  }
}
