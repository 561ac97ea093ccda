import { test } from 'node:test';
import { expect } from 'earl';
import { ManualClock } from '@acaciahoist/clock/manual-clock';
import type { JobSpec } from '@acaciahoist/types/job-spec';
import { PartitionOwner } from './index.js';
import { TestLedger } from './test-ledger.js';
import { TestWorker } from './test-worker.js';

const WORKER = '127.0.0.1:1';
const size = { millicores: 1_000, memoryMib: 1_000, accelerators: {} };
const once: JobSpec = {
  family: 'opening',
  user: 'u',
  team: 't',
  kind: 'batch',
  groups: [{ name: 'g', count: 1, resources: size }],
  runMs: 1_000,
  urgent: false,
  repeatable: false,
  key: 'k',
};
const repeatable = { ...once, repeatable: true };

/** An owner with one worker on a manual clock. Another owner can take over its ledger and worker. */
function createCell(
  clock = ManualClock.create(1_000_000),
  ledger = TestLedger.create(),
  worker = TestWorker.create(),
) {
  const owner = PartitionOwner.create({
    partition: 'p',
    clock,
    ledger,
    workers: worker,
    placement: { teams: [{ name: 't', quotaPerMille: 1_000 }], limits: { armBeforeMs: 5_000 } },
    taskLeaseMs: 10_000,
    startDeadlineMs: 2_000,
    roundMs: 20,
    maintainMs: 1_000,
    formerOwnerUntilMs: clock.monotonicMs(),
    periodLength: 'month',
    log: () => undefined,
  });
  const resources = { millicores: 8_000, memoryMib: 8_000, accelerators: {} };
  owner.setWorkers([
    { address: WORKER, rack: 'r', dataCentre: 'd', region: 'g', resources, leaving: false },
  ]);
  owner.start();
  const run = async (ms: number): Promise<void> => {
    for (let elapsed = 0; elapsed < ms; elapsed += 20) {
      clock.advance(20);
      for (let turn = 0; turn < 10; turn += 1) await Promise.resolve();
    }
  };
  const submit = async (spec: JobSpec): Promise<string> => {
    const submitted = await owner.submit(spec);
    return submitted.isOk && 'jobId' in submitted.value ? submitted.value.jobId : '';
  };
  const outcomeOf = (jobId: string) => ledger.state().jobs.get(jobId)?.outcome;
  return { clock, ledger, worker, owner, run, submit, outcomeOf };
}

// Guards against a second start after a lost response: the worker must be asked before anything else.
test('a start whose response was lost is adopted and not started again', async () => {
  const { worker, run, submit, outcomeOf } = createCell();
  worker.fault = 'lost';
  const jobId = await submit(repeatable);
  await run(500);
  worker.fault = 'none';
  await run(4_000);
  expect(worker.started.length).toEqual(1);
  worker.end(worker.started[0] ?? '', 'completed');
  await run(2_000);
  expect(outcomeOf(jobId)).toEqual('completed');
});

// Guards against a job that stays without a task when its start never arrived.
test('a start that never arrived is placed again after its deadline', async () => {
  const { worker, run, submit } = createCell();
  worker.fault = 'dropped';
  await submit(once);
  await run(500);
  expect(worker.started).toEqual([]);
  worker.fault = 'none';
  await run(5_000);
  expect(worker.started.length).toEqual(1);
});

// Guards against a task that is never settled because the fence call after a lost start is lost too.
test('a lost start is placed again although the next fence calls are lost', async () => {
  const { worker, run, submit } = createCell();
  worker.fault = 'dropped';
  await submit(repeatable);
  await run(500);
  worker.fault = 'none';
  worker.lostFences = 2;
  await run(8_000);
  expect(worker.started.length).toEqual(1);
});

// Guards against a second run of a non-repeatable job: a restarted worker remembers nothing.
test('a lost start at a worker that restarted ends as unknown', async () => {
  const { worker, run, submit, outcomeOf } = createCell();
  worker.fault = 'lost';
  const jobId = await submit(once);
  await run(500);
  worker.restart();
  worker.fault = 'none';
  await run(6_000);
  expect(worker.started.length).toEqual(1);
  expect(outcomeOf(jobId)).toEqual('unknown');
});

// Guards against a task in two places: a silent worker may go on until its leases have expired.
test('the task of a silent worker is not ended before its lease has certainly expired', async () => {
  const { worker, run, submit, ledger } = createCell();
  await submit(repeatable);
  await run(2_000);
  worker.fault = 'down';
  const ended = () => ledger.entries.filter((entry) => entry.type === 'task-ended').length;
  await run(10_000);
  expect(ended()).toEqual(0);
  await run(14_000);
  expect(ended()).toEqual(1);
});

