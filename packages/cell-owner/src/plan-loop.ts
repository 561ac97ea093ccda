import { Instant } from '@acaciahoist/clock/instant';
import type { CellJob } from '@acaciahoist/cell-types';
import type { CellRecord } from '@acaciahoist/cell-types/cell-record';
import { planCell } from '@acaciahoist/cell-planner';
import { computeCharge } from '@acaciahoist/cell-planner/compute-charge';
import type { PlannedTeams } from '@acaciahoist/cell-planner/planned-teams';
import type { PlannedWorker } from '@acaciahoist/cell-planner/planned-worker';
import type { ReadyStep } from '@acaciahoist/cell-planner/ready-step';
import type { ReservationWaits } from '@acaciahoist/cell-planner/reservation-waits';
import type { RoundBudget } from '@acaciahoist/cell-planner/round-budget';
import { taskName } from '@acaciahoist/cell-state/task-name';
import { computeDemand } from '@acaciahoist/cell-planner/compute-demand';
import { findTaskKind } from '@acaciahoist/cell-planner/find-task-kind';
import type { AdviceScheduler } from './advice-scheduler.js';
import { computeMaxStartAge } from './compute-max-start-age.js';
import { computeOccupancy } from './compute-occupancy.js';
import { findWaitingSteps } from './find-waiting-steps.js';
import { estimateRemainingMs } from './estimate-remaining-ms.js';
import { explainJob } from './explain-job.js';
import { explainPlacement } from './explain-placement.js';
import type { JobExplanation } from './job-explanation.js';
import { estimateTeamWaits } from './estimate-team-waits.js';
import { limits } from './limits.js';
import { listWorkerImages } from './list-worker-images.js';
import type { OwnerContext } from './owner-context.js';
import type { PlacementExplanation } from './placement-explanation.js';
import { planTeams } from './plan-teams.js';
import { ReadyStepIndex } from './ready-step-index.js';
import { ShortageMonitor } from './shortage-monitor.js';
import { TeamArrivals } from './team-arrivals.js';
import type { TeamBacklog } from './team-backlog.js';

/** The timeout of an advice request is its expected duration times this factor, plus the margin. */
const ADVICE_TIMEOUT_FACTOR = 2;
const ADVICE_TIMEOUT_MARGIN_MS = 500;

/** Runs planning rounds, appends the starts that they decide and requests the advice that they need. */
export class PlanLoop {
  static create(context: OwnerContext, adviceScheduler: AdviceScheduler): PlanLoop {
    return new PlanLoop(context, adviceScheduler);
  }

  private isScheduled = false;
  private roundStartedAtMs = Number.NEGATIVE_INFINITY;
  /** Duration of the last round in ms. */
  private roundDurationMs = 0;
  /** Waits for reservations in the last round. */
  private waits: ReservationWaits = { heldSinceMs: new Map(), reservedSinceMs: new Map() };
  private readonly readySteps: ReadyStepIndex;
  private readonly arrivals: TeamArrivals;
  private readonly shortage: ShortageMonitor;
  /** Steps with tasks that the last round could not start, and that their quotas do not hold back. */
  private waitingSteps: readonly ReadyStep[] = [];
  /** Estimated waits in ms of new excess jobs, by team, as of the last round. */
  private teamWaitsMs = new Map<string, number>();

  private constructor(
    private readonly context: OwnerContext,
    private readonly adviceScheduler: AdviceScheduler,
  ) {
    this.shortage = ShortageMonitor.create(context.clock);
    this.arrivals = TeamArrivals.create(() => context.teams());
    this.readySteps = ReadyStepIndex.create({
      state: context.state,
      proposedWorker: (task) => context.proposals.workerOf(task),
      adviceFor: (step) => context.adviceCache.get(step),
      addArrival: (job) => this.arrivals.addJob(job),
    });
  }

  /** Marks a job as changed after one of its records was applied. */
  markChanged(job: string): void {
    this.readySteps.markChanged(job);
  }

  /** Schedules a round for the end of the pause after the last one, unless one is scheduled already. */
  schedule(): void {
    if (this.isScheduled || this.context.isStopped()) return;
    this.isScheduled = true;
    const { clock, loopDelayMs } = this.context;
    const gapMs = Math.max(
      limits.planGapMs + loopDelayMs(),
      this.roundDurationMs * (1 + limits.planPauseFactor),
    );
    const delayMs = Math.max(0, this.roundStartedAtMs + gapMs - clock.monotonicMs());
    clock.after(delayMs, () => {
      this.isScheduled = false;
      this.plan();
    });
  }

