import { test } from 'node:test';
import { expect } from 'earl';
import Result from 'true-myth/result';
import type { CellJob } from '@acaciahoist/cell-types';
import { CallFault } from './call-fault.js';
import { createJob } from './create-job.js';
import { EmulatedCell } from './emulated-cell.js';

/** Processor capacity of one worker of the emulator in thousandths of a core. */
const WORKER_MILLICORES = 8_000;
const SEED = 20_261_205;
const UNKNOWN_ID = 'f'.repeat(16);
/** Time in ms within which every process answers an operator. */
const MAX_ANSWER_MS = 2_500;

/** Starts a cell of three processes and advances it until one of them owns it. */
async function startCell(workers: number): Promise<EmulatedCell> {
  const cell = EmulatedCell.create({ seed: SEED, processes: 3, workers });
  await cell.start();
  await cell.advance(2_000);
  return cell;
}

async function submit(cell: EmulatedCell, jobs: readonly CellJob[]): Promise<void> {
  const submissions = jobs.map((job) => cell.submit(job, cell.findOwnerName() ?? ''));
  await cell.advance(500);
  expect(await Promise.all(submissions)).toEqual(jobs.map(() => 'accepted'));
}

function explainAt(cell: EmulatedCell, name: string | undefined, id: string) {
  const found = cell.processes.find((candidate) => candidate.name === name);
  if (found === undefined) throw new Error('the process does not exist');
  return found.process.explainJob(id);
}

/** Waits for an answer, for which the clock of the cell may have to advance. */
async function settle<Value>(cell: EmulatedCell, answer: Promise<Value>): Promise<Value> {
  await cell.advance(MAX_ANSWER_MS);
  return answer;
}

/** Returns the explanation of the owner, which must succeed. */
async function explain(cell: EmulatedCell, id: string) {
  const explanation = (await explainAt(cell, cell.findOwnerName(), id)).unwrapOr({});
  return explanation as { reason?: string; steps?: { waits: string; step: string }[] };
}

// Guards against an operator who cannot tell a job that waits for room from one that can never run, or whose
// predecessor runs.
test('the owner explains a job by the step that waits: running, without room, too large or blocked', async () => {
  const cell = await startCell(1);
  const long = createJob(1, [
    { millicores: WORKER_MILLICORES, estimateMs: 60_000, longRunning: true },
    { after: [0] },
  ]);
  const waiting = createJob(2, [{ millicores: 1_000 }]);
  const large = createJob(3, [{ millicores: WORKER_MILLICORES + 1 }]);
  await submit(cell, [long]);
  await submit(cell, [waiting, large]);
  expect((await explain(cell, long.id)).steps?.map(({ waits }) => waits)).toEqual([
    'running',
    'earlier-steps',
  ]);
  expect((await explain(cell, waiting.id)).reason).toEqual(
    `${waiting.id}.0.0: no allowed worker has room for a task`,
  );
  expect((await explain(cell, large.id)).steps?.map(({ waits }) => waits)).toEqual(['too-large']);
  const later = { ...createJob(4), firstRunMs: cell.clock.wallMs() + 60_000 };
  await submit(cell, [later]);
  expect((await explain(cell, later.id)).steps).toEqual([
    { step: `${later.id}.0`, waits: 'not-due', dueInMs: 59_500 } as never,
  ]);
});

// Guards against an explanation by the load while the store is the cause.
test('the owner explains waiting jobs by the store while the store answers no appends', async () => {
  const cell = await startCell(2);
  const dueInMs = (number: number, ms: number) => ({
    ...createJob(number),
    firstRunMs: cell.clock.wallMs() + ms,
  });
  const first = dueInMs(1, 1_000);
  const second = dueInMs(2, 1_500);
  await submit(cell, [first, second]);
  cell.store.chooseFault = () => CallFault.lost;
  await cell.advance(700);
  expect((await explain(cell, first.id)).steps?.map(({ waits }) => waits)).toEqual([
    'start-being-recorded',
  ]);
  await cell.advance(400);
  expect((await explain(cell, second.id)).reason).toEqual(
    `${second.id}.0.0: the store does not acknowledge records, so that no starts are decided until it does`,
  );
  cell.store.chooseFault = () => CallFault.none;
  await cell.advance(8_000);
  expect((await explain(cell, second.id)).reason).toEqual('it has ended as completed');
});

// Guards against an answer from a process that does not know the state of the planner, and against one that
// does not say where to ask.
test('a process that is not the owner names the owner, and every process tells an ended job from an unknown one', async () => {
  const cell = await startCell(1);
  const done = createJob(1);
  const waiting = createJob(2, [{ millicores: WORKER_MILLICORES + 1 }]);
  await submit(cell, [done, waiting]);
  await cell.advance(5_000);
  const owner = cell.findOwnerName();
  for (const { name, process } of cell.processes) {
    const description = await process.describeJob(done.id);
    expect(description.unwrapOr({} as never).outcome).toEqual('completed');
    const end = await explainAt(cell, name, done.id);
    expect(end.map(({ reason }) => reason)).toEqual(Result.ok('it has ended as completed'));
    const unknown = await settle(cell, explainAt(cell, name, UNKNOWN_ID));
    expect(unknown.isErr && unknown.error.kind).toEqual('unknown-job');
    if (name === owner) continue;
    const explanation = await explainAt(cell, name, waiting.id);
    expect(explanation.isErr && explanation.error.kind).toEqual('not-owner');
    expect(explanation.isErr ? explanation.error.message : '').toInclude(
      `use the inspection address of ${owner ?? ''}`,
    );
  }
});

// Guards against an operator who takes an accepted job for lost, because the process could not read the log.
test('a process whose replica is not current does not answer that a job is unknown', async () => {
  const cell = EmulatedCell.create({ seed: SEED, processes: 2, workers: 1 });
  cell.store.chooseFault = () => CallFault.lost;
  await cell.start();
  await cell.advance(2_000);
  const [{ name } = { name: '' }] = cell.processes;
  const beforeSnapshot = await settle(cell, explainAt(cell, name, UNKNOWN_ID));
  expect(beforeSnapshot.isErr && beforeSnapshot.error.kind).toEqual('log-unavailable');
  cell.store.chooseFault = () => CallFault.none;
  await cell.advance(5_000);
  const current = await settle(cell, explainAt(cell, name, UNKNOWN_ID));
  expect(current.isErr && current.error.kind).toEqual('unknown-job');
  cell.store.chooseFault = () => CallFault.lost;
  await cell.advance(1_500);
  const duringOutage = await settle(cell, explainAt(cell, name, UNKNOWN_ID));
  expect(duringOutage.isErr && duringOutage.error.kind).toEqual('log-unavailable');
});

// Guards against an explanation that changes what the owner decides: it runs a planning round of its own.
test('a cell runs the same tasks on the same workers whether or not its jobs are explained', async () => {
  const play = async (isExplained: boolean) => {
    const cell = await startCell(3);
    for (let number = 1; number <= 30; number += 1) {
      const step = { count: 3, millicores: 1_500, gang: number % 5 === 0 };
      await submit(cell, [
        createJob(number, [step, { after: [0] }], { advised: number % 2 === 0 }),
      ]);
      if (!isExplained) continue;
      for (const id of cell.jobs.keys()) await explainAt(cell, cell.findOwnerName(), id);
    }
    await cell.advance(10_000);
    return cell.history;
  };
  const history = await play(false);
  expect(history.length).toBeGreaterThan(100);
  expect(await play(true)).toEqual(history);
});
