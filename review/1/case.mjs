// A task fails once on the only runner that is large enough for it. It is never started again.
import { fileURLToPath } from 'node:url';
import { jobId, queue, startCell } from '../stand-ins/cell.mjs';
import { call, sleep } from '../stand-ins/deployment.mjs';
import { runCase } from '../stand-ins/record.mjs';

const FOLDER = fileURLToPath(new URL('.', import.meta.url));
const HAS_TROUBLE = process.env.TROUBLE !== '0';
const LARGE_CPU = 32_000;
const SMALL_CPU = 8_000;
/** More than a small runner has; two tasks fit on the large one. */
const TASK_CPU = 12_000;
const TASK_MS = 2_000;
const TASKS = 4;
const RUNNERS = 7;
const JOBS = 3;
const JOB_INTERVAL_MS = 1_000;
/** `finish_s` of the site. */
const FINISH_MS = 14_000;
/** The work of all jobs on the large runner, and the failed runs. */
const WORK_MS = (JOBS * (TASKS + 1) * TASK_MS) / 2;
/** Time without a run after which the rule is broken. */
const IDLE_MS = 3_000;

await runCase(FOLDER, async ({ add, onStop }) => {
  const { workers, deployment } = await startCell({
    add,
    onStop,
    workers: RUNNERS,
    cpuOf: (index) => (index === 0 ? LARGE_CPU : SMALL_CPU),
  });
  const lastAtWork = new Map();
  const watch = setInterval(() => {
    for (const worker of workers)
      for (const task of worker.life.running.keys())
        lastAtWork.set(task.split('.')[0], performance.now());
  }, 20);
  onStop(() => clearInterval(watch));

  const ids = [];
  for (let number = 1; number <= JOBS; number += 1) {
    const id = jobId(number);
    const node = deployment.nodes[number % deployment.nodes.length];
    const body = {
      spec: JSON.stringify({ workMs: TASK_MS, failsFirst: HAS_TROUBLE && number === 1 ? [0] : [] }),
      phases: [{ count: TASKS, cpu: TASK_CPU, memMb: 1024, estimateMs: TASK_MS }],
    };
    const reply = await call(node.frontend, 'POST', queue.prefix + id, { host: queue.host }, body);
    add(`client POST ${id} to ${node.name}: ${reply.status}`);
    if (reply.status !== 200) throw new Error('a job was not accepted');
    ids.push(id);
    await sleep(JOB_INTERVAL_MS);
  }
  await sleep(WORK_MS + FINISH_MS);

  const problems = [];
  const free = LARGE_CPU - [...workers[0].life.running.keys()].length * TASK_CPU;
  for (const id of ids) {
    const [node] = deployment.nodes;
    const path = queue.prefix + id;
    const reply = await call(node.frontend, 'GET', path, { host: queue.host });
    add(`client GET ${id} at ${node.name}: ${reply.status} ${reply.body}`);
    if (reply.status === 200 && JSON.parse(reply.body).state === 'completed') continue;
    const idleMs = performance.now() - (lastAtWork.get(id) ?? 0);
    if (idleMs > IDLE_MS && free >= 2 * TASK_CPU)
      problems.push(
        `LOST: job ${id} has had nothing running for ${Math.round(idleMs)} ms, while ${free} thousandths of a ` +
          `core are free on the runner that is large enough, and a task needs ${TASK_CPU}`,
      );
  }
  return problems;
});