  /** Runs one planning round at once. */
  plan(): void {
    if (this.context.isStopped()) return;
    const { clock } = this.context;
    this.roundStartedAtMs = clock.monotonicMs();
    this.planRound(this.roundStartedAtMs);
    this.roundDurationMs = clock.monotonicMs() - this.roundStartedAtMs;
  }

  /** Explains why a job that has not ended waits; undefined for any other id. */
  explainJob(id: string): JobExplanation | undefined {
    const { clock, state } = this.context;
    const progress = state.jobs.get(id);
    if (progress === undefined) return undefined;
    const nowMs = clock.monotonicMs();
    return explainJob({
      progress,
      context: this.context,
      readySteps: this.readySteps.list({ wallMs: clock.wallMs(), monotonicMs: nowMs }),
      listWorkers: () => this.listWorkers(nowMs),
      budget: this.createBudget(),
      teams: planTeams(this.context, this.shortage.isShort()),
    });
  }

  /** Explains where a job that is not in the log would go now. */
  explainPlacement(job: CellJob): PlacementExplanation {
    const { clock, proposals } = this.context;
    const nowMs = clock.monotonicMs();
    return explainPlacement({
      job,
      isExcess: this.arrivals.wouldExceed(job),
      clock,
      oldestStartAgeMs: proposals.oldestStartAgeMs(),
      lastAppendAgeMs: this.context.lastAppendAgeMs(),
      readySteps: this.readySteps.list({ wallMs: clock.wallMs(), monotonicMs: nowMs }),
      listWorkers: () => this.listWorkers(nowMs),
      budget: this.createBudget(),
      teams: planTeams(this.context, this.shortage.isShort()),
      formerWaits: this.waits,
    });
  }

  /** Returns what the teams use and whether room is short, for operators. */
  describeTeams(): PlannedTeams {
    return planTeams(this.context, this.shortage.isShort());
  }

  /** Returns what is known of the teams while room is short; undefined while it is not. */
  findTeamBacklog(): TeamBacklog | undefined {
    const { clock, teams } = this.context;
    if (!this.shortage.isShort()) return undefined;
    return {
      ageMs: clock.monotonicMs() - this.shortage.recordedAtMs(),
      teams: (teams() ?? []).map(({ name, weight }) => ({
        name,
        weight,
        waitMs: this.teamWaitsMs.get(name) ?? 0,
      })),
    };
  }

  /** Lists the steps that the last round left waiting for capacity. */
  listWaitingSteps(): readonly ReadyStep[] {
    return this.waitingSteps;
  }

  private planRound(nowMs: number): void {
    const { clock, proposals } = this.context;
    if (proposals.oldestStartAgeMs() > computeMaxStartAge(this.context.lastAppendAgeMs())) return;
    const steps = this.readySteps.list({ wallMs: clock.wallMs(), monotonicMs: nowMs });
    if (steps.length === 0) {
      this.shortage.recordRound(false);
      this.waitingSteps = [];
      return;
    }
    const plan = planCell(
      steps,
      this.listWorkers(nowMs),
      nowMs,
      this.createBudget(),
      planTeams(this.context, this.shortage.isShort()),
      this.waits,
    );
    this.waits = plan.waits;
    this.shortage.recordRound(plan.lacksRoom);
    this.waitingSteps = findWaitingSteps(steps, plan);
    this.teamWaitsMs = estimateTeamWaits(steps, this.context.teams() ?? [], nowMs);
    const stepsByKey = new Map(steps.map((step) => [step.key, step]));
    this.recordStarts(plan.starts, stepsByKey, nowMs);
    for (const request of plan.adviceRequests) {
      const step = stepsByKey.get(request.key);
      if (step !== undefined) this.requestAdvice(step, request.workers);
    }
  }

  private createBudget(): RoundBudget {
    const { proposals, startWindow } = this.context;
    return {
      ...this.adviceScheduler.countFreeLanes(),
      starts: startWindow.countAllowed(proposals.countStarts()),
    };
  }

  private listWorkers(nowMs: number): PlannedWorker[] {
    const { sessions, runs, proposals, workerHealth } = this.context;
    const imagesByWorker = listWorkerImages(this.context);
    const workers: PlannedWorker[] = [];
    for (const session of sessions.values()) {
      const { entry, id } = session;
      const { millicores, memoryMib, accelerators } = entry;
      const free = { millicores, memoryMib, accelerators };
      const eventuallyFree = { ...free };
      const speed = workerHealth.speeds.speedOf(id, entry.born);
      runs.usedCapacity.subtractFrom(free, id);
      runs.longRunningCapacity.subtractFrom(eventuallyFree, id);
      proposals.usedCapacity.subtractFrom(free, id);
      workers.push({
        id,
        service: entry.service,
        rack: entry.rack,
        labels: entry.labels,
        total: entry,
        free,
        eventuallyFree,
        listRuns: () =>
          [...runs.listOn(id)].map((trackedRun) => ({
            endsInMs: estimateRemainingMs(trackedRun, nowMs, speed),
            usedCapacity: trackedRun.demand,
          })),
        acceptsStarts: session.isStartable() && workerHealth.mayGetStarts(id, runs.listOn(id)),
        isOnProbation: workerHealth.fitnessOf(id) === 'probation',
        isLastResort: session.isStartable() && workerHealth.mayGetTrial(id, runs.listOn(id)),
        occupancy: computeOccupancy(this.context, id, nowMs),
        images: imagesByWorker?.get(id),
        speed,
      });
    }
    return workers;
  }

