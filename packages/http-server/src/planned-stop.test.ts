import { connect } from 'node:net';
import { test } from 'node:test';
import { Worker } from 'node:worker_threads';
import { expect } from 'earl';
import { HttpServer } from './http-server.js';

/** Time for which the event loop of the server is blocked, ms. */
const BLOCK_MS = 300;
const OK = 'HTTP/1.1 200 OK';
/** Connections that wait to be accepted; more than an event loop accepts in a few turns, one in each. */
const NEW_CONNECTIONS = 40;

/**
 * A client in a thread of its own. Sends a request on a connection and reports its response; then sends, on
 * this connection and on new ones, a request each while the server is blocked, and reports all status lines.
 */
const CLIENT = `
const { parentPort, workerData } = require('node:worker_threads');
const { connect } = require('node:net');
const send = (socket) => {
  socket.write('GET / HTTP/1.1\\r\\nhost: a\\r\\n\\r\\n');
  return new Promise((resolve) => {
    const end = (text) => resolve(text.split('\\r\\n')[0]);
    socket.once('data', (chunk) => end(String(chunk)));
    socket.once('close', () => end('closed'));
    socket.once('error', () => undefined);
  });
};
const used = connect(workerData, '127.0.0.1');
send(used).then((answer) => parentPort.postMessage(answer));
parentPort.once('message', async () => {
  const sockets = Array.from({ length: ${NEW_CONNECTIONS} }, () => connect(workerData, '127.0.0.1'));
  parentPort.postMessage(await Promise.all([used, ...sockets].map(send)));
});
`;

function receiveFrom(client: Worker): Promise<unknown> {
  return new Promise((resolve) => client.once('message', resolve));
}

// Guards against a planned stop of a busy process that resets connections whose requests have arrived and have
// not been read yet.
test('the HTTP server answers the requests that arrived while its process was busy before the stop', async () => {
  const server = HttpServer.create({
    listen: '127.0.0.1:0',
    maxBodyBytes: 100,
    maxConnections: 2 * NEW_CONNECTIONS,
    requestTimeoutMs: 5_000,
    handle: () => Promise.resolve({ status: 200, headers: {}, body: new Uint8Array() }),
    onUnexpectedError: () => undefined,
  });
  await server.start();
  const port = Number(server.address().split(':')[1]);
  const client = new Worker(CLIENT, { eval: true, workerData: port });
  expect(await receiveFrom(client)).toEqual(OK);
  const answers = receiveFrom(client);
  client.postMessage('send');
  // The stop follows in the same turn of the event loop, as after a timer that fires late.
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, BLOCK_MS);
  const stopped = server.stop();
  expect(await answers).toEqual(Array.from({ length: 1 + NEW_CONNECTIONS }, () => OK));
  await stopped;
  await client.terminate();
});

// Guards against a planned stop that never ends, because a caller that is gone has left a connection on which it
// sent nothing or a part of a request: after the close of a server, Node sets no limits for such connections.
for (const sent of [
  '',
  'POST / HTTP/1.1\r\nhost: a\r\n',
  'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nx',
]) {
  test(
    `the HTTP server ends its stop when a caller has sent ${sent.length} bytes and remains silent`,
    { timeout: 10_000 },
    async (context) => {
      const server = HttpServer.create({
        listen: '127.0.0.1:0',
        maxBodyBytes: 100,
        maxConnections: 10,
        requestTimeoutMs: 300,
        handle: () => Promise.resolve({ status: 200, headers: {}, body: new Uint8Array() }),
        onUnexpectedError: () => undefined,
      });
      await server.start();
      const silent = connect(Number(server.address().split(':')[1]), '127.0.0.1');
      const answered = connect(Number(server.address().split(':')[1]), '127.0.0.1');
      context.after(() => {
        for (const socket of [silent, answered]) socket.destroy();
      });
      silent.on('error', () => undefined);
      silent.write(sent);
      await new Promise((resolve) => silent.once('connect', resolve));
      answered.write('GET / HTTP/1.1\r\nhost: a\r\n\r\n');
      await new Promise((resolve) => answered.once('data', resolve));
      await server.stop();
    },
  );
}
