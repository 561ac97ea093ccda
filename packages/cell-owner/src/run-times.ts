import { median } from './median.js';

/** The step of a run and what it is compared with otherwise. */
interface Kind {
  step: string;
  /** Image, or the queue of a step without one. */
  group: string;
  estimateMs: number;
}

/** Number of newest ends of a step and of a group whose durations are kept. */
const MAX_STEP_ENDS = 32;
const MAX_GROUP_ENDS = 256;
/** Maximum number of steps and groups; those without an end for the longest time are forgotten beyond it. */
const MAX_STEPS = 512;
const MAX_GROUPS = 64;
/** Ratios of duration to estimate of the newest ends of a group, oldest first. */
interface Group {
  ratios: number[];
  /** Median of the ratios, and whether one of them is far above it; undefined after a change. */
  summary: { median: number; hasTail: boolean } | undefined;
}

/** Number of runs of the step, and of ends of the group, from which the usual duration is known. */
const MIN_STEP_RUNS = 5;
const MIN_GROUP_ENDS = 16;
/** An end of this multiple of the median belongs to the tail: estimates are wrong by up to 1.9 times. */
const TAIL_FACTOR = 3;

/**
 * Durations of completed runs of speculative steps, at speed 1. The runs of one step share the error of its estimate,
 * so that they are compared with each other where enough are known, and else with those of their image.
 */
export class RunTimes {
  static create(): RunTimes {
    return new RunTimes();
  }

  /** Durations in ms of the newest ends of each step, oldest first. */
  private readonly steps = new Map<string, number[]>();
  private readonly groups = new Map<string, Group>();

  /** Records a completed run; `durationMs` is what it would have taken at speed 1. */
  record({ step, group, estimateMs }: Kind, durationMs: number): void {
    const durations = touch(this.steps, step, () => [], MAX_STEPS);
    durations.push(durationMs);
    if (durations.length > MAX_STEP_ENDS) durations.shift();
    this.addToGroup(group, durationMs / estimateMs);
  }

  /** Records a run that its copy has overtaken; `durationMs` is what it was expected to take at speed 1. */
  recordOvertaken(
    { group, estimateMs }: Pick<Kind, 'group' | 'estimateMs'>,
    durationMs: number,
  ): void {
    this.addToGroup(group, durationMs / estimateMs);
  }

  /**
   * Returns the usual duration in ms of a run at speed 1; undefined while it is unknown. `expectedMs` are the expected
   * durations of the runs of the step that have not ended.
   */
  typicalMs({ step, group, estimateMs }: Kind, expectedMs: readonly number[]): number | undefined {
    const known = [...(this.steps.get(step) ?? []), ...expectedMs];
    if (known.length >= MIN_STEP_RUNS) return median(known);
    const summary = this.summaryOf(group);
    return summary && summary.median * estimateMs;
  }

  /** Returns whether some of the known runs of the group have taken several times the usual duration. */
  hasTails(group: string): boolean {
    return this.summaryOf(group)?.hasTail === true;
  }

  private addToGroup(name: string, ratio: number): void {
    const create = (): Group => ({ ratios: [], summary: undefined });
    const group = touch(this.groups, name, create, MAX_GROUPS);
    group.ratios.push(ratio);
    if (group.ratios.length > MAX_GROUP_ENDS) group.ratios.shift();
    group.summary = undefined;
  }

  private summaryOf(name: string): Group['summary'] {
    const group = this.groups.get(name);
    if (group === undefined || group.ratios.length < MIN_GROUP_ENDS) return undefined;
    if (group.summary === undefined) {
      const middle = median(group.ratios);
      const hasTail = group.ratios.some((ratio) => ratio >= TAIL_FACTOR * middle);
      group.summary = { median: middle, hasTail };
    }
    return group.summary;
  }
}

/** Returns the value of a key, a new one if there is none, as the newest of the map; removes the oldest beyond `maxKeys`. */
function touch<Value>(
  values: Map<string, Value>,
  key: string,
  create: () => Value,
  maxKeys: number,
): Value {
  const value = values.get(key) ?? create();
  // The insertion order of the map is the order of the newest changes.
  values.delete(key);
  values.set(key, value);
  const oldest = values.keys().next().value;
  if (values.size > maxKeys && oldest !== undefined) values.delete(oldest);
  return value;
}
