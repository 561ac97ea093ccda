import { answers as answerTable } from '@acaciahoist/errors/answers';
import { checkHistory } from '@acaciahoist/history-checker';
import { buildHistory } from './build-history.js';
import type { Fault } from './fault.js';
import { followJobs } from './follow-jobs.js';
import { RecoveryCell } from './recovery-cell.js';
import { RecoveryLoad } from './recovery-load.js';
import type { RecoveryRun } from './recovery-run.js';

/** Longest wait for accepted jobs after the fault; covers the bound for tasks of a lost owner. */
const JOBS_MS = 30_000;
const NOT_RUN = Object.entries(answerTable)
  .filter(([, { execution }]) => execution === 'not-run')
  .map(([kind]) => kind);

/** Brings about one fault under load in a cell of its own and checks the recorded history. */
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
    const measured = await bringAbout(fault, { cell, load, seed });
    await cell.pause(loadMs);
    await load.stop();
    const tookMs = cell.clock.monotonicMs() - startMs;
    const appends = cell.standIn.history.count('append') - appendsBefore;
    const outcomes = await followJobs(cell, [...load.jobs.keys()], JOBS_MS);
    const violations = checkHistory(buildHistory(cell, load));
    const lostKeys = [...load.keys].filter(([, result]) => result === 'lost');
    const lostJobs = [...outcomes].filter(([, outcome]) => outcome === 'unfinished');
    const answers = Object.fromEntries(load.answers);
    const oversold = cell.standIn.history.count('oversold');
    const unknownKeys = [...load.keys.values()].filter((one) => one === 'outcome-unknown').length;
    const count = (outcome: string): number =>
      [...outcomes.values()].filter((one) => one === outcome).length;
    const duplicated = violations.filter(
      ({ promise, message }) => promise === 2 || (promise === 5 && message.includes('ran ')),
    ).length;
    const lost = lostKeys.length + lostJobs.length;
    const isWrong = lost + oversold + violations.length > 0;
    return {
      fault: name,
      seed,
      completed: (answers.reply ?? 0) + count('completed'),
      late: count('late'),
      lost,
      duplicated,
      oversold,
      unknown: unknownKeys + count('unknown'),
      refused: NOT_RUN.reduce((sum, kind) => sum + (answers[kind] ?? 0), 0),
      appendsPerSecond: Math.round((appends * 1_000) / tookMs),
      answers,
      violations,
      notes: [...lostKeys, ...lostJobs, ...countJobs(outcomes)].map(String),
      measured,
      trace: isWrong ? cell.trace() : '',
    };
  } finally {
    // Calls that a failed fault left running would keep the test process alive until it times out.
    load.abort();
    await cell.stop();
  }
}

/** Adds the answers of the callers and the output of the processes to the error of a fault. */
async function bringAbout(
  fault: Fault,
  run: Parameters<Fault>[0],
): Promise<Readonly<Record<string, number>>> {
  try {
    return await fault(run);
  } catch (error) {
    const answers = JSON.stringify(Object.fromEntries(run.load.answers));
    const message = `${String(error)}; seed ${run.seed}, answers ${answers}`;
    throw new Error(`${message}\n${run.cell.trace()}`, { cause: error });
  }
}

function countJobs(outcomes: ReadonlyMap<string, string>): [string, string][] {
  return [...outcomes].filter(([, outcome]) => outcome !== 'completed');
}
