import type Result from 'true-myth/result';
import type { Clock } from '@acaciahoist/clock';
import type { Failure } from '@acaciahoist/errors';
import type { JournalJob } from '@acaciahoist/journal/journal-job';
import type { JobSpec } from '@acaciahoist/types/job-spec';
import type { ServiceJob } from './service-job.js';

/**
 * Time after which a service whose submission failed is submitted again: workers with more capacity may have
 * been added.
 */
const SUBMIT_RETRY_MS = 30_000;

interface Options {
  clock: Clock;
  listJobs: () => Iterable<JournalJob>;
  submit: (spec: JobSpec) => Promise<Result<unknown, Failure>>;
  cancel: (jobId: string) => Promise<Result<unknown, Failure>>;
  /** Replaces the instances one at a time; fails when the spec has another number of instances. */
  replace: (jobId: string, spec: JobSpec) => Promise<Result<unknown, Failure>>;
  isStopped: () => boolean;
}

/** Submits, replaces and cancels service jobs until they match the declared services. */
export class ServiceReconciler {
  static create(options: Options): ServiceReconciler {
    return new ServiceReconciler(options);
  }

  private declaredServices: readonly ServiceJob[] = [];
  private activePass: Promise<void> | undefined;
  private isPassNeeded = false;
  /** Monotonic time by service name at which a service whose submission failed may be submitted again. */
  private readonly retryAtMs = new Map<string, number>();

  private constructor(private readonly options: Options) {}

  /** Sets the declared services. A pass in progress is followed by another pass. */
  set(services: readonly ServiceJob[]): void {
    this.declaredServices = services;
    this.isPassNeeded = true;
    this.activePass ??= this.runPasses().finally(() => {
      this.activePass = undefined;
    });
  }

  private async runPasses(): Promise<void> {
    while (this.isPassNeeded && !this.options.isStopped()) {
      this.isPassNeeded = false;
      await this.reconcile();
    }
  }

  private async reconcile(): Promise<void> {
    const jobs = [...this.options.listJobs()].filter(
      (job) => job.spec.kind === 'service' && job.outcome === null && job.cancelAtMs === null,
    );
    const specs = new Map(
      this.declaredServices.map((service) => [service.spec.family, service.spec]),
    );
    for (const job of jobs) {
      if (!specs.has(job.spec.family)) await this.options.cancel(job.jobId);
    }
    for (const [family, spec] of specs) {
      const job = jobs.find((candidate) => candidate.spec.family === family);
      if (job === undefined) await this.submit(family, spec);
      else if (!isSameSpec(job.spec, spec)) await this.replaceJob(job.jobId, spec);
    }
  }

  private async submit(family: string, spec: JobSpec): Promise<void> {
    const nowMs = this.options.clock.monotonicMs();
    if (nowMs < (this.retryAtMs.get(family) ?? 0)) return;
    const submitted = await this.options.submit(spec);
    if (submitted.isErr) this.retryAtMs.set(family, nowMs + SUBMIT_RETRY_MS);
    else this.retryAtMs.delete(family);
  }

  private async replaceJob(jobId: string, spec: JobSpec): Promise<void> {
    const replaced = await this.options.replace(jobId, spec);
    if (replaced.isOk) return;
    // The number of instances differs: the old job is cancelled once the new one is accepted.
    const submitted = await this.options.submit(spec);
    if (submitted.isOk) await this.options.cancel(jobId);
  }
}

/** Compares the fields that a new declaration can change. The others are the same for every service. */
function isSameSpec(a: JobSpec, b: JobSpec): boolean {
  const serializeComparedFields = ({ groups, dependsOn, user, team }: JobSpec): string =>
    JSON.stringify([groups, dependsOn ?? [], user, team]);
  return serializeComparedFields(a) === serializeComparedFields(b);
}
