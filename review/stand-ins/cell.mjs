// Starts a small deployment: a store, runners and three processes of the system, in three zones.
import { Deployment, sleep } from './deployment.mjs';
import { RunHistory } from './run-history.mjs';
import { Store } from './store.mjs';
import { Worker } from './worker.mjs';

const HOST = '127.0.0.1';
const ZONES = ['zone-a', 'zone-b', 'zone-c'];
/** Time for the processes to choose an owner and to find the runners. */
const SETTLE_MS = 3_000;

/** Queues of the configuration; `priority` 0 comes first. */
export const queue = { name: 'queue', host: 'queue.example', prefix: '/queue/', priority: 1 };
export const lowQueue = { name: 'low', host: 'low.example', prefix: '/low/', priority: 2 };

const configuration = {
  version: 1,
  routes: [queue, lowQueue].map(({ name, host, prefix, priority }) => ({
    name,
    host,
    pathPrefix: prefix,
    kind: 'non_idempotent',
    timeoutMs: 3000,
    targetDurationMs: 1000,
    priority,
    service: 'service',
    maxAttempts: 3,
    slackFactor: 2,
  })),
  services: [{ name: 'service', rejectsOverload: false }],
  limits: {},
};

/**
 * `onStop` registers what ends the parts again. `processes`: their number. `workers`: the number of runners.
 * `cpuOf`: the processors of a runner, in thousandths of a core, by its index.
 * `kindOf`: its first label.
 */
export async function startCell({
  add,
  onStop,
  workers: workerCount = 6,
  processes = 3,
  cpuOf,
  kindOf,
}) {
  const store = new Store({ host: HOST });
  await store.start();
  onStop(() => store.stop());
  store.put('keyed.op', 'config', configuration);
  const history = new RunHistory();
  const workers = [];
  for (let index = 0; index < workerCount; index += 1) {
    const worker = new Worker({
      id: `i-00000${index}`,
      host: HOST,
      store,
      service: 'service',
      zone: ZONES[index % ZONES.length],
      rack: `r${index % 2}`,
      record: add,
      ...(cpuOf === undefined ? {} : { cpu: cpuOf(index) }),
      ...(kindOf === undefined ? {} : { kind: kindOf(index) }),
    });
    history.watch(worker);
    await worker.start();
    onStop(() => worker.stop());
    workers.push(worker);
  }
  const deployment = new Deployment({ record: add, store, logPath: process.env.LOG });
  onStop(() => deployment.stop());
  for (let index = 0; index < processes; index += 1) {
    const zone = ZONES[index % ZONES.length];
    const name = `frontend-${index}`;
    deployment.startNode(await deployment.addNode({ name, host: HOST, zone, zones: ZONES }));
  }
  await deployment.waitReady();
  await sleep(SETTLE_MS);
  return { store, history, workers, deployment };
}

/** Returns the id of the job with this number. */
export function jobId(number) {
  return number.toString(16).padStart(16, '0');
}
