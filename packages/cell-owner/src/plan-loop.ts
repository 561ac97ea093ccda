import { Instant } from '@acaciahoist/clock/instant';
import type { CellRecord } from '@acaciahoist/cell-types/cell-record';
import { planCell } from '@acaciahoist/cell-planner';
import type { PlannedWorker } from '@acaciahoist/cell-planner/planned-worker';
import type { ReadyStep } from '@acaciahoist/cell-planner/ready-step';
import { taskName } from '@acaciahoist/cell-state/task-name';
import { sizeOf } from '@acaciahoist/cell-planner/size-of';
import type { AdviceDesk } from './advice-desk.js';
import { expectedEnd } from './expected-end.js';
import { limits } from './limits.js';
import type { OwnerContext } from './owner-context.js';
import { ReadyBoard } from './ready-board.js';
import type { WorkerLink } from './worker-link.js';

/** Plans starts at bounded intervals, records them and asks for the advice that they need. */
export class PlanLoop {
  static create(context: OwnerContext, desk: AdviceDesk): PlanLoop {
    return new PlanLoop(context, desk);
  }

  private isDue = false;
  private plannedMs = Number.NEGATIVE_INFINITY;
  /** Time in ms that the last round took. */
  private tookMs = 0;
  private readonly board: ReadyBoard;

  private constructor(
    private readonly context: OwnerContext,
    private readonly desk: AdviceDesk,
  ) {
    this.board = ReadyBoard.create({
      state: context.state,
      proposedWorker: (task) => context.proposals.workerOf(task),
      adviceFor: (step) => context.book.get(step),
    });
  }

  /** A record of the job was applied. */
  touch(job: string): void {
    this.board.touch(job);
  }

  /** Something changed: plans soon. */
  request(): void {
    if (this.isDue || this.context.isStopped()) return;
    this.isDue = true;
    const { clock, loopDelayMs } = this.context;
    const gapMs = Math.max(
      limits.planGapMs + loopDelayMs(),
      this.tookMs * (1 + limits.planRestFactor),
    );
    const delayMs = Math.max(0, this.plannedMs + gapMs - clock.monotonicMs());
    clock.after(delayMs, () => {
      this.isDue = false;
      this.plan();
    });
  }

  /** Plans one round, records its starts and asks for advice. */
  plan(): void {
    if (this.context.isStopped()) return;
    const { clock } = this.context;
    this.plannedMs = clock.monotonicMs();
    this.planRound(this.plannedMs);
    this.tookMs = clock.monotonicMs() - this.plannedMs;
  }

  private planRound(nowMs: number): void {
    const { clock, proposals, window } = this.context;
    // Decisions made while the log does not take them would be stale when it does.
    if (proposals.oldestMs() > limits.staleProposalMs) return;
    const steps = this.board.list({ wallMs: clock.wallMs(), monotonicMs: nowMs });
    if (steps.length === 0) return;
    const plan = planCell(steps, this.listWorkers(nowMs), nowMs, {
      ...this.desk.freeLanes(),
      starts: window.roomFor(proposals.countStarts()),
    });
    const byKey = new Map(steps.map((step) => [step.key, step]));
    this.recordStarts(plan.starts, byKey, nowMs);
    for (const ask of plan.asks) {
      const step = byKey.get(ask.key);
      if (step !== undefined) this.ask(step, ask.workers);
    }
  }

  private listWorkers(nowMs: number): PlannedWorker[] {
    const { links, runs, proposals, health } = this.context;
    const workers: PlannedWorker[] = [];
    for (const link of links.values()) {
      const { entry, id } = link;
      const { millicores, memoryMib, accelerators } = entry;
      const free = { millicores, memoryMib, accelerators };
      runs.used.takeFrom(free, id);
      proposals.used.takeFrom(free, id);
      workers.push({
        id,
        service: entry.service,
        rack: entry.rack,
        labels: entry.labels,
        total: entry,
        free,
        listRuns: () =>
          [...runs.on(id)].map((view) => ({ endsInMs: expectedEnd(view, nowMs), size: view.size })),
        startable: link.isStartable() && this.isFit(link),
        probation: health.fitness(id) === 'probation',
      });
    }
    return workers;
  }

  private isFit(link: WorkerLink): boolean {
    const fitness = this.context.health.fitness(link.id);
    if (fitness !== 'probation') return fitness === 'full';
    return this.context.runs.countOn(link.id) === 0;
  }

  private recordStarts(
    starts: readonly { key: string; index: number; worker: string }[],
    steps: ReadonlyMap<string, ReadyStep>,
    nowMs: number,
  ): void {
    if (starts.length === 0) return;
    const decided = Instant.create(this.context.clock);
    const records: CellRecord[] = [];
    const perStep = new Map<string, string[]>();
    for (const { key, index, worker } of starts) {
      const step = steps.get(key);
      const task = `${key}.${index}`;
      const found = this.context.state.taskOf(task);
      if (step === undefined || found === undefined) continue;
      const highest = found.step.tasks.reduce((most, member) => Math.max(most, member.run), 0);
      const run = (step.step.gang ? highest : found.task.run) + 1;
      const size = sizeOf(step.step);
      this.context.proposals.addStart(task, { worker, run, size, decided });
      this.board.touch(found.progress.job.id);
      records.push({ kind: 'start', task, run, worker });
      perStep.set(key, [...(perStep.get(key) ?? []), worker]);
    }
    for (const [key, workers] of perStep)
      this.context.log('info', 'start-decided', {
        step: key,
        queue: steps.get(key)?.queue.name,
        priority: steps.get(key)?.queue.priority,
        tasks: workers.length,
        worker: workers[0],
        waitedMs: Math.round(nowMs - (steps.get(key)?.sinceMs ?? nowMs)),
      });
    this.context.count('starts_total', records.length);
    this.context.append(records);
  }

  private ask(step: ReadyStep, workers: readonly string[]): void {
    const { advice } = step.queue;
    if (advice === undefined) return;
    const expectedMs = advice.decisionMs + advice.perWorkerMs * workers.length;
    const isPrompt = step.queue.priority === 0;
    const asked = this.desk.tryAsk(step.key, workers, isPrompt, expectedMs * 2 + 500);
    if (asked === undefined) return;
    this.context.book.markAsked(step.key, true);
    void asked.then((answer) => {
      if (this.context.isStopped()) return;
      if (this.context.state.jobs.has(taskName.jobOf(step.key))) {
        this.context.book.markAsked(step.key, false);
        if (answer.kind === 'allowed')
          this.context.book.record(step.key, workers, answer.tickets, advice.ticketMs);
        else this.context.log('warn', 'advice-not-given', { step: step.key, result: answer.kind });
      }
      this.request();
    });
  }
}
