import {
  createServer,
  type AddressInfo,
  type Server,
  type Socket as TcpSocket,
  connect,
} from 'node:net';
import { afterEach, test } from 'node:test';
import { expect } from 'earl';
import Result from 'true-myth/result';
import { SystemClock } from '@acaciahoist/clock/system-clock';
import type { ProcessIdentity } from '@acaciahoist/types/process-identity';
import { PeerClient } from './peer-client.js';
import { PeerServer } from './peer-server.js';

const clock = SystemClock.create();
const createIdentity = (name: string): ProcessIdentity => ({
  process: name,
  incarnation: `${name}-1`,
  dataCentre: 'dc-a',
});
const closers: (() => Promise<void> | void)[] = [];
afterEach(async () => {
  for (const close of closers.splice(0).reverse()) await close();
});

function createClient(refused: string[] = []): PeerClient {
  const client = PeerClient.create({
    clock,
    identity: createIdentity('client'),
    probeMs: 30,
    probeTimeoutMs: 100,
    connectTimeoutMs: 500,
    onRefused: (address) => refused.push(address),
  });
  closers.push(() => {
    client.stop();
  });
  return client;
}

async function startServer(): Promise<PeerServer> {
  const server = PeerServer.create({
    identity: createIdentity('server'),
    listen: '127.0.0.1:0',
    maxConnections: 10,
    handle: () => Promise.resolve(Result.ok({ revision: 3, text: 't', operator: 'o' })),
    onMalformedFrame: () => undefined,
  });
  await server.start();
  closers.push(() => server.stop());
  return server;
}

/** Time in ms in which a client that goes on after its stop would open a connection: several probe timeouts. */
const AFTER_STOP_MS = 400;

interface Relay {
  address: string;
  freeze: () => void;
  /** Accepts further connections without forwarding them; the returned function forwards them. */
  hold: () => () => void;
  /** Number of connections that are open and not frozen. */
  countOpen: () => number;
  /** Number of connections that were opened so far. */
  countConnections: () => number;
}

/** Forwards TCP to `port`; `freeze` makes the open connections silent without closing them. */
async function startRelay(port: number): Promise<Relay> {
  const socketPairs: [TcpSocket, TcpSocket][] = [];
  const frozenSockets = new Set<TcpSocket>();
  let held: (() => void)[] | undefined;
  const forward = (inbound: TcpSocket): void => {
    const outbound = connect(port, '127.0.0.1');
    inbound.pipe(outbound);
    outbound.pipe(inbound);
    for (const socket of [inbound, outbound]) socket.on('error', () => undefined);
    socketPairs.push([inbound, outbound]);
  };
  const relay: Server = createServer((inbound) => {
    if (held === undefined) forward(inbound);
    else
      held.push(() => {
        forward(inbound);
      });
  });
  await new Promise<void>((resolve) => relay.listen(0, '127.0.0.1', resolve));
  closers.push(() => {
    for (const sockets of socketPairs) for (const socket of sockets) socket.destroy();
    relay.close();
  });
  return {
    address: `127.0.0.1:${(relay.address() as AddressInfo).port}`,
    freeze: () => {
      for (const [inbound, outbound] of socketPairs) {
        inbound.unpipe(outbound);
        outbound.unpipe(inbound);
        inbound.pause();
        outbound.pause();
        frozenSockets.add(inbound);
      }
    },
    hold: () => {
      held = [];
      return () => {
        for (const release of held ?? []) release();
        held = undefined;
      };
    },
    countOpen: () =>
      socketPairs.filter(([inbound]) => !inbound.destroyed && !frozenSockets.has(inbound)).length,
    countConnections: () => socketPairs.length,
  };
}

test('the peer client returns the reply when the peer answers a call', async () => {
  const server = await startServer();
  const reply = await createClient().call(server.address(), 'read-configuration', {}, 1_000);
  expect(reply.isOk && reply.value.revision).toEqual(3);
});

// Guards against a call that waits for its deadline, or counts as possibly executed, although the address
// refuses connections.
test('the peer client reports a refused address and fails the call as not sent when no process listens', async () => {
  const stopped = await startServer();
  const address = stopped.address();
  await stopped.stop();
  const refused: string[] = [];
  const reply = await createClient(refused).call(address, 'read-configuration', {}, 1_000);
  expect(reply.isErr && reply.error.kind).toEqual('owner-unreachable');
  expect(refused).toEqual([address]);
});

