import { createServer } from 'node:net';
import { test } from 'node:test';
import { expect } from 'earl';
import { SystemClock } from '@acaciahoist/clock/system-clock';
import { HttpClient } from '@acaciahoist/http-client';
import { createVmListClient } from '@acaciahoist/http-client/create-vm-list-client';
import { createWorkerClient } from '@acaciahoist/http-client/create-worker-client';
import { waitUntil } from '@acaciahoist/http-client/wait-until';
import type { TaskStart } from '@acaciahoist/types/task-start';
import { StandIn } from './stand-in.js';
import { withPlatform } from './with-platform.js';

const clock = SystemClock.create();

const TASK_START: TaskStart = {
  taskId: 't1',
  jobId: 'j1',
  resources: { millicores: 1_000, memoryMib: 64, accelerators: {} },
  leaseMs: 60_000,
  deadlineMs: 2_000,
  runMs: null,
  resume: false,
};

function withWorker(
  body: (
    worker: ReturnType<typeof createWorkerClient>,
    address: string,
    platform: StandIn,
    http: HttpClient,
  ) => Promise<void>,
): Promise<void> {
  return withPlatform({}, (platform, http) => {
    const address = platform.addresses().workers[0] ?? '';
    return body(createWorkerClient({ http, clock, timeoutMs: 300 }), address, platform, http);
  });
}

async function post(http: HttpClient, address: string, path: string, value: unknown) {
  const body = Buffer.from(JSON.stringify(value));
  return http.call(address, { method: 'POST', path, body, timeoutMs: 2_000 });
}

test('a worker serves starts, leases, actions and usage over HTTP', () =>
  withWorker(async (worker, address, platform) => {
    const results = (await worker.start(address, 3, [TASK_START])).unwrapOr([]);
    expect(results).toEqual([{ taskId: 't1', result: 'started', reason: '' }]);
    expect((await worker.renew(address, 3, ['t1'], 60_000)).isOk).toEqual(true);
    const report = (await worker.fence(address, 4)).unwrapOr(undefined);
    expect(report?.tasks.map(({ taskId, state }) => [taskId, state])).toEqual([['t1', 'running']]);
    await worker.sendActions(address, 4, [{ taskId: 't1', action: 'stop' }]);
    expect(platform.history.ofType('task-ended')[0]?.outcome).toEqual('stopped');
    expect((await worker.readReport(address)).isOk).toEqual(true);
  }));

// Guards against a former owner that still controls a worker after its successor fenced the worker.
test('a worker answers stale to every call with a lower token, and the call has no effect', () =>
  withWorker(async (worker, address, platform) => {
    await worker.start(address, 5, [TASK_START]);
    const calls = [
      await worker.fence(address, 4),
      await worker.start(address, 4, [{ ...TASK_START, taskId: 't2' }]),
      await worker.renew(address, 4, ['t1'], 1),
      await worker.sendActions(address, 4, [{ taskId: 't1', action: 'stop' }]),
    ];
    const kinds = calls.map((call) => (call.isErr ? call.error.kind : 'ok'));
    expect(kinds).toEqual(['stale', 'stale', 'stale', 'stale']);
    expect(platform.history.ofType('task-began').length).toEqual(1);
    expect(platform.history.ofType('task-ended').length).toEqual(0);
  }));

// Guards against a start that a frozen worker executes long after the call of the owner timed out.
test('a worker refuses a start whose deadline passed while the worker was frozen', () =>
  withWorker(async (worker, address, platform) => {
    await worker.fence(address, 1);
    await platform.control({ target: 'workers', fault: 'freeze', value: true });
    const result = await worker.start(address, 1, [{ ...TASK_START, deadlineMs: 60 }]);
    expect(result.isErr && result.error.kind).toEqual('outcome-unknown');
    await platform.control({ target: 'workers', fault: 'freeze', value: false });
    const isRefused = () => platform.history.ofType('start-refused').length === 1;
    expect(await platform.history.waitFor(isRefused, 5_000)).toEqual(true);
    expect(platform.history.ofType('task-began').length).toEqual(0);
  }));

