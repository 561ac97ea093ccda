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

type SubmissionDecision =
  /** `isNew` is false when a job with the key was accepted before. */
  | { kind: 'accepted'; jobId: string; isNew: boolean }
  /** The key was delegated to another partition. */
  | { kind: 'delegated'; partition: PartitionId };

type DecisionResult = Result<SubmissionDecision, Failure>;

interface Options {
  partition: string;
  clock: Clock;
  ledger: Ledger;
}

/** Accepts jobs durably, at most one per idempotency key. */
export class Submissions {
  static create(options: Options): Submissions {
    return new Submissions(options);
  }

  private lastJobNumber = 0;
  /** Decisions in progress by idempotency key, with the digest of the job spec. */
  private readonly decisionsInProgress = new Map<
    string,
    { digest: string; result: Promise<DecisionResult> }
  >();

  /** Jobs whose acceptance was appended with an unknown result. */
  private readonly unknownJobIds = new Set<string>();

  private constructor(private readonly options: Options) {}

  /** Repeats the earlier decision about the key of the job, or applies `rule` to a new key. */
  async accept(spec: JobSpec, rule: SubmissionRule): Promise<DecisionResult> {
    if (spec.key === undefined) return this.applyRule(spec, rule);
    const digest = digestSpec(spec);
    const inProgress = this.decisionsInProgress.get(spec.key);
    if (inProgress !== undefined)
      return inProgress.digest === digest
        ? markRepeated(await inProgress.result)
        : failWithKeyConflict(spec.key);
    const earlierDecision = this.repeatDecision(spec.key, digest);
    if (earlierDecision !== undefined) return earlierDecision;
    const { key } = spec;
    const decided = this.applyRule(spec, rule).then((decision) =>
      this.confirmDecision(decision, key, digest),
    );
    const result = decided.finally(() => this.decisionsInProgress.delete(key));
    this.decisionsInProgress.set(key, { digest, result });
    return result;
  }

  /**
   * Returns the jobs whose acceptance was appended with an unknown result and that the journal now contains.
   * Each is returned once.
   */
  takeConfirmedJobIds(): readonly string[] {
    const confirmedJobIds = [...this.unknownJobIds].filter((jobId) =>
      this.options.ledger.state().jobs.has(jobId),
    );
    for (const jobId of confirmedJobIds) this.unknownJobIds.delete(jobId);
    return confirmedJobIds;
  }

  /** Returns the decision about the key that the journal contains; undefined for a new key. */
  private repeatDecision(key: string, digest: string): DecisionResult | undefined {
    const earlier = this.findDecision(key);
    if (earlier === undefined) return undefined;
    return earlier.digest === digest ? Result.ok(earlier.decision) : failWithKeyConflict(key);
  }

  /**
   * Returns the decision that is in force once `decision` is durable. The journal ignores it if an append of an
   * earlier submission with the key, whose result was unknown, has taken effect in the meantime.
   */
  private confirmDecision(decision: DecisionResult, key: string, digest: string): DecisionResult {
    if (decision.isErr) return decision;
    const { value } = decision;
    if (value.kind === 'accepted' && this.options.ledger.state().jobs.has(value.jobId))
      return decision;
    return this.repeatDecision(key, digest) ?? decision;
  }

  private findDecision(key: string): { decision: SubmissionDecision; digest: string } | undefined {
    const state = this.options.ledger.state();
    const delegation = state.delegatedJobKeys.get(key);
    if (delegation !== undefined) {
      const { partition, specDigest } = delegation;
      return { decision: { kind: 'delegated', partition }, digest: specDigest };
    }
    const job = state.jobs.get(state.jobKeys.get(key) ?? '');
    if (job === undefined) return undefined;
    const decision = { kind: 'accepted', jobId: job.jobId, isNew: false } as const;
    return { decision, digest: digestSpec(job.spec) };
  }

  private applyRule(spec: JobSpec, rule: SubmissionRule): Promise<DecisionResult> {
    switch (rule.kind) {
      case 'accept':
        return this.recordAcceptance(spec);
      case 'refuse':
        return Promise.resolve(Result.err(Failure.create(ErrorKind.overloaded, rule.message)));
      case 'delegate':
        return this.delegate(spec, rule.partition);
    }
  }

  /**
   * Records the delegation of a key. A job without a key needs no record: each submission is a new job.
   */
  private async delegate(spec: JobSpec, partition: PartitionId): Promise<DecisionResult> {
    const { ledger, clock } = this.options;
    const { key } = spec;
    if (key === undefined) return Result.ok({ kind: 'delegated', partition });
    if (ledger.state().delegatedJobKeys.size >= JournalLimits.delegatedJobKeys)
      return this.applyRule(spec, {
        kind: 'refuse',
        message: `the partition already keeps ${JournalLimits.delegatedJobKeys} delegated keys, the largest number`,
      });
    const specDigest = digestSpec(spec);
    const result = await ledger.commit([
      { type: 'job-key-delegated', key, specDigest, partition, atMs: clock.wallMs() },
    ]);
    return result.map(() => ({ kind: 'delegated', partition }));
  }

  private async recordAcceptance(spec: JobSpec): Promise<DecisionResult> {
    const { ledger, clock, partition } = this.options;
    const jobNumber = Math.max(this.lastJobNumber + 1, ledger.state().nextJobNumber);
    this.lastJobNumber = jobNumber;
    const jobId = `${partition}:${jobNumber}`;
    const result = await ledger.commit([
      { type: 'job-accepted', jobId, spec, atMs: clock.wallMs() },
    ]);
    if (result.isErr && result.error.kind === ErrorKind.appendUnknown)
      this.unknownJobIds.add(jobId);
    return result.map(() => ({ kind: 'accepted', jobId, isNew: true }));
  }
}

function markRepeated(result: DecisionResult): DecisionResult {
  return result.map((decision) =>
    decision.kind === 'accepted' ? { ...decision, isNew: false } : decision,
  );
}

function failWithKeyConflict(key: string): DecisionResult {
  const message = `key "${key}" was used for another job; use a new key for a new job`;
  return Result.err(Failure.create(ErrorKind.keyConflict, message));
}

/** Returns a digest of the spec that does not depend on the order of its fields. */
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
