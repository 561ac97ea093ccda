import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { CallFault } from './call-fault.js';
import { EmulatedCell } from './emulated-cell.js';
import { faultKinds } from './fault-kinds.js';
import { createJob } from './create-job.js';
import { runSchedule } from './run-schedule.js';
import type { ScheduleFault } from './schedule-fault.js';
import { injectFault } from './inject-fault.js';

/** Time in ms after the last fault: covers a takeover, the longest lease and late calls. */
const SETTLE_MS = 40_000;

/** Starts a cell of three processes, which all hold a replica, and four workers. */
async function startCell(seed: number): Promise<EmulatedCell> {
  const cell = EmulatedCell.create({ seed, processes: 3, workers: 4 });
  await cell.start();
  await cell.advance(2_000);
  return cell;
}

// Guards against an error on the path that a job takes without faults: accept, advise, start, end, report.
test('a cell without faults runs steps in order and gangs completely', async () => {
  const cell = await startCell(1);
  const job = createJob(
    1,
    [{ count: 3 }, { count: 4, millicores: 4_000, gang: true, after: [0] }],
    {
      advised: true,
    },
  );
  expect(await Promise.race([cell.submit(job, 'p0'), cell.advance(500)])).toEqual('accepted');
  await cell.advance(3_000);
  expect(cell.listViolations()).toEqual([]);
  expect(cell.listUnfinishedJobs()).toEqual([]);
});

// Guards against a successor that starts a task again while its run for the predecessor continues.
test('a successor adopts the runs of a killed owner and starts none of them again', async () => {
  const cell = await startCell(2);
  const submitted = cell.submit(createJob(1, [{ count: 6, estimateMs: 6_000 }]), 'p0');
  await cell.advance(600);
  expect(await submitted).toEqual('accepted');
  cell.killProcess(cell.findOwnerName() ?? '');
  await cell.advance(9_000);
  expect(cell.listViolations()).toEqual([]);
  expect(cell.listUnfinishedJobs()).toEqual([]);
  expect(cell.history.filter((event) => event.kind === 'started').length).toEqual(6);
});

// Load pattern: machines of different sizes. Guards against an owner whose machine is too small for the cell,
// at the start and after a takeover while the larger machines were down.
test('a process with enough cores becomes owner as soon as it runs', async () => {
  const cores = { p0: 0.3, p1: 0.3, p2: 1.3 };
  const cell = EmulatedCell.create({ seed: 21, processes: 3, workers: 4, cores });
  await cell.start();
  await cell.advance(8_000);
  expect(cell.findOwnerName()).toEqual('p2');
  cell.killProcess('p2');
  await cell.advance(3_000);
  const smallOwner = cell.findOwnerName();
  expect(smallOwner === 'p0' || smallOwner === 'p1').toEqual(true);
  const submitted = cell.submit(createJob(1, [{ count: 4, estimateMs: 6_000 }]), smallOwner ?? '');
  await cell.advance(500);
  expect(await submitted).toEqual('accepted');
  await cell.startProcess('p2');
  await cell.advance(10_000);
  expect(cell.findOwnerName()).toEqual('p2');
  expect(cell.listViolations()).toEqual([]);
  expect(cell.listUnfinishedJobs()).toEqual([]);
  expect(cell.history.filter((event) => event.kind === 'started').length).toEqual(4);
});

// Load pattern: best-effort tasks beside serving tasks. Guards against a serving task that exceeds its target
// for 4 s because of other tasks on its worker, also after a takeover, when the successor has no record of
// the earlier pacing.
test('the owner paces best-effort tasks beside a serving task, also after a takeover', async () => {
  const cell = EmulatedCell.create({ seed: 22, processes: 3, workers: 1 });
  await cell.start();
  await cell.advance(2_000);
  const serving = createJob(1, [{ longRunning: true, tailTargetMs: 100, estimateMs: 600_000 }]);
  const bestEffort = createJob(2, [{ count: 2, usesSpareCpu: true, estimateMs: 600_000 }]);
  const submitted = [cell.submit(serving, 'p0'), cell.submit(bestEffort, 'p1')];
  await cell.advance(1_000);
  expect(await Promise.all(submitted)).toEqual(['accepted', 'accepted']);
  const [worker] = cell.workers.values();
  let overTargetMs = 0;
  let longestOverTargetMs = 0;
  for (let elapsedMs = 0; elapsedMs < 30_000; elapsedMs += 100) {
    if (elapsedMs === 15_000) cell.killProcess(cell.findOwnerName() ?? '');
    await cell.advance(100);
    overTargetMs = (worker?.computeTailLatencyMs() ?? 0) > 100 ? overTargetMs + 100 : 0;
    longestOverTargetMs = Math.max(longestOverTargetMs, overTargetMs);
  }
  expect(longestOverTargetMs).toBeLessThan(4_000);
  expect(cell.listViolations()).toEqual([]);
  const stopped = cell.history.filter((event) => event.how === 'stopped');
  expect(stopped).toEqual([]);
});

// Load pattern: a burst at an owner whose machine needs 4 ms for a call (a twelfth of a core). Guards against
// more starts than it can send in time: most of them got no reply, and determining their outcomes
// took more calls than the starts themselves (large site at a small size, quiet-1).
test('the owner sends no more starts at once than its machine can send in time', async () => {
  const callCostMs = { p0: 4, p1: 4, p2: 4 };
  const cell = EmulatedCell.create({ seed: 23, processes: 3, workers: 24, callCostMs });
  await cell.start();
  await cell.advance(2_000);
  const job = createJob(1, [{ count: 160, millicores: 1_000, estimateMs: 1_500 }]);
  const submitted = cell.submit(job, 'p0');
  await cell.advance(6_000);
  expect(await submitted).toEqual('accepted');
  expect(cell.logLines.filter((line) => line.includes('start-not-answered'))).toEqual([]);
  expect(cell.history.filter((event) => event.kind === 'started').length).toEqual(160);
  expect(cell.listUnfinishedJobs()).toEqual([]);
  expect(cell.listViolations()).toEqual([]);
});

