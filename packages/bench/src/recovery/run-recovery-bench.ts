import { faults } from './faults.js';
import type { RecoveryReport } from './recovery-report.js';
import type { RecoveryRun } from './recovery-run.js';
import { runFault } from './run-fault.js';

const LOAD_MS = 3_000;
const QUICK_LOAD_MS = 700;
const REPEATS = 3;

/** Injects every fault under load, one after another, and returns the figures of all runs. */
export async function runRecoveryBench(options: {
  seed: number;
  quick?: boolean;
  /** Names of the faults to inject; all when absent. */
  only?: readonly string[];
}): Promise<RecoveryReport> {
  const { seed, quick = false, only } = options;
  const chosen = Object.entries(faults).filter(([name]) => only?.includes(name) ?? true);
  const runs: RecoveryRun[] = [];
  const failed: { fault: string; reason: string }[] = [];
  const loadMs = quick ? QUICK_LOAD_MS : LOAD_MS;
  for (let round = 0; round < (quick ? 1 : REPEATS); round += 1) {
    for (const [name, fault] of chosen) {
      try {
        runs.push(await runFault(name, fault, { seed: seed + round, loadMs }));
      } catch (error) {
        failed.push({ fault: name, reason: String(error).slice(0, 2_000) });
      }
    }
  }
  return summarize(seed, runs, failed);
}

function summarize(
  seed: number,
  runs: readonly RecoveryRun[],
  failed: RecoveryReport['failed'],
): RecoveryReport {
  const measured = (name: string): number[] => runs.flatMap((run) => run.measured[name] ?? []);
  const total = (read: (run: RecoveryRun) => number): number =>
    runs.reduce((sum, run) => sum + read(run), 0);
  const takeOvers = measured('takeOverMs');
  return {
    seed,
    takeOverMs: { runs: takeOvers, max: Math.max(0, ...takeOvers) },
    configurationSpreadMs: Math.max(0, ...measured('configurationSpreadMs')),
    leavingStopMs: Math.max(0, ...measured('leavingStopMs')),
    listLagMs: Math.max(0, ...measured('listLagMs')),
    appendsPerSecond: Math.max(0, ...runs.map((run) => run.appendsPerSecond)),
    completed: total((run) => run.completed),
    late: total((run) => run.late),
    lost: total((run) => run.lost),
    duplicated: total((run) => run.duplicated),
    oversold: total((run) => run.oversold),
    unknown: total((run) => run.unknown),
    refused: total((run) => run.refused),
    violations: runs.flatMap(({ fault, violations }) =>
      violations.map(({ promise, message }) => ({ fault, promise, message })),
    ),
    failed,
    runs: runs.map((run) => ({ ...run, violations: [], trace: '' })),
  };
}
