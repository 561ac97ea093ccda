import { createHash } from 'node:crypto';
import Result from 'true-myth/result';
import type { Clock } from '@acaciahoist/clock';
import { Failure } from '@acaciahoist/errors';
import { ErrorKind } from '@acaciahoist/errors/error-kind';
import { JournalLimits } from '@acaciahoist/journal/journal-limits';
import type { JobSpec } from '@acaciahoist/types/job-spec';
import type { PartitionId } from '@acaciahoist/types/partition-id';
import type { Ledger } from './ledger.js';
import type { SubmissionRule } from './submission-rule.js';

type Accepted =
  /** `isNew`: false when the key was accepted before. */
  | { kind: 'accepted'; jobId: string; isNew: boolean }
  /** Another partition has the key. */
  | { kind: 'delegated'; partition: PartitionId };

type Answer = Result<Accepted, Failure>;

interface Options {
  partition: string;
  clock: Clock;
  ledger: Ledger;
}

/** Durable acceptance of jobs, once per idempotency key. */
export class Submissions {
  static create(options: Options): Submissions {
    return new Submissions(options);
  }

  private lastNumber = 0;
  private readonly pending = new Map<string, { digest: string; answer: Promise<Answer> }>();

  /** Jobs whose acceptance had an unknown result. */
  private readonly unknown = new Set<string>();

  private constructor(private readonly options: Options) {}

  /** Finds what was decided about the key of a job before; otherwise does what `rule` says. */
  async accept(spec: JobSpec, rule: SubmissionRule): Promise<Answer> {
    if (spec.key === undefined) return this.decide(spec, rule);
    const digest = digestSpec(spec);
    const pending = this.pending.get(spec.key);
    if (pending !== undefined)
      return pending.digest === digest ? repeat(await pending.answer) : keyConflict();
    const known = this.findKnown(spec.key);
    if (known !== undefined)
      return known.digest === digest ? Result.ok(known.accepted) : keyConflict();
    const { key } = spec;
    const decided = this.decide(spec, rule);
    const answer = decided.finally(() => this.pending.delete(key));
    this.pending.set(key, { digest, answer });
    return answer;
  }

  /** Jobs of unknown acceptance that turned out to be in the journal. Each is given once. */
  takeLateAccepted(): readonly string[] {
    const late = [...this.unknown].filter((jobId) => this.options.ledger.state().jobs.has(jobId));
    for (const jobId of late) this.unknown.delete(jobId);
    return late;
  }

  private findKnown(key: string): { accepted: Accepted; digest: string } | undefined {
    const state = this.options.ledger.state();
    const delegated = state.delegatedJobKeys.get(key);
    if (delegated !== undefined) {
      const { partition, specDigest } = delegated;
      return { accepted: { kind: 'delegated', partition }, digest: specDigest };
    }
    const job = state.jobs.get(state.jobKeys.get(key) ?? '');
    if (job === undefined) return undefined;
    const accepted = { kind: 'accepted', jobId: job.jobId, isNew: false } as const;
    return { accepted, digest: digestSpec(job.spec) };
  }

  private decide(spec: JobSpec, rule: SubmissionRule): Promise<Answer> {
    switch (rule.kind) {
      case 'accept':
        return this.append(spec);
      case 'refuse':
        return Promise.resolve(Result.err(Failure.create(ErrorKind.overloaded, rule.message)));
      case 'delegate':
        return this.delegate(spec, rule.partition);
    }
  }

  /** Only keys are recorded: a job without one is a new job wherever it is submitted. */
  private async delegate(spec: JobSpec, partition: PartitionId): Promise<Answer> {
    const { ledger, clock } = this.options;
    const { key } = spec;
    if (key === undefined) return Result.ok({ kind: 'delegated', partition });
    if (ledger.state().delegatedJobKeys.size >= JournalLimits.delegatedJobKeys)
      return this.decide(spec, { kind: 'refuse', message: 'too many keys were delegated' });
    const specDigest = digestSpec(spec);
    const result = await ledger.commit([
      { type: 'job-key-delegated', key, specDigest, partition, atMs: clock.wallMs() },
    ]);
    return result.map(() => ({ kind: 'delegated', partition }));
  }

  private async append(spec: JobSpec): Promise<Answer> {
    const { ledger, clock, partition } = this.options;
    const number = Math.max(this.lastNumber + 1, ledger.state().nextJobNumber);
    this.lastNumber = number;
    const jobId = `${partition}:${number}`;
    const result = await ledger.commit([
      { type: 'job-accepted', jobId, spec, atMs: clock.wallMs() },
    ]);
    if (result.isErr && result.error.kind === ErrorKind.appendUnknown) this.unknown.add(jobId);
    return result.map(() => ({ kind: 'accepted', jobId, isNew: true }));
  }
}

function repeat(answer: Answer): Answer {
  return answer.map((accepted) =>
    accepted.kind === 'accepted' ? { ...accepted, isNew: false } : accepted,
  );
}

function keyConflict(): Answer {
  const message = 'the key was used for another job; use a new key for a new job';
  return Result.err(Failure.create(ErrorKind.keyConflict, message));
}

/** Digest of a spec that does not depend on the order of fields. */
function digestSpec(spec: JobSpec): string {
  return createHash('sha256').update(canonicalJson(spec)).digest('hex');
}

function canonicalJson(value: unknown): string {
  if (Array.isArray(value)) return `[${value.map(canonicalJson).join(',')}]`;
  if (typeof value !== 'object' || value === null) return JSON.stringify(value);
  const fields = Object.entries(value).filter(([, field]) => field !== undefined);
  fields.sort(([a], [b]) => (a < b ? -1 : 1));
  return `{${fields.map(([name, field]) => `${JSON.stringify(name)}:${canonicalJson(field)}`).join(',')}}`;
}
