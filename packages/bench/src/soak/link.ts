import { createServer, connect, type Server, type Socket } from 'node:net';
import type { Clock } from '@acaciahoist/clock';
import type { LinkChange } from './link-change.js';
import { LinkDirection } from './link-direction.js';

interface Options {
  clock: Clock;
  host: string;
  port: number;
  target: string;
}

/** The connections from one side to one address: a TCP proxy that changes can disturb. */
export class Link {
  static create(options: Options): Link {
    return new Link(options);
  }

  /** Number of connections that were accepted. */
  connectionCount = 0;
  private server: Server | undefined;
  private readonly changes = new Set<LinkChange>();
  private readonly directions = new Set<LinkDirection>();
  private readonly sockets = new Set<Socket>();

  private constructor(private readonly options: Options) {}

  get address(): string {
    return `${this.options.host}:${this.options.port}`;
  }

  /** Accepts connections. */
  async open(): Promise<void> {
    if (this.server !== undefined) return;
    const server = createServer({ allowHalfOpen: true, noDelay: true }, (caller) => {
      this.accept(caller);
    });
    this.server = server;
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(this.options.port, this.options.host, resolve);
    });
  }

  /** Refuses new connections, as an address without a process does; open connections remain. */
  refuse(): void {
    this.server?.close();
    this.server = undefined;
  }

  /** Begins a disturbance; the returned function ends it. */
  disturb(change: LinkChange): () => void {
    if (change.type === 'reset') for (const socket of this.sockets) socket.resetAndDestroy();
    if (change.type === 'silence') for (const direction of this.directions) direction.silence();
    this.changes.add(change);
    this.update();
    return () => {
      this.changes.delete(change);
      this.update();
    };
  }

  /** Refuses new connections and closes the open ones. */
  close(): void {
    this.refuse();
    for (const socket of this.sockets) socket.destroy();
  }

  private accept(caller: Socket): void {
    this.connectionCount += 1;
    const [host, port] = this.options.target.split(':');
    const target = connect({ host, port: Number(port), allowHalfOpen: true, noDelay: true });
    for (const socket of [caller, target]) {
      this.sockets.add(socket);
      socket.once('close', () => this.sockets.delete(socket));
    }
    this.addDirection('request', caller, target);
    this.addDirection('response', target, caller);
    this.update();
  }

  private addDirection(name: 'request' | 'response', from: Socket, to: Socket): void {
    const direction = LinkDirection.create({
      clock: this.options.clock,
      name,
      from,
      to,
      delayMs: () => this.delayMs(),
    });
    this.directions.add(direction);
    from.once('close', () => this.directions.delete(direction));
  }

  private delayMs(): number {
    return [...this.changes].reduce(
      (delayMs, change) => (change.type === 'delay' ? Math.max(delayMs, change.delayMs) : delayMs),
      0,
    );
  }

  private update(): void {
    for (const direction of this.directions) {
      direction.setCut(
        [...this.changes].some(
          (change) => change.type === 'cut' && change.direction === direction.name,
        ),
      );
    }
  }
}