// Load pattern: an owner whose renewals wait behind hundreds of calls. Guards against treating a slow owner
// as a dead one: its successor is as slow and begins by calling all workers (large site at a small size:
// seven owners within 9 s).
test('a slow owner that replies to other processes is not replaced', async () => {
  const callCostMs = { p0: 36, p1: 36, p2: 36 };
  const cell = EmulatedCell.create({ seed: 24, processes: 3, workers: 24, callCostMs });
  await cell.start();
  await cell.advance(15_000);
  expect(cell.logLines.filter((line) => line.includes('owner-started')).length).toEqual(1);
});

// Guards against a takeover that delays starts: at most one lease (3 s) and 1 s may pass from when the owner
// is killed to the next start.
test('a successor starts tasks within 4 s after the owner is killed', async () => {
  const cell = await startCell(8);
  cell.killProcess(cell.findOwnerName() ?? '');
  const killedMs = cell.clock.monotonicMs();
  const survivor = cell.processes.find(({ isUp }) => isUp)?.name ?? '';
  const submitted = cell.submit(createJob(1), survivor);
  await cell.advance(4_000);
  expect(await submitted).toEqual('accepted');
  const started = cell.history.find((event) => event.kind === 'started');
  expect((started?.atMs ?? Number.POSITIVE_INFINITY) - killedMs < 4_000).toEqual(true);
});

// Guards against tasks that wait forever for a worker that never returns: the owner treated each unanswered
// hold call to it as a new lease, so that its last lease never ended.
test('tasks of a worker that never returns run again on other workers', async () => {
  const cell = await startCell(10);
  const submitted = cell.submit(createJob(1, [{ count: 4, estimateMs: 2_000 }]), 'p0');
  await cell.advance(500);
  expect(await submitted).toEqual('accepted');
  const worker = cell.history.find((event) => event.kind === 'started')?.worker ?? '';
  cell.workers.get(worker)?.crash();
  await cell.advance(15_000);
  expect(cell.listViolations()).toEqual([]);
  expect(cell.listUnfinishedJobs()).toEqual([]);
});

// Load pattern: workers that restart under the same id around a handover. Guards against a successor that
// still has the old incarnation of a worker in its state, attributes a run of the new incarnation to it, and
// starts the task a second time beside that run.
test('a successor adopts the runs of a new worker incarnation after a handover', async () => {
  for (const seed of [50, 51, 52, 53, 54, 55]) {
    const cell = await startCell(seed);
    cell.workers.get('w0')?.crash();
    await cell.advance(1_500 + 150 * (seed - 50));
    cell.addWorker('w0');
    const job = createJob(1, [{ count: 4, millicores: 8_000, estimateMs: 6_000 }]);
    const submitted = cell.submit(job, 'p0');
    const isStarted = (): boolean => cell.history.some(({ worker }) => worker === 'w0');
    while (!isStarted() && cell.clock.monotonicMs() < 8_000) await cell.advance(10);
    expect(isStarted()).toEqual(true);
    const owner = cell.processes.find(({ process }) => process.isOwner());
    await Promise.all([owner?.process.handOver(), cell.advance(1_000)]);
    expect(cell.findOwnerName() === owner?.name).toEqual(false);
    await cell.advance(12_000);
    expect(await submitted).toEqual('accepted');
    expect(cell.listViolations()).toEqual([]);
    expect(cell.listUnfinishedJobs()).toEqual([]);
    expect(cell.history.filter(({ kind }) => kind === 'started').length).toEqual(4);
  }
});

// Load pattern: a slow store, so that many starts are decided but not yet recorded when their worker
// restarts. Guards against a start that is recorded for the old incarnation and sent to the new one: a
// successor, which reads the record, treats the run as ended with the old incarnation.
test('the owner sends a start only to the worker incarnation for which it is recorded', async () => {
  for (const submitBeforeCrashMs of [720, 760, 800, 840]) {
    const cell = EmulatedCell.create({ seed: 50, processes: 3, workers: 1 });
    await cell.start();
    await cell.advance(4_000);
    cell.store.roundTripMs = 150;
    await cell.advance(800);
    let number = 0;
    const submitFor = async (ms: number): Promise<void> => {
      for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += 20) {
        number += 1;
        const job = createJob(number, [{ millicores: 50, estimateMs: 6_000 }]);
        void cell.submit(job, 'p0');
        await cell.advance(20);
      }
    };
    await submitFor(submitBeforeCrashMs);
    cell.workers.get('w0')?.crash();
    cell.addWorker('w0');
    await submitFor(140);
    const owner = cell.processes.find(({ process }) => process.isOwner());
    await Promise.all([owner?.process.handOver(), cell.advance(1_000)]);
    cell.store.roundTripMs = 4;
    await cell.advance(9_000);
    expect(cell.listViolations()).toEqual([]);
  }
});

// Load pattern: starts that workers execute without a reply. Guards against jobs that are counted as
// pending although the lists of the workers contain their runs.
test('the owner counts a job as running if its start got no reply but a worker lists its run', async () => {
  const cell = await startCell(56);
  for (const worker of cell.workers.values())
    worker.chooseFault = (_caller, kind) =>
      kind === 'start' ? CallFault.replyLost : CallFault.none;
  const jobs = Array.from({ length: 8 }, (_, index) =>
    createJob(index + 1, [{ millicores: 1_000, estimateMs: 20_000 }]),
  );
  const submitted = jobs.map((job) => cell.submit(job, 'p0'));
  await cell.advance(5_000);
  expect((await Promise.all(submitted)).filter((answer) => answer !== 'accepted')).toEqual([]);
  const process = cell.processes[0]?.process;
  expect(await process?.front.pendingOf('q')).toEqual(0);
  expect(jobs.map(({ id }) => process?.jobStateOf(id))).toEqual(jobs.map(() => 'running'));
  expect(cell.listViolations()).toEqual([]);
});