// Guards against a process that ends because another one named an address with a port out of range: the call
// threw, and its callers handle failed calls only. After more than ten unexpected errors in 10 s a process ends.
test('the peer client fails a call as not sent when the address is not valid', async () => {
  const client = createClient();
  for (const address of ['127.0.0.1:99999', '999.0.0.1:80', 'a b:80', '', '127.0.0.1:80#x']) {
    for (let attempt = 0; attempt < 2; attempt += 1) {
      const reply = await client.call(address, 'read-configuration', {}, 200);
      expect(reply.isErr && reply.error.kind).toEqual('owner-unreachable');
    }
  }
});

// Guards against calls that hang after a network device dropped a connection: the socket stays open but
// delivers nothing.
test('the peer client reports the outstanding call as unknown and replaces the connection when it becomes silent', async () => {
  const server = await startServer();
  const relay = await startRelay(Number(server.address().split(':')[1]));
  const client = createClient();
  const firstReply = await client.call(relay.address, 'read-configuration', {}, 1_000);
  expect(firstReply.isOk).toEqual(true);
  relay.freeze();
  const unansweredCall = await client.call(relay.address, 'read-configuration', {}, 2_000);
  expect(unansweredCall.isErr && unansweredCall.error.kind).toEqual('outcome-unknown');
  const replyOnReplacement = await client.call(relay.address, 'read-configuration', {}, 2_000);
  expect(replyOnReplacement.isOk).toEqual(true);
  expect(client.describe()[0]?.replacements).toEqual(1);
});

// Guards against a peer that can never be called again after it was paused: a second replacement was opened
// while the first one was being opened, and the link then used neither.
test('the peer client can call a peer again when several calls failed before a replacement was open', async () => {
  const server = await startServer();
  const relay = await startRelay(Number(server.address().split(':')[1]));
  const client = createClient();
  await client.call(relay.address, 'read-configuration', {}, 1_000);
  relay.freeze();
  const release = relay.hold();
  for (let attempt = 0; attempt < 3; attempt += 1) {
    // Longer than the timeout of a probe, so that each call fails on the old connection and is probed.
    const unansweredCall = await client.call(relay.address, 'read-configuration', {}, 130);
    expect(unansweredCall.isErr).toEqual(true);
  }
  release();
  await new Promise<void>((resolve) => clock.after(200, resolve));
  const reply = await client.call(relay.address, 'read-configuration', {}, 1_000);
  expect(reply.isOk).toEqual(true);
  expect(client.describe()[0]?.replacements).toEqual(1);
});

// Guards against a process that never exits after its stop: a probe that is outstanding when the client stops
// gets no reply, and a connection that nothing closes was opened in place of the silent one.
test('the peer client opens no connection after its stop when a probe is outstanding', async () => {
  const server = await startServer();
  const relay = await startRelay(Number(server.address().split(':')[1]));
  const client = createClient();
  await client.call(relay.address, 'read-configuration', {}, 1_000);
  relay.freeze();
  const unansweredCall = client.call(relay.address, 'read-configuration', {}, 40);
  expect((await unansweredCall).isErr).toEqual(true);
  client.stop();
  await new Promise<void>((resolve) => clock.after(AFTER_STOP_MS, resolve));
  expect(relay.countConnections()).toEqual(1);
});

// Guards against a process that never exits after its stop, because a call that is made later opens a connection
// that nothing closes.
test('the peer client fails a call after its stop as not sent and opens no connection', async () => {
  const server = await startServer();
  const relay = await startRelay(Number(server.address().split(':')[1]));
  const client = createClient();
  client.stop();
  const reply = await client.call(relay.address, 'read-configuration', {}, AFTER_STOP_MS);
  expect(reply.isErr && reply.error.kind).toEqual('owner-unreachable');
  expect(relay.countConnections()).toEqual(0);
});

// Guards against a process that never exits after its stop: while the replacement of a silent connection was opening,
// further unanswered calls opened others, and only the last one was closed.
test('the peer client opens one replacement of a silent connection and closes it when it stops', async () => {
  const server = await startServer();
  const relay = await startRelay(Number(server.address().split(':')[1]));
  const client = createClient();
  await client.call(relay.address, 'read-configuration', {}, 1_000);
  relay.freeze();
  const release = relay.hold();
  for (let calls = 0; calls < 10; calls += 1)
    await client.call(relay.address, 'read-configuration', {}, 50);
  release();
  await new Promise<void>((resolve) => clock.after(AFTER_STOP_MS, resolve));
  expect(relay.countOpen()).toEqual(1);
  client.stop();
  await new Promise<void>((resolve) => clock.after(AFTER_STOP_MS, resolve));
  expect(relay.countOpen()).toEqual(0);
});
