import { StatsD } from 'hot-shots';

/** Sends counters, gauges and timings to a statsd address over UDP. Sends nothing when no address is set. */
export class Metrics {
  static create(
    target: { host: string; port: number; prefix: string } | undefined,
    dataCentre: string,
  ): Metrics {
    if (target === undefined) return new Metrics(undefined);
    const client = new StatsD({
      host: target.host,
      port: target.port,
      prefix: target.prefix,
      globalTags: { data_centre: dataCentre },
      // A lost packet must not end the process.
      errorHandler: () => undefined,
      // Bytes per packet: a packet fits into one Ethernet frame and is not fragmented.
      maxBufferSize: 1_400,
    });
    return new Metrics(client);
  }

  private constructor(private readonly client: StatsD | undefined) {}

  count(name: string, increment = 1, tags: Record<string, string> = {}): void {
    this.client?.increment(name, increment, tags);
  }

  gauge(name: string, value: number, tags: Record<string, string> = {}): void {
    this.client?.gauge(name, value, tags);
  }

  timing(name: string, durationMs: number, tags: Record<string, string> = {}): void {
    this.client?.timing(name, durationMs, tags);
  }

  stop(): Promise<void> {
    const { client } = this;
    if (client === undefined) return Promise.resolve();
    return new Promise((resolve) => {
      client.close(() => {
        resolve();
      });
    });
  }
}