// Guards against a successor whose state has only the old incarnation of a worker, so that it treats the run
// of a cancelled job on the new one as ended: it would assign the capacity that the run still uses.
test('a successor keeps the capacity of a cancelled job reserved on a new worker incarnation', async () => {
  for (const seed of [57, 58, 59]) {
    const cell = await startCell(seed);
    for (const worker of [...cell.workers.values()]) if (worker.entry.id !== 'w0') worker.crash();
    cell.workers.get('w0')?.crash();
    await cell.advance(1_000 + 150 * (seed - 57));
    const worker = cell.addWorker('w0');
    worker.chooseFault = (_caller, kind) => (kind === 'stop' ? CallFault.lost : CallFault.none);
    const first = createJob(1, [{ millicores: 8_000, estimateMs: 5_000 }]);
    void cell.submit(first, 'p0');
    while (cell.history.length === 0 && cell.clock.monotonicMs() < 9_000) await cell.advance(10);
    const cancelled = cell.cancel(first.id, 'p1');
    await cell.advance(60);
    const owner = cell.processes.find(({ process }) => process.isOwner());
    const second = cell.submit(createJob(2, [{ millicores: 8_000, estimateMs: 500 }]), 'p1');
    await Promise.all([owner?.process.handOver(), cell.advance(1_500)]);
    expect(await cancelled).toEqual(true);
    expect(await second).toEqual('accepted');
    await cell.advance(8_000);
    expect(cell.listViolations()).toEqual([]);
  }
});

// Guards against lost work: a task with checkpoints runs until its worker leaves, although it could be
// stopped before and resume elsewhere.
test('the owner stops tasks that can resume before their worker leaves', async () => {
  const cell = await startCell(11);
  const job = createJob(1, [{ count: 2, estimateMs: 9_000, checkpointing: true }]);
  const submitted = cell.submit(job, 'p0');
  await cell.advance(500);
  expect(await submitted).toEqual('accepted');
  const started = cell.history.find((event) => event.kind === 'started');
  const worker = cell.workers.get(started?.worker ?? '');
  if (worker === undefined) throw new Error('no run started');
  cell.publishWorker({ ...worker.entry, draining: true, leavesInMs: 2_000 });
  await cell.advance(2_000);
  worker.crash();
  await cell.advance(15_000);
  const lostRuns = cell.history.filter((event) => event.how === 'lost');
  expect(lostRuns).toEqual([]);
  expect(cell.listViolations()).toEqual([]);
  expect(cell.listUnfinishedJobs()).toEqual([]);
});

// Guards against the same loss after a change of the owner: the worker announced that it leaves to the former one.
test('a successor stops tasks that can resume before a worker leaves that was draining at its claim', async () => {
  const cell = await startCell(12);
  const job = createJob(1, [{ count: 2, estimateMs: 12_000, checkpointing: true }]);
  const submitted = cell.submit(job, 'p0');
  await cell.advance(500);
  expect(await submitted).toEqual('accepted');
  const started = cell.history.find((event) => event.kind === 'started');
  const worker = cell.workers.get(started?.worker ?? '');
  if (worker === undefined) throw new Error('no run started');
  cell.publishWorker({ ...worker.entry, draining: true, leavesInMs: 5_000 });
  // The standbys read the entry, so that the successor knows it when it becomes owner.
  await cell.advance(1_200);
  cell.killProcess(cell.findOwnerName() ?? '');
  await cell.advance(3_800);
  worker.crash();
  await cell.advance(18_000);
  const lostRuns = cell.history.filter((event) => event.how === 'lost');
  expect(lostRuns).toEqual([]);
  expect(cell.listViolations()).toEqual([]);
  expect(cell.listUnfinishedJobs()).toEqual([]);
});

// Guards against starts that are delayed by the whole timeout of an append whose reply is lost.
test('the owner starts tasks within 1 s on average while replies of the store are lost', async () => {
  const cell = await startCell(12);
  cell.store.chooseFault = (_caller, kind) =>
    kind === 'append' && cell.random.next() < 0.4 ? CallFault.replyLost : CallFault.none;
  for (let number = 1; number <= 40; number += 1) {
    void cell.submit(createJob(number, [{ estimateMs: 50 }]), `p${number % 3}`);
    await cell.advance(100);
  }
  await cell.advance(3_000);
  const waits = [...cell.acceptedJobs].map((id) => {
    const started = cell.history.find((event) => event.task.startsWith(id));
    return (started?.atMs ?? Number.POSITIVE_INFINITY) - (2_000 + (parseInt(id, 16) - 1) * 100);
  });
  const meanMs = waits.reduce((sum, wait) => sum + wait, 0) / waits.length;
  expect(waits.length).toEqual(40);
  expect(meanMs < 1_000).toEqual(true);
  expect(cell.listViolations()).toEqual([]);
});

// Load pattern: a store with a round-trip time of 240 ms. Guards against an owner that waits for a read after
// each of its appends: a start needs one round trip for the job and one for the start itself.
test('the owner starts a task after two round trips to a slow store', async () => {
  const cell = await startCell(13);
  cell.store.roundTripMs = 240;
  await cell.advance(1_000);
  const sentMs = new Map<string, number>();
  for (let number = 1; number <= 30; number += 1) {
    const job = createJob(number, [{ estimateMs: 50 }]);
    sentMs.set(job.id, cell.clock.monotonicMs());
    void cell.submit(job, `p${number % 3}`);
    await cell.advance(60);
  }
  await cell.advance(3_000);
  const waits = cell.history
    .filter((event) => event.kind === 'started')
    .map((event) => event.atMs - (sentMs.get(event.task.slice(0, 16)) ?? 0));
  const meanMs = waits.reduce((sum, wait) => sum + wait, 0) / waits.length;
  console.log(`mean wait ${meanMs.toFixed(0)} ms`);
  expect(waits.length).toEqual(30);
  expect(meanMs).toBeLessThan(2 * 240 + 200);
  expect(cell.listViolations()).toEqual([]);
});

