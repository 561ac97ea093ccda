import type { Clock } from '@acaciahoist/clock';
import { RunnerHealthRecord } from './runner-health-record.js';

/** Detects runners that fail more than others and says which ones to avoid. */
export class RunnerHealth {
  /** `random` returns numbers from 0 to 1; `runnersOf` lists the runners of a service. */
  static create(options: {
    clock: Clock;
    random: () => number;
    runnersOf: (service: string) => readonly string[];
  }): RunnerHealth {
    return new RunnerHealth(options);
  }

  /** Only runners that have failed are recorded. */
  private readonly records = new Map<string, RunnerHealthRecord>();

  private constructor(
    private readonly options: {
      clock: Clock;
      random: () => number;
      runnersOf: (service: string) => readonly string[];
    },
  ) {}

  /**
   * Runners that a request for the service should avoid, at most half of the service's runners: when
   * more have failed, the fault is probably not theirs. `probes` are runners which this request alone
   * may use; each must be given back by `report` or `endProbe`.
   */
  chooseExclusions(service: string): { exclude: string[]; probes: string[] } {
    if (this.records.size === 0) return { exclude: [], probes: [] };
    const nowMs = this.options.clock.monotonicMs();
    const runners = this.options.runnersOf(service);
    const avoided: { runner: string; ejectedAtMs: number }[] = [];
    const probes: string[] = [];
    for (const runner of runners) {
      const record = this.records.get(runner);
      if (record === undefined) continue;
      if (record.isAvoided(nowMs)) avoided.push({ runner, ejectedAtMs: record.ejectedAtMs });
      else if (record.reserveProbe()) probes.push(runner);
    }
    avoided.sort((a, b) => b.ejectedAtMs - a.ejectedAtMs);
    const maxExcluded = Math.floor(runners.length / 2);
    return { exclude: avoided.slice(0, maxExcluded).map(({ runner }) => runner), probes };
  }

  recordResult(runner: string, isSuccess: boolean): void {
    const nowMs = this.options.clock.monotonicMs();
    const knownRecord = this.records.get(runner);
    if (knownRecord === undefined && isSuccess) return;
    const record = knownRecord ?? RunnerHealthRecord.create(this.options.random);
    this.records.set(runner, record);
    record.recordResult(isSuccess, nowMs);
    if (record.canBeDropped(nowMs)) this.records.delete(runner);
  }

  /** Gives back a probe that was not used or has no result. */
  releaseProbe(runner: string): void {
    this.records.get(runner)?.releaseProbe();
  }

  /** States of the runners that have failed. */
  describe(): Record<string, 'healthy' | 'ejected' | 'probing'> {
    return Object.fromEntries([...this.records].map(([name, record]) => [name, record.state()]));
  }
}
