import { createServer, connect, type AddressInfo, type Socket } from 'node:net';
import { test } from 'node:test';
import { setTimeout as pause } from 'node:timers/promises';
import { SystemClock } from '@acaciahoist/clock/system-clock';
import { findFreePorts } from '@acaciahoist/entry/find-free-ports';
import { expect } from 'earl';
import { Link } from './link.js';

/** Longer than a message takes on the loopback interface, with a margin for a busy machine. */
const ARRIVAL_MS = 250;

/** Runs a test with a link to a server that returns what it receives in upper case. */
async function withLink(
  run: (
    link: Link,
    open: () => Promise<{ socket: Socket; received: string; hasFailed: boolean }>,
    received: () => string,
  ) => Promise<void>,
): Promise<void> {
  let serverReceived = '';
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.on('data', (chunk) => {
      serverReceived += chunk.toString();
      socket.write(chunk.toString().toUpperCase());
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const target = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  const [port = 0] = await findFreePorts(1);
  const link = Link.create({ clock: SystemClock.create(), host: '127.0.0.1', port, target });
  await link.open();
  const sockets: Socket[] = [];
  const open = async () => {
    const socket = connect(port, '127.0.0.1');
    sockets.push(socket);
    const connection = { socket, received: '', hasFailed: false };
    socket.on('data', (chunk) => (connection.received += chunk.toString()));
    socket.on('error', () => (connection.hasFailed = true));
    await new Promise((resolve) => socket.once('connect', resolve));
    return connection;
  };
  try {
    await run(link, open, () => serverReceived);
  } finally {
    for (const socket of sockets) socket.destroy();
    link.close();
    server.close();
  }
}

// Guards against a soak without faults, because the links pass on everything at once.
test('a link with a delay passes on data later and in order', async () => {
  await withLink(async (link, open) => {
    const connection = await open();
    const remove = link.disturb({ type: 'delay', delayMs: 2 * ARRIVAL_MS });
    connection.socket.write('a');
    await pause(ARRIVAL_MS);
    remove();
    connection.socket.write('b');
    expect(connection.received).toEqual('');
    await pause(4 * ARRIVAL_MS);
    expect(connection.received).toEqual('AB');
  });
});

// Guards against a cut in one direction that also stops the other, or that never ends.
test('a link that is cut for responses passes on requests, and the responses after the cut', async () => {
  await withLink(async (link, open, received) => {
    const connection = await open();
    const remove = link.disturb({ type: 'cut', direction: 'response' });
    connection.socket.write('a');
    await pause(ARRIVAL_MS);
    expect([received(), connection.received]).toEqual(['a', '']);
    remove();
    await pause(ARRIVAL_MS);
    expect(connection.received).toEqual('A');
  });
});

// Guards against a cut that loses connections which are opened while it lasts.
test('a link that is cut for requests passes them on after the cut', async () => {
  await withLink(async (link, open, received) => {
    const remove = link.disturb({ type: 'cut', direction: 'request' });
    const connection = await open();
    connection.socket.write('a');
    await pause(ARRIVAL_MS);
    expect(received()).toEqual('');
    remove();
    await pause(ARRIVAL_MS);
    expect(connection.received).toEqual('A');
  });
});

// Guards against a silence that closes connections, or that affects those opened later.
test('a silent link loses the data of its open connections only and closes none', async () => {
  await withLink(async (link, open) => {
    const silent = await open();
    silent.socket.write('a');
    await pause(ARRIVAL_MS);
    const remove = link.disturb({ type: 'silence' });
    remove();
    const later = await open();
    for (const connection of [silent, later]) connection.socket.write('b');
    await pause(ARRIVAL_MS);
    expect([silent.received, later.received]).toEqual(['A', 'B']);
    expect([silent.hasFailed, silent.socket.destroyed]).toEqual([false, false]);
  });
});

// Guards against a reset that callers see as a regular end of the connection.
test('a link that is reset fails its open connections', async () => {
  await withLink(async (link, open) => {
    const connection = await open();
    connection.socket.write('a');
    await pause(ARRIVAL_MS);
    link.disturb({ type: 'reset' })();
    await pause(ARRIVAL_MS);
    expect([connection.received, connection.hasFailed]).toEqual(['A', true]);
  });
});

// Guards against a refused connection that looks accepted: it proves to peers that a process has exited.
test('a link that refuses connections keeps the open ones', async () => {
  await withLink(async (link, open) => {
    const connection = await open();
    connection.socket.write('a');
    await pause(ARRIVAL_MS);
    link.refuse();
    connection.socket.write('b');
    const [host, port] = link.address.split(':');
    const code = await new Promise((resolve) => {
      const refused = connect(Number(port), host);
      refused.once('error', (error: NodeJS.ErrnoException) => {
        resolve(error.code);
      });
      refused.once('connect', () => {
        resolve('connected');
      });
    });
    expect(code).toEqual('ECONNREFUSED');
    await pause(ARRIVAL_MS);
    expect(connection.received).toEqual('AB');
  });
});