// Guards against a start by a former owner on a restarted worker, which has lost the higher token.
test('a worker refuses a start for an earlier incarnation', () =>
  withWorker(async (worker, address, platform, http) => {
    await worker.fence(address, 9);
    await platform.control({ target: address, fault: 'down', value: true });
    expect(await waitUntil(() => http.counters().openConnections === 0)).toEqual(true);
    await platform.control({ target: address, fault: 'down', value: false });
    const [result] = (await worker.start(address, 1, [TASK_START])).unwrapOr([]);
    expect(result?.result).toEqual('refused');
  }));

test('a worker that goes down loses its tasks', () =>
  withWorker(async (worker, address, platform, http) => {
    await worker.start(address, 1, [TASK_START]);
    await platform.control({ target: address, fault: 'down', value: true });
    expect(await waitUntil(() => http.counters().openConnections === 0)).toEqual(true);
    expect(platform.history.ofType('task-ended')[0]?.outcome).toEqual('lost');
    const result = await worker.readReport(address);
    expect(result.isErr && result.error.details?.sent).toEqual(false);
    await platform.control({ target: address, fault: 'down', value: false });
    expect((await worker.fence(address, 0)).unwrapOr(undefined)?.tasks).toEqual([]);
  }));

// Guards against a fault that makes tests of network partitions wrong: it must affect no other process, and
// must end when it is set to `none`.
for (const [loses, startedCount] of [
  ['request', 0],
  ['response', 1],
] as const) {
  test(`a blocked link that loses the ${loses} affects the named process only`, () =>
    withWorker(async (worker, address, platform) => {
      await worker.fence(address, 1);
      const value = { process: 'p1', loses };
      await platform.control({ target: 'all', fault: 'blocked-link', value });
      const result = await worker.start(address, 1, [TASK_START]);
      expect(result.isErr && result.error.kind).toEqual('outcome-unknown');
      expect(platform.history.ofType('task-began').length).toEqual(startedCount);
      const otherClient = HttpClient.create({ clock, process: 'p2' });
      const reply = await post(otherClient, address, '/fence', { token: 1 });
      otherClient.close();
      expect(reply.type).toEqual('reply');
      await platform.control({
        target: 'all',
        fault: 'blocked-link',
        value: { process: 'p1', loses: 'none' },
      });
      expect((await worker.fence(address, 1)).isOk).toEqual(true);
    }));
}

test('a VM list with the fault slow responds after the delay that is set', () =>
  withPlatform({}, async (platform, http) => {
    await platform.control({ target: 'vm-list', fault: 'slow', value: 100 });
    const address = platform.addresses().vmList;
    const shortCall = await http.call(address, { method: 'GET', path: '/vms', timeoutMs: 50 });
    const longCall = await http.call(address, { method: 'GET', path: '/vms', timeoutMs: 2_000 });
    expect([shortCall.type, longCall.type]).toEqual(['unknown', 'reply']);
  }));

// Guards against a simulated list that is always correct: tests would then not detect callers that rely on
// this.
test('the VM list shows changes after its lag, and omits or adds VMs according to its faults', () =>
  withPlatform({ vmList: { lagMs: 60_000 } }, async (platform, http) => {
    const { vmList, workers, runners } = platform.addresses();
    const list = createVmListClient({ http, address: vmList });
    const states = async () =>
      (await list()).unwrapOr([]).map(({ address, state }) => `${address} ${state}`);
    const [worker = '', runner = ''] = [...workers, ...runners];
    await platform.control({ target: runner, fault: 'leave', value: 60_000 });
    await platform.control({ target: worker, fault: 'down', value: true });
    expect(await states()).toEqual([`${worker} live`, `${runner} live`]);
    await platform.control({ target: 'vm-list', fault: 'lag', value: 0 });
    await platform.control({ target: 'vm-list', fault: 'leaving', value: runner });
    expect(await states()).toEqual([`${worker} live`, `${runner} leaving`]);
    await platform.control({ target: 'vm-list', fault: 'hide', value: [worker] });
    const [first] = platform.vmList.list();
    const phantom = { ...first, address: '127.0.0.1:1' };
    await platform.control({ target: 'vm-list', fault: 'phantoms', value: [phantom] });
    expect(await states()).toEqual([`${runner} leaving`, '127.0.0.1:1 leaving']);
    await platform.control({ target: 'vm-list', fault: 'outage', value: true });
    expect((await list()).isErr).toEqual(true);
  }));

