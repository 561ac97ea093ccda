import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { CallFault } from './call-fault.js';
import { EmulatedCell } from './index.js';
import { faultKinds } from './fault-kinds.js';
import { makeJob } from './make-job.js';
import { runSchedule } from './run-schedule.js';
import type { ScheduleFault } from './schedule-fault.js';
import { injectFault } from './inject-fault.js';

/** Room for the take-over, the longest lease and late orders after the last fault. */
const SETTLE_MS = 40_000;

async function startCell(seed: number): Promise<EmulatedCell> {
  const cell = EmulatedCell.create({ seed, processes: 3, workers: 4 });
  await cell.start();
  await cell.advance(2_000);
  return cell;
}

// Guards against a path that breaks without any fault: accept, advise, start, end, show.
test('runs steps in order and gangs whole', async () => {
  const cell = await startCell(1);
  const job = makeJob(1, [{ count: 3 }, { count: 4, millicores: 4_000, gang: true, after: [0] }], {
    advised: true,
  });
  expect(await Promise.race([cell.submit(job, 'p0'), cell.advance(500)])).toEqual('accepted');
  await cell.advance(3_000);
  expect(cell.listViolations()).toEqual([]);
  expect(cell.listUnfinishedJobs()).toEqual([]);
});

// Guards against a successor that runs a task again which still runs for its predecessor.
test('goes on after the death of the owner without a second run', async () => {
  const cell = await startCell(2);
  const submitted = cell.submit(makeJob(1, [{ count: 6, estimateMs: 6_000 }]), 'p0');
  await cell.advance(600);
  expect(await submitted).toEqual('accepted');
  cell.killProcess(cell.findOwnerName() ?? '');
  await cell.advance(9_000);
  expect(cell.listViolations()).toEqual([]);
  expect(cell.listUnfinishedJobs()).toEqual([]);
  expect(cell.history.filter((event) => event.kind === 'started').length).toEqual(6);
});

// Load pattern: unlike machines. Guards against a cell that is owned by a machine too small for it,
// at the start and after a take-over while the larger ones were away.
test('is owned by a large machine as soon as one is there', async () => {
  const cores = { p0: 0.3, p1: 0.3, p2: 1.3 };
  const cell = EmulatedCell.create({ seed: 21, processes: 3, workers: 4, cores });
  await cell.start();
  await cell.advance(8_000);
  expect(cell.findOwnerName()).toEqual('p2');
  cell.killProcess('p2');
  await cell.advance(3_000);
  const small = cell.findOwnerName();
  expect(small === 'p0' || small === 'p1').toEqual(true);
  const submitted = cell.submit(makeJob(1, [{ count: 4, estimateMs: 6_000 }]), small ?? '');
  await cell.advance(500);
  expect(await submitted).toEqual('accepted');
  await cell.startProcess('p2');
  await cell.advance(10_000);
  expect(cell.findOwnerName()).toEqual('p2');
  expect(cell.listViolations()).toEqual([]);
  expect(cell.listUnfinishedJobs()).toEqual([]);
  expect(cell.history.filter((event) => event.kind === 'started').length).toEqual(4);
});

// Load pattern: tasks that fill beside tasks that serve. Guards against a serving task that stays over
// its target for 4 s because of its neighbours, also after a take-over, whose successor does not know
// what was ordered.
test('paces what fills beside a serving task, and goes on after a take-over', async () => {
  const cell = EmulatedCell.create({ seed: 22, processes: 3, workers: 1 });
  await cell.start();
  await cell.advance(2_000);
  const serving = makeJob(1, [{ longRunning: true, tailTargetMs: 100, estimateMs: 600_000 }]);
  const filler = makeJob(2, [{ count: 2, usesSpareCpu: true, estimateMs: 600_000 }]);
  const submitted = [cell.submit(serving, 'p0'), cell.submit(filler, 'p1')];
  await cell.advance(1_000);
  expect(await Promise.all(submitted)).toEqual(['accepted', 'accepted']);
  const [worker] = cell.workers.values();
  let overMs = 0;
  let longestOverMs = 0;
  for (let passed = 0; passed < 30_000; passed += 100) {
    if (passed === 15_000) cell.killProcess(cell.findOwnerName() ?? '');
    await cell.advance(100);
    overMs = (worker?.computeTailMs() ?? 0) > 100 ? overMs + 100 : 0;
    longestOverMs = Math.max(longestOverMs, overMs);
  }
  expect(longestOverMs).toBeLessThan(4_000);
  expect(cell.listViolations()).toEqual([]);
  const stopped = cell.history.filter((event) => event.how === 'stopped');
  expect(stopped).toEqual([]);
});

