import { SystemClock } from '@acaciahoist/clock/system-clock';
import { parseSettings } from '@acaciahoist/declaration/parse-settings';
import { StandIn } from '@acaciahoist/stand-in';
import type { EntrySettings } from '@acaciahoist/types/entry-settings';
import { request } from 'undici';
import { createEventLog } from './create-event-log.js';
import { findFreePorts } from './find-free-ports.js';
import { Entry } from './entry.js';

type StandInSettings = Parameters<typeof StandIn.create>[0];

interface Options {
  /** Number of entry processes by data centre. */
  dataCentres: Readonly<Record<string, number>>;
  standIn?: StandInSettings;
  settings?: Partial<EntrySettings>;
  /** Users whose work the token of the cell permits. */
  users: readonly string[];
  /** Receives the log lines of the entry processes. */
  write?: (line: string) => void;
}

const TOKEN = 'embedded-token-0123456789';

/**
 * Entry processes and the simulated platform in one process. They communicate over loopback sockets. For
 * the quickstart and tests.
 */
export class EmbeddedCell {
  /** Starts the platform and all entry processes. Stops them again when one of them fails to start. */
  static async create(options: Options): Promise<EmbeddedCell> {
    const dataCentres = Object.entries(options.dataCentres).flatMap(([name, count]) =>
      Array<string>(count).fill(name),
    );
    const ports = await findFreePorts(2 * dataCentres.length);
    const cell = new EmbeddedCell(options, dataCentres, ports);
    try {
      await cell.standIn.start();
      for (const address of cell.plannedEntries.keys()) await cell.startEntry(address);
    } catch (error) {
      await cell.stop();
      throw error;
    }
    return cell;
  }

  /** The token that `call` sends. */
  static readonly token = TOKEN;

  readonly standIn: StandIn;
  readonly clock = SystemClock.create();
  readonly entries = new Map<string, Entry>();
  /** Data centre and caller address by peer address. */
  readonly plannedEntries = new Map<string, { dataCentre: string; listen: string }>();

  private constructor(
    private readonly options: Options,
    dataCentres: readonly string[],
    ports: readonly number[],
  ) {
    for (const [index, dataCentre] of dataCentres.entries()) {
      const listen = `127.0.0.1:${ports[2 * index] ?? 0}`;
      this.plannedEntries.set(`127.0.0.1:${ports[2 * index + 1] ?? 0}`, { dataCentre, listen });
    }
    this.standIn = StandIn.create({
      dataCentres: Object.keys(options.dataCentres),
      vmList: { lagMs: 100 },
      ...options.standIn,
    });
  }

  /** Creates and starts the entry process with this peer address; also used to restart a stopped one. */
  async startEntry(address: string): Promise<Entry> {
    const plannedEntry = this.plannedEntries.get(address);
    if (plannedEntry === undefined)
      throw new Error(`the cell has no entry process with the peer address ${address}`);
    const { log, vmList } = this.standIn.addresses();
    const text = JSON.stringify({
      role: 'entry',
      listen: plannedEntry.listen,
      peerListen: address,
      dataCentre: plannedEntry.dataCentre,
      region: 'r',
      platform: { logUrl: `http://${log}`, vmListUrl: `http://${vmList}/vms` },
      seeds: [...this.plannedEntries.keys()],
      tokens: [
        {
          token: TOKEN,
          operator: 'embedded',
          users: this.options.users,
          mayApply: true,
          maySubmit: true,
          mayReadAccount: true,
        },
      ],
    });
    const parsed = parseSettings(text, 'test');
    if (parsed.isErr)
      throw new Error(
        `the settings of entry process ${address} are invalid: ${JSON.stringify(parsed.error)}`,
      );
    const settings = {
      ...parsed.value,
      drainDelayMs: 50,
      ...this.options.settings,
    } as EntrySettings;
    const write = this.options.write ?? (() => undefined);
    const entry = Entry.create(
      settings,
      this.clock,
      createEventLog({ process: address, level: 'info', write }),
    );
    this.entries.set(address, entry);
    await entry.start();
    return entry;
  }

  /** Sends a caller request to the entry process with this index. */
  async call(
    index: number,
    method: 'GET' | 'POST' | 'DELETE',
    path: string,
    body?: unknown,
    headers: Record<string, string> = {},
  ): Promise<{ status: number; body: unknown }> {
    const { listen } = [...this.plannedEntries.values()][index] ?? { listen: '' };
    const response = await request(`http://${listen}${path}`, {
      method,
      headers: { authorization: `Bearer ${TOKEN}`, 'content-type': 'application/json', ...headers },
      ...(body === undefined ? {} : { body: JSON.stringify(body) }),
    });
    const text = await response.body.text();
    return { status: response.statusCode, body: text === '' ? null : parseBody(text) };
  }

  /** Counts the partitions that a running process owns now. */
  async countOwnedPartitions(): Promise<number> {
    const indexes = [...this.plannedEntries.keys()].map((_, index) => index);
    const responses = await Promise.all(indexes.map((index) => this.call(index, 'GET', '/health')));
    return responses.flatMap(({ body }) => (body as { partitions: unknown[] }).partitions).length;
  }

  /** Repeats a check until it returns true. Throws an error that names `condition` after `timeoutMs`. */
  async waitUntil(
    condition: string,
    check: () => Promise<boolean> | boolean,
    timeoutMs = 15_000,
  ): Promise<void> {
    const deadlineAtMs = this.clock.monotonicMs() + timeoutMs;
    while (!(await check())) {
      if (this.clock.monotonicMs() > deadlineAtMs)
        throw new Error(`timed out after ${timeoutMs} ms waiting for ${condition}`);
      await new Promise<void>((resolve) => this.clock.after(20, resolve));
    }
  }

  async stop(): Promise<void> {
    await Promise.all([...this.entries.values()].map((entry) => entry.stop()));
    await this.standIn.stop();
  }
}

function parseBody(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return text;
  }
}
