import type { Clock } from '@acaciahoist/clock';
import { RunnerHealthRecord } from './runner-health-record.js';

/** Ejects runners that fail too often. An ejected runner gets no requests but probes until one succeeds. */
export class RunnerHealth {
  /** `random` returns a number from 0 to 1; `listRunners` returns the runners of a service. */
  static create(options: {
    clock: Clock;
    random: () => number;
    listRunners: (service: string) => readonly string[];
  }): RunnerHealth {
    return new RunnerHealth(options);
  }

  /** Records by runner, only of runners that have failed. */
  private readonly recordsByRunner = new Map<string, RunnerHealthRecord>();

  private constructor(
    private readonly options: {
      clock: Clock;
      random: () => number;
      listRunners: (service: string) => readonly string[];
    },
  ) {}

  /**
   * Returns the ejected runners, which a request for the service must not use. They are at most half of the
   * service's runners, those ejected last: when more have failed, the cause is probably outside the runners.
   * `probes` are runners that are reserved for a probe by this request; the caller must release each with
   * `recordResult` or `releaseProbe`.
   */
  chooseEjected(service: string): { ejected: string[]; probes: string[] } {
    if (this.recordsByRunner.size === 0) return { ejected: [], probes: [] };
    const nowMs = this.options.clock.monotonicMs();
    const runners = this.options.listRunners(service);
    const ejectedRunners: { runner: string; ejectedAtMs: number }[] = [];
    const probes: string[] = [];
    for (const runner of runners) {
      const record = this.recordsByRunner.get(runner);
      if (record === undefined) continue;
      if (record.isEjected(nowMs)) ejectedRunners.push({ runner, ejectedAtMs: record.ejectedAtMs });
      else if (record.reserveProbe()) probes.push(runner);
    }
    ejectedRunners.sort((a, b) => b.ejectedAtMs - a.ejectedAtMs);
    const maxEjected = Math.floor(runners.length / 2);
    return { ejected: ejectedRunners.slice(0, maxEjected).map(({ runner }) => runner), probes };
  }

  /** Records the result of a request to a runner and releases its probe. */
  recordResult(runner: string, isSuccess: boolean): void {
    const nowMs = this.options.clock.monotonicMs();
    const existingRecord = this.recordsByRunner.get(runner);
    if (existingRecord === undefined && isSuccess) return;
    const record = existingRecord ?? RunnerHealthRecord.create(this.options.random);
    this.recordsByRunner.set(runner, record);
    record.recordResult(isSuccess, nowMs);
    if (record.canBeDropped(nowMs)) this.recordsByRunner.delete(runner);
  }

  /** Releases a probe that was not used or whose result is unknown. */
  releaseProbe(runner: string): void {
    this.recordsByRunner.get(runner)?.releaseProbe();
  }

  /** Returns the states of the runners that have a record. */
  describe(): Record<string, 'healthy' | 'ejected' | 'probing'> {
    return Object.fromEntries(
      [...this.recordsByRunner].map(([name, record]) => [name, record.state()]),
    );
  }
}
