import type { Clock } from '@acaciahoist/clock';
import type { ServerLimit } from './server-limit.js';
import type { EventLog } from '@acaciahoist/types/event-log';

interface Options {
  clock: Clock;
  log: EventLog;
  /** Increases the counter of this name in the metrics. */
  count: (name: string) => void;
}

/** Time in ms between two log lines about the same limit; a crowd of clients exceeds it thousands of times a second. */
const LINE_INTERVAL_MS = 1_000;

/** Counts how often clients exceed each limit, and logs it at a bounded rate. */
export class LimitReport {
  static create(options: Options): LimitReport {
    return new LimitReport(options);
  }

  /** Events since the last line, for each limit whose next line has to wait. */
  private readonly pendingEvents = new Map<string, number>();

  private constructor(private readonly options: Options) {}

  /** Must be called whenever a client of the server exceeds a limit. */
  add(server: string, limit: ServerLimit): void {
    this.options.count(`client_limit_${limit.replaceAll('-', '_')}_total`);
    const key = `${server} ${limit}`;
    const pending = this.pendingEvents.get(key);
    if (pending === undefined) this.write(server, limit, 1);
    else this.pendingEvents.set(key, pending + 1);
  }

  private write(server: string, limit: ServerLimit, events: number): void {
    const key = `${server} ${limit}`;
    this.options.log('warn', 'client-limit-exceeded', { server, limit, events });
    this.pendingEvents.set(key, 0);
    this.options.clock.after(LINE_INTERVAL_MS, () => {
      const pending = this.pendingEvents.get(key) ?? 0;
      this.pendingEvents.delete(key);
      if (pending > 0) this.write(server, limit, pending);
    });
  }
}
