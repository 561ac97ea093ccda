// A runner loses power and starts again under its id, while the system goes on sending it starts.
import { fileURLToPath } from 'node:url';
import { call, Deployment, sleep } from '../stand-ins/deployment.mjs';
import { runCase } from '../stand-ins/record.mjs';
import { RunHistory } from '../stand-ins/run-history.mjs';
import { Store } from '../stand-ins/store.mjs';
import { Worker } from '../stand-ins/worker.mjs';

const FOLDER = fileURLToPath(new URL('.', import.meta.url));
const HAS_TROUBLE = process.env.TROUBLE !== '0';
const HOST = '127.0.0.1';
const ZONES = ['zone-a', 'zone-b', 'zone-c'];
const WORKERS = 6;
const TASK_MS = 20_000;
const SUBMIT_INTERVAL_MS = 120;
const ROUNDS = 8;
const ROUND_MS = 5_000;
const DOWN_MS = Number(process.env.DOWN_MS ?? 400);

await runCase(FOLDER, async ({ add, onStop }) => {
  const store = new Store({ host: HOST });
  await store.start();
  onStop(() => store.stop());
  store.put('keyed.op', 'config', {
    version: 1,
    routes: [
      {
        name: 'queue',
        host: 'queue.example',
        pathPrefix: '/queue/',
        kind: 'non_idempotent',
        timeoutMs: 3000,
        targetDurationMs: 1000,
        priority: 1,
        service: 'service',
        maxAttempts: 3,
        slackFactor: 2,
      },
    ],
    services: [{ name: 'service', rejectsOverload: false }],
    limits: {},
  });
  const history = new RunHistory();
  const workers = [];
  let newestWorker;
  for (let index = 0; index < WORKERS; index += 1) {
    const worker = new Worker({
      id: `i-00000${index}`,
      host: HOST,
      store,
      service: 'service',
      zone: ZONES[index % ZONES.length],
      rack: `r${index % 2}`,
      record: add,
    });
    history.watch(worker);
    const { onStart } = worker;
    worker.onStart = (run) => {
      newestWorker = worker;
      onStart(run);
    };
    await worker.start();
    onStop(() => worker.stop());
    workers.push(worker);
  }
  const deployment = new Deployment({ record: add, store, logPath: process.env.LOG });
  onStop(() => deployment.stop());
  for (const [index, zone] of ZONES.entries()) {
    const node = await deployment.addNode({
      name: `frontend-${index}`,
      host: HOST,
      zone,
      zones: ZONES,
    });
    deployment.startNode(node);
  }
  await deployment.waitReady();
  await sleep(3_000);

  const accepted = [];
  let jobs = 0;
  const submit = async () => {
    jobs += 1;
    const id = jobs.toString(16).padStart(16, '0');
    const node = deployment.nodes[jobs % deployment.nodes.length];
    const reply = await call(
      node.frontend,
      'POST',
      `/queue/${id}`,
      { host: 'queue.example' },
      {
        spec: JSON.stringify({ workMs: TASK_MS }),
        phases: [{ count: 1, cpu: 250, memMb: 256, estimateMs: TASK_MS }],
      },
    );
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