// Load pattern: a burst at an owner whose machine takes 4 ms for a call (a twelfth of a core). Guards
// against more starts than it can send in time: most of them went unanswered, and finding out what became
// of each took more calls than the starts (large site at a small size, quiet-1).
test('starts no more at once than its machine can send', async () => {
  const callCostMs = { p0: 4, p1: 4, p2: 4 };
  const cell = EmulatedCell.create({ seed: 23, processes: 3, workers: 24, callCostMs });
  await cell.start();
  await cell.advance(2_000);
  const job = makeJob(1, [{ count: 160, millicores: 1_000, estimateMs: 1_500 }]);
  const submitted = cell.submit(job, 'p0');
  await cell.advance(6_000);
  expect(await submitted).toEqual('accepted');
  expect(cell.logLines.filter((line) => line.includes('start-not-answered'))).toEqual([]);
  expect(cell.history.filter((event) => event.kind === 'started').length).toEqual(160);
  expect(cell.listUnfinishedJobs()).toEqual([]);
  expect(cell.listViolations()).toEqual([]);
});

// Load pattern: an owner whose renewals wait behind hundreds of calls. Guards against taking a slow owner
// for a dead one: its successor is as slow, and begins by calling all workers (large site at a small size,
// seven owners within 9 s).
test('leaves the cell to a slow owner that answers other processes', async () => {
  const callCostMs = { p0: 36, p1: 36, p2: 36 };
  const cell = EmulatedCell.create({ seed: 24, processes: 3, workers: 24, callCostMs });
  await cell.start();
  await cell.advance(15_000);
  expect(cell.logLines.filter((line) => line.includes('owner-started')).length).toEqual(1);
});

// Guards against a slow take-over: the target is a lease (3 s) and 1 s from the death to the next start.
test('starts work again soon after the death of the owner', async () => {
  const cell = await startCell(8);
  cell.killProcess(cell.findOwnerName() ?? '');
  const killedMs = cell.clock.monotonicMs();
  const survivor = cell.processes.find(({ isUp }) => isUp)?.name ?? '';
  const submitted = cell.submit(makeJob(1), survivor);
  await cell.advance(4_000);
  expect(await submitted).toEqual('accepted');
  const started = cell.history.find((event) => event.kind === 'started');
  expect((started?.atMs ?? Number.POSITIVE_INFINITY) - killedMs < 4_000).toEqual(true);
});

// Guards against work that waits for ever on a worker that never comes back: each hold call to it
// promised a new lease, so that its leases were never over.
test('gives up the work of a worker that is lost for good', async () => {
  const cell = await startCell(10);
  const submitted = cell.submit(makeJob(1, [{ count: 4, estimateMs: 2_000 }]), 'p0');
  await cell.advance(500);
  expect(await submitted).toEqual('accepted');
  const worker = cell.history.find((event) => event.kind === 'started')?.worker ?? '';
  cell.workers.get(worker)?.crash();
  await cell.advance(15_000);
  expect(cell.listViolations()).toEqual([]);
  expect(cell.listUnfinishedJobs()).toEqual([]);
});

