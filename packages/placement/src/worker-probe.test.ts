import { test } from 'node:test';
import { expect } from 'earl';
import type { JobSpec } from '@acaciahoist/types/job-spec';
import { defaultLimits } from './default-limits.js';
import { Placement } from './placement.js';

const { workerFailures, ejectionMs, probeMs } = defaultLimits;
/** Longest first ejection: the time until the probe varies by a quarter. */
const MAX_FIRST_EJECTION_MS = ejectionMs * 1.25;

function createSpec(kind: JobSpec['kind'], count = 1): JobSpec {
  const resources = { millicores: 500, memoryMib: 128, accelerators: {} };
  const groups = [{ name: 'g', count, resources }];
  return {
    family: kind,
    user: 'u',
    team: 't',
    kind,
    groups,
    runMs: 300,
    urgent: false,
    repeatable: true,
  };
}

/** A placement with one worker, on which the tasks of several jobs fail until it is ejected at 0 ms. */
function createEjected(tasksBefore: readonly JobSpec[]): Placement {
  const placement = Placement.create({ teams: [{ name: 't', quotaPerMille: 1_000 }], seed: 7 });
  const resources = { millicores: 32_000, memoryMib: 65_536, accelerators: {} };
  placement.addWorker({ address: 'w', rack: 'r', dataCentre: 'd', region: 'e', resources }, 0);
  tasksBefore.forEach((spec, i) => placement.submit(`p:before-${i}`, spec, 0, 0));
  startAll(placement, 0);
  for (let i = 0; i < workerFailures; i += 1) {
    placement.submit(`p:failing-${i}`, createSpec('batch'), 0, 0);
    for (const taskId of startAll(placement, 0)) placement.taskEnded(taskId, 'failed', 0, 0);
    placement.cancel(`p:failing-${i}`, 0);
  }
  return placement;
}

/** Runs one round; confirms its starts and returns the ids of the started tasks. */
function startAll(placement: Placement, nowMs: number): string[] {
  const decisions = placement.decide(nowMs, nowMs);
  const taskIds = decisions.flatMap((decision) =>
    decision.type === 'start' ? [decision.taskId] : [],
  );
  for (const taskId of taskIds) placement.taskStarted(taskId);
  return taskIds;
}

// Guards against a worker that is never used again because a service, or a long task, has run there
// since before its ejection: its partition would have no capacity for as long.
test('an ejected worker on which other tasks still run is probed and then gets all waiting tasks', () => {
  for (const kind of ['service', 'batch'] as const) {
    const placement = createEjected([createSpec(kind)]);
    placement.submit('p:waiting', createSpec('batch', 5), 0, 0);
    expect(startAll(placement, 1)).toEqual([]);
    const probes = startAll(placement, MAX_FIRST_EJECTION_MS);
    expect(probes.length).toEqual(1);
    expect(startAll(placement, MAX_FIRST_EJECTION_MS + 1)).toEqual([]);
    const endMs = MAX_FIRST_EJECTION_MS + 300;
    for (const taskId of probes) placement.taskEnded(taskId, 'completed', endMs, endMs);
    expect(startAll(placement, endMs).length).toEqual(4);
  }
});

// Guards against a worker that stays at one task because the task that probes it does not end.
test('a probe by a task that does not end passes after its run time', () => {
  const placement = createEjected([]);
  placement.submit('p:service', createSpec('service'), 0, 0);
  expect(startAll(placement, MAX_FIRST_EJECTION_MS).length).toEqual(1);
  placement.submit('p:waiting', createSpec('batch', 5), MAX_FIRST_EJECTION_MS, 0);
  expect(startAll(placement, MAX_FIRST_EJECTION_MS + probeMs - 1)).toEqual([]);
  expect(startAll(placement, MAX_FIRST_EJECTION_MS + probeMs).length).toEqual(5);
});

// Guards against a second task at a worker whose probe has failed, before the next probe.
test('a worker whose probe fails gets no tasks until it is probed again, for longer than before', () => {
  const placement = createEjected([createSpec('service')]);
  placement.submit('p:waiting', createSpec('batch', 5), 0, 0);
  const probes = startAll(placement, MAX_FIRST_EJECTION_MS);
  for (const taskId of probes) {
    placement.taskEnded(taskId, 'failed', MAX_FIRST_EJECTION_MS, MAX_FIRST_EJECTION_MS);
  }
  expect(startAll(placement, MAX_FIRST_EJECTION_MS + ejectionMs)).toEqual([]);
  expect(startAll(placement, MAX_FIRST_EJECTION_MS + 2.5 * ejectionMs).length).toEqual(1);
});
