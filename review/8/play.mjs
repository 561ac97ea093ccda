import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { runCase } from '../stand-ins-2/cluster.mjs';

/** Two queues of one host; the prefix of the first begins the prefix of the second. */
const OUTER = { pathPrefix: '/lohu930/' };
const INNER = { pathPrefix: '/lohu930/pule252/' };
const WORK_MS = 60_000;
const JOBS = ['5c0e7a21d94b36f8', '7d1f8b32ea5c47a9', '9e2a9c43fb6d58b0', 'a13bad540c7e69c1'];
/** The last job is finished when it is asked for, the others are cancelled. */
const SHORT_JOB = JOBS.at(-1);
const SHORT_MS = 1_000;

await runCase(
  { folder: dirname(fileURLToPath(import.meta.url)), processes: 3, runners: 4 },
  async (cluster, hasTrouble) => {
    const { ackMs, cancel_ms: cancelMs, configApplyMs, stopTimeoutMs } = cluster.bounds;
    const running = new Set();
    for (const runner of cluster.runners)
      runner.onEvent = ({ kind, task }) => {
        if (kind === 'start') running.add(task);
        else if (kind === 'end') running.delete(task);
      };
    cluster.configure(1, [OUTER, INNER]);
    await cluster.start();
    for (const id of JOBS) {
      const ms = id === SHORT_JOB ? SHORT_MS : WORK_MS;
      const isAccepted = await cluster.submit(`${INNER.pathPrefix}${id}`, {
        spec: JSON.stringify({ steps: [{ ms }] }),
        phases: [{ count: 2, cpu: 1_000, memMb: 1_024, estimateMs: ms }],
      });
      if (!isAccepted) throw new Error('a job was not accepted');
    }
    await cluster.waitFor('all tasks run', 10_000, () => running.size >= 2 * (JOBS.length - 1));
    await cluster.sleep(2 * SHORT_MS);

    cluster.configure(2, hasTrouble ? [OUTER] : [OUTER, INNER]);
    await cluster.sleep(configApplyMs + 500);

    const faults = [];
    const ask = async (method, id) => {
      const endMs = cluster.elapsedMs() + ackMs;
      let status;
      for (let attempt = 0; cluster.elapsedMs() < endMs; attempt += 1) {
        const entry = cluster.processes[attempt % cluster.processes.length];
        ({ status } = await cluster.client(entry, method, `${INNER.pathPrefix}${id}`));
        if (status === 200 || status === 410) return status;
        await cluster.sleep(500);
      }
      return status;
    };
    const state = await ask('GET', SHORT_JOB);
    if (state !== 200) faults.push(`LOST: the state of the accepted job ${SHORT_JOB} is ${state}`);
    const statuses = [];
    for (const id of JOBS.filter((job) => job !== SHORT_JOB))
      statuses.push(await ask('DELETE', id));
    const refused = statuses.filter((status) => status !== 200 && status !== 410);
    await cluster.sleep(cancelMs + stopTimeoutMs);
    cluster.record('result', { statuses, running: [...running] });
    if (refused.length > statuses.length / 10)
      faults.push(
        `Acks: ${refused.length} of ${statuses.length} cancels of accepted jobs had no 2xx or 410 within ${ackMs} ms, and ${running.size} of their tasks run on`,
      );
    return faults.length > 0 ? faults.join('; ') : undefined;
  },
);
