import { test } from 'node:test';
import { expect } from 'earl';
import { Packr } from 'msgpackr';
import { CallFault } from './call-fault.js';
import { createJob } from './create-job.js';
import { EmulatedCell } from './emulated-cell.js';
import { injectFault } from './inject-fault.js';
import type { ScheduleFault } from './schedule-fault.js';

/** Retention time of the tests in ms; short, so that each test plays beyond it. */
const RETENTION_MS = 8_000;
/** Interval in ms at which the tests query all jobs at all processes. */
const QUERY_INTERVAL_MS = 50;
/**
 * Time in ms after the retention time within which an ended job is removed in a cell without faults: an owner
 * renews every 250 ms, and two renewals decide.
 */
const MAX_REMOVAL_DELAY_MS = 1_000;

/** Starts a cell of three processes, which all hold a replica, and four workers. */
async function startCell(seed: number): Promise<EmulatedCell> {
  const cell = EmulatedCell.create({ seed, processes: 3, workers: 4, retentionMs: RETENTION_MS });
  await cell.start();
  await cell.advance(2_000);
  return cell;
}

/** Advances the clock and queries all accepted jobs at an interval. */
async function advanceWithQueries(cell: EmulatedCell, durationMs: number): Promise<void> {
  for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += QUERY_INTERVAL_MS) {
    cell.checkJobStates();
    await cell.advance(QUERY_INTERVAL_MS);
  }
}

/** Submits jobs whose tasks end at different times between two renewals of the owner. */
function submitJobs(cell: EmulatedCell, count: number): void {
  for (let number = 1; number <= count; number += 1)
    void cell.submit(
      createJob(number, [{ estimateMs: 200 + number * 37 }]),
      `p${number % cell.processes.length}`,
    );
}

function findOtherProcess(cell: EmulatedCell): string {
  const owner = cell.findOwnerName();
  return cell.processes.find(({ name, isUp }) => isUp && name !== owner)?.name ?? '';
}

// Guards against a client that reads "no such job" before the retention time after the end of its job has
// passed, because the end was dated back to the renewal before it.
test('every process knows an ended job until its retention time has passed', async () => {
  const cell = await startCell(31);
  submitJobs(cell, 10);
  await advanceWithQueries(cell, RETENTION_MS + 3_000);
  expect(cell.acceptedJobs.size).toEqual(10);
  expect(cell.listViolations()).toEqual([]);
});

// Guards against the same answer after an outage of the store, during which the owner cannot renew its claim
// and the job ends.
test('every process knows a job that ended during an outage of the store until its retention time has passed', async () => {
  const cell = await startCell(32);
  submitJobs(cell, 10);
  await cell.advance(150);
  cell.store.chooseFault = () => CallFault.lost;
  await advanceWithQueries(cell, 2_500);
  cell.store.chooseFault = () => CallFault.none;
  await advanceWithQueries(cell, RETENTION_MS + 3_000);
  expect(cell.listViolations()).toEqual([]);
});

// Guards against the same answer when the wall clock of the owner jumps forward after the end of the job.
test('a wall clock of the owner that jumps forward does not shorten the retention time', async () => {
  const cell = await startCell(33);
  submitJobs(cell, 10);
  await advanceWithQueries(cell, 1_500);
  cell.jumpWall(cell.findOwnerName() ?? '', 5_000);
  await advanceWithQueries(cell, RETENTION_MS + 3_000);
  expect(cell.listViolations()).toEqual([]);
});

// Guards against the same answer when the wall clock of a successor is ahead of that of its predecessor.
test('a successor whose wall clock is ahead does not shorten the retention time', async () => {
  const cell = await startCell(34);
  submitJobs(cell, 10);
  await advanceWithQueries(cell, 1_500);
  const owner = cell.findOwnerName() ?? '';
  for (const { name } of cell.processes) if (name !== owner) cell.jumpWall(name, 5_000);
  cell.killProcess(owner);
  await advanceWithQueries(cell, RETENTION_MS + 3_000);
  expect(cell.listViolations()).toEqual([]);
});

// Guards against the same answer for a job whose cancel reached the log between a renewal and its delayed
// execution by the store, which then seems to follow the cancel.
test('every process knows a cancelled job until its retention time has passed when renewals are late', async () => {
  const cell = await startCell(35);
  const submitted = cell.submit(createJob(1, [{ estimateMs: 60_000 }]), 'p0');
  await cell.advance(500);
  expect(await submitted).toEqual('accepted');
  const owner = cell.findOwnerName() ?? '';
  cell.store.chooseFault = (caller, call) =>
    caller === owner && call === 'append' ? CallFault.late : CallFault.none;
  await cell.advance(400);
  const cancelled = cell.cancel(createJob(1).id, findOtherProcess(cell));
  await cell.advance(1_200);
  cell.store.chooseFault = () => CallFault.none;
  await advanceWithQueries(cell, RETENTION_MS + 6_000);
  expect(await cancelled).toEqual(true);
  expect(cell.listViolations()).toEqual([]);
});