test('a leaving runner goes down after its notice', () =>
  withPlatform({}, async (platform) => {
    await platform.control({ target: 'runners', fault: 'leave', value: 20 });
    const isDown = () => platform.history.ofType('endpoint-down').length === 1;
    expect(await platform.history.waitFor(isDown, 5_000)).toEqual(true);
    expect(platform.history.ofType('endpoint-leaving').length).toEqual(1);
  }));

test('the log endpoint serves control calls and the history while it is silent', () =>
  withPlatform({}, async (platform, http) => {
    const { log } = platform.addresses();
    const call = { target: 'log', fault: 'silent', value: 'request' };
    const reply = await post(http, log, '/control', call);
    expect(reply.type === 'reply' && reply.body.toString()).toEqual('{"reached":1}');
    for (const invalidCall of [
      { ...call, target: 'x' },
      { ...call, fault: 'x' },
      { ...call, value: 1 },
    ]) {
      const response = await post(http, log, '/control', invalidCall);
      expect(response.type === 'reply' && response.status).toEqual(400);
    }
    const read = await http.call(log, {
      method: 'GET',
      path: '/history?from=2&limit=2',
      timeoutMs: 2_000,
    });
    const page = JSON.parse(read.type === 'reply' ? read.body.toString() : '{}') as {
      events: { sequence: number }[];
      next: number;
      counts: Record<string, number>;
    };
    expect(page.events.map(({ sequence }) => sequence)).toEqual([2, 3]);
    expect(page.next).toEqual(4);
    expect([page.counts['endpoint-up'], page.counts.fault]).toEqual([4, 1]);
  }));

// Guards against placement tests in which all workers share one rack or have no accelerators.
test('the platform spreads workers over data centres and racks and gives some accelerators', () =>
  withPlatform(
    {
      dataCentres: ['a', 'b'],
      workers: { count: 6, perRack: 2, accelerated: { count: 1, accelerators: { gpu: 4 } } },
    },
    async (platform, http) => {
      const list = createVmListClient({ http, address: platform.addresses().vmList });
      const workers = (await list()).unwrapOr([]).filter(({ role }) => role === 'worker');
      expect(workers.map(({ dataCentre, rack }) => `${dataCentre} ${rack}`)).toEqual([
        'a a-r0',
        'b b-r0',
        'a a-r0',
        'b b-r0',
        'a a-r1',
        'b b-r1',
      ]);
      const accelerated = workers.map(({ resources }) => resources?.accelerators.gpu ?? 0);
      expect(accelerated).toEqual([4, 4, 0, 0, 0, 0]);
    },
  ));

// Guards against sockets that stay open after a failed start.
test('the platform rejects a start and leaves no socket open when a port is in use', () =>
  withPlatform({ workers: { count: 0 }, runners: { count: 0 } }, async (platform) => {
    const port = Number(platform.addresses().vmList.split(':')[1]);
    const second = StandIn.create({
      firstPort: port - 1,
      workers: { count: 0 },
      runners: { count: 0 },
    });
    await expect(second.start()).toBeRejectedWith('EADDRINUSE');
    expect(second.history.count('endpoint-up')).toEqual(second.history.count('endpoint-down'));
  }));

// Guards against a restart that fails because another process took the port while the runner was down.
test('a runner that opens again waits until its port is free', () =>
  withPlatform({}, async (platform, http) => {
    const runner = platform.addresses().runners[0] ?? '';
    await platform.control({ target: runner, fault: 'down', value: true });
    const portHolder = createServer();
    await new Promise<void>((resolve) =>
      portHolder.listen(Number(runner.split(':')[1]), '127.0.0.1', resolve),
    );
    const reopening = platform.control({ target: runner, fault: 'down', value: false });
    clock.after(100, () => portHolder.close());
    expect((await reopening).isOk).toEqual(true);
    const probe = await http.call(runner, { method: 'GET', path: '/probe', timeoutMs: 2_000 });
    expect(probe.type).toEqual('reply');
  }));
