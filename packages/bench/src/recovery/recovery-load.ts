import type { CallerAnswer } from './caller-answer.js';
import { digestText } from './digest-text.js';
import type { RecoveryCell } from './recovery-cell.js';
import { recoveryJobs } from './recovery-jobs.js';

/** Time between two new calls of one caller. */
const CALL_INTERVAL_MS = 15;
/** A caller repeats a call with a key for this long; covers a failover and the wait for old grants. */
const REPEAT_MS = 25_000;
const REPEAT_PAUSE_MS = 100;

/** Callers that send requests, requests with keys and jobs, and that repeat what may be repeated. */
export class RecoveryLoad {
  static create(cell: RecoveryCell, name: string): RecoveryLoad {
    return new RecoveryLoad(cell, name);
  }

  /** How each key ended for its caller: `reply`, the kind of a final error, or `lost`. */
  readonly keys = new Map<string, string>();
  /** Accepted jobs. */
  readonly jobs = new Set<string>();
  /** Keys of the accepted jobs that must not run twice. */
  readonly scheduled = new Map<string, string>();
  /** Answers by type or kind of error. */
  readonly answers = new Map<string, number>();
  private readonly pending = new Set<Promise<void>>();
  private isStopping = false;
  private isAborted = false;
  private next = 0;

  private constructor(
    private readonly cell: RecoveryCell,
    private readonly name: string,
  ) {}

  start(): void {
    this.track(this.repeat(() => this.askLookup()));
    this.track(this.repeat(() => this.askSealing(`${this.name}-k${++this.next}`)));
    this.submitJobs();
  }

  /** Ends new calls and waits for those under way, which all have a time limit. */
  async stop(): Promise<void> {
    this.isStopping = true;
    while (this.pending.size > 0) await Promise.all(this.pending);
  }

  /** Ends all calls without waiting for their results, after a fault that failed. */
  abort(): void {
    this.isStopping = true;
    this.isAborted = true;
  }

  /** Submits one job of each kind. */
  submitJobs(): void {
    for (const spec of recoveryJobs(`${this.name}-j${++this.next}`, this.cell.clock.wallMs())) {
      this.track(this.submit(spec));
    }
  }

  /** Sends a request with a key until it has a final answer. */
  async askSealing(key: string): Promise<void> {
    const endMs = this.cell.clock.monotonicMs() + REPEAT_MS;
    for (let attempt = 0; this.mayRepeat(endMs); attempt += 1) {
      const index = this.pick(attempt);
      const answer = index === undefined ? undefined : await this.ask(index, 'sealing', key);
      if (answer?.type === 'reply') {
        this.settle(key, 'reply');
        return;
      }
      if (answer?.type === 'error' && answer.kind === 'outcome-unknown') {
        // A running request may still end; only a repeated answer is taken as final.
        if (attempt > 20) {
          this.settle(key, answer.kind);
          return;
        }
      } else if (answer?.type === 'error' && answer.kind === 'key-conflict') {
        this.settle(key, answer.kind);
        return;
      }
      await this.cell.pause(REPEAT_PAUSE_MS);
    }
    this.settle(key, 'lost');
  }

  private settle(key: string, result: string): void {
    this.keys.set(key, result);
  }

  private async askLookup(): Promise<void> {
    const index = this.pick(0);
    if (index !== undefined) await this.ask(index, 'lookup', null);
  }

  /** Makes one call and records it. */
  async ask(index: number, service: string, key: string | null): Promise<CallerAnswer> {
    const { cell } = this;
    const requestId = `${this.name}-r${++this.next}`;
    const { address: process, incarnation } = cell.process(index);
    cell.observe({ type: 'request-asked', requestId, service, key, process, incarnation });
    // The body names the request or the key, so that its digest identifies it at the runner.
    const body = key ?? requestId;
    const headers: Record<string, string> = key === null ? {} : { 'idempotency-key': key };
    const answer = await cell.call(index, 'POST', `/services/${service}`, body, headers);
    this.count(answer.type === 'error' ? answer.kind : answer.type);
    if (answer.type === 'timeout' || answer.type === 'refused-connection') {
      cell.observe({ type: 'request-abandoned', requestId });
      return answer;
    }
    const seen =
      answer.type === 'reply'
        ? { type: answer.type, bodyDigest: digestText(answer.text), isComplete: true }
        : answer;
    cell.observe({ type: 'request-answered', requestId, process, incarnation, answer: seen });
    return answer;
  }

  /** Submits a job through one process after another until it is accepted. */
  async submit(spec: ReturnType<typeof recoveryJobs>[number]): Promise<void> {
    const endMs = this.cell.clock.monotonicMs() + REPEAT_MS;
    for (let attempt = 0; this.mayRepeat(endMs); attempt += 1) {
      const index = this.pick(attempt);
      const answer =
        index === undefined ? undefined : await this.cell.call(index, 'POST', '/jobs', spec);
      if (answer?.type === 'reply') {
        const { jobId } = answer.body as { jobId: string };
        this.jobs.add(jobId);
        if (!spec.repeatable && spec.key !== undefined) this.scheduled.set(jobId, spec.key);
        return;
      }
      const fault = answer?.type === 'error' ? answer.kind : (answer?.type ?? 'no-ready-process');
      this.count(`submit: ${fault}`);
      if (fault === 'bad-request') return;
      await this.cell.pause(REPEAT_PAUSE_MS);
    }
    this.count('submit-not-accepted');
  }

  /** A ready process; another one for each attempt. */
  private pick(attempt: number): number | undefined {
    const ready = this.cell.readyIndexes();
    return ready[(this.next + attempt) % Math.max(1, ready.length)];
  }

  private mayRepeat(endMs: number): boolean {
    return !this.isAborted && this.cell.clock.monotonicMs() < endMs;
  }

  private async repeat(call: () => Promise<void>): Promise<void> {
    while (!this.isStopping) {
      this.track(call());
      await this.cell.pause(CALL_INTERVAL_MS);
    }
  }

  private track(work: Promise<void>): void {
    const tracked = work.finally(() => this.pending.delete(tracked));
    this.pending.add(tracked);
  }

  private count(name: string): void {
    this.answers.set(name, (this.answers.get(name) ?? 0) + 1);
  }
}
