import { connect } from 'node:net';
import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import type { HttpClient } from '@acaciahoist/http-client';
import type { StandIn } from './stand-in.js';
import { withPlatform } from './with-platform.js';

const TASK_START = {
  taskId: 't1',
  jobId: 'j1',
  resources: { millicores: 1, memoryMib: 1, accelerators: { gpu: 1 } },
  leaseMs: 1,
  deadlineMs: 1_000,
  runMs: 1,
  resume: false,
};

const VALID_BODIES: Record<string, unknown> = {
  '/fence': { token: 1 },
  '/tasks': { token: 1, starts: [TASK_START] },
  '/leases': { token: 1, taskIds: ['t1'], leaseMs: 1 },
  '/actions': { token: 1, actions: [{ taskId: 't1', action: 'stop' }] },
  '/control': { target: 'vm-list', fault: 'phantoms', value: [] },
};

/**
 * Replaces the value at one path of a JSON document. Each step of the path is the position of a key,
 * modulo the number of keys.
 */
function mutate(value: unknown, path: readonly number[], replacement: unknown): unknown {
  const [step, ...rest] = path;
  if (step === undefined || typeof value !== 'object' || value === null) return replacement;
  const keys = Object.keys(value);
  const key = keys[step % Math.max(1, keys.length)];
  if (key === undefined) return replacement;
  const oldValue = (value as Record<string, unknown>)[key];
  const newValue = mutate(oldValue, rest, replacement);
  if (Array.isArray(value))
    return value.map((item, index) => (String(index) === key ? newValue : (item as unknown)));
  return { ...value, [key]: newValue };
}

const path = fc.constantFrom(
  ...Object.keys(VALID_BODIES),
  '/run',
  '/usage',
  '/vms',
  '/streams/s',
  '/none',
);
const method = fc.constantFrom('GET' as const, 'POST' as const);
const body = (target: string) =>
  fc.oneof(
    fc.uint8Array({ maxLength: 200 }).map((bytes) => Buffer.from(bytes)),
    fc.json().map((text) => Buffer.from(text)),
    fc
      .tuple(fc.array(fc.nat(5), { maxLength: 5 }), fc.jsonValue())
      .map(([steps, value]) =>
        Buffer.from(JSON.stringify(mutate(VALID_BODIES[target], steps, value) ?? null)),
      ),
  );
const query = fc.constantFrom(
  '',
  '?from=-1',
  '?from=1e9',
  '?waitMs=x',
  '?maxBytes=0',
  '?limit=0',
  '?%',
);
const calls = path.chain((target) => fc.tuple(fc.constant(target), method, query, body(target)));

/** Checks that every member answers a probe and has recorded no internal error. */
async function expectEveryMemberAnswers(platform: StandIn, http: HttpClient): Promise<void> {
  const { log, vmList, workers, runners } = platform.addresses();
  for (const address of [log, vmList, ...workers, ...runners]) {
    const probe = await http.call(address, { method: 'GET', path: '/probe', timeoutMs: 2_000 });
    expect(probe.type === 'reply' && probe.status).toEqual(200);
  }
  expect(platform.history.ofType('internal-error')).toEqual([]);
}

// Guards against unexpected input that causes an exception and so ends the process with all members.
test('an endpoint answers any body on any path with 200, or with a 4xx status and an error kind', () =>
  withPlatform({}, async (platform, http) => {
    const { log, vmList, workers, runners } = platform.addresses();
    const addressOf = (target: string, index: number): string => {
      if (target === '/control' || target.startsWith('/streams')) return log;
      if (target === '/run') return runners[0] ?? '';
      if (Object.hasOwn(VALID_BODIES, target)) return workers[0] ?? '';
      return [log, vmList, ...workers, ...runners][index] ?? '';
    };
    await fc.assert(
      fc.asyncProperty(calls, fc.nat(3), async ([target, verb, suffix, bytes], index) => {
        const result = await http.call(addressOf(target, index), {
          method: verb,
          path: `${target}${suffix}`,
          body: bytes,
          timeoutMs: 5_000,
          headers: { 'x-service': 'constructor' },
        });
        if (result.type !== 'reply') throw new Error(`${result.type}: ${result.reason}`);
        if (result.status === 200) return;
        expect(result.status >= 400 && result.status < 500).toEqual(true);
        const error = JSON.parse(result.body.toString()) as { error: { kind: unknown } };
        expect(typeof error.error.kind).toEqual('string');
      }),
      { numRuns: 800 },
    );
    await expectEveryMemberAnswers(platform, http);
  }));

/** Lists the paths of all plain values in a JSON document. */
function listLeafPaths(value: unknown): number[][] {
  if (typeof value !== 'object' || value === null) return [[]];
  return Object.values(value).flatMap((item, index) =>
    listLeafPaths(item).map((rest) => [index, ...rest]),
  );
}

// Guards against a field whose type is not checked, for example a token that is compared as text.
test('a worker answers 400 to a field of the wrong type, and the call has no effect', () =>
  withPlatform({}, async (platform, http) => {
    const address = platform.addresses().workers[0] ?? '';
    let callCount = 0;
    for (const target of ['/fence', '/tasks', '/leases', '/actions']) {
      for (const leaf of listLeafPaths(VALID_BODIES[target])) {
        const bytes = Buffer.from(JSON.stringify(mutate(VALID_BODIES[target], leaf, {})));
        const request = { method: 'POST', path: target, body: bytes, timeoutMs: 5_000 } as const;
        const result = await http.call(address, request);
        expect(result.type === 'reply' && result.status).toEqual(400);
        callCount += 1;
      }
    }
    expect(callCount).toEqual(17);
    expect(platform.history.count('fenced')).toEqual(0);
  }));

test('an endpoint answers 413 to a body over the limit', () =>
  withPlatform({}, async (platform, http) => {
    const { log, workers } = platform.addresses();
    for (const [address, target, size] of [
      [log, '/streams/s', 32 * 1024 * 1024 + 1],
      [workers[0] ?? '', '/fence', 8 * 1024 * 1024 + 1],
    ] as const) {
      const request = { method: 'POST', path: target, body: Buffer.alloc(size) } as const;
      const result = await http.call(address, { ...request, timeoutMs: 5_000 });
      expect(result.type === 'reply' && result.status).toEqual(413);
    }
  }));

// Guards against a crash when a connection breaks or carries bytes that are not HTTP.
test('the platform keeps answering after any bytes on a connection', () =>
  withPlatform({}, async (platform, http) => {
    const { log } = platform.addresses();
    const [host, port] = log.split(':');
    const validRequest = 'POST /streams/s HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\n\r\nhello';
    const bytes = fc.oneof(
      fc.uint8Array({ maxLength: 100 }).map((list) => Buffer.from(list)),
      fc.nat(validRequest.length).map((length) => Buffer.from(validRequest.slice(0, length))),
    );
    await fc.assert(
      fc.asyncProperty(
        bytes,
        fc.boolean(),
        (sent, reset) =>
          new Promise<void>((resolve) => {
            const socket = connect(Number(port), host);
            socket.on('error', () => undefined);
            socket.on('close', () => {
              resolve();
            });
            socket.resume();
            socket.write(sent, () => {
              if (reset) socket.resetAndDestroy();
              else socket.end();
            });
          }),
      ),
      { numRuns: 150 },
    );
    await expectEveryMemberAnswers(platform, http);
  }));
