import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { ManualClock } from '@acaciahoist/clock/manual-clock';
import type { TaskStart } from '@acaciahoist/types/task-start';
import { CheckpointStore } from './checkpoint-store.js';
import { defaultSettings } from './default-settings.js';
import { History } from './history.js';
import type { Settings } from './settings.js';
import { Worker } from './worker.js';

const resources = { millicores: 4_000, memoryMib: 4_096, accelerators: { gpu: 1 } };

/** Creates two workers on a clock that only the test advances. They share one checkpoint store. */
function createWorkers(settings: Partial<Settings['workers']> = {}) {
  const clock = ManualClock.create();
  const history = History.create(clock, 10_000);
  const checkpoints = CheckpointStore.create();
  const workers = ['w0', 'w1'].map((name) =>
    Worker.create({
      clock,
      history,
      checkpoints,
      seed: 7,
      settings: { ...defaultSettings().workers, usageLagMs: 0, ...settings },
      resources,
      rack: 'r0',
      source: () => name,
      incarnation: () => 'i1',
    }),
  );
  /** Returns the time and outcome of each task end. */
  const listEnds = () => history.ofType('task-ended').map((event) => [event.atMs, event.outcome]);
  const [worker, otherWorker] = workers;
  if (worker === undefined || otherWorker === undefined) throw new Error('two workers are needed');
  return { clock, history, listEnds, worker, otherWorker };
}

function createStart(taskId: string, changes: Partial<TaskStart> = {}): TaskStart {
  return {
    taskId,
    jobId: 'j1',
    resources: { millicores: 1_000, memoryMib: 1_024, accelerators: {} },
    leaseMs: 1_000,
    deadlineMs: 500,
    runMs: 10_000,
    resume: false,
    ...changes,
  };
}

// Guards against a task that continues to run after its owner is lost, while a successor starts it again.
test('a task stops when its lease lapses without a renewal, and not before', () => {
  const { clock, worker, listEnds } = createWorkers();
  worker.start(1, createStart('t1'), 0);
  clock.advance(900);
  expect(worker.renew('t1', 1_000)).toEqual('running');
  clock.advance(999);
  expect(listEnds()).toEqual([]);
  clock.advance(1);
  expect(listEnds()).toEqual([[1_900, 'lapsed']]);
  expect(worker.renew('t1', 1_000)).toEqual('ended');
});

// Guards against a shorter lease that ends only with the timer of the longer one before it.
test('a renewal with a shorter lease ends the task at the end of that lease', () => {
  const { clock, worker, listEnds } = createWorkers();
  worker.start(1, createStart('t1', { leaseMs: 9_000 }), 0);
  worker.renew('t1', 100);
  clock.advance(100);
  expect(listEnds()).toEqual([[100, 'lapsed']]);
});

// Guards against tasks that progress on a frozen worker, or that continue after the freeze although their
// lease lapsed during it.
test('a worker stops the tasks with a lapsed lease and continues the others after a freeze', () => {
  const { clock, worker, listEnds } = createWorkers();
  worker.start(1, createStart('short'), 0);
  worker.start(1, createStart('long', { leaseMs: 60_000, runMs: 2_000 }), 0);
  clock.advance(500);
  worker.setFrozen(true);
  clock.advance(5_000);
  expect(listEnds()).toEqual([]);
  worker.setFrozen(false);
  expect(listEnds()).toEqual([[5_500, 'lapsed']]);
  clock.advance(1_499);
  expect(listEnds().length).toEqual(1);
  clock.advance(1);
  expect(listEnds()[1]).toEqual([7_000, 'completed']);
});

test('a worker replies to a start of a known task id with the state of the task', () => {
  const { clock, worker, history } = createWorkers();
  worker.start(1, createStart('t1', { runMs: 100 }), 0);
  expect(worker.start(1, createStart('t1'), 0)).toEqual({
    taskId: 't1',
    result: 'known',
    reason: 'running',
  });
  clock.advance(100);
  expect(worker.start(2, createStart('t1'), 100).reason).toEqual('ended completed');
  expect(history.ofType('task-began').length).toEqual(1);
});