// Load pattern: the store refuses the calls of the owner and of another process at the same time (incident
// inc-14d5). Guards against refusing the clients of the other process for as long as it cannot read who
// became owner.
test('a process whose calls the store refuses together with those of the owner serves its clients after the takeover', async () => {
  const cell = await startCell(14);
  const owner = cell.findOwnerName() ?? '';
  const [refusedProcess = '', servedProcess = ''] = ['p0', 'p1', 'p2'].filter(
    (name) => name !== owner,
  );
  cell.store.chooseFault = (caller) =>
    caller === owner || caller === refusedProcess ? CallFault.refused : CallFault.none;
  await cell.advance(2_500);
  expect(cell.findOwnerName()).toEqual(servedProcess);
  const submitted = [1, 2, 3].map((number) => cell.submit(createJob(number), refusedProcess));
  await cell.advance(1_500);
  expect(await Promise.all(submitted)).toEqual(['accepted', 'accepted', 'accepted']);
  expect(cell.processes.find(({ name }) => name === refusedProcess)?.process.isReady()).toEqual(
    true,
  );
  await cell.advance(3_000);
  expect(cell.listUnfinishedJobs()).toEqual([]);
  expect(cell.listViolations()).toEqual([]);
});

// Load pattern: the store replies to all processes except the owner. Guards against a second without starts:
// the owner stays in place although it detects that it gets no replies, while other processes get replies.
test('an owner that gets no replies from the store is replaced, and an owner with a slow store is not', async () => {
  for (const seed of [40, 41, 42, 43]) {
    const cell = await startCell(seed);
    const owner = cell.findOwnerName() ?? '';
    cell.store.chooseFault = (caller) => (caller === owner ? CallFault.lost : CallFault.none);
    const sinceMs = cell.clock.monotonicMs();
    const isReplaced = (): boolean =>
      cell.processes.some(({ name, process }) => name !== owner && process.isOwner());
    while (!isReplaced() && cell.clock.monotonicMs() < sinceMs + 3_000) await cell.advance(10);
    expect(cell.clock.monotonicMs() - sinceMs).toBeLessThan(900);
    const slowCell = await startCell(seed);
    slowCell.store.roundTripMs = 240;
    const ownerBefore = slowCell.findOwnerName();
    await slowCell.advance(5_000);
    expect(slowCell.findOwnerName()).toEqual(ownerBefore);
    expect(slowCell.logLines.filter((line) => line.includes('claim-sent')).length).toBeLessThan(4);
  }
});

// Guards against starts that are delayed by a second because reads that wait for records get no reply while
// the store deletes old records.
test('the owner starts tasks while reads that wait for records get no reply', async () => {
  const cell = await startCell(13);
  cell.store.chooseFault = (_caller, kind) => (kind === 'wait' ? CallFault.lost : CallFault.none);
  const submitted = cell.submit(createJob(1), cell.findOwnerName() ?? '');
  await cell.advance(600);
  expect(await submitted).toEqual('accepted');
  expect(cell.history.some((event) => event.kind === 'started')).toEqual(true);
});

// Guards against claims that fail because clients append records: when a claim was conditional on the end of
// the log (`at`), every job that arrived in the meantime made it fail.
test('a standby takes over while clients keep submitting jobs', async () => {
  const cell = await startCell(9);
  cell.killProcess(cell.findOwnerName() ?? '');
  const killedMs = cell.clock.monotonicMs();
  const survivor = cell.processes.find(({ isUp }) => isUp)?.name ?? '';
  for (let number = 1; number <= 200; number += 1) {
    void cell.submit(createJob(number, [{ estimateMs: 50 }]), survivor);
    await cell.advance(12);
  }
  const started = cell.history.find((event) => event.kind === 'started');
  expect((started?.atMs ?? Number.POSITIVE_INFINITY) - killedMs < 2_000).toEqual(true);
});

// Load pattern: workers that leave part of their starts unanswered and execute them late. Guards against
// gangs that are stopped and restarted because of one member: with 16 members and 6 unanswered starts in 100,
// two of three runs had such a member (large site, trouble-1).
test('the owner repeats an unanswered start instead of restarting the gang', async () => {
  const cell = EmulatedCell.create({ seed: 25, processes: 3, workers: 24 });
  await cell.start();
  await cell.advance(2_000);
  for (const worker of cell.workers.values())
    worker.chooseFault = () => (cell.random.next() < 0.1 ? CallFault.late : CallFault.none);
  const jobs = Array.from({ length: 8 }, (_, index) =>
    createJob(index + 1, [{ count: 12, millicores: 1_500, estimateMs: 3_000, gang: true }]),
  );
  const submitted = jobs.map((job) => cell.submit(job, 'p0'));
  await cell.advance(6_000);
  expect((await Promise.all(submitted)).filter((answer) => answer !== 'accepted')).toEqual([]);
  const restarts = cell.history.filter(({ kind, run }) => kind === 'started' && run > 1);
  expect(restarts).toEqual([]);
  await cell.advance(6_000);
  expect(cell.listUnfinishedJobs()).toEqual([]);
  expect(cell.listViolations()).toEqual([]);
});

// Guards against a task that is placed on another worker while its unanswered start is executed late.
test('the owner places a task again only after proof that its unanswered start was not executed', async () => {
  const cell = await startCell(3);
  for (const worker of cell.workers.values()) worker.chooseFault = () => CallFault.late;
  const submitted = cell.submit(createJob(1, [{ count: 4, estimateMs: 5_000 }]), 'p0');
  await cell.advance(900);
  for (const worker of cell.workers.values()) worker.chooseFault = () => CallFault.none;
  expect(await submitted).toEqual('accepted');
  await cell.advance(20_000);
  expect(cell.listViolations()).toEqual([]);
  expect(cell.listUnfinishedJobs()).toEqual([]);
});

