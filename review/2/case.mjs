// A runner loses power and starts again under its id, while the system goes on sending it starts.
import { fileURLToPath } from 'node:url';
import { jobId, queue, startCell } from '../stand-ins/cell.mjs';
import { call, sleep } from '../stand-ins/deployment.mjs';
import { runCase } from '../stand-ins/record.mjs';

const FOLDER = fileURLToPath(new URL('.', import.meta.url));
const HAS_TROUBLE = process.env.TROUBLE !== '0';
/** One of them is less than 0.15 of the service. */
const RUNNERS = 7;
const TASK_MS = 20_000;
const SUBMIT_INTERVAL_MS = 120;
const ROUNDS = 8;
const ROUND_MS = 5_000;
const DOWN_MS = 400;

await runCase(FOLDER, async ({ add, onStop }) => {
  const { workers, history, deployment } = await startCell({ add, onStop, workers: RUNNERS });
  let newestWorker = workers[0];
  for (const worker of workers) {
    const { onStart } = worker;
    worker.onStart = (run) => {
      newestWorker = worker;
      onStart(run);
    };
  }

  const accepted = [];
  let jobs = 0;
  const submit = async () => {
    jobs += 1;
    const id = jobId(jobs);
    const node = deployment.nodes[jobs % deployment.nodes.length];
    const body = {
      spec: JSON.stringify({ workMs: TASK_MS }),
      phases: [{ count: 1, cpu: 250, memMb: 256, estimateMs: TASK_MS }],
    };
    const reply = await call(node.frontend, 'POST', queue.prefix + id, { host: queue.host }, body);
    add(`client POST ${id} to ${node.name}: ${reply.status}`);
    if (reply.status === 200) accepted.push(id);
  };
  const timer = setInterval(() => void submit(), SUBMIT_INTERVAL_MS);
  await sleep(4_000);
  for (let round = 0; round < ROUNDS; round += 1) {
    if (HAS_TROUBLE) {
      const worker = newestWorker;
      history.loseAll(worker.losePower());
      await sleep(DOWN_MS);
      await worker.powerOn();
    }
    await sleep(ROUND_MS);
  }
  clearInterval(timer);
  await sleep(3_000);
  add(`${accepted.length} of ${jobs} jobs were accepted`);
  if (accepted.length < jobs / 2) throw new Error('the system accepted less than half of the jobs');
  return history.findOverlaps();
});
