import { spawn, type ChildProcess } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { connect, createServer, type Server } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { expect } from 'earl';
import { SystemClock } from '@acaciahoist/clock/system-clock';
import { findFreePorts } from '@acaciahoist/entry/find-free-ports';
import { sleep } from '@acaciahoist/group-commit/sleep';
import { EmbeddedCell } from '@acaciahoist/entry/embedded-cell';

const clock = SystemClock.create();
const root = fileURLToPath(new URL('../../../../../', import.meta.url));
const folder = mkdtempSync(join(tmpdir(), 'entry-stop-'));
const children = new Set<ChildProcess>();
const servers: Server[] = [];

const DRAIN_DELAY_MS = 200;
/** Time after `drainDelayMs` within which a process that is still starting exits; from docs/operations.md. */
const STARTING_EXIT_MS = 5_000;
/** Longest wait for a child process to load its modules and listen. */
const LISTEN_TIMEOUT_MS = 60_000;

after(() => {
  for (const child of children) child.kill('SIGKILL');
  for (const server of servers) server.close();
  rmSync(folder, { recursive: true, force: true });
});

/** Forwards connections to the address, but nothing before `open` is called. */
async function startRelay(address: string): Promise<{ address: string; open: () => void }> {
  let open: () => void = () => undefined;
  const opened = new Promise<void>((resolve) => {
    open = resolve;
  });
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    void opened.then(() => {
      const target = connect(Number(address.split(':')[1]), '127.0.0.1');
      target.on('error', () => undefined);
      socket.pipe(target).pipe(socket);
    });
  });
  servers.push(server);
  const [port = 0] = await findFreePorts(1);
  await new Promise<void>((resolve) => server.listen(port, '127.0.0.1', resolve));
  return { address: `127.0.0.1:${port}`, open };
}

/** Accepts connections and never answers. */
async function startSilentServer(): Promise<string> {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.unref();
  });
  server.unref();
  servers.push(server);
  const [port = 0] = await findFreePorts(1);
  await new Promise<void>((resolve) => server.listen(port, '127.0.0.1', resolve));
  return `127.0.0.1:${port}`;
}

function canConnect(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = connect(port, '127.0.0.1', () => {
      socket.destroy();
      resolve(true);
    });
    socket.once('error', () => {
      resolve(false);
    });
  });
}

/** Starts an entry process and resolves when it listens for peers. */
async function startEntry(platform: { log: string; vmList: string }, seed: string) {
  const [port = 0, peerPort = 0] = await findFreePorts(2);
  const file = join(folder, `${port}.jsonc`);
  const settings = {
    role: 'entry',
    listen: `127.0.0.1:${port}`,
    peerListen: `127.0.0.1:${peerPort}`,
    dataCentre: 'north-1',
    region: 'north',
    platform: { logUrl: `http://${platform.log}`, vmListUrl: `http://${platform.vmList}/vms` },
    seeds: [seed],
    drainDelayMs: DRAIN_DELAY_MS,
    tokens: [{ token: 'entry-stop-test-token', operator: 'olga', users: ['u'], mayApply: true }],
  };
  writeFileSync(file, JSON.stringify(settings));
  const program = join(root, 'packages/cli/src/main.ts');
  const child = spawn(process.execPath, ['--import', 'tsx', program, 'entry', file], {
    cwd: root,
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  children.add(child);
  const started = { child, output: '', exit: undefined as unknown };
  for (const stream of [child.stdout, child.stderr])
    stream.on('data', (data: Buffer) => {
      started.output += data.toString();
    });
  const exited = new Promise<void>((resolve) => {
    child.once('exit', (code, signal) => {
      started.exit = code ?? signal;
      children.delete(child);
      resolve();
    });
  });
  const deadlineAtMs = clock.monotonicMs() + LISTEN_TIMEOUT_MS;
  while (!(await canConnect(peerPort))) {
    if (started.exit !== undefined || clock.monotonicMs() > deadlineAtMs)
      throw new Error(`the process does not listen: ${started.output}`);
    await sleep(clock, 20);
  }
  return Object.assign(started, { exited });
}

type StartedEntry = Awaited<ReturnType<typeof startEntry>>;

/** Sends SIGTERM and returns the exit code, or `running` when the process does not exit in time. */
async function stopEntry(entry: StartedEntry, whileStopping?: () => void): Promise<unknown> {
  entry.child.kill('SIGTERM');
  const limitMs = DRAIN_DELAY_MS + STARTING_EXIT_MS;
  await sleep(clock, DRAIN_DELAY_MS / 2);
  whileStopping?.();
  await Promise.race([entry.exited, sleep(clock, limitMs - DRAIN_DELAY_MS / 2)]);
  return entry.exit ?? 'running';
}

function countEvents(entry: StartedEntry, event: string): number {
  return entry.output.split(`event=${event} `).length - 1;
}

test('an entry process that is still starting exits after SIGTERM when the platform does not answer', async () => {
  // Guards against a process that stays alive until the platform or a peer answers.
  const silent = await startSilentServer();
  const [closedPort] = await findFreePorts(1);
  const refusing = `127.0.0.1:${closedPort}`;
  // Waits before the signal: within the first read of the log, and within the queries of the seed.
  const cases = [
    { platform: silent, seed: refusing, waitMs: 0 },
    { platform: silent, seed: silent, waitMs: 2_600 },
    { platform: refusing, seed: refusing, waitMs: 600 },
    { platform: refusing, seed: silent, waitMs: 1_500 },
  ];
  const results = await Promise.all(
    cases.map(async ({ platform, seed, waitMs }) => {
      const entry = await startEntry({ log: platform, vmList: platform }, seed);
      await sleep(clock, waitMs);
      const exit = await stopEntry(entry);
      return [exit, countEvents(entry, 'ready'), countEvents(entry, 'stopped')];
    }),
  );
  expect(results).toEqual(cases.map(() => [0, 0, 1]));
});

test('an entry process that is still starting logs a second SIGTERM and exits', async () => {
  // Guards against a second stop, and against a second signal that ends the process with its exit code.
  const silent = await startSilentServer();
  const entry = await startEntry({ log: silent, vmList: silent }, silent);
  const exit = await stopEntry(entry, () => entry.child.kill('SIGTERM'));
  expect([exit, countEvents(entry, 'signal-ignored'), countEvents(entry, 'stopped')]).toEqual([
    0, 1, 1,
  ]);
});

test('an entry process that reads the configuration after SIGTERM does not become ready and exits', async () => {
  // Guards against a start that continues during the stop and takes requests or follows partitions for good.
  const cell = await EmbeddedCell.create({ dataCentres: { 'north-1': 1 }, users: ['u'] });
  try {
    const text = `{
      "dataCentres": [{ "name": "north-1", "region": "north", "partitions": 2 }],
      "users": [{ "name": "u", "teams": [{ "name": "t", "quotaPerMille": 1000 }] }],
      "services": [],
    }`;
    const published = await cell.call(0, 'POST', '/configuration', { baseRevision: 0, text });
    expect(published).toEqual({ status: 200, body: { revision: 1 } });
    const { log, vmList } = cell.standIn.addresses();
    const relay = await startRelay(log);
    const entry = await startEntry({ log: relay.address, vmList }, await startSilentServer());
    const exit = await stopEntry(entry, relay.open);
    expect([exit, countEvents(entry, 'ready'), countEvents(entry, 'stopped')]).toEqual([0, 0, 1]);
    expect(countEvents(entry, 'configuration-in-force')).toEqual(1);
  } finally {
    await cell.stop();
  }
});