// Load pattern: an owner whose starts are not executed (14 of 172 jobs counted, see
// docs/incidents/mixed-grown.md). Guards against a pending count that omits the jobs whose start is recorded
// but not executed, also after a takeover.
test('a job counts as pending until a worker has started one of its tasks', async () => {
  const cell = await startCell(26);
  const setStartFault = (fault: CallFault): void => {
    for (const worker of cell.workers.values())
      worker.chooseFault = (_caller, kind) => (kind === 'start' ? fault : CallFault.none);
  };
  setStartFault(CallFault.lost);
  const submitted: Promise<string>[] = [];
  for (let number = 1; number <= 40; number += 1) {
    submitted.push(cell.submit(createJob(number), `p${number % 3}`));
    await cell.advance(50);
  }
  for (let elapsedMs = 0; elapsedMs < 8_000; elapsedMs += 200) {
    if (elapsedMs === 4_000) cell.killProcess(cell.findOwnerName() ?? '');
    await cell.advance(200);
    cell.checkPendingCounts();
  }
  expect((await Promise.all(submitted)).filter((answer) => answer !== 'accepted')).toEqual([]);
  expect(cell.listViolations()).toEqual([]);
  setStartFault(CallFault.none);
  await cell.advance(10_000);
  const survivor = cell.processes.find(({ isUp }) => isUp);
  expect(await survivor?.process.front.pendingOf('q')).toEqual(0);
  expect(cell.listUnfinishedJobs()).toEqual([]);
});

// Load pattern: a store so slow that each start is too old to be sent when its record is appended. Guards
// against jobs that are shown as running, and not counted as pending, although none of their tasks runs.
test('a job is shown as queued while its recorded starts are too old to be sent', async () => {
  const cell = await startCell(27);
  cell.store.roundTripMs = 1_000;
  const submitted = cell.submit(createJob(1), 'p0');
  await cell.advance(6_000);
  expect(await submitted).toEqual('accepted');
  cell.checkPendingCounts();
  await cell.advance(400);
  expect(cell.history.filter(({ kind }) => kind === 'started')).toEqual([]);
  expect(cell.listViolations()).toEqual([]);
  expect(cell.processes[0]?.process.jobStateOf(createJob(1).id)).toEqual('queued');
});

// Load pattern: a process that can still append, but can neither read the log nor reach other processes
// (see docs/incidents/mixed-grown.md). Guards against a pending count from before it was disconnected, which
// omits the jobs that were accepted since, among them its own.
test('a process that cannot read the log or reach its peers reports no stale pending count', async () => {
  for (const start of [startCell, startLargeCell]) {
    const cell = await start(28);
    for (const worker of cell.workers.values())
      worker.chooseFault = (_caller, kind) => (kind === 'start' ? CallFault.lost : CallFault.none);
    const owner = cell.findOwnerName();
    const disconnected = cell.processes.filter(({ name }) => name !== owner).at(-1)?.name ?? '';
    cell.peers.chooseFault = (from, to) =>
      from === disconnected || to === disconnected ? CallFault.lost : CallFault.none;
    cell.store.chooseFault = (caller, kind) =>
      caller === disconnected && kind !== 'append' ? CallFault.lost : CallFault.none;
    for (let number = 1; number <= 60; number += 1) {
      void cell.submit(createJob(number), disconnected);
      void cell.submit(createJob(100 + number), owner ?? '');
      await cell.advance(100);
      cell.checkPendingCounts();
    }
    await cell.advance(2_000);
    cell.checkPendingCounts();
    await cell.advance(400);
    expect(cell.listViolations()).toEqual([]);
    cell.peers.chooseFault = () => CallFault.none;
    cell.store.chooseFault = () => CallFault.none;
    await cell.advance(1_000);
    const process = cell.processes.find(({ name }) => name === disconnected)?.process;
    expect(await process?.front.pendingOf('q')).toEqual(cell.acceptedJobs.size);
  }
});

// Guards against accepted jobs that are lost because only the replaced processes had them in their state.
test('accepted jobs survive when all processes are killed', async () => {
  const cell = await startCell(4);
  const submitted = cell.submit(createJob(1, [{ count: 20, estimateMs: 3_000 }]), 'p0');
  await cell.advance(7_000);
  expect(await submitted).toEqual('accepted');
  for (const { name } of cell.processes) cell.killProcess(name);
  await cell.advance(1_000);
  cell.store.expireTopics(cell.clock.monotonicMs() - 8_000);
  for (const { name } of [...cell.processes]) await cell.startProcess(name);
  await cell.advance(SETTLE_MS);
  expect(cell.listViolations()).toEqual([]);
  expect(cell.listUnfinishedJobs()).toEqual([]);
});

// Guards against a cell that never starts again because another writer has damaged the snapshot while no process
// runs that could write the next one.
test('accepted jobs survive when all processes are killed and the head of the snapshot is damaged', async () => {
  const cell = await startCell(6);
  const submitted = cell.submit(createJob(1, [{ count: 20, estimateMs: 3_000 }]), 'p0');
  await cell.advance(10_000);
  expect(await submitted).toEqual('accepted');
  for (const { name } of cell.processes) cell.killProcess(name);
  cell.store.writeKey('keyed.cell', 'head', Buffer.from([0xc1]));
  await cell.advance(1_000);
  for (const { name } of [...cell.processes]) await cell.startProcess(name);
  await cell.advance(SETTLE_MS);
  expect(cell.processes.map(({ process }) => process.isReady())).toEqual([true, true, true]);
  expect(cell.listViolations()).toEqual([]);
  expect(cell.listUnfinishedJobs()).toEqual([]);
});

// Guards against a cancel that is acknowledged and then lost with the owner.
test('a successor starts no task of a job that was cancelled before the owner was killed', async () => {
  const cell = await startCell(5);
  const job = createJob(1, [{ count: 60, millicores: 4_000, estimateMs: 1_000 }]);
  const submitted = cell.submit(job, 'p0');
  await cell.advance(1_500);
  expect(await submitted).toEqual('accepted');
  const cancelled = cell.cancel(job.id, 'p1');
  await cell.advance(20);
  cell.killProcess(cell.findOwnerName() ?? '');
  await cell.advance(15_000);
  expect(await cancelled).toEqual(true);
  expect(cell.listViolations()).toEqual([]);
  expect(cell.processes.find(({ isUp }) => isUp)?.process.jobStateOf(job.id)).toEqual('cancelled');
});

