import { test } from 'node:test';
import { expect } from 'earl';
import { findViolations } from './find-violations.js';
import type { HistoryEvent } from './history-event.js';
import { makeJob } from './make-job.js';

const job = makeJob(1);
const task = `${job.id}.0.0.0`;

/** Violations of a run of a job that was cancelled at 1,000 ms. */
function check(sentMs: number, startedMs: number, endedMs: number): string[] {
  const run = { task, run: 1, worker: 'w' };
  const history: HistoryEvent[] = [
    { ...run, kind: 'started', atMs: startedMs, sentMs, how: undefined },
    { ...run, kind: 'ended', atMs: endedMs, sentMs: endedMs, how: 'stopped' },
  ];
  return findViolations({
    history,
    jobs: new Map([[job.id, job]]),
    workerMillicores: 8_000,
    cancelledMs: new Map([[job.id, 1_000]]),
    refusedJobs: new Set(),
  });
}

// Guards against a check that lets starts of cancelled jobs pass.
test('finds an order that is sent after the cancel', () => {
  expect(check(4_100, 4_110, 4_300).length).toEqual(1);
  expect(check(900, 910, 1_200)).toEqual([]);
});

// A worker may carry an order out seconds after it was sent. Guards against taking that for a start of a
// cancelled job, and against letting such a run go on.
test('allows an order that is carried out late, as long as its run is stopped', () => {
  expect(check(900, 4_900, 5_100)).toEqual([]);
  expect(check(900, 4_900, 9_000).length).toEqual(1);
});