// Guards against a start that waited in a network buffer and takes effect after the call of the owner timed
// out.
test('a worker refuses a start that arrives after its deadline', () => {
  const { clock, worker } = createWorkers();
  clock.advance(501);
  expect(worker.start(1, createStart('t1'), 0).result).toEqual('refused');
  expect(worker.start(1, createStart('t1'), 1).result).toEqual('started');
});

test('a worker accepts a token that is equal to or higher than its highest one and refuses a lower one', () => {
  const { worker, history } = createWorkers();
  expect([5, 5, 4, 6, 5].map((token) => worker.acceptToken(token))).toEqual([
    true,
    true,
    false,
    true,
    false,
  ]);
  expect(history.ofType('stale-token').length).toEqual(2);
});

test('a task resumed on another worker continues from the progress of its checkpoint', () => {
  const { clock, worker, otherWorker, listEnds } = createWorkers();
  worker.start(1, createStart('t1', { leaseMs: 60_000 }), 0);
  clock.advance(4_000);
  expect(worker.applyAction('t1', 'checkpoint')).toEqual(true);
  otherWorker.start(1, createStart('t1', { leaseMs: 60_000, resume: true }), 4_000);
  clock.advance(6_000);
  expect(listEnds()).toEqual([
    [4_000, 'checkpointed'],
    [10_000, 'completed'],
  ]);
  const again = createStart('t1', { resume: true });
  expect(worker.start(1, again, 10_000).result).toEqual('started');
  expect(worker.start(1, again, 10_000).result).toEqual('known');
});

test('a throttled task uses half the processors and takes twice as long', () => {
  const { clock, worker, listEnds } = createWorkers();
  worker.start(1, createStart('t1', { leaseMs: 60_000 }), 0);
  clock.advance(4_000);
  worker.applyAction('t1', 'throttle');
  const [task] = worker.createUsageReport().tasks;
  expect([task?.usage.millicores, task?.throttled]).toEqual([500, true]);
  clock.advance(12_000);
  expect(listEnds()).toEqual([[16_000, 'completed']]);
});

test('an oversold worker records itself as oversold, slows its tasks and fails the newest one over its memory', () => {
  const { clock, worker, history, listEnds } = createWorkers();
  const largeDemand = { millicores: 3_000, memoryMib: 1_024, accelerators: { gpu: 1 } };
  worker.start(1, createStart('t1', { resources: largeDemand, leaseMs: 60_000, runMs: 3_000 }), 0);
  worker.start(1, createStart('t2', { resources: largeDemand, leaseMs: 60_000, runMs: null }), 0);
  const oversold = history.ofType('oversold').map(({ resource, used }) => [resource, used]);
  expect(oversold).toEqual([
    ['millicores', 6_000],
    ['gpu', 2],
  ]);
  clock.advance(4_500);
  expect(listEnds()).toEqual([[4_500, 'completed']]);
  worker.start(1, createStart('t3', { resources: { ...largeDemand, memoryMib: 4_000 } }), 4_500);
  expect(history.ofType('out-of-memory').map(({ taskId }) => taskId)).toEqual(['t3']);
  expect(listEnds()[1]).toEqual([4_500, 'failed']);
});

test('the actual size and run time of a task have the same factor for the same seed', () => {
  const run = () => {
    const { clock, worker, listEnds } = createWorkers({ sizeFactor: [2, 4], runFactor: [0.25, 4] });
    worker.start(1, createStart('t1', { leaseMs: 60_000, runMs: 1_000 }), 0);
    const used = worker.createUsageReport().tasks[0]?.usage.millicores ?? 0;
    clock.advance(4_000);
    return { used, ended: listEnds() };
  };
  const first = run();
  expect(first.used >= 2_000 && first.used <= 4_000).toEqual(true);
  expect(first.ended.length).toEqual(1);
  expect(first.ended).not.toEqual([[1_000, 'completed']]);
  expect(run()).toEqual(first);
});