// Guards against a job that never ends because its failing tasks are started again without a limit.
test('a job whose tasks keep failing fails after its last attempt', async () => {
  const cell = await startCell(6);
  const job = createJob(1, [{ count: 3, gang: true }], { payload: 'fails', maxAttempts: 2 });
  const submitted = cell.submit(job, 'p0');
  await cell.advance(4_000);
  expect(await submitted).toEqual('accepted');
  expect(cell.processes[0]?.process.jobStateOf(job.id)).toEqual('failed');
  expect(cell.listViolations()).toEqual([]);
});

/** Starts a cell in which the owner and two standbys hold replicas, and five processes do not. */
async function startLargeCell(seed: number): Promise<EmulatedCell> {
  const cell = EmulatedCell.create({
    seed,
    processes: 8,
    workers: 4,
    replicas: { maxSmallCellSize: 3, standbys: 2 },
  });
  await cell.start();
  await cell.advance(7_000);
  return cell;
}

/** Returns the names of the running processes that hold no replica. */
function listProcessesWithoutReplica(cell: EmulatedCell): string[] {
  return cell.processes
    .filter(({ isUp, process }) => isUp && !process.holdsReplica())
    .map(({ name }) => name);
}

/** Returns the outcome of a job as a process reports it to clients. */
async function readOutcomeAt(cell: EmulatedCell, name: string, id: string): Promise<unknown> {
  const target = cell.processes.find((candidate) => candidate.name === name);
  const outcome = target?.process.front.jobStateOf(id);
  await cell.advance(1_500);
  const result = await outcome;
  if (result === undefined) return undefined;
  return result.isOk ? result.value : result.error.kind;
}

// Load pattern: a hundred processes. Guards against a replica of the log in each of them, and against worse
// service for the clients of a process without one.
test('a process without a replica serves its clients', async () => {
  const cell = await startLargeCell(30);
  const withoutReplica = listProcessesWithoutReplica(cell);
  expect(withoutReplica.length).toEqual(5);
  const [first = '', second = ''] = withoutReplica;
  const job = createJob(1, [{ estimateMs: 2_000 }]);
  const submitted = cell.submit(job, first);
  await cell.advance(200);
  expect(await submitted).toEqual('accepted');
  expect(await readOutcomeAt(cell, second, job.id)).toEqual('running');
  await cell.advance(2_000);
  expect(await readOutcomeAt(cell, first, job.id)).toEqual('completed');
  expect(await readOutcomeAt(cell, second, createJob(9).id)).toEqual('unknown-job');
  const cancelled = createJob(2, [{ estimateMs: 9_000 }]);
  const submittedSecond = cell.submit(cancelled, second);
  await cell.advance(200);
  expect(await submittedSecond).toEqual('accepted');
  const cancel = cell.cancel(cancelled.id, first);
  await cell.advance(500);
  expect(await cancel).toEqual(true);
  expect(await readOutcomeAt(cell, second, cancelled.id)).toEqual('cancelled');
  expect(cell.listViolations()).toEqual([]);
});

// Guards against a cell that no process can own because the owner and all standbys were killed together.
test('a process without a replica takes over after all replicas are lost', async () => {
  const cell = await startLargeCell(31);
  const withoutReplica = listProcessesWithoutReplica(cell);
  const submitted = cell.submit(
    createJob(1, [{ count: 6, estimateMs: 6_000 }]),
    withoutReplica[0] ?? '',
  );
  await cell.advance(600);
  expect(await submitted).toEqual('accepted');
  for (const { name } of cell.processes) if (!withoutReplica.includes(name)) cell.killProcess(name);
  const killedMs = cell.clock.monotonicMs();
  while (cell.findOwnerName() === undefined && cell.clock.monotonicMs() < killedMs + 10_000)
    await cell.advance(50);
  expect(cell.clock.monotonicMs() - killedMs).toBeLessThan(4_000);
  await cell.advance(9_000);
  expect(cell.listViolations()).toEqual([]);
  expect(cell.listUnfinishedJobs()).toEqual([]);
  expect(cell.history.filter((event) => event.kind === 'started').length).toEqual(6);
  expect(listProcessesWithoutReplica(cell).length).toEqual(2);
});

// Guards against refusing the clients of a process without a replica while it looks for the new owner.
test('processes without a replica accept jobs during a takeover', async () => {
  const cell = await startLargeCell(32);
  const withoutReplica = listProcessesWithoutReplica(cell);
  cell.killProcess(cell.findOwnerName() ?? '');
  const submitted: Promise<string>[] = [];
  for (let number = 1; number <= 20; number += 1) {
    submitted.push(
      cell.submit(createJob(number), withoutReplica[number % withoutReplica.length] ?? ''),
    );
    await cell.advance(100);
  }
  await cell.advance(3_000);
  expect((await Promise.all(submitted)).filter((answer) => answer !== 'accepted')).toEqual([]);
  await cell.advance(3_000);
  expect(cell.listUnfinishedJobs()).toEqual([]);
  expect(cell.listViolations()).toEqual([]);
});

// Guards against a process that replaces the owner or builds a replica when it joins a large cell, or that
// never becomes ready.
test('a process that joins a running large cell becomes ready without a replica, and the owner stays', async () => {
  const cell = await startLargeCell(33);
  const owner = cell.findOwnerName();
  const [name = ''] = listProcessesWithoutReplica(cell);
  cell.killProcess(name);
  await cell.advance(500);
  await cell.startProcess(name);
  await cell.advance(600);
  expect(cell.processes.find((candidate) => candidate.name === name)?.process.isReady()).toEqual(
    true,
  );
  await cell.advance(4_000);
  expect(cell.findOwnerName()).toEqual(owner);
  expect(listProcessesWithoutReplica(cell).length).toEqual(5);
});

