import Result from 'true-myth/result';
import { Failure } from '@acaciahoist/errors';
import type { TaskOutcome } from '@acaciahoist/types/task-outcome';
import type { WorkerClient } from '@acaciahoist/types/worker-client';
import type { WorkerReport } from '@acaciahoist/types/worker-report';

type StartResult = Awaited<ReturnType<WorkerClient['start']>>;

const USAGE = { millicores: 100, memoryMib: 100, accelerators: {} };

/** In-memory worker for tests. Workers with different addresses share its tasks. */
export class TestWorker implements WorkerClient {
  static create(): TestWorker {
    return new TestWorker();
  }

  /** Tasks whose start took effect, in order. A restart keeps the list. */
  readonly startedTaskIds: string[] = [];
  incarnation = 'w-1';
  /**
   * `lost`: a start takes effect and its reply is lost; `dropped`: a start has no effect and no reply;
   * `refused`: the worker refuses a start; `down`: no call reaches the worker.
   */
  fault: 'none' | 'lost' | 'dropped' | 'refused' | 'down' = 'none';
  /** Addresses of workers that no call reaches. */
  readonly unreachableAddresses = new Set<string>();
  /** Called when a start is sent. */
  onStart: () => void = () => undefined;
  /** Number of next fence calls whose reply is lost. */
  lostFenceCalls = 0;
  private readonly tasks = new Map<string, TaskOutcome | null>();
  private sequence = 0;

  /** Ends a task; the next report contains its outcome. */
  endTask(taskId: string, outcome: TaskOutcome): void {
    this.tasks.set(taskId, outcome);
  }

  /** Starts a new incarnation without tasks, as a restart of the VM does. */
  restart(): void {
    this.incarnation = `${this.incarnation}+`;
    this.tasks.clear();
  }

  fence(worker: string): Promise<Result<WorkerReport, Failure>> {
    if (this.lostFenceCalls > 0) {
      this.lostFenceCalls -= 1;
      return Promise.resolve(failUnknown());
    }
    return Promise.resolve(this.isDown(worker) ? failUnsent() : Result.ok(this.createReport()));
  }

  start(
    worker: string,
    _token: number,
    starts: Parameters<WorkerClient['start']>[2],
  ): Promise<StartResult> {
    this.onStart();
    if (this.isDown(worker)) return Promise.resolve(failUnsent());
    if (this.fault === 'refused') {
      const refused = starts.map(({ taskId }) => ({
        taskId,
        result: 'refused' as const,
        reason: 'test',
      }));
      return Promise.resolve(Result.ok(refused));
    }
    if (this.fault === 'dropped') return Promise.resolve(failUnknown());
    const results = starts.map(({ taskId }) => {
      const isKnown = this.tasks.has(taskId);
      if (!isKnown) this.startedTaskIds.push(taskId);
      if (!isKnown) this.tasks.set(taskId, null);
      return { taskId, result: isKnown ? ('known' as const) : ('started' as const), reason: '' };
    });
    return Promise.resolve(this.fault === 'lost' ? failUnknown() : Result.ok(results));
  }

  renew(worker: string): Promise<Result<void, Failure>> {
    return Promise.resolve(this.isDown(worker) ? failUnsent() : Result.ok(undefined));
  }

  sendActions(
    worker: string,
    _token: number,
    actions: Parameters<WorkerClient['sendActions']>[2],
  ): Promise<Result<void, Failure>> {
    if (this.isDown(worker)) return Promise.resolve(failUnsent());
    for (const { taskId, action } of actions) {
      if (action !== 'throttle' && this.tasks.get(taskId) === null) {
        this.tasks.set(taskId, action === 'stop' ? 'stopped' : 'checkpointed');
      }
    }
    return Promise.resolve(Result.ok(undefined));
  }

  readReport(worker: string): Promise<Result<WorkerReport, Failure>> {
    return Promise.resolve(this.isDown(worker) ? failUnsent() : Result.ok(this.createReport()));
  }

  private isDown(worker: string): boolean {
    return this.fault === 'down' || this.unreachableAddresses.has(worker);
  }

  private createReport(): WorkerReport {
    this.sequence += 1;
    const tasks = [...this.tasks].map(([taskId, outcome]) => ({
      taskId,
      state: outcome === null ? ('running' as const) : ('ended' as const),
      usage: USAGE,
      throttled: false,
      progressMs: 0,
      ...(outcome === null ? {} : { outcome }),
    }));
    return { sequence: this.sequence, incarnation: this.incarnation, tasks };
  }
}

function failUnsent(): Result<never, Failure> {
  return Result.err(Failure.create('endpoint-failed', 'refused', { sent: false }));
}

function failUnknown(): Result<never, Failure> {
  return Result.err(Failure.create('outcome-unknown', 'no reply', { sent: true }));
}
