import { writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { request } from 'undici';
import { SystemClock } from '@acaciahoist/clock/system-clock';
import { findFreePorts } from '@acaciahoist/entry/find-free-ports';
import type { StandIn } from '@acaciahoist/stand-in';
import { buildBundles } from './build-bundles.js';
import { Child } from './child.js';
import type { PlatformEvent } from './platform-event.js';
import { readProcessUsage } from './read-process-usage.js';

interface Options {
  /** The data centre of each entry process, one element for each process. */
  entries: readonly string[];
  standIn: Parameters<typeof StandIn.create>[0];
  declaration: Record<string, unknown>;
  user: string;
  settings?: Record<string, unknown>;
  /** Flags of Node.js for the entry processes, for example `--cpu-prof`. */
  nodeArgs?: readonly string[];
}

/** A running entry process, with its addresses for clients and for peers. */
interface EntryProcess {
  child: Child;
  listen: string;
  peer: string;
  dataCentre: string;
}

type Usage = Awaited<ReturnType<typeof readProcessUsage>>;
type Addresses = ReturnType<StandIn['addresses']>;

const TOKEN = 'bench-token-0123456789';
const READY_TIMEOUT_MS = 30_000;
const MAX_HISTORY_PAGE = 10_000;

/** Cell of the benches: entry processes and the simulated platform as child processes on loopback. */
export class ProcessCell {
  static async create(options: Options): Promise<ProcessCell> {
    const cell = new ProcessCell(options, await buildBundles());
    try {
      await cell.start();
    } catch (error) {
      const output = cell.entryProcesses
        .map(({ child }) => child.getOutput().slice(-500))
        .join('\n');
      await cell.stop();
      throw new Error(`the cell did not start; its processes wrote:\n${output}`, { cause: error });
    }
    return cell;
  }

  readonly clock = SystemClock.create();
  readonly entryProcesses: EntryProcess[] = [];
  /** Headers of calls with the operator's token. */
  readonly headers = { authorization: `Bearer ${TOKEN}`, 'content-type': 'application/json' };
  addresses: Addresses = { log: '', vmList: '', workers: [], runners: [] };
  private platform: Child | undefined;

  private constructor(
    private readonly options: Options,
    private readonly bundles: Awaited<ReturnType<typeof buildBundles>>,
  ) {}

  /** Resolves after `ms`. */
  pause(ms: number): Promise<void> {
    return new Promise((resolve) => this.clock.after(ms, resolve));
  }

  /** Makes an HTTP call with the operator's token: POST with a body, GET without. */
  async call(
    address: string,
    path: string,
    body?: unknown,
  ): Promise<{ status: number; body: unknown }> {
    const response = await request(`http://${address}${path}`, {
      method: body === undefined ? 'GET' : 'POST',
      headers: this.headers,
      ...(body === undefined ? {} : { body: JSON.stringify(body) }),
    });
    const text = await response.body.text();
    return { status: response.statusCode, body: JSON.parse(text) as unknown };
  }

  /** Resource use of each entry process since its start. */
  usage(): Promise<Usage[]> {
    return Promise.all(this.entryProcesses.map(({ child }) => readProcessUsage(child.pid)));
  }

  /** Bytes of the calls between entry processes since their start; the process that serves a call counts them. */
  async peerBytes(): Promise<number> {
    let total = 0;
    for (const { listen } of this.entryProcesses) {
      const { body } = await this.call(listen, '/dump');
      const { sent, received } = (body as { peerBytes: { sent: number; received: number } })
        .peerBytes;
      total += sent + received;
    }
    return total;
  }

  /** Events of the simulated platform from position `from` on, and the position after the last one. */
  async events(from: number): Promise<{ events: PlatformEvent[]; next: number }> {
    const events: PlatformEvent[] = [];
    let next = from;
    for (;;) {
      const path = `/history?from=${next}&limit=${MAX_HISTORY_PAGE}`;
      const page = (await this.call(this.addresses.log, path)).body as {
        events: PlatformEvent[];
        next: number;
      };
      const first = page.events[0];
      if (first !== undefined && first.sequence > next)
        throw new Error(
          `the platform dropped events ${next} to ${first.sequence - 1} of its history; ` +
            'raise historyEvents',
        );
      for (const event of page.events) events.push(event);
      next = page.next;
      if (page.events.length < MAX_HISTORY_PAGE) return { events, next };
    }
  }

  async stop(): Promise<void> {
    await Promise.all(this.entryProcesses.map(({ child }) => child.stop()));
    await this.platform?.stop();
    await this.bundles.remove();
  }

  private async start(): Promise<void> {
    this.platform = Child.create(this.clock, [
      this.bundles.standIn,
      JSON.stringify(this.options.standIn),
    ]);
    this.addresses = JSON.parse(await this.platform.waitForFirstLine()) as Addresses;
    const ports = await findFreePorts(2 * this.options.entries.length);
    const planned = this.options.entries.map((dataCentre, index) => ({
      dataCentre,
      listen: `127.0.0.1:${ports[2 * index] ?? 0}`,
      peer: `127.0.0.1:${ports[2 * index + 1] ?? 0}`,
    }));
    const seeds = planned.map(({ peer }) => peer);
    for (const [index, addresses] of planned.entries()) {
      const file = join(this.bundles.folder, `entry-${index}.json`);
      await writeFile(file, JSON.stringify(this.createSettings(addresses, seeds)));
      const args = [this.bundles.commandLine, 'entry', file];
      this.entryProcesses.push({
        ...addresses,
        child: Child.create(this.clock, args, this.options.nodeArgs),
      });
    }
    await this.waitUntil(
      'start of the entry processes',
      (health) => health.length === seeds.length,
    );
    const text = JSON.stringify(this.options.declaration);
    const firstAddress = this.entryProcesses[0]?.listen ?? '';
    const published = await this.call(firstAddress, '/configuration', { baseRevision: 0, text });
    if (published.status !== 200) {
      throw new Error(`the configuration was not published: ${JSON.stringify(published.body)}`);
    }
    const dataCentres = this.options.declaration.dataCentres as { partitions: number }[];
    const partitions = dataCentres.reduce((sum, dataCentre) => sum + dataCentre.partitions, 0);
    await this.waitUntil(
      'an owner of each partition',
      (health) =>
        health.reduce((sum, processHealth) => sum + processHealth.partitions.length, 0) ===
        partitions,
    );
  }

  private createSettings(
    addresses: Omit<EntryProcess, 'child'>,
    seeds: readonly string[],
  ): unknown {
    const { log, vmList } = this.addresses;
    return {
      role: 'entry',
      listen: addresses.listen,
      peerListen: addresses.peer,
      dataCentre: addresses.dataCentre,
      region: 'r',
      platform: { logUrl: `http://${log}`, vmListUrl: `http://${vmList}/vms` },
      seeds,
      tokens: [
        {
          token: TOKEN,
          operator: 'bench',
          users: [this.options.user],
          mayApply: true,
          maySubmit: true,
        },
      ],
      log: { level: 'warn' },
      drainDelayMs: 100,
      ...this.options.settings,
    };
  }

  /** Repeats a check of the `/health` responses until it returns true; processes without a response are left out. */
  private async waitUntil(
    condition: string,
    check: (health: { partitions: unknown[] }[]) => boolean,
  ): Promise<void> {
    const endMs = this.clock.monotonicMs() + READY_TIMEOUT_MS;
    for (;;) {
      const results = await Promise.allSettled(
        this.entryProcesses.map(({ listen }) => this.call(listen, '/health')),
      );
      const health = results.flatMap((result) =>
        result.status === 'fulfilled' ? [result.value.body as { partitions: unknown[] }] : [],
      );
      if (check(health)) return;
      if (this.clock.monotonicMs() > endMs)
        throw new Error(`timed out after ${READY_TIMEOUT_MS} ms waiting for ${condition}`);
      await this.pause(100);
    }
  }
}
