import { answers as answerTable } from '@acaciahoist/errors/answers';
import { checkHistory } from '@acaciahoist/history-checker';
import { buildHistory } from './build-history.js';
import type { Fault } from './fault.js';
import { waitForOutcomes } from './wait-for-outcomes.js';
import { RecoveryCell } from './recovery-cell.js';
import { RecoveryLoad } from './recovery-load.js';
import type { RecoveryRun } from './recovery-run.js';

/** Longest wait for accepted jobs after the fault; covers the time limit for tasks of a lost owner. */
const JOBS_TIMEOUT_MS = 30_000;
const NOT_RUN_KINDS = Object.entries(answerTable)
  .filter(([, { execution }]) => execution === 'not-run')
  .map(([kind]) => kind);

/** Injects one fault under load in a cell of its own and checks the recorded history. */
export async function runFault(
  name: string,
  fault: Fault,
  options: { seed: number; loadMs: number },
): Promise<RecoveryRun> {
  const { seed, loadMs } = options;
  const cell = await RecoveryCell.create({ processes: 3, seed });
  const load = RecoveryLoad.create(cell, `load-${seed}`);
  try {
    const startMs = cell.clock.monotonicMs();
    const appendsBefore = cell.standIn.history.count('append');
    load.start();
    await cell.pause(loadMs);
    const measured = await injectFault(fault, { cell, load, seed });
    await cell.pause(loadMs);
    await load.stop();
    const elapsedMs = cell.clock.monotonicMs() - startMs;
    const appends = cell.standIn.history.count('append') - appendsBefore;
    const outcomes = await waitForOutcomes(cell, [...load.jobIds.keys()], JOBS_TIMEOUT_MS);
    const violations = checkHistory(buildHistory(cell, load));
    const lostKeys = [...load.keyResults].filter(([, result]) => result === 'lost');
    const lostJobs = [...outcomes].filter(([, outcome]) => outcome === 'unfinished');
    const answers = Object.fromEntries(load.answerCounts);
    const oversold = cell.standIn.history.count('oversold');
    const unknownKeys = [...load.keyResults.values()].filter(
      (result) => result === 'outcome-unknown',
    ).length;
    const count = (outcome: string): number =>
      [...outcomes.values()].filter((jobOutcome) => jobOutcome === outcome).length;
    const duplicated = violations.filter(
      ({ promise, message }) => promise === 2 || (promise === 5 && message.includes('ran ')),
    ).length;
    const lost = lostKeys.length + lostJobs.length;
    const hasFailures = lost + oversold + violations.length > 0;
    return {
      fault: name,
      seed,
      completed: (answers.reply ?? 0) + count('completed'),
      late: count('late'),
      lost,
      duplicated,
      oversold,
      unknown: unknownKeys + count('unknown'),
      refused: NOT_RUN_KINDS.reduce((sum, kind) => sum + (answers[kind] ?? 0), 0),
      appendsPerSecond: Math.round((appends * 1_000) / elapsedMs),
      answers,
      violations,
      notes: [...lostKeys, ...lostJobs, ...listUncompletedJobs(outcomes)].map(String),
      measured,
      trace: hasFailures ? cell.latestOutput() : '',
    };
  } finally {
    // After a failed fault, pending calls would keep the test process running until it times out.
    load.abort();
    await cell.stop();
  }
}

/** Runs the fault; adds the answers of the callers and the output of the processes to its error. */
async function injectFault(
  fault: Fault,
  run: Parameters<Fault>[0],
): Promise<Readonly<Record<string, number>>> {
  try {
    return await fault(run);
  } catch (error) {
    const answers = JSON.stringify(Object.fromEntries(run.load.answerCounts));
    const message = `${String(error)}; seed ${run.seed}, answers ${answers}`;
    throw new Error(`${message}\n${run.cell.latestOutput()}`, { cause: error });
  }
}

function listUncompletedJobs(outcomes: ReadonlyMap<string, string>): [string, string][] {
  return [...outcomes].filter(([, outcome]) => outcome !== 'completed');
}
