import type { Clock } from '@acaciahoist/clock';
import type { Advice } from '@acaciahoist/cell-types/advice';
import type { RoundBudget } from '@acaciahoist/cell-planner/round-budget';
import type { AdviceClient } from '@acaciahoist/cell-types/advice-client';

/** A process through which one advice request at a time can be made. */
interface Lane {
  name: string;
  requestAdvice: AdviceClient;
  isBusy: boolean;
  /**
   * Monotonic time of the last contact; infinite for the lane of this process, minus infinite after a
   * failed request.
   */
  lastContactAtMs: number;
}

/** A helper whose last contact is older than this gets no requests; helpers report every second. */
const MAX_HELPER_CONTACT_AGE_MS = 3_500;
/** One in this many lanes is reserved for prompt steps. */
const LANES_PER_PROMPT_LANE = 3;
/** Bound on the set of failed steps. Once it is cleared, each may cost another failed request to a helper. */
const MAX_FAILED_STEPS = 10_000;

/**
 * Spreads advice requests over the processes of the cell. Each process is a lane with one request at a time.
 * Load pattern: the advice service is the bottleneck. It handles one request at a time for each calling
 * machine, and a request for a heavy step takes as long as dozens of requests for prompt steps. Some lanes are
 * therefore reserved for prompt steps. A helper may send its reports and yet be unreachable. After a
 * request has failed at a helper, this process makes the next one for that step itself if its own lane is free.
 */
export class AdviceScheduler {
  static create(options: { clock: Clock; ownClient: AdviceClient }): AdviceScheduler {
    return new AdviceScheduler(options.clock, options.ownClient);
  }

  private readonly lanes: Lane[];
  private readonly ownLane: Lane;
  /** Steps whose last request failed at a helper. */
  private readonly failedSteps = new Set<string>();

  private constructor(
    private readonly clock: Clock,
    ownClient: AdviceClient,
  ) {
    this.ownLane = {
      name: 'own',
      requestAdvice: ownClient,
      isBusy: false,
      lastContactAtMs: Number.POSITIVE_INFINITY,
    };
    this.lanes = [this.ownLane];
  }

  /**
   * Adds a helper that sent a report, or updates its last contact. `requestAdvice` calls the advice service
   * through the helper.
   */
  addHelper(name: string, requestAdvice: AdviceClient): void {
    const lane = this.lanes.find((candidate) => candidate.name === name);
    if (lane !== undefined) lane.lastContactAtMs = this.clock.monotonicMs();
    else
      this.lanes.push({
        name,
        requestAdvice,
        isBusy: false,
        lastContactAtMs: this.clock.monotonicMs(),
      });
  }

  countLanes(): number {
    return this.lanes.length;
  }

  /** Counts the lanes that are free for requests of prompt steps and of others. */
  countFreeLanes(): Pick<RoundBudget, 'promptRequests' | 'otherRequests'> {
    const { liveLanes, unreservedLanes } = this.listLiveLanes();
    const countFree = (lanes: readonly Lane[]): number =>
      lanes.reduce((count, lane) => count + (lane.isBusy ? 0 : 1), 0);
    return { promptRequests: countFree(liveLanes), otherRequests: countFree(unreservedLanes) };
  }

  /** Requests advice through a free lane; returns undefined when no lane is free for this kind of step. */
  tryRequest(
    step: string,
    workers: readonly string[],
    isPrompt: boolean,
    timeoutMs: number,
  ): Promise<Advice> | undefined {
    const mustUseOwnLane = this.failedSteps.has(step) && !this.ownLane.isBusy;
    const lane = mustUseOwnLane ? this.ownLane : this.findFreeLane(isPrompt);
    if (lane === undefined) return undefined;
    lane.isBusy = true;
    return this.requestThrough(lane, step, workers, timeoutMs);
  }

  private async requestThrough(
    lane: Lane,
    step: string,
    workers: readonly string[],
    timeoutMs: number,
  ): Promise<Advice> {
    const advice = await lane.requestAdvice(step, workers, timeoutMs);
    lane.isBusy = false;
    this.failedSteps.delete(step);
    if (advice.kind === 'failed' && lane !== this.ownLane) {
      lane.lastContactAtMs = Number.NEGATIVE_INFINITY;
      if (this.failedSteps.size >= MAX_FAILED_STEPS) this.failedSteps.clear();
      this.failedSteps.add(step);
    }
    return advice;
  }

  private findFreeLane(isPrompt: boolean): Lane | undefined {
    const { liveLanes, unreservedLanes } = this.listLiveLanes();
    return (isPrompt ? liveLanes : unreservedLanes).find((lane) => !lane.isBusy);
  }

  /**
   * Lists the lanes with a recent contact, and those among them that are not reserved for prompt steps.
   */
  private listLiveLanes(): { liveLanes: readonly Lane[]; unreservedLanes: readonly Lane[] } {
    const minLastContactAtMs = this.clock.monotonicMs() - MAX_HELPER_CONTACT_AGE_MS;
    const liveLanes = this.lanes.filter((lane) => lane.lastContactAtMs >= minLastContactAtMs);
    const promptLanes =
      liveLanes.length === 1 ? 0 : Math.ceil(liveLanes.length / LANES_PER_PROMPT_LANE);
    return { liveLanes, unreservedLanes: liveLanes.slice(promptLanes) };
  }
}
