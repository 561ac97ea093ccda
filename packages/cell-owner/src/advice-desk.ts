import type { Clock } from '@acaciahoist/clock';
import type { Advice } from '@acaciahoist/cell-types/advice';
import type { RoundBudget } from '@acaciahoist/cell-planner/round-budget';
import type { AdviceClient } from '@acaciahoist/cell-types/advice-client';

interface Lane {
  name: string;
  ask: AdviceClient;
  isBusy: boolean;
  /** Monotonic time at which the helper was last heard of; infinite for the own lane. */
  seenMs: number;
}

/** A helper that was not heard of for this long is not asked; helpers report every second. */
const HELPER_SILENCE_MS = 3_500;
/** One lane in this many serves prompt steps only. */
const LANES_PER_PROMPT_LANE = 3;
/** Steps of which it is remembered that a helper failed; more only cost another try through a helper. */
const MAX_FAILED_STEPS = 10_000;

/**
 * Load pattern: advice as the bottleneck. The service handles one call at a time for each calling
 * machine, and a call for a heavy step takes as long as dozens for prompt ones. Calls are spread over
 * the processes of the system, each a lane with one call at a time, and some lanes are kept for prompt
 * steps. Helpers may report and yet be out of reach, so that a step for which one failed is asked for by
 * this process itself.
 */
export class AdviceDesk {
  static create(options: { clock: Clock; own: AdviceClient }): AdviceDesk {
    return new AdviceDesk(options.clock, options.own);
  }

  private readonly lanes: Lane[];
  private readonly own: Lane;
  /** Steps whose last call failed at a helper. */
  private readonly failedSteps = new Set<string>();

  private constructor(
    private readonly clock: Clock,
    own: AdviceClient,
  ) {
    this.own = { name: 'own', ask: own, isBusy: false, seenMs: Number.POSITIVE_INFINITY };
    this.lanes = [this.own];
  }

  /** A helper reported; `ask` calls the service through it. */
  seen(name: string, ask: AdviceClient): void {
    const lane = this.lanes.find((candidate) => candidate.name === name);
    if (lane !== undefined) lane.seenMs = this.clock.monotonicMs();
    else this.lanes.push({ name, ask, isBusy: false, seenMs: this.clock.monotonicMs() });
  }

  size(): number {
    return this.lanes.length;
  }

  /** Calls that can go out now, for prompt steps and for others. */
  freeLanes(): Pick<RoundBudget, 'promptAsks' | 'otherAsks'> {
    const { all, others } = this.liveLanes();
    const countFree = (lanes: readonly Lane[]): number =>
      lanes.reduce((count, lane) => count + (lane.isBusy ? 0 : 1), 0);
    return { promptAsks: countFree(all), otherAsks: countFree(others) };
  }

  /** Asks through a free lane; undefined when none is free for this kind of step. */
  tryAsk(
    step: string,
    workers: readonly string[],
    isPrompt: boolean,
    timeoutMs: number,
  ): Promise<Advice> | undefined {
    const isOwnDue = this.failedSteps.has(step) && !this.own.isBusy;
    const lane = isOwnDue ? this.own : this.freeLane(isPrompt);
    if (lane === undefined) return undefined;
    lane.isBusy = true;
    return this.askThrough(lane, step, workers, timeoutMs);
  }

  private async askThrough(
    lane: Lane,
    step: string,
    workers: readonly string[],
    timeoutMs: number,
  ): Promise<Advice> {
    const advice = await lane.ask(step, workers, timeoutMs);
    lane.isBusy = false;
    this.failedSteps.delete(step);
    if (advice.kind === 'failed' && lane !== this.own) {
      lane.seenMs = Number.NEGATIVE_INFINITY;
      if (this.failedSteps.size >= MAX_FAILED_STEPS) this.failedSteps.clear();
      this.failedSteps.add(step);
    }
    return advice;
  }

  private freeLane(isPrompt: boolean): Lane | undefined {
    const { all, others } = this.liveLanes();
    return (isPrompt ? all : others).find((lane) => !lane.isBusy);
  }

  /** Lanes that were heard of lately, and those among them that are not kept for prompt steps. */
  private liveLanes(): { all: readonly Lane[]; others: readonly Lane[] } {
    const oldestMs = this.clock.monotonicMs() - HELPER_SILENCE_MS;
    const all = this.lanes.filter((lane) => lane.seenMs >= oldestMs);
    const promptLanes = all.length === 1 ? 0 : Math.ceil(all.length / LANES_PER_PROMPT_LANE);
    return { all, others: all.slice(promptLanes) };
  }
}
