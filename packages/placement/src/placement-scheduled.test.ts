import { test } from 'node:test';
import { expect } from 'earl';
import type { JobSpec } from '@acaciahoist/types/job-spec';
import type { Decision } from './decision.js';
import { Placement } from './placement.js';

// These tests use fixed inputs and no seed.

const START_AT_MS = 100_000;
const ARM_BEFORE_MS = 10_000;

function addWorker(placement: Placement, address: string): void {
  const resources = { millicores: 8_000, memoryMib: 8_192, accelerators: {} };
  placement.addWorker({ address, rack: address, dataCentre: 'd', region: 'e', resources }, 0);
}

/** Creates a placement in which a worker holds one task of a scheduled job. */
function createPlacement(workers: readonly string[]): Placement {
  const placement = Placement.create({
    teams: [{ name: 't', quotaPerMille: 1_000 }],
    seed: 1,
    limits: { reservePerMille: 0, armBeforeMs: ARM_BEFORE_MS },
  });
  for (const address of workers) addWorker(placement, address);
  return placement;
}

function createScheduledSpec(overrides: Partial<JobSpec> = {}): JobSpec {
  const resources = { millicores: 6_000, memoryMib: 1, accelerators: {} };
  const base = { family: 'f', user: 'u', team: 't', kind: 'batch' as const, urgent: false };
  const groups = [{ name: 'g', count: 2, resources }];
  return { ...base, groups, repeatable: false, startAtMs: START_AT_MS, ...overrides };
}

function decideAt(placement: Placement, wallMs: number): readonly Decision[] {
  return placement.decide(wallMs, wallMs);
}

function list(decisions: readonly Decision[], type: Decision['type']): string[] {
  return decisions.flatMap((decision) =>
    decision.type === type && 'worker' in decision ? [decision.worker] : [],
  );
}

/** Arms both tasks of a job and removes the worker of one. Returns the worker of the other. */
function armAndLoseWorker(placement: Placement, spec: JobSpec): string {
  placement.submit('p:1', spec, 0, 0);
  expect([...list(decideAt(placement, START_AT_MS - 5_000), 'arm')].sort()).toEqual(['w0', 'w1']);
  expect(placement.removeWorker('w1', START_AT_MS - 4_000)).toEqual([]);
  return 'w0';
}

// Guards against a task that keeps its capacity and never starts because another task of its job lost its worker.
test('a scheduled job starts its armed task on time and the other when a worker is free', () => {
  const placement = createPlacement(['w0', 'w1']);
  const armedWorker = armAndLoseWorker(placement, createScheduledSpec());
  expect(decideAt(placement, START_AT_MS - 1)).toEqual([]);
  expect(list(decideAt(placement, START_AT_MS), 'start')).toEqual([armedWorker]);
  addWorker(placement, 'w2');
  expect(list(decideAt(placement, START_AT_MS + 100), 'start')).toEqual(['w2']);
  expect(placement.jobState('p:1')).toEqual('running');
});

// Guards against a gang of which only the armed tasks start, and against one that never starts.
test('a scheduled gang that lost a worker starts all its tasks in one round when another worker is free', () => {
  const placement = createPlacement(['w0', 'w1']);
  armAndLoseWorker(placement, createScheduledSpec({ kind: 'gang', repeatable: true }));
  expect(list(decideAt(placement, START_AT_MS), 'start')).toEqual([]);
  addWorker(placement, 'w2');
  const starts = list(decideAt(placement, START_AT_MS + 5_000), 'start');
  expect([...starts].sort()).toEqual(['w0', 'w2']);
  expect(placement.jobState('p:1')).toEqual('running');
});

// Guards against a cancelled job that never ends and keeps its capacity because one of its tasks is armed.
test('a scheduled job that lost a worker ends at once when it is cancelled and frees its capacity', () => {
  const placement = createPlacement(['w0', 'w1']);
  armAndLoseWorker(placement, createScheduledSpec());
  const cancelled = placement.cancel('p:1', START_AT_MS - 3_000);
  expect(cancelled.isOk && cancelled.value?.outcome).toEqual('cancelled');
  placement.submit('p:2', createScheduledSpec({ startAtMs: 0, urgent: true }), 0, 0);
  expect(list(decideAt(placement, START_AT_MS), 'start')).toEqual(['w0']);
});

// Guards against a task that is never placed after a change of the owner because another task of its job was
// armed by the predecessor.
test('a restored scheduled job with one armed task arms the other and starts both', () => {
  for (const kind of ['batch', 'gang'] as const) {
    const placement = createPlacement(['w0', 'w1']);
    placement.restore('p:1', createScheduledSpec({ kind }), 0, START_AT_MS - 5_000);
    const adopted = { jobId: 'p:1', taskId: 'p:1/0.0.1', worker: 'w0' };
    expect(placement.adoptTask({ ...adopted, state: 'armed' }, 0).isOk).toEqual(true);
    expect(list(decideAt(placement, START_AT_MS - 4_000), 'arm')).toEqual(['w1']);
    const starts = list(decideAt(placement, START_AT_MS), 'start');
    expect([...starts].sort()).toEqual(['w0', 'w1']);
  }
});

// Guards against a gang that waits forever when the change of the owner happens after its start time.
test('a gang with one armed task that is restored after its start time starts when the other task fits', () => {
  const placement = createPlacement(['w0']);
  const spec = createScheduledSpec({ kind: 'gang', repeatable: true });
  placement.restore('p:1', spec, 0, START_AT_MS + 1_000);
  const adopted = { jobId: 'p:1', taskId: 'p:1/0.0.1', worker: 'w0' };
  expect(placement.adoptTask({ ...adopted, state: 'armed' }, 0).isOk).toEqual(true);
  expect(list(decideAt(placement, START_AT_MS + 2_000), 'start')).toEqual([]);
  addWorker(placement, 'w1');
  const starts = list(decideAt(placement, START_AT_MS + 5_000), 'start');
  expect([...starts].sort()).toEqual(['w0', 'w1']);
});

// Guards against an exception, and against a second run of a task that may not be repeated, when a run ends that the
// placement did not start: a predecessor did, or the owner while it could not plan.
test('a scheduled job whose armed task was started elsewhere ends with the outcome of that run', () => {
  const outcomes = { completed: 'completed', failed: 'failed', lapsed: 'unknown' } as const;
  for (const [outcome, expected] of Object.entries(outcomes)) {
    const placement = createPlacement(['w0', 'w1']);
    const [group] = createScheduledSpec().groups;
    const groups = group === undefined ? [] : [{ ...group, count: 1 }];
    placement.submit('p:1', createScheduledSpec({ groups }), 0, 0);
    const [arm] = decideAt(placement, START_AT_MS - 5_000);
    const taskId = arm?.type === 'arm' ? arm.taskId : '';
    const atMs = START_AT_MS + 500;
    const end = placement.taskEnded(taskId, outcome as keyof typeof outcomes, atMs, atMs);
    expect(end?.outcome).toEqual(expected);
    expect(decideAt(placement, START_AT_MS + 1_000)).toEqual([]);
  }
});

// Guards against an exception in the owner, and against a task that is not placed again.
test('a scheduled job whose armed task was refused by its worker is placed again', () => {
  const placement = createPlacement(['w0', 'w1']);
  placement.submit('p:1', createScheduledSpec(), 0, 0);
  const [arm] = decideAt(placement, START_AT_MS - 5_000);
  expect(placement.taskRefused(arm?.type === 'arm' ? arm.taskId : '', START_AT_MS)).toEqual(null);
  expect(list(decideAt(placement, START_AT_MS + 100), 'start').length).toEqual(2);
});
