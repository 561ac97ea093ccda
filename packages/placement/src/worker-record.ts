import { lifecycles } from '@acaciahoist/lifecycles';
import type { WorkerState } from '@acaciahoist/lifecycles/worker-state';
import type { TaskRecord } from './task-record.js';
import { vectors } from './vectors.js';
import type { WorkerSpec } from './worker-spec.js';

/** Processors and memory, so that the tasks of the worker leave less than nothing free. */
const NO_CAPACITY: readonly number[] = [0, 0];

/** State of one worker. Only `WorkerTable` and `PartitionState` change its capacities. */
export class WorkerRecord {
  /** A worker whose capacity is null has an unknown capacity until `specify`. */
  static create(spec: WorkerSpec, capacity: number[] | null): WorkerRecord {
    return new WorkerRecord(spec, capacity);
  }

  state: WorkerState = lifecycles.worker.initial;
  /** Sum of the allocations of the tasks that are armed, run or may run here. */
  readonly used: number[] = [];
  /** Capacity reserved for tasks that have not started. */
  readonly reserved: number[] = [];
  /** Capacity kept free for urgent work. */
  urgentReserve: number[] = [];
  /** Capacity − used − reserved − urgent reserve; below 0 while reserved capacity is in use. */
  readonly free: number[] = [];
  readonly tasks = new Set<TaskRecord>();
  /** Jobs that failed here since the last success of any job. */
  readonly failedJobIds = new Set<string>();
  /** Time at which an ejected worker is probed, ms. */
  probeAtMs = 0;
  /** Ejections since the last success; each doubles the time until the worker is probed. */
  ejectionCount = 0;
  /** Task whose run decides whether the worker, while it is probed, accepts tasks again. */
  probeTask: TaskRecord | null = null;
  /** Incarnations in order of their first report; reports of all but the last are ignored. */
  readonly incarnations: string[] = [];
  /** Sequence number of the latest report that was applied. */
  reportSequence = -1;
  /** Overuse of the worker: the task that causes it, the latest measure against it and its time. */
  overuse: {
    task: TaskRecord;
    stage: 'throttle' | 'checkpoint' | 'stop';
    sinceMs: number;
  } | null = null;
  /** Bucket of the candidate index; -1 when the worker is not in the index. */
  bucket = -1;
  /** Position in the bucket. */
  bucketPosition = -1;

  /** Failure domains of the worker: region, data centre and rack, by names unique in the cell. */
  domains: readonly [string, string, string];

  private constructor(
    private currentSpec: WorkerSpec,
    private knownCapacity: readonly number[] | null,
  ) {
    this.domains = listDomains(currentSpec);
  }

  get spec(): WorkerSpec {
    return this.currentSpec;
  }

  get address(): string {
    return this.currentSpec.address;
  }

  get isCapacityKnown(): boolean {
    return this.knownCapacity !== null;
  }

  /** Zero while the capacity is unknown. */
  get capacity(): readonly number[] {
    return this.knownCapacity ?? NO_CAPACITY;
  }

  /** Whether the tasks use more than the capacity; false while that is unknown. */
  get isOverloaded(): boolean {
    return this.knownCapacity !== null && !vectors.fits(this.used, this.knownCapacity);
  }

  /** Sets the place and the capacity, which was unknown. */
  specify(spec: WorkerSpec, capacity: readonly number[]): void {
    this.currentSpec = spec;
    this.knownCapacity = capacity;
    this.domains = listDomains(spec);
  }
}

function listDomains({ region, dataCentre, rack }: WorkerSpec): [string, string, string] {
  return [region, `${region}/${dataCentre}`, `${region}/${dataCentre}/${rack}`];
}
