import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { SystemClock } from '@acaciahoist/clock/system-clock';
import { createLogStream } from './create-log-stream.js';
import { createRunnerClient } from './create-runner-client.js';
import { createWorkerClient } from './create-worker-client.js';
import { HttpClient } from './index.js';
import { pageCodec } from './page-codec.js';
import { RawServer } from './raw-server.js';

const clock = SystemClock.create();

/** Runs `use` against a server that answers every call with this status and body. */
async function withAnswer(
  status: string,
  body: string | Buffer,
  run: (http: HttpClient, address: string) => Promise<void>,
): Promise<void> {
  const server = await RawServer.start(({ socket, requestId }) => {
    socket.write(RawServer.createResponse(requestId, body, status));
  });
  const http = HttpClient.create({ clock, process: 'p1' });
  try {
    await run(http, server.address);
  } finally {
    http.close();
    await server.stop();
  }
}

// Guards against a status that leaves the effect open being reported as "not appended".
for (const [status, body, kind] of [
  ['200 OK', '{"offset":7}', 'ok'],
  ['200 OK', '{"offset":-1}', 'append-unknown'],
  ['200 OK', 'no json', 'append-unknown'],
  ['429 Too Many Requests', '', 'log-unavailable'],
  ['503 Service Unavailable', '', 'log-unavailable'],
  ['413 Payload Too Large', '', 'log-unavailable'],
  ['408 Request Timeout', '', 'append-unknown'],
  ['500 Internal Server Error', '', 'append-unknown'],
  ['502 Bad Gateway', '', 'append-unknown'],
  ['504 Gateway Timeout', '', 'append-unknown'],
] as const) {
  test(`an append answered with ${status} ${body} gives ${kind}`, () =>
    withAnswer(status, body, async (http, address) => {
      const result = await createLogStream({ http, address, stream: 's' }).append(
        Buffer.from('x'),
        2_000,
      );
      expect(result.isOk ? 'ok' : result.error.kind).toEqual(kind);
    }));
}

// Guards against a worker call whose effect is open being reported as refused, and the reverse.
for (const [status, body, kind] of [
  ['409 Conflict', '{}', 'stale'],
  ['400 Bad Request', '{}', 'bad-request'],
  ['500 Internal Server Error', '{}', 'outcome-unknown'],
  ['503 Service Unavailable', '{}', 'outcome-unknown'],
  ['200 OK', '[]', 'outcome-unknown'],
  ['200 OK', '{"sequence":1,"incarnation":"i","tasks":[{"taskId":"t"}]}', 'outcome-unknown'],
] as const) {
  test(`a fence answered with ${status} ${body} gives ${kind}`, () =>
    withAnswer(status, body, async (http, address) => {
      const result = await createWorkerClient({ http, clock }).fence(address, 1);
      expect(result.isErr && result.error.kind).toEqual(kind);
    }));
}

// Guards against a reader that skips records or reads them twice.
for (const [from, start, isOk] of [
  [5, 5, true],
  [1, 3, true],
  [5, 6, false],
  [5, 4, false],
] as const) {
  test(`a read from ${from} of a log that keeps 3 on, answered from ${start}, is ok: ${isOk}`, () => {
    const records = [{ offset: start, data: Buffer.from('x') }];
    const page = pageCodec.encode({ firstRetained: 3, end: 9, records });
    return withAnswer('200 OK', page, async (http, address) => {
      const result = await createLogStream({ http, address, stream: 's' }).read(from, 0);
      expect(result.isOk).toEqual(isOk);
    });
  });
}

// Guards against results that are attributed to the wrong task.
test('start results for other tasks than those asked for are unknown', () =>
  withAnswer('200 OK', '{"results":[]}', async (http, address) => {
    const resources = { millicores: 1, memoryMib: 1, accelerators: {} };
    const common = { jobId: 'j', resources, leaseMs: 1, runMs: 1, resume: false };
    const start = { ...common, taskId: 't', deadlineMs: 1_000 };
    const result = await createWorkerClient({ http, clock }).start(address, 1, [start]);
    expect(result.isErr && result.error.kind).toEqual('outcome-unknown');
  }));

// Guards against a slot that the runner uses longer than the caller's deadline.
test('the deadline that a runner gets does not include the wait for a connection', async () => {
  const deadlines: number[] = [];
  const server = await RawServer.start(({ socket, requestId, head }) => {
    deadlines.push(Number(/x-deadline-ms: (\d+)/.exec(head)?.[1]));
    clock.after(100, () => socket.write(RawServer.createResponse(requestId)));
  });
  const http = HttpClient.create({ clock, process: 'p1', maxConnections: 1 });
  const runner = createRunnerClient({ http });
  const request = {
    service: 's',
    contentType: 'text/plain',
    body: Buffer.alloc(0),
    deadlineMs: 1_000,
  };
  await Promise.all(
    ['a', 'b'].map((requestId) => runner(server.address, { ...request, requestId })),
  );
  http.close();
  await server.stop();
  expect(deadlines.length).toEqual(2);
  expect((deadlines[1] ?? 1_000) <= 901).toEqual(true);
});

// Guards against fuzzed pages that crash a reader or hide a gap.
test('pages survive encoding, and no bytes make decoding throw or give a gap', () => {
  const data = fc.uint8Array({ maxLength: 20 });
  fc.assert(
    fc.property(fc.array(data), fc.nat(1_000), fc.nat(100), (list, firstRetained, more) => {
      const records = list.map((bytes, index) => ({ offset: firstRetained + index, data: bytes }));
      const page = { firstRetained, end: firstRetained + list.length + more, records };
      const decoded = pageCodec.decode(pageCodec.encode(page)).unwrapOr(undefined);
      const plain = decoded?.records.map((record) => ({
        offset: record.offset,
        data: new Uint8Array(record.data),
      }));
      expect({ ...decoded, records: plain }).toEqual({
        ...page,
        records: records.map((record) => ({ ...record, data: new Uint8Array(record.data) })),
      });
    }),
  );
  fc.assert(
    fc.property(fc.uint8Array({ maxLength: 80 }), (bytes) => {
      const decoded = pageCodec.decode(Buffer.from(bytes));
      const records = decoded.isOk ? decoded.value.records : [];
      for (const [index, { offset }] of records.entries()) {
        expect(offset).toEqual((records[0]?.offset ?? 0) + index);
      }
    }),
  );
});