// Guards against reports that are always current and in order: tests would then not detect owners that rely
// on this.
test('a worker delays, repeats and reorders usage reports by the lag and the shares that are set', () => {
  const lagging = createWorkers({ usageLagMs: 300 });
  lagging.worker.start(1, createStart('t1'), 0);
  lagging.clock.advance(299);
  expect(lagging.worker.createUsageReport().tasks).toEqual([]);
  expect(lagging.worker.createCurrentReport().tasks.length).toEqual(1);
  lagging.clock.advance(1);
  expect(lagging.worker.createUsageReport().tasks.length).toEqual(1);

  const stepsWith = (settings: Parameters<typeof createWorkers>[0]): number[] => {
    const { worker } = createWorkers(settings);
    const sequences = Array.from({ length: 100 }, () => worker.createUsageReport().sequence);
    return sequences.slice(1).map((sequence, index) => sequence - (sequences[index] ?? 0));
  };
  const repeated = stepsWith({ repeatedReports: 0.2 });
  expect([repeated.includes(0), Math.min(...repeated) < 0]).toEqual([true, false]);
  expect(Math.min(...stepsWith({ reorderedReports: 0.2 })) < 0).toEqual(true);
  expect(stepsWith({}).every((step) => step === 1)).toEqual(true);
});

test('a usage report lists an ended task for a limited time and a fence report for longer', () => {
  const { clock, worker } = createWorkers({ reportEndedMs: 500 });
  worker.start(1, createStart('t1', { runMs: 100 }), 0);
  clock.advance(600);
  expect(worker.createUsageReport().tasks.length).toEqual(1);
  clock.advance(1);
  expect(worker.createUsageReport().tasks.length).toEqual(0);
  expect(worker.createCurrentReport().tasks[0]?.outcome).toEqual('completed');
});

test('a worker with the fault fail-tasks starts every task and fails it', () => {
  const { clock, worker, listEnds } = createWorkers();
  worker.failsTasks = true;
  expect(worker.start(1, createStart('t1'), 0).result).toEqual('started');
  clock.advance(20);
  expect(listEnds()).toEqual([[20, 'failed']]);
});

const steps = fc.array(
  fc.record({
    action: fc.constantFrom(
      'start',
      'renew',
      'stop',
      'checkpoint',
      'throttle',
      'freeze',
      'unfreeze',
    ),
    taskIndex: fc.integer({ min: 0, max: 3 }),
    waitMs: fc.integer({ min: 0, max: 700 }),
  }),
  { maxLength: 60 },
);

// Guards against a task that runs twice at a time or forever, or makes more progress than the time
// that has passed.
test('a task runs once at a time and ends when its lease is over, in every sequence of calls', () => {
  fc.assert(
    fc.property(steps, (sequence) => {
      const { clock, worker, history } = createWorkers({ runFactor: [0.25, 4] });
      let frozen = false;
      for (const { action, taskIndex, waitMs } of sequence) {
        const taskId = `t${taskIndex}`;
        if (action === 'freeze' || action === 'unfreeze') {
          frozen = action === 'freeze';
          worker.setFrozen(frozen);
        } else if (!frozen) {
          const nowMs = clock.monotonicMs();
          if (action === 'start') worker.start(1, createStart(taskId, { resume: true }), nowMs);
          else if (action === 'renew') worker.renew(taskId, 1_000);
          else worker.applyAction(taskId, action);
        }
        clock.advance(waitMs);
      }
      worker.setFrozen(false);
      clock.advance(1_000);
      const running = new Set<string>();
      for (const event of history.read(0, 10_000).events) {
        if (event.type === 'task-began') {
          expect(running.has(event.taskId)).toEqual(false);
          running.add(event.taskId);
        }
        if (event.type === 'task-ended') expect(running.delete(event.taskId)).toEqual(true);
      }
      expect([...running]).toEqual([]);
      for (const task of worker.createCurrentReport().tasks) {
        expect(task.progressMs <= clock.monotonicMs()).toEqual(true);
      }
    }),
    { numRuns: 300 },
  );
});