// Load pattern: workers that restart under their id around a hand-over. Guards against a successor that
// takes a run on the new life of a worker for one on the old life, which it still knows, and starts it
// again beside the first.
test('keeps what runs on the new life of a worker through a hand-over', async () => {
  for (const seed of [50, 51, 52, 53, 54, 55]) {
    const cell = await startCell(seed);
    cell.workers.get('w0')?.crash();
    await cell.advance(1_500 + 150 * (seed - 50));
    cell.addWorker('w0');
    const job = makeJob(1, [{ count: 4, millicores: 8_000, estimateMs: 6_000 }]);
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

// Load pattern: a slow store, so that many starts are decided and not recorded yet when their worker
// restarts. Guards against a start that is recorded for the old life and sent to the new one: a successor
// that knows the old life takes the run for over.
test('sends no start to another life of a worker than the one it is recorded for', async () => {
  for (const leadMs of [720, 760, 800, 840]) {
    const cell = EmulatedCell.create({ seed: 50, processes: 3, workers: 1 });
    await cell.start();
    await cell.advance(4_000);
    cell.store.roundTripMs = 150;
    await cell.advance(800);
    let number = 0;
    const submitFor = async (ms: number): Promise<void> => {
      for (let passed = 0; passed < ms; passed += 20) {
        number += 1;
        const job = makeJob(number, [{ millicores: 50, estimateMs: 6_000 }]);
        void cell.submit(job, 'p0');
        await cell.advance(20);
      }
    };
    await submitFor(leadMs);
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

// Load pattern: orders that workers carry out without an answer. Guards against jobs that count as waiting
// although the lists of the workers show that they run.
test('learns from the lists of the workers which jobs have begun', async () => {
  const cell = await startCell(56);
  for (const worker of cell.workers.values())
    worker.chooseFault = (_caller, kind) =>
      kind === 'start' ? CallFault.answerLost : CallFault.none;
  const jobs = Array.from({ length: 8 }, (_, index) =>
    makeJob(index + 1, [{ millicores: 1_000, estimateMs: 20_000 }]),
  );
  const submitted = jobs.map((job) => cell.submit(job, 'p0'));
  await cell.advance(5_000);
  expect((await Promise.all(submitted)).filter((answer) => answer !== 'accepted')).toEqual([]);
  const [first] = cell.processes;
  expect(await first?.process.front.pendingOf('q')).toEqual(0);
  expect(jobs.map(({ id }) => first?.process.outcomeOf(id))).toEqual(jobs.map(() => 'running'));
  expect(cell.listViolations()).toEqual([]);
});

// Guards against the run of a cancelled job on the new life of a worker being taken for over by a successor
// that knows the old life: the room that it still takes would be given away.
test('keeps the room of a cancelled job on the new life of a worker through a hand-over', async () => {
  for (const seed of [57, 58, 59]) {
    const cell = await startCell(seed);
    for (const worker of [...cell.workers.values()]) if (worker.entry.id !== 'w0') worker.crash();
    cell.workers.get('w0')?.crash();
    await cell.advance(1_000 + 150 * (seed - 57));
    const worker = cell.addWorker('w0');
    worker.chooseFault = (_caller, kind) => (kind === 'stop' ? CallFault.lost : CallFault.none);
    const first = makeJob(1, [{ millicores: 8_000, estimateMs: 5_000 }]);
    void cell.submit(first, 'p0');
    while (cell.history.length === 0 && cell.clock.monotonicMs() < 9_000) await cell.advance(10);
    const cancelled = cell.cancel(first.id, 'p1');
    await cell.advance(60);
    const owner = cell.processes.find(({ process }) => process.isOwner());
    const second = cell.submit(makeJob(2, [{ millicores: 8_000, estimateMs: 500 }]), 'p1');
    await Promise.all([owner?.process.handOver(), cell.advance(1_500)]);
    expect(await cancelled).toEqual(true);
    expect(await second).toEqual('accepted');
    await cell.advance(8_000);
    expect(cell.listViolations()).toEqual([]);
  }
});

// Guards against work that is thrown away when a worker leaves, though it could resume elsewhere.
test('stops resumable work before its worker leaves', async () => {
  const cell = await startCell(11);
  const job = makeJob(1, [{ count: 2, estimateMs: 9_000, checkpointing: true }]);
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
  const thrownAway = cell.history.filter((event) => event.how === 'lost');
  expect(thrownAway).toEqual([]);
  expect(cell.listViolations()).toEqual([]);
  expect(cell.listUnfinishedJobs()).toEqual([]);
});

// Guards against decisions that stall for the whole time limit of an append whose answer is lost.
test('goes on quickly while answers of the store are lost', async () => {
  const cell = await startCell(12);
  cell.store.chooseFault = (_caller, kind) =>
    kind === 'append' && cell.random.next() < 0.4 ? CallFault.answerLost : CallFault.none;
  for (let number = 1; number <= 40; number += 1) {
    void cell.submit(makeJob(number, [{ estimateMs: 50 }]), `p${number % 3}`);
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

// Load pattern: a store whose answers take 240 ms. Guards against an owner that waits for a read after
// each append of its own: a start needs one answer for the job and one for itself.
test('starts work after two answers of a slow store', async () => {
  const cell = await startCell(13);
  cell.store.roundTripMs = 240;
  await cell.advance(1_000);
  const sentMs = new Map<string, number>();
  for (let number = 1; number <= 30; number += 1) {
    const job = makeJob(number, [{ estimateMs: 50 }]);
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

// Load pattern: the store turns away the owner and another process together (incident inc-14d5). Guards
// against clients of the other one that are refused for as long as it cannot read who took over.
test('serves clients of a process that the store turns away together with the owner', async () => {
  const cell = await startCell(14);
  const owner = cell.findOwnerName() ?? '';
  const [other = '', third = ''] = ['p0', 'p1', 'p2'].filter((name) => name !== owner);
  cell.store.chooseFault = (caller) =>
    caller === owner || caller === other ? CallFault.refused : CallFault.none;
  await cell.advance(2_500);
  expect(cell.findOwnerName()).toEqual(third);
  const submitted = [1, 2, 3].map((number) => cell.submit(makeJob(number), other));
  await cell.advance(1_500);
  expect(await Promise.all(submitted)).toEqual(['accepted', 'accepted', 'accepted']);
  expect(cell.processes.find(({ name }) => name === other)?.process.isReady()).toEqual(true);
  await cell.advance(3_000);
  expect(cell.listUnfinishedJobs()).toEqual([]);
  expect(cell.listViolations()).toEqual([]);
});

// Load pattern: the store turns away the owner only. Guards against a second without starts in which the
// owner knows that the store does not answer it, and others know that it answers them.
test('replaces an owner that the store turns away, and not one of a slow store', async () => {
  for (const seed of [40, 41, 42, 43]) {
    const cell = await startCell(seed);
    const owner = cell.findOwnerName() ?? '';
    cell.store.chooseFault = (caller) => (caller === owner ? CallFault.lost : CallFault.none);
    const sinceMs = cell.clock.monotonicMs();
    const isReplaced = (): boolean =>
      cell.processes.some(({ name, process }) => name !== owner && process.isOwner());
    while (!isReplaced() && cell.clock.monotonicMs() < sinceMs + 3_000) await cell.advance(10);
    expect(cell.clock.monotonicMs() - sinceMs).toBeLessThan(900);
    const slow = await startCell(seed);
    slow.store.roundTripMs = 240;
    const before = slow.findOwnerName();
    await slow.advance(5_000);
    expect(slow.findOwnerName()).toEqual(before);
    expect(slow.logLines.filter((line) => line.includes('claim-sent')).length).toBeLessThan(4);
  }
});

// Guards against starts that stall for a second while waiting reads hear nothing (dropped history).
test('goes on while waiting reads hear nothing', async () => {
  const cell = await startCell(13);
  cell.store.chooseFault = (_caller, kind) => (kind === 'wait' ? CallFault.lost : CallFault.none);
  const submitted = cell.submit(makeJob(1), cell.findOwnerName() ?? '');
  await cell.advance(600);
  expect(await submitted).toEqual('accepted');
  expect(cell.history.some((event) => event.kind === 'started')).toEqual(true);
});

// Guards against claims that are lost to the records of clients: with `at` as their condition, every
// job that arrived meanwhile made a claim fail.
test('takes over while clients keep submitting', async () => {
  const cell = await startCell(9);
  cell.killProcess(cell.findOwnerName() ?? '');
  const killedMs = cell.clock.monotonicMs();
  const survivor = cell.processes.find(({ isUp }) => isUp)?.name ?? '';
  for (let number = 1; number <= 200; number += 1) {
    void cell.submit(makeJob(number, [{ estimateMs: 50 }]), survivor);
    await cell.advance(12);
  }
  const started = cell.history.find((event) => event.kind === 'started');
  expect((started?.atMs ?? Number.POSITIVE_INFINITY) - killedMs < 2_000).toEqual(true);
});

// Load pattern: workers that leave a part of their orders unanswered and carry them out late. Guards
// against gangs that are stopped and begun anew for one member: with 16 members and 6 orders of 100, two
// of three runs had one (large site, trouble-1).
test('sends an unanswered start again instead of beginning a gang anew', async () => {
  const cell = EmulatedCell.create({ seed: 25, processes: 3, workers: 24 });
  await cell.start();
  await cell.advance(2_000);
  for (const worker of cell.workers.values())
    worker.chooseFault = () => (cell.random.next() < 0.1 ? CallFault.late : CallFault.none);
  const jobs = Array.from({ length: 8 }, (_, index) =>
    makeJob(index + 1, [{ count: 12, millicores: 1_500, estimateMs: 3_000, gang: true }]),
  );
  const submitted = jobs.map((job) => cell.submit(job, 'p0'));
  await cell.advance(6_000);
  expect((await Promise.all(submitted)).filter((answer) => answer !== 'accepted')).toEqual([]);
  const begunAnew = cell.history.filter(({ kind, run }) => kind === 'started' && run > 1);
  expect(begunAnew).toEqual([]);
  await cell.advance(6_000);
  expect(cell.listUnfinishedJobs()).toEqual([]);
  expect(cell.listViolations()).toEqual([]);
});

// Guards against a task that is placed elsewhere while its unanswered start is carried out late.
test('waits for the proof that an unanswered start was not carried out', async () => {
  const cell = await startCell(3);
  for (const worker of cell.workers.values()) worker.chooseFault = () => CallFault.late;
  const submitted = cell.submit(makeJob(1, [{ count: 4, estimateMs: 5_000 }]), 'p0');
  await cell.advance(900);
  for (const worker of cell.workers.values()) worker.chooseFault = () => CallFault.none;
  expect(await submitted).toEqual('accepted');
  await cell.advance(20_000);
  expect(cell.listViolations()).toEqual([]);
  expect(cell.listUnfinishedJobs()).toEqual([]);
});

// Load pattern: an owner whose starts are not carried out (MIXED on capsula-austral-grown: 14 of 172).
// Guards against a count of waiting jobs that leaves out those whose start was recorded only, also after
// a take-over.
test('counts a job as waiting until a worker has started one of its tasks', async () => {
  const cell = await startCell(26);
  const faultStarts = (fault: CallFault): void => {
    for (const worker of cell.workers.values())
      worker.chooseFault = (_caller, kind) => (kind === 'start' ? fault : CallFault.none);
  };
  faultStarts(CallFault.lost);
  const submitted: Promise<string>[] = [];
  for (let number = 1; number <= 40; number += 1) {
    submitted.push(cell.submit(makeJob(number), `p${number % 3}`));
    await cell.advance(50);
  }
  for (let passed = 0; passed < 8_000; passed += 200) {
    if (passed === 4_000) cell.killProcess(cell.findOwnerName() ?? '');
    await cell.advance(200);
    cell.checkPendingCounts();
  }
  expect((await Promise.all(submitted)).filter((answer) => answer !== 'accepted')).toEqual([]);
  expect(cell.listViolations()).toEqual([]);
  faultStarts(CallFault.none);
  await cell.advance(10_000);
  const survivor = cell.processes.find(({ isUp }) => isUp);
  expect(await survivor?.process.front.pendingOf('q')).toEqual(0);
  expect(cell.listUnfinishedJobs()).toEqual([]);
});

// Load pattern: an owner that takes too long from a decision to the order; each start is given up as too
// old. Guards against jobs that are shown as running, and not counted as waiting, although nothing runs.
test('shows a job as queued while its recorded starts are too old to be sent', async () => {
  const cell = await startCell(27);
  cell.store.roundTripMs = 1_000;
  const submitted = cell.submit(makeJob(1), 'p0');
  await cell.advance(6_000);
  expect(await submitted).toEqual('accepted');
  cell.checkPendingCounts();
  await cell.advance(400);
  expect(cell.history.filter(({ kind }) => kind === 'started')).toEqual([]);
  expect(cell.listViolations()).toEqual([]);
  expect(cell.processes[0]?.process.outcomeOf(makeJob(1).id)).toEqual('queued');
});

// Load pattern: a process that can still append, and reads neither the log nor what others say (MIXED on
// capsula-austral-grown). Guards against a count from before it was cut off, without the jobs that were
// accepted since, its own among them.
test('tells no count that is too old while a process is cut off', async () => {
  for (const start of [startCell, startLargeCell]) {
    const cell = await start(28);
    for (const worker of cell.workers.values())
      worker.chooseFault = (_caller, kind) => (kind === 'start' ? CallFault.lost : CallFault.none);
    const owner = cell.findOwnerName();
    const front = cell.processes.filter(({ name }) => name !== owner).at(-1)?.name ?? '';
    cell.peers.chooseFault = (from, to) =>
      from === front || to === front ? CallFault.lost : CallFault.none;
    cell.store.chooseFault = (caller, kind) =>
      caller === front && kind !== 'append' ? CallFault.lost : CallFault.none;
    for (let number = 1; number <= 60; number += 1) {
      void cell.submit(makeJob(number), front);
      void cell.submit(makeJob(100 + number), owner ?? '');
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
    const process = cell.processes.find(({ name }) => name === front)?.process;
    expect(await process?.front.pendingOf('q')).toEqual(cell.acceptedJobs.size);
  }
});

// Guards against jobs that are forgotten when every process is replaced.
test('keeps accepted jobs through the death of all processes', async () => {
  const cell = await startCell(4);
  const submitted = cell.submit(makeJob(1, [{ count: 20, estimateMs: 3_000 }]), 'p0');
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

// Guards against a cancel that is acknowledged and lost with its process.
test('starts nothing of a cancelled job after the owner died', async () => {
  const cell = await startCell(5);
  const job = makeJob(1, [{ count: 60, millicores: 4_000, estimateMs: 1_000 }]);
  const submitted = cell.submit(job, 'p0');
  await cell.advance(1_500);
  expect(await submitted).toEqual('accepted');
  const cancelled = cell.cancel(job.id, 'p1');
  await cell.advance(20);
  cell.killProcess(cell.findOwnerName() ?? '');
  await cell.advance(15_000);
  expect(await cancelled).toEqual(true);
  expect(cell.listViolations()).toEqual([]);
  expect(cell.processes.find(({ isUp }) => isUp)?.process.outcomeOf(job.id)).toEqual('cancelled');
});

// Guards against a job that goes on for ever though its tasks keep failing.
test('fails a job after its attempts', async () => {
  const cell = await startCell(6);
  const job = makeJob(1, [{ count: 3, gang: true }], { payload: 'fails', maxAttempts: 2 });
  const submitted = cell.submit(job, 'p0');
  await cell.advance(4_000);
  expect(await submitted).toEqual('accepted');
  expect(cell.processes[0]?.process.outcomeOf(job.id)).toEqual('failed');
  expect(cell.listViolations()).toEqual([]);
});

/** A cell in which the owner and two standbys hold replicas, and five processes do not. */
async function startLargeCell(seed: number): Promise<EmulatedCell> {
  const cell = EmulatedCell.create({
    seed,
    processes: 8,
    workers: 4,
    replicas: { smallCell: 3, standbys: 2 },
  });
  await cell.start();
  await cell.advance(7_000);
  return cell;
}

function listProcessesWithoutReplica(cell: EmulatedCell): string[] {
  return cell.processes
    .filter(({ isUp, process }) => isUp && !process.holdsReplica())
    .map(({ name }) => name);
}

/** Outcome of a job as clients of a process see it. */
async function readOutcomeAt(cell: EmulatedCell, name: string, id: string): Promise<unknown> {
  const found = cell.processes.find((candidate) => candidate.name === name);
  const shown = found?.process.front.outcomeOf(id);
  await cell.advance(1_500);
  const result = await shown;
  if (result === undefined) return undefined;
  return result.isOk ? result.value : result.error.kind;
}

// Load pattern: a hundred processes. Guards against a copy of the log in each of them, and against
// clients that are served worse by a process without one.
test('serves clients of processes without a replica', async () => {
  const cell = await startLargeCell(30);
  const thin = listProcessesWithoutReplica(cell);
  expect(thin.length).toEqual(5);
  const [first = '', second = ''] = thin;
  const job = makeJob(1, [{ estimateMs: 2_000 }]);
  const submitted = cell.submit(job, first);
  await cell.advance(200);
  expect(await submitted).toEqual('accepted');
  expect(await readOutcomeAt(cell, second, job.id)).toEqual('running');
  await cell.advance(2_000);
  expect(await readOutcomeAt(cell, first, job.id)).toEqual('completed');
  expect(await readOutcomeAt(cell, second, makeJob(9).id)).toEqual('unknown-job');
  const cancelled = makeJob(2, [{ estimateMs: 9_000 }]);
  const handedIn = cell.submit(cancelled, second);
  await cell.advance(200);
  expect(await handedIn).toEqual('accepted');
  const cancel = cell.cancel(cancelled.id, first);
  await cell.advance(500);
  expect(await cancel).toEqual(true);
  expect(await readOutcomeAt(cell, second, cancelled.id)).toEqual('cancelled');
  expect(cell.listViolations()).toEqual([]);
});

// Guards against a cell that nobody can own because the owner and all standbys died together.
test('takes over without any replica left', async () => {
  const cell = await startLargeCell(31);
  const thin = listProcessesWithoutReplica(cell);
  const submitted = cell.submit(makeJob(1, [{ count: 6, estimateMs: 6_000 }]), thin[0] ?? '');
  await cell.advance(600);
  expect(await submitted).toEqual('accepted');
  for (const { name } of cell.processes) if (!thin.includes(name)) cell.killProcess(name);
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

// Guards against clients of a process without a replica that are refused while it finds a new owner.
test('serves clients of processes without a replica through a take-over', async () => {
  const cell = await startLargeCell(32);
  const thin = listProcessesWithoutReplica(cell);
  cell.killProcess(cell.findOwnerName() ?? '');
  const submitted: Promise<string>[] = [];
  for (let number = 1; number <= 20; number += 1) {
    submitted.push(cell.submit(makeJob(number), thin[number % thin.length] ?? ''));
    await cell.advance(100);
  }
  await cell.advance(3_000);
  expect((await Promise.all(submitted)).filter((answer) => answer !== 'accepted')).toEqual([]);
  await cell.advance(3_000);
  expect(cell.listUnfinishedJobs()).toEqual([]);
  expect(cell.listViolations()).toEqual([]);
});

// Guards against a process that starts beside a cell that lives and disturbs it, or stays alone.
test('joins a living cell without a replica', async () => {
  const cell = await startLargeCell(33);
  const owner = cell.findOwnerName();
  const [name = ''] = listProcessesWithoutReplica(cell);
  cell.killProcess(name);
  await cell.advance(500);
  await cell.startProcess(name);
  await cell.advance(600);
  expect(cell.processes.find((found) => found.name === name)?.process.isReady()).toEqual(true);
  await cell.advance(4_000);
  expect(cell.findOwnerName()).toEqual(owner);
  expect(listProcessesWithoutReplica(cell).length).toEqual(5);
});

// Guards against a hand-over around which two processes act: an owner that stood still is replaced, its
// work is adopted as it runs, and what it does when it goes on has no effect.
test('replaces an owner that stands still, without a second run and without a stop', async () => {
  for (const halt of ['pause', 'suspend'] as const) {
    const cell = await startCell(50);
    const owner = cell.findOwnerName() ?? '';
    const submitted = cell.submit(makeJob(1, [{ count: 8, estimateMs: 6_000 }]), owner);
    await cell.advance(500);
    expect(await submitted).toEqual('accepted');
    cell[halt](owner);
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

// Guards against the work of a data centre that was only silent for a while: it must go on there, and
// must not be started again elsewhere or given up.
test('keeps the work of a data centre through a cut of 5 s', async () => {
  for (const pick of [0, 1, 2]) {
    const cell = await startCell(51);
    const submitted = cell.submit(makeJob(1, [{ count: 16, estimateMs: 9_000 }]), 'p0');
    await cell.advance(500);
    expect(await submitted).toEqual('accepted');
    const owner = cell.findOwnerName();
    const heal = injectFault(cell, {
      atMs: 0,
      durationMs: 0,
      kind: 'data-centre-cut',
      targetIndex: pick,
    });
    await cell.advance(5_000);
    const isOwnerCut = owner === `p${pick}`;
    expect(cell.findOwnerName() === owner || isOwnerCut).toEqual(true);
    expect(cell.logLines.some((line) => line.includes('worker-unreachable'))).toEqual(true);
    await heal();
    await cell.advance(12_000);
    expect(cell.history.filter(({ kind }) => kind === 'started').length).toEqual(16);
    expect(cell.history.filter(({ how }) => how !== undefined && how !== 'done')).toEqual([]);
    expect(cell.listViolations()).toEqual([]);
    expect(cell.listUnfinishedJobs()).toEqual([]);
  }
});

// Guards against a client that is told that its job did not run, although the record that was relayed for
// it is stored and only the answer was lost.
test('never refuses a job whose relayed record may be stored', async () => {
  const cell = await startLargeCell(52);
  const [thin = ''] = listProcessesWithoutReplica(cell);
  cell.store.chooseFault = (caller) => (caller === thin ? CallFault.refused : CallFault.none);
  cell.peers.chooseFault = (_caller, _callee, type) =>
    type === 'relay-record' ? CallFault.answerLost : CallFault.none;
  const submitted = [1, 2, 3].map((number) => cell.submit(makeJob(number), thin));
  await cell.advance(4_000);
  expect(await Promise.all(submitted)).toEqual(['unknown', 'unknown', 'unknown']);
  expect(cell.history.filter(({ kind }) => kind === 'started').length).toEqual(3);
  expect(cell.listViolations()).toEqual([]);
});

// Guards against a process that cannot reach its peers, and takes the cell from an owner that works.
test('leaves the cell to its owner while one process is cut off from its peers only', async () => {
  for (const kind of ['peers-cut', 'peers-cut-inward', 'peers-cut-outward'] as const)
    for (const pick of [0, 1, 2]) {
      const cell = await startCell(53);
      const owner = cell.findOwnerName();
      const heal = injectFault(cell, { atMs: 0, durationMs: 0, kind, targetIndex: pick });
      const submitted = [1, 2, 3].map((number) => cell.submit(makeJob(number), `p${pick}`));
      await cell.advance(3_000);
      expect(await Promise.all(submitted)).toEqual(['accepted', 'accepted', 'accepted']);
      await cell.advance(3_000);
      expect(cell.findOwnerName()).toEqual(owner);
      await heal();
      await cell.advance(2_000);
      expect(cell.listViolations()).toEqual([]);
      expect(cell.listUnfinishedJobs()).toEqual([]);
    }
});

// Guards against advised jobs that never start: helpers report to the owner, so that they are asked, but
// the calls to them are lost (large cell, seed 17 of the schedules run by hand). The owner can ask itself.
test('starts advised work while calls for advice through other processes are lost', async () => {
  for (const start of [startCell, startLargeCell]) {
    const cell = await start(54);
    cell.peers.chooseFault = (_caller, _callee, type) =>
      type === 'advise' ? CallFault.lost : CallFault.none;
    const jobs = [1, 2, 3].map((number) => makeJob(number, [{ count: 3 }], { advised: true }));
    const submitted = jobs.map((job) => cell.submit(job, 'p0'));
    await cell.advance(4_000);
    expect(await Promise.all(submitted)).toEqual(['accepted', 'accepted', 'accepted']);
    expect(cell.listUnfinishedJobs()).toEqual([]);
    expect(cell.listViolations()).toEqual([]);
  }
});

// Guards against an owner that stood still, was replaced, and acts on a permission that has run out: starts
// that it had decided or that were not answered must not leave it again, nor stops of runs whose fate it
// does not know. Its successor cannot reach the
// workers yet, so that they would take them.
for (const halt of ['pause', 'suspend'] as const)
  test(`starts and stops nothing after a ${halt} in which it was replaced`, async () => {
    for (const seed of [61, 65, 67, 75]) {
      const cell = await startCell(seed);
      const owner = cell.findOwnerName() ?? '';
      for (const worker of cell.workers.values())
        worker.chooseFault = (_caller, kind) =>
          kind === 'start' && cell.random.next() < 0.5 ? CallFault.lost : CallFault.none;
      cell.store.roundTripMs = 40;
      for (let number = 1; number <= 10; number += 1) {
        // Tasks that end bring answers of workers soon after the pause began.
        void cell.submit(makeJob(number, [{ count: 2, estimateMs: 120 }]), owner);
        await cell.advance(10 + seed - 60);
      }
      cell.isDisconnected = (name) => name !== owner;
      cell[halt](owner);
      await cell.advance(2_500);
      expect(cell.findOwnerName()).not.toEqual(owner);
      const before = cell.orders.length;
      await cell.resume(owner);
      await cell.advance(2_000);
      const late = cell.orders.slice(before).filter(({ process }) => process === owner);
      expect(late).toEqual([]);
      cell.isDisconnected = () => false;
      for (const worker of cell.workers.values()) worker.chooseFault = () => CallFault.none;
      await cell.advance(10_000);
      expect(cell.listViolations()).toEqual([]);
      expect(cell.listUnfinishedJobs()).toEqual([]);
    }
  });

// Guards against a server that had left, or a setting that was withdrawn, being in use again after a restart
// of all processes: the snapshot and the log name both.
test('uses no worker that has left and no older configuration after a restart', async () => {
  const cell = await startCell(55);
  const submitted = cell.submit(makeJob(1, [{ count: 16, estimateMs: 20_000 }]), 'p0');
  await cell.advance(5_000);
  expect(await submitted).toEqual('accepted');
  expect(cell.orders.some(({ worker }) => worker === 'w1')).toEqual(true);
  cell.workers.get('w1')?.crash();
  cell.removeWorkerEntry('w1');
  cell.writeConfiguration(2);
  await cell.advance(500);
  for (const { name } of cell.processes) cell.killProcess(name);
  cell.store.expireTopics(cell.clock.monotonicMs());
  const before = cell.orders.length;
  for (const { name } of [...cell.processes]) await cell.startProcess(name);
  await cell.advance(SETTLE_MS);
  expect(cell.orders.slice(before).filter(({ worker }) => worker === 'w1')).toEqual([]);
  expect(cell.processes.map(({ process }) => process.configuration?.version)).toEqual([2, 2, 2]);
  expect(cell.listViolations()).toEqual([]);
  expect(cell.listUnfinishedJobs()).toEqual([]);
});

// Guards against an owner that is lost, or work that is given up, because the time of day jumps: it counts for
// the age of permissions.
test('goes on while the time of day of the owner jumps', async () => {
  const cell = await startCell(56);
  const owner = cell.findOwnerName() ?? '';
  for (let number = 1; number <= 40; number += 1) {
    void cell.submit(makeJob(number, [{ count: 2, estimateMs: 1_000 }]), `p${number % 3}`);
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

const fault = fc.record<ScheduleFault>({
  atMs: fc.integer({ min: 0, max: 12_000 }),
  durationMs: fc.integer({ min: 200, max: 6_000 }),
  kind: fc.constantFrom(...faultKinds),
  targetIndex: fc.integer({ min: 0, max: 3 }),
});

/** Runs a schedule; returns what was broken, and prints it. */
async function runAndPrint(
  seed: number,
  faults: readonly ScheduleFault[],
  start: (seed: number) => Promise<EmulatedCell> = startCell,
): Promise<string[]> {
  const { cell, broken } = await runSchedule(await start(seed), faults);
  if (broken.length > 0) {
    if (process.env.CELL_LINES !== undefined) console.log(cell.logLines.join('\n'));
    console.log(`seed ${seed}: ${broken.join('; ')}`);
  }
  return broken;
}

// Guards against lost, doubled and disordered work under any mix of faults. fast-check prints the seed
// and the shortest failing schedule; the run count is bounded so that CI takes seconds.
test('keeps its promises under random faults', async () => {
  const runs = Number(process.env.CELL_RUNS ?? 12);
  const seed = Number(process.env.CELL_SEED ?? 20261204);
  await fc.assert(
    fc.asyncProperty(
      fc.integer({ min: 1, max: 1_000_000 }),
      fc.array(fault, { maxLength: 4 }),
      async (random, faults) => {
        expect(await runAndPrint(random, faults)).toEqual([]);
      },
    ),
    { numRuns: runs, seed, endOnFailure: true },
  );
});

// The same for a large cell, in which most processes hold no replica.
test('keeps its promises under random faults without replicas in most processes', async () => {
  const runs = Number(process.env.CELL_RUNS ?? 6);
  const seed = Number(process.env.CELL_SEED ?? 20261204);
  await fc.assert(
    fc.asyncProperty(
      fc.integer({ min: 1, max: 1_000_000 }),
      fc.array(fault, { maxLength: 4 }),
      async (random, faults) => {
        expect(await runAndPrint(random, faults, startLargeCell)).toEqual([]);
      },
    ),
    { numRuns: runs, seed, endOnFailure: true },
  );
});