// Guards against an opening that misses its date because the log is down on the day.
test('an armed job starts on its date without the log, once, also across a failover', async () => {
  const first = createCell();
  const { clock, ledger, worker, run, submit, outcomeOf } = first;
  const jobId = await submit({ ...once, startAtMs: clock.wallMs() + 8_000 });
  await run(5_000);
  expect(ledger.state().armed.size).toEqual(1);
  expect(worker.started).toEqual([]);
  ledger.current = 'holding';
  await run(4_000);
  expect(worker.started.length).toEqual(1);
  first.owner.stop();
  ledger.current = 'leased';
  const next = createCell(clock, ledger, worker);
  await next.run(3_000);
  expect(worker.started.length).toEqual(1);
  worker.end(worker.started[0] ?? '', 'completed');
  await next.run(2_500);
  expect(outcomeOf(jobId)).toEqual('completed');
});

// Guards against a job that is in the journal and is never placed, because its append was unknown.
test('a job and a cancel whose appends were unknown take effect once they are in the journal', async () => {
  const { worker, run, owner, ledger, outcomeOf } = createCell();
  await run(500);
  ledger.unknownCommits = 1;
  expect((await owner.submit(repeatable)).isErr).toEqual(true);
  await run(1_000);
  expect(worker.started.length).toEqual(1);
  ledger.unknownCommits = 1;
  expect((await owner.cancel('p:1')).isErr).toEqual(true);
  await run(4_000);
  expect(outcomeOf('p:1')).toEqual('cancelled');
});

// Guards against two outcomes when a cancel meets the end of a task.
test('a cancel that races the end of the task gives one outcome', async () => {
  const { worker, run, submit, owner, ledger } = createCell();
  const jobId = await submit(repeatable);
  await run(200);
  worker.end(worker.started[0] ?? '', 'completed');
  await owner.cancel(jobId);
  await run(3_000);
  const ends = ledger.entries.filter((entry) => entry.type === 'job-ended');
  expect(ends.length).toEqual(1);
});

// Guards against jobs without a key that go where nothing can run, because nothing waits there.
test('a partition without workers reports a backlog that attracts no job', () => {
  const { owner } = createCell();
  expect(owner.backlog()).toEqual(0);
  owner.setWorkers([]);
  expect(owner.backlog()).toBeGreaterThan(1_000);
});

// Guards against a job whose key belongs to a partition without workers: it was accepted there and
// waited for ever. Also against a second job for the key once the partition has workers.
test('a key of a partition without workers is handed to another partition for good', async () => {
  const { owner, ledger, run } = createCell();
  owner.setWorkers([]);
  const first = await owner.submit(once, 'q');
  expect(first.isOk && first.value).toEqual({ delegatedTo: 'q' });
  const resources = { millicores: 8_000, memoryMib: 8_000, accelerators: {} };
  owner.setWorkers([
    { address: WORKER, rack: 'r', dataCentre: 'd', region: 'g', resources, leaving: false },
  ]);
  await run(200);
  const repeated = await owner.submit(once, 'other');
  expect(repeated.isOk && repeated.value).toEqual({ delegatedTo: 'q' });
  const conflicting = await owner.submit({ ...once, runMs: 2_000 }, 'q');
  expect(conflicting.isErr && conflicting.error.kind).toEqual('key-conflict');
  expect(ledger.state().jobs.size).toEqual(0);
});

// Guards against a partition that hands its jobs on although it can serve them, and against jobs that
// are accepted where nothing can run and no other place is known.
test('a job stays in a partition that has workers, and is refused where there are none', async () => {
  const { owner, ledger } = createCell();
  const kept = await owner.submit(once, 'q');
  expect(kept.isOk && 'jobId' in kept.value).toEqual(true);
  owner.setWorkers([]);
  const { key, ...keyless } = once;
  for (const spec of [{ ...once, key: `${key ?? ''}2` }, keyless]) {
    const refused = await owner.submit(spec);
    expect(refused.isErr && refused.error.kind).toEqual('overloaded');
  }
  const moved = await owner.submit(keyless, 'q');
  expect(moved.isOk && moved.value).toEqual({ delegatedTo: 'q' });
  expect(ledger.state().jobs.size).toEqual(1);
});
