import type { CellJob } from '@acaciahoist/cell-types';
import type { CellConfiguration } from '@acaciahoist/cell-types/cell-configuration';
import type { CellStep } from '@acaciahoist/cell-types/cell-step';
import type { Random } from '@acaciahoist/random';
import { createJob } from '../create-job.js';
import type { EmulatedCell } from '../emulated-cell.js';
import type { JobRequest } from './job-request.js';

interface Action {
  atMs: number;
  run: () => unknown;
}

/** What the dimensions of a schedule contribute to it: actions, samples and checks at its end. */
export class SchedulePlan {
  static create(cell: EmulatedCell, requestJob: JobRequest): SchedulePlan {
    return new SchedulePlan(cell, requestJob);
  }

  readonly actions: Action[] = [];
  /** Functions that are called every `SAMPLE_INTERVAL_MS` with the time from the start of the schedule. */
  readonly samples: ((elapsedMs: number) => void)[] = [];
  /** Functions that return the problems found up to the end of the schedule. */
  readonly checks: (() => string[])[] = [];
  /** Ids of the jobs that cannot end, or need not end within the schedule. */
  readonly endlessJobs = new Set<string>();
  /** True if tasks that do not end leave too little capacity for wide gangs. */
  isOccupiedForGood = false;
  private jobCount = 0;
  private configurationVersion = 1;
  private configuration: Partial<Pick<CellConfiguration, 'queues' | 'teams'>> = {};

  private constructor(
    readonly cell: EmulatedCell,
    readonly requestJob: JobRequest,
  ) {}

  /** Adds an action; actions of the same time run in the order in which they were added. */
  at(atMs: number, run: () => unknown): void {
    this.actions.push({ atMs, run });
  }

  /** Creates a job with an id that no other job of the schedule has. */
  createJob(
    steps: readonly Partial<CellStep>[],
    options: Parameters<typeof createJob>[2] = {},
  ): CellJob {
    this.jobCount += 1;
    return createJob(this.jobCount, steps, options);
  }

  /** Submits a job, which its client sends now, to a process. */
  submit(job: CellJob, process: string): void {
    void this.cell.submit({ ...job, receivedMs: this.cell.clock.wallMs() }, process);
  }

  /** Submits a job at a time to a process that the generator selects. */
  submitAt(atMs: number, job: CellJob, random: Random): void {
    const process = `p${random.integer(0, 2)}`;
    this.at(atMs, () => {
      this.submit(job, process);
    });
  }

  /** Publishes the next version of the configuration; the fields that are not given stay as they are. */
  publish(fields: Partial<Pick<CellConfiguration, 'queues' | 'teams'>>): void {
    this.configuration = { ...this.configuration, ...fields };
    this.configurationVersion += 1;
    this.cell.writeConfiguration(this.configurationVersion, this.configuration);
  }
}