  /** Appends the records of planned starts, and logs one line for each step. */
  private recordStarts(
    starts: readonly { key: string; index: number; worker: string }[],
    stepsByKey: ReadonlyMap<string, ReadyStep>,
    nowMs: number,
  ): void {
    if (starts.length === 0) return;
    const decidedAt = Instant.create(this.context.clock);
    const records: CellRecord[] = [];
    const workersByStep = new Map<string, string[]>();
    /** Number of starts on a worker on which the task has failed, by step. */
    const returnsByStep = new Map<string, number>();
    for (const { key, index, worker } of starts) {
      const step = stepsByKey.get(key);
      const task = `${key}.${index}`;
      const taskEntry = this.context.state.findTask(task);
      if (step === undefined || taskEntry === undefined) continue;
      const highestRun = taskEntry.stepProgress.tasks.reduce(
        (highest, member) => Math.max(highest, member.run),
        0,
      );
      const lastRun = Math.max(taskEntry.task.run, taskEntry.task.copyRun ?? 0);
      const run = (step.step.gang ? highestRun : lastRun) + 1;
      const demand = computeDemand(step.step);
      const kind = findTaskKind(step.step);
      this.context.proposals.addStart(task, {
        worker,
        run,
        demand,
        team: step.team,
        charge: computeCharge(step.step),
        kind,
        image: step.step.image,
        decidedAt,
      });
      this.readySteps.markChanged(taskEntry.progress.job.id);
      records.push({ kind: 'start', task, run, worker });
      workersByStep.set(key, [...(workersByStep.get(key) ?? []), worker]);
      if (step.failedRuns.get(index)?.workers.includes(worker) === true)
        returnsByStep.set(key, (returnsByStep.get(key) ?? 0) + 1);
    }
    for (const [key, workers] of workersByStep)
      this.context.log('info', 'start-decided', {
        step: key,
        queue: stepsByKey.get(key)?.queue.name,
        priority: stepsByKey.get(key)?.queue.priority,
        tasks: workers.length,
        worker: workers[0],
        ...(returnsByStep.has(key) ? { onFailedWorker: returnsByStep.get(key) } : {}),
        waitedMs: Math.round(nowMs - (stepsByKey.get(key)?.dueMs ?? nowMs)),
      });
    this.context.count('starts_total', records.length);
    this.context.append(records);
  }

  /** Requests advice for a step if a lane is free, and plans again when the request has ended. */
  private requestAdvice(step: ReadyStep, workers: readonly string[]): void {
    const { advice } = step.queue;
    if (advice === undefined) return;
    const expectedMs = advice.decisionMs + advice.perWorkerMs * workers.length;
    const isPrompt = step.queue.priority === 0;
    const { sessions } = this.context;
    const askedIncarnations = new Map(workers.map((id) => [id, sessions.get(id)?.entry.born]));
    const isSameIncarnation = (id: string): boolean =>
      sessions.get(id)?.entry.born === askedIncarnations.get(id);
    const outstandingRequest = this.adviceScheduler.tryRequest(
      step.key,
      workers,
      isPrompt,
      expectedMs * ADVICE_TIMEOUT_FACTOR + ADVICE_TIMEOUT_MARGIN_MS,
    );
    if (outstandingRequest === undefined) return;
    this.context.adviceCache.setOutstanding(step.key, true);
    void outstandingRequest.then((result) => {
      if (this.context.isStopped()) return;
      if (this.context.state.jobs.has(taskName.jobOf(step.key))) {
        this.context.adviceCache.setOutstanding(step.key, false);
        if (result.kind === 'allowed')
          this.context.adviceCache.recordTickets(
            step.key,
            // Tickets are valid for the incarnation of the worker at the time of the request.
            workers.filter(isSameIncarnation),
            result.tickets.filter(([id]) => isSameIncarnation(id)),
            advice.ticketMs,
          );
        else this.context.log('warn', 'advice-not-given', { step: step.key, result: result.kind });
      }
      this.schedule();
    });
  }
}