// Guards against two processes that act as owner: when a paused owner is replaced, its successor must adopt
// the runs, and calls that the predecessor makes after it resumes must have no effect.
test('a paused or suspended owner is replaced without a second run or a stop', async () => {
  for (const interrupt of ['pause', 'suspend'] as const) {
    const cell = await startCell(50);
    const owner = cell.findOwnerName() ?? '';
    const submitted = cell.submit(createJob(1, [{ count: 8, estimateMs: 6_000 }]), owner);
    await cell.advance(500);
    expect(await submitted).toEqual('accepted');
    cell[interrupt](owner);
    await cell.advance(3_000);
    expect(cell.findOwnerName()).not.toEqual(owner);
    await cell.resume(owner);
    await cell.advance(9_000);
    expect(cell.processes.filter(({ process }) => process.isOwner()).length).toEqual(1);
    expect(cell.orders.filter(({ kind }) => kind === 'stop')).toEqual([]);
    expect(cell.history.filter(({ kind }) => kind === 'started').length).toEqual(8);
    expect(cell.listViolations()).toEqual([]);
    expect(cell.listUnfinishedJobs()).toEqual([]);
  }
});

// Guards against lost work in a data centre that is unreachable for a short time: its runs must continue
// there, and must be neither treated as lost nor started elsewhere.
test('the runs of a data centre continue while it is unreachable for 5 s', async () => {
  for (const targetIndex of [0, 1, 2]) {
    const cell = await startCell(51);
    const submitted = cell.submit(createJob(1, [{ count: 16, estimateMs: 9_000 }]), 'p0');
    await cell.advance(500);
    expect(await submitted).toEqual('accepted');
    const owner = cell.findOwnerName();
    const endFault = injectFault(cell, {
      atMs: 0,
      durationMs: 0,
      kind: 'data-centre-unreachable',
      targetIndex,
    });
    await cell.advance(5_000);
    const isOwnerDisconnected = owner === `p${targetIndex}`;
    expect(cell.findOwnerName() === owner || isOwnerDisconnected).toEqual(true);
    expect(cell.logLines.some((line) => line.includes('worker-unreachable'))).toEqual(true);
    await endFault();
    await cell.advance(12_000);
    expect(cell.history.filter(({ kind }) => kind === 'started').length).toEqual(16);
    expect(cell.history.filter(({ how }) => how !== undefined && how !== 'done')).toEqual([]);
    expect(cell.listViolations()).toEqual([]);
    expect(cell.listUnfinishedJobs()).toEqual([]);
  }
});

// Guards against a client that is told that its job is refused although the job runs: the relayed record of
// the job is stored, and only the reply is lost.
test('a process never refuses a job whose relayed record may be stored', async () => {
  const cell = await startLargeCell(52);
  const [withoutReplica = ''] = listProcessesWithoutReplica(cell);
  cell.store.chooseFault = (caller) =>
    caller === withoutReplica ? CallFault.refused : CallFault.none;
  cell.peers.chooseFault = (_caller, _callee, type) =>
    type === 'relay-record' ? CallFault.replyLost : CallFault.none;
  const submitted = [1, 2, 3].map((number) => cell.submit(createJob(number), withoutReplica));
  await cell.advance(4_000);
  expect(await Promise.all(submitted)).toEqual(['unknown', 'unknown', 'unknown']);
  expect(cell.history.filter(({ kind }) => kind === 'started').length).toEqual(3);
  expect(cell.listViolations()).toEqual([]);
});

// Guards against a process that replaces a working owner because it cannot reach its peers itself.
test('the owner stays while one process cannot reach its peers but reaches the store', async () => {
  for (const kind of [
    'peer-calls-lost',
    'peer-calls-lost-inward',
    'peer-calls-lost-outward',
  ] as const)
    for (const targetIndex of [0, 1, 2]) {
      const cell = await startCell(53);
      const owner = cell.findOwnerName();
      const endFault = injectFault(cell, { atMs: 0, durationMs: 0, kind, targetIndex });
      const submitted = [1, 2, 3].map((number) =>
        cell.submit(createJob(number), `p${targetIndex}`),
      );
      await cell.advance(3_000);
      expect(await Promise.all(submitted)).toEqual(['accepted', 'accepted', 'accepted']);
      await cell.advance(3_000);
      expect(cell.findOwnerName()).toEqual(owner);
      await endFault();
      await cell.advance(2_000);
      expect(cell.listViolations()).toEqual([]);
      expect(cell.listUnfinishedJobs()).toEqual([]);
    }
});

// Guards against advised jobs that never start: the owner leaves advice requests to other processes, which
// report to it, but its calls to them are lost (large cell, seed 17 of the random schedules). The owner must
// then request the advice itself.
test('the owner starts advised jobs while advice requests through other processes are lost', async () => {
  for (const start of [startCell, startLargeCell]) {
    const cell = await start(54);
    cell.peers.chooseFault = (_caller, _callee, type) =>
      type === 'advise' ? CallFault.lost : CallFault.none;
    const jobs = [1, 2, 3].map((number) => createJob(number, [{ count: 3 }], { advised: true }));
    const submitted = jobs.map((job) => cell.submit(job, 'p0'));
    await cell.advance(4_000);
    expect(await Promise.all(submitted)).toEqual(['accepted', 'accepted', 'accepted']);
    expect(cell.listUnfinishedJobs()).toEqual([]);
    expect(cell.listViolations()).toEqual([]);
  }
});

// Guards against an owner that is replaced while it is paused and, after it resumes, still acts as owner: it
// must send no starts that it had decided before or that got no reply, and no stops of runs whose current
// state it does not have. The successor cannot reach the workers yet, so that they would accept these calls.
for (const interrupt of ['pause', 'suspend'] as const)
  test(`a predecessor sends no start or stop after a ${interrupt} in which it was replaced`, async () => {
    for (const seed of [61, 65, 67, 75]) {
      const cell = await startCell(seed);
      const owner = cell.findOwnerName() ?? '';
      for (const worker of cell.workers.values())
        worker.chooseFault = (_caller, kind) =>
          kind === 'start' && cell.random.next() < 0.5 ? CallFault.lost : CallFault.none;
      cell.store.roundTripMs = 40;
      for (let number = 1; number <= 10; number += 1) {
        // Runs of 120 ms, so that replies to hold calls contain run ends soon after the pause begins.
        void cell.submit(createJob(number, [{ count: 2, estimateMs: 120 }]), owner);
        await cell.advance(10 + seed - 60);
      }
      cell.isDisconnected = (name) => name !== owner;
      cell[interrupt](owner);
      await cell.advance(2_500);
      expect(cell.findOwnerName()).not.toEqual(owner);
      const orderCountBefore = cell.orders.length;
      await cell.resume(owner);
      await cell.advance(2_000);
      const orders = cell.orders.slice(orderCountBefore);
      expect(orders.filter(({ process }) => process === owner)).toEqual([]);
      cell.isDisconnected = () => false;
      for (const worker of cell.workers.values()) worker.chooseFault = () => CallFault.none;
      await cell.advance(10_000);
      expect(cell.listViolations()).toEqual([]);
      expect(cell.listUnfinishedJobs()).toEqual([]);
    }
  });

