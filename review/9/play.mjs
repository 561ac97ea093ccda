import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { runCase } from '../stand-ins-2/cluster.mjs';

const PREFIX = '/lohu930/';
const LONG_JOB = `${PREFIX}5c0e7a21d94b36f8`;
const LARGE_JOB = `${PREFIX}7d1f8b32ea5c47a9`;
const SMALL_JOB = `${PREFIX}9e2a9c43fb6d58b0`;
const LONG_MS = 27_000;
const LARGE_MS = 10_000;
/** The second step of the small job becomes due shortly before the jobs are asked for. */
const FIRST_MS = 13_500;
const SECOND_MS = 20_000;
const IDLE_MS = 3_000;

await runCase(
  { folder: dirname(fileURLToPath(import.meta.url)), processes: 3, runners: 3 },
  async (cluster, hasTrouble) => {
    cluster.configure(1, [{ pathPrefix: PREFIX }]);
    const running = new Map();
    const ended = new Set();
    for (const runner of cluster.runners)
      runner.onEvent = ({ kind, task, how }) => {
        if (kind === 'start') running.set(task, runner);
        else if (kind === 'end') {
          running.delete(task);
          if (how === 'done') ended.add(task);
        }
      };
    await cluster.start();
    const submit = async (path, steps, phases) => {
      const isAccepted = await cluster.submit(path, { spec: JSON.stringify({ steps }), phases });
      if (!isAccepted) throw new Error('a job was not accepted');
    };
    await submit(
      LONG_JOB,
      [{ ms: LONG_MS }],
      [{ count: 1, cpu: 15_000, memMb: 1_024, estimateMs: LONG_MS }],
    );
    await cluster.waitFor('the long task runs', 5_000, () => running.size === 1);
    await submit(
      SMALL_JOB,
      [{ ms: FIRST_MS }, { ms: SECOND_MS }],
      [
        { count: 1, cpu: 2_000, memMb: 1_024, estimateMs: FIRST_MS },
        { count: 1, cpu: 8_000, memMb: 1_024, estimateMs: SECOND_MS, after: [0] },
      ],
    );
    // Two tasks on each runner: it fits once the long task has ended.
    if (hasTrouble)
      await submit(
        LARGE_JOB,
        [{ ms: LARGE_MS, gang: true, count: 6 }],
        [{ count: 6, cpu: 15_000, memMb: 1_024, estimateMs: LARGE_MS, gang: true }],
      );
    cluster.record('end-of-traffic');
    const finishMs = cluster.elapsedMs() + cluster.bounds.finish_s * 1_000;
    const [, , id] = SMALL_JOB.split('/');
    const isIdle = () =>
      ended.has(`${id}.0.0.0`) && !ended.has(`${id}.0.1.0`) && !running.has(`${id}.0.1.0`);
    while (cluster.elapsedMs() < finishMs) await cluster.sleep(20);
    let verdict = `LOST: the job ${id} has had nothing running for ${IDLE_MS} ms, with 15 of 96 cores in use`;
    while (cluster.elapsedMs() < finishMs + IDLE_MS) {
      if (!isIdle()) verdict = undefined;
      await cluster.sleep(20);
    }
    cluster.record('running', {
      tasks: [...running].map(([task, runner]) => `${task} on ${runner.id}`),
    });
    if (hasTrouble)
      await cluster.waitFor('it runs', 40_000, () => !isIdle()).catch(() => undefined);
    return verdict;
  },
);
