import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { SystemClock } from '@acaciahoist/clock/system-clock';
import { createLogStream } from './create-log-stream.js';
import { createRunnerClient } from './create-runner-client.js';
import { createWorkerClient } from './create-worker-client.js';
import { HttpClient } from './http-client.js';
import { pageCodec } from './page-codec.js';
import { RawServer } from './raw-server.js';

const clock = SystemClock.create();

/** Starts a server that answers every call with this status and body, and runs `run` with a client. */
async function withFixedReply(
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

// Guards against reporting "not appended" for a status after which the record may have been appended.
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
  test(`the log stream turns an append answered with ${status} ${body} into ${kind}`, () =>
    withFixedReply(status, body, async (http, address) => {
      const result = await createLogStream({ http, address, stream: 's' }).append(
        Buffer.from('x'),
        2_000,
      );
      expect(result.isOk ? 'ok' : result.error.kind).toEqual(kind);
    }));
}

// Guards against reporting a worker call that may have taken effect as refused, and the reverse.
for (const [status, body, kind] of [
  ['409 Conflict', '{}', 'stale'],
  ['400 Bad Request', '{}', 'bad-request'],
  ['500 Internal Server Error', '{}', 'outcome-unknown'],
  ['503 Service Unavailable', '{}', 'outcome-unknown'],
  ['200 OK', '[]', 'outcome-unknown'],
  ['200 OK', '{"sequence":1,"incarnation":"i","tasks":[{"taskId":"t"}]}', 'outcome-unknown'],
] as const) {
  test(`the worker client turns a fence answered with ${status} ${body} into ${kind}`, () =>
    withFixedReply(status, body, async (http, address) => {
      const result = await createWorkerClient({ http, clock }).fence(address, 1);
      expect(result.isErr && result.error.kind).toEqual(kind);
    }));
}

// Guards against a reader that skips records or reads them twice because a page starts at a wrong offset.
for (const [from, start, isOk] of [
  [5, 5, true],
  [1, 3, true],
  [5, 6, false],
  [5, 4, false],
] as const) {
  test(`the log stream that reads from offset ${from} of a log retained from 3 ${isOk ? 'accepts' : 'rejects'} a page that starts at ${start}`, () => {
    const records = [{ offset: start, data: Buffer.from('x') }];
    const page = pageCodec.encode({ firstRetained: 3, end: 9, records });
    return withFixedReply('200 OK', page, async (http, address) => {
      const result = await createLogStream({ http, address, stream: 's' }).read(from, 0);
      expect(result.isOk).toEqual(isOk);
    });
  });
}

// Guards against attributing the result of a start to the wrong task when a worker leaves out or reorders
// results.
test('the worker client reports an unknown outcome when results do not match the requested starts', () =>
  withFixedReply('200 OK', '{"results":[]}', async (http, address) => {
    const resources = { millicores: 1, memoryMib: 1, accelerators: {} };
    const startBase = { jobId: 'j', resources, leaseMs: 1, runMs: 1, resume: false };
    const start = { ...startBase, taskId: 't', deadlineMs: 1_000 };
    const result = await createWorkerClient({ http, clock }).start(address, 1, [start]);
    expect(result.isErr && result.error.kind).toEqual('outcome-unknown');
  }));

// Guards against a run that uses a slot of the runner past the deadline of the caller, because the call waited
// for a connection and still states its whole deadline.
test('the runner client states a deadline that is reduced by the wait for a connection', async () => {
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

// Guards against malformed pages that make a reader throw or hide a gap between records.
test('the page codec restores encoded pages and never throws or returns a gap for random bytes', () => {
  const data = fc.uint8Array({ maxLength: 20 });
  fc.assert(
    fc.property(
      fc.array(data),
      fc.nat(1_000),
      fc.nat(100),
      (dataList, firstRetained, laterRecords) => {
        const records = dataList.map((bytes, index) => ({
          offset: firstRetained + index,
          data: bytes,
        }));
        const page = {
          firstRetained,
          end: firstRetained + dataList.length + laterRecords,
          records,
        };
        const decoded = pageCodec.decode(pageCodec.encode(page)).unwrapOr(undefined);
        const decodedRecords = decoded?.records.map((record) => ({
          offset: record.offset,
          data: new Uint8Array(record.data),
        }));
        expect({ ...decoded, records: decodedRecords }).toEqual({
          ...page,
          records: records.map((record) => ({ ...record, data: new Uint8Array(record.data) })),
        });
      },
    ),
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
