import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { runCase } from '../stand-ins-2/cluster.mjs';

const JOB = '/lohu930/5c0e7a21d94b36f8';
const FROZEN_MS = 3_500;
/** When the client hands the job in, after the machine has frozen, and when it leaves without an answer. */
const SUBMIT_AFTER_MS = 200;
const LEAVE_MS = 900;
const WORK_MS = 60_000;
const DEADLINE_MS = 3_000;

await runCase(
  { folder: dirname(fileURLToPath(import.meta.url)), processes: 9, runners: 8 },
  async (cluster, hasTrouble) => {
    const { cancel_ms: cancelMs, stopTimeoutMs, stableWindowMs } = cluster.bounds;
    cluster.configure(1, [{ pathPrefix: '/lohu930/' }]);
    const running = new Set();
    let startedAtMs;
    for (const runner of cluster.runners)
      runner.onEvent = ({ kind, task }) => {
        if (kind === 'start') {
          running.add(task);
          startedAtMs = cluster.elapsedMs();
        } else if (kind === 'end') running.delete(task);
      };
    await cluster.start();
    await cluster.sleep(1_000);
    const owner = await cluster.findOwner();
    const [first, second] = cluster.processes.filter((entry) => entry !== owner?.entry);

    let isFrozen = hasTrouble;
    if (hasTrouble) {
      cluster.signal(first, 'SIGSTOP');
      setTimeout(() => {
        cluster.signal(first, 'SIGCONT');
        isFrozen = false;
      }, FROZEN_MS);
      await cluster.sleep(SUBMIT_AFTER_MS);
    }
    const job = {
      spec: JSON.stringify({ steps: [{ ms: WORK_MS }] }),
      phases: [{ count: 2, cpu: 1_000, memMb: 1_024, estimateMs: WORK_MS }],
    };
    const submission = await cluster.client(first, 'POST', JOB, job, LEAVE_MS);
    let cancelledAtMs;
    for (let attempt = 0; cancelledAtMs === undefined && attempt < 20; attempt += 1) {
      const { status } = await cluster.client(second, 'DELETE', JOB, undefined, DEADLINE_MS);
      if (status === 200 || status === 410) cancelledAtMs = cluster.elapsedMs();
      else await cluster.sleep(200);
    }
    if (cancelledAtMs === undefined) throw new Error('the cancel was not acknowledged');
    await cluster.waitFor('the machine runs again', 2 * FROZEN_MS, () => !isFrozen);
    const calmFromMs = cluster.elapsedMs() + stableWindowMs;
    const judgedMs = Math.max(cancelledAtMs, calmFromMs) + cancelMs + stopTimeoutMs;
    while (cluster.elapsedMs() < judgedMs) await cluster.sleep(20);
    const tasks = [...running];
    const { body } = await cluster.client(second, 'GET', JOB);
    cluster.record('result', {
      submission: submission.status,
      startedAfterCancelMs: startedAtMs && startedAtMs - cancelledAtMs,
      tasks,
      state: body.state,
    });
    return tasks.length > 0
      ? `UNASKED: ${tasks.length} tasks of a job run ${judgedMs - cancelledAtMs} ms after its cancel was acknowledged; they began ${startedAtMs - cancelledAtMs} ms after it, and the job is ${body.state}`
      : undefined;
  },
);
