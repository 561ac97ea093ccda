// Starts processes of the system with the command of the deploy file, each with a settings file of its own.
import { spawn } from 'node:child_process';
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { request } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));

function readRunCommand() {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  return /^run = "(.*)"$/m.exec(text)[1].split(' ');
}

async function findPorts(host, count) {
  const servers = await Promise.all(
    Array.from(
      { length: count },
      () =>
        new Promise((resolve) => {
          const server = createServer();
          server.listen(0, host, () => resolve(server));
        }),
    ),
  );
  const ports = servers.map((server) => server.address().port).sort((a, b) => a - b);
  await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))));
  return ports;
}

export class Deployment {
  constructor({ record, store, logPath }) {
    this.record = record;
    this.store = store;
    this.folder = mkdtempSync(join(tmpdir(), 'review-'));
    this.logs = logPath === undefined ? undefined : createWriteStream(logPath);
    this.nodes = [];
  }

  /** Prepares a machine of a zone; `advice` is the address of the advice service, if there is one. */
  async addNode(terms) {
    const node = await this.prepareNode(terms);
    this.nodes.push(node);
    return node;
  }

  async prepareNode({ name, host, zone, zones, advice }) {
    const [frontend, ready, control, peer, last] = await findPorts(host, 5);
    const node = {
      name,
      host,
      zone,
      frontend: `${host}:${frontend}`,
      ready: `${host}:${ready}`,
      peer: `${host}:${peer}`,
      metrics: `${host}:${last}`,
      settings: join(this.folder, `${name}.yaml`),
    };
    const settings = {
      node: name,
      role: 'scheduler',
      machineClass: 'frontend',
      serves: ['frontend'],
      ip: host,
      zone,
      region: 'region',
      zones: Object.fromEntries(zones.map((other) => [other, 'region'])),
      listen: { frontend: node.frontend, readyAddress: node.ready, control: `${host}:${control}` },
      internalPorts: [peer, last],
      seeds: [],
      bootstrap: true,
      limits: { cpuShare: 0.675, cores: 1, memoryMb: 350, maxFds: 4200, linkMbps: 1000 },
      dataDir: null,
      discovery: 'platform',
      heartbeatMs: 1500,
      bounds: { graceS: 6, status_s: 120, maxHoldMs: 10_000, stopTimeoutMs: 400 },
      orders: 'invoke',
      ...(advice === undefined ? {} : { recommendation: advice }),
      platform: {
        address: this.store.address,
        form: 'log',
        writesPerS: 800,
        readsPerS: 2000,
        keep_s: 20,
      },
    };
    // JSON is YAML.
    writeFileSync(node.settings, JSON.stringify(settings));
    node.terms = { name, host, zone, zones, advice };
    return node;
  }

  startNode(node) {
    const [program, ...args] = readRunCommand();
    const child = spawn(program, args, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, ACACIAHOIST_SETTINGS: node.settings },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    node.child = child;
    node.exit = undefined;
    for (const stream of [child.stdout, child.stderr])
      stream.on('data', (data) => this.logs?.write(data));
    child.on('exit', (code, signal) => {
      node.exit = { code, signal };
      this.record(`${node.name} process ends code=${code} signal=${signal}`);
      node.onExit?.();
    });
    this.record(`${node.name} process starts pid=${child.pid}`);
  }

  async waitReady(timeoutMs = 15_000) {
    const untilMs = Date.now() + timeoutMs;
    for (const node of this.nodes)
      for (;;) {
        const reply = await call(node.ready, 'GET', '/readyz', {}, undefined, 1000);
        if (reply.status === 200) break;
        if (node.exit !== undefined) {
          // Another program has taken one of the ports meanwhile.
          Object.assign(node, await this.prepareNode(node.terms));
          this.startNode(node);
        }
        if (Date.now() > untilMs) throw new Error(`${node.name} does not become ready`);
        await sleep(100);
      }
  }

  /** Returns the dump of the first node that owns the cell, with its node; undefined if none does. */
  async findOwner() {
    for (const node of this.nodes) {
      const reply = await call(node.metrics, 'GET', '/dump', {}, undefined, 1000);
      if (reply.status !== 200) continue;
      const dump = JSON.parse(reply.body);
      if (dump.owning === true) return { node, dump };
    }
    return undefined;
  }

  async stop() {
    const ends = this.nodes.map(
      (node) =>
        new Promise((resolve) => {
          const { child } = node;
          node.onExit = undefined;
          if (child === undefined || node.exit !== undefined) return resolve();
          child.once('exit', resolve);
          child.kill('SIGKILL');
          return undefined;
        }),
    );
    await Promise.all(ends);
    this.logs?.end();
    rmSync(this.folder, { recursive: true, force: true });
  }
}

export function sleep(ms) {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** Makes one HTTP call; `status` is 0 when there was no complete answer. */
export function call(address, method, path, headers = {}, body = undefined, timeoutMs = 3_000) {
  return new Promise((resolve) => {
    const [host, port] = address.split(':');
    const data = body === undefined ? undefined : Buffer.from(JSON.stringify(body));
    const outgoing = request(
      {
        host,
        port,
        method,
        path,
        agent: false,
        headers: {
          ...headers,
          ...(data === undefined
            ? {}
            : { 'content-type': 'application/json', 'content-length': data.length }),
        },
      },
      (response) => {
        const chunks = [];
        response.on('data', (chunk) => chunks.push(chunk));
        response.on('error', () => resolve({ status: 0, body: '' }));
        response.on('end', () =>
          resolve({ status: response.statusCode, body: Buffer.concat(chunks).toString('utf8') }),
        );
      },
    );
    outgoing.setTimeout(timeoutMs, () => outgoing.destroy(new Error('timeout')));
    outgoing.on('error', () => resolve({ status: 0, body: '' }));
    outgoing.end(data);
  });
}