// Guards against restarted processes that use a removed worker or an older configuration because the snapshot
// and the log still contain both.
test('restarted processes use no worker that has left and no older configuration', async () => {
  const cell = await startCell(55);
  const submitted = cell.submit(createJob(1, [{ count: 16, estimateMs: 20_000 }]), 'p0');
  await cell.advance(5_000);
  expect(await submitted).toEqual('accepted');
  expect(cell.orders.some(({ worker }) => worker === 'w1')).toEqual(true);
  cell.workers.get('w1')?.crash();
  cell.removeWorkerEntry('w1');
  cell.writeConfiguration(2);
  await cell.advance(500);
  for (const { name } of cell.processes) cell.killProcess(name);
  cell.store.expireTopics(cell.clock.monotonicMs());
  const orderCountBefore = cell.orders.length;
  for (const { name } of [...cell.processes]) await cell.startProcess(name);
  await cell.advance(SETTLE_MS);
  expect(cell.orders.slice(orderCountBefore).filter(({ worker }) => worker === 'w1')).toEqual([]);
  expect(cell.processes.map(({ process }) => process.configuration?.version)).toEqual([2, 2, 2]);
  expect(cell.listViolations()).toEqual([]);
  expect(cell.listUnfinishedJobs()).toEqual([]);
});

// Guards against a replaced owner or lost runs when the wall clock jumps: the ages of decisions and of
// acknowledged appends are measured with it as well as with the monotonic clock.
test('the owner stays and its runs continue while its wall clock jumps', async () => {
  const cell = await startCell(56);
  const owner = cell.findOwnerName() ?? '';
  for (let number = 1; number <= 40; number += 1) {
    void cell.submit(createJob(number, [{ count: 2, estimateMs: 1_000 }]), `p${number % 3}`);
    if (number % 5 === 0) cell.jumpWall(owner, number % 2 === 0 ? 9_000 : -9_000);
    await cell.advance(100);
  }
  await cell.advance(10_000);
  expect(cell.findOwnerName()).toEqual(owner);
  expect(cell.history.filter(({ kind }) => kind === 'started').length).toEqual(80);
  expect(cell.history.filter(({ how }) => how !== undefined && how !== 'done')).toEqual([]);
  expect(cell.acceptedJobs.size).toEqual(40);
  expect(cell.listViolations()).toEqual([]);
  expect(cell.listUnfinishedJobs()).toEqual([]);
});

const anyFault = fc.record<ScheduleFault>({
  atMs: fc.integer({ min: 0, max: 12_000 }),
  durationMs: fc.integer({ min: 200, max: 6_000 }),
  kind: fc.constantFrom(...faultKinds),
  targetIndex: fc.integer({ min: 0, max: 3 }),
});

/** Runs a schedule; returns and prints its violations and unfinished jobs. */
async function runAndPrint(
  seed: number,
  faults: readonly ScheduleFault[],
  start: (seed: number) => Promise<EmulatedCell> = startCell,
): Promise<string[]> {
  const { cell, problems } = await runSchedule(await start(seed), faults);
  if (problems.length > 0) {
    if (process.env.CELL_LINES !== undefined) console.log(cell.logLines.join('\n'));
    console.log(`seed ${seed}: ${problems.join('; ')}`);
  }
  return problems;
}

// Guards against tasks that are lost, run twice or start before their dependencies because of any sequence of
// faults. fast-check prints the seed and the shortest failing schedule. The default number of runs takes
// seconds, so that CI stays short.
test('a cell keeps its guarantees under random faults', async () => {
  const runs = Number(process.env.CELL_RUNS ?? 12);
  const seed = Number(process.env.CELL_SEED ?? 20261204);
  await fc.assert(
    fc.asyncProperty(
      fc.integer({ min: 1, max: 1_000_000 }),
      fc.array(anyFault, { maxLength: 4 }),
      async (cellSeed, faults) => {
        expect(await runAndPrint(cellSeed, faults)).toEqual([]);
      },
    ),
    { numRuns: runs, seed, endOnFailure: true },
  );
});

// Guards against an emulated worker that runs on beside its next incarnation, which no real worker does: the checks
// report tasks that run twice although the cell is right.
test('a worker that two overlapping faults restart has one incarnation at a time', async () => {
  const faults: ScheduleFault[] = [
    { atMs: 8_042, durationMs: 5_996, kind: 'store-refuses', targetIndex: 2 },
    { atMs: 10, durationMs: 2_346, kind: 'peer-calls-lost', targetIndex: 0 },
    { atMs: 8_303, durationMs: 5_426, kind: 'worker-crash', targetIndex: 0 },
    { atMs: 12_000, durationMs: 3_487, kind: 'worker-crash', targetIndex: 0 },
  ];
  expect(await runAndPrint(4, faults, startLargeCell)).toEqual([]);
});

// Guards against the same failures in a large cell, in which most processes hold no replica.
test('a cell without replicas in most processes keeps its guarantees under random faults', async () => {
  const runs = Number(process.env.CELL_RUNS ?? 6);
  const seed = Number(process.env.CELL_SEED ?? 20261204);
  await fc.assert(
    fc.asyncProperty(
      fc.integer({ min: 1, max: 1_000_000 }),
      fc.array(anyFault, { maxLength: 4 }),
      async (cellSeed, faults) => {
        expect(await runAndPrint(cellSeed, faults, startLargeCell)).toEqual([]);
      },
    ),
    { numRuns: runs, seed, endOnFailure: true },
  );
});