// Guards against memory use that grows with every job that has ever ended.
test('every process removes an ended job soon after its retention time has passed', async () => {
  const cell = await startCell(36);
  submitJobs(cell, 10);
  await cell.advance(800);
  await cell.advance(RETENTION_MS + MAX_REMOVAL_DELAY_MS);
  for (const { process } of cell.processes)
    for (const id of cell.acceptedJobs) expect(process.jobStateOf(id)).toEqual(undefined);
});

// Guards against the same answer, for good, at a process that starts when the store has just dropped the record
// of the job: the newest snapshot does not have the job yet, and the owner writes the next one within seconds.
test('a process that starts just after the store has dropped old records knows every job', async () => {
  const cell = await startCell(37);
  const started = findOtherProcess(cell);
  cell.killProcess(started);
  // The other processes serve no records, so that the started one reads the store.
  cell.peers.chooseFault = (_caller, _callee, type) =>
    type === 'read-log' ? CallFault.refused : CallFault.none;
  for (let number = 1; number <= 45; number += 1) {
    void cell.submit(createJob(number, [{ estimateMs: 20_000 }]), cell.findOwnerName() ?? '');
    await cell.advance(100);
  }
  cell.store.expireTopics(cell.clock.monotonicMs());
  await cell.startProcess(started);
  const process = cell.processes.find(({ name }) => name === started)?.process;
  await advanceWithQueries(cell, 1_000);
  expect(process?.isReady()).toEqual(false);
  await advanceWithQueries(cell, 9_000);
  expect(cell.acceptedJobs.size).toEqual(45);
  expect(cell.listViolations()).toEqual([]);
  expect(process?.isReady()).toEqual(true);
  for (const id of cell.acceptedJobs) expect(process?.jobStateOf(id)).not.toEqual(undefined);
});

// Guards against the same answer for all ended jobs, for good, and against a cell without an owner: another writer
// appended records with times and tokens that are no numbers of this system.
test('the cell keeps its owner and every process knows every job when the log has records with odd numbers', async () => {
  const cell = await startCell(38);
  submitJobs(cell, 10);
  await advanceWithQueries(cell, 2_000);
  const owner = cell.findOwnerName();
  const claim = cell.processes[0]?.process.describe().owner as { token: number };
  const records = [Number.NaN, 1e300, -1e300, 2n ** 60n].flatMap((number) => [
    { kind: 'renew', wallMs: number, token: claim.token, termMs: number, asOfOffset: number },
    { kind: 'renew', wallMs: 0, token: claim.token, termMs: number, asOfOffset: 0 },
    { kind: 'claim', owner: 'x', address: 'x', token: number, wallMs: 0 },
  ]);
  const packr = new Packr({ useRecords: false });
  for (const record of records) {
    cell.store
      .getTopic('cell')
      .append({ topic: 'cell', records: [packr.pack(record)] }, cell.clock.monotonicMs());
    await advanceWithQueries(cell, 200);
  }
  expect(cell.findOwnerName()).toEqual(owner);
  await advanceWithQueries(cell, 3_000);
  expect(cell.acceptedJobs.size).toEqual(10);
  expect(cell.listViolations()).toEqual([]);
});

/** Faults that delay renewals, replace the owner or move its wall clock. */
const RETENTION_FAULTS = [
  'kill-owner',
  'kill-all',
  'store-refuses',
  'store-silent',
  'store-replies-lost',
  'store-late',
  'store-unreachable-from-owner',
  'owner-paused',
  'owner-suspended',
  'owner-wall-clock-jumps',
  'cancel',
] as const satisfies readonly ScheduleFault['kind'][];

// Guards against an ended job that becomes unknown too early under faults that come together and in any order.
test('ended jobs stay known for the retention time under random faults', async () => {
  for (let seed = 1; seed <= 12; seed += 1) {
    const cell = await startCell(20_261_205 + seed);
    const { random } = cell;
    submitJobs(cell, 12);
    for (let round = 0; round < 6; round += 1) {
      const kind = RETENTION_FAULTS[random.integer(0, RETENTION_FAULTS.length - 1)] ?? 'cancel';
      const durationMs = random.integer(300, 3_500);
      const targetIndex = random.integer(0, 9);
      const endFault = injectFault(cell, { atMs: 0, durationMs, kind, targetIndex });
      await advanceWithQueries(cell, durationMs);
      await endFault();
      await advanceWithQueries(cell, random.integer(100, 2_000));
    }
    await advanceWithQueries(cell, RETENTION_MS);
    expect(cell.listViolations().map((violation) => `seed ${seed}: ${violation}`)).toEqual([]);
  }
});
